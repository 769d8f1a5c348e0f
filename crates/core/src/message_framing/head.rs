//! What a head says about the framing of its message.

use super::Direction;
use crate::field_value::decimal;

/// What the lines of a head say so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Head {
    pub(super) has_start_line: bool,
    pub(super) is_head_request: bool,
    pub(super) status: u16,
    pub(super) length: Option<u64>,
    pub(super) encoding: TransferEncoding,
    pub(super) is_http_1_0: bool,
}

/// What the head says on the transfer encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TransferEncoding {
    #[default]
    None,
    Chunked,
    /// Another one, or anything else that makes the end of the body uncertain.
    Unknown,
}

impl Head {
    /// Reads the start line or a header.
    pub(super) fn read_line(&mut self, line: &[u8], is_cut: bool, direction: Direction) -> Result<(), ()> {
        if !self.has_start_line {
            self.has_start_line = true;
            return self.read_start_line(line, direction);
        }
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        let value = value.get(1..).unwrap_or_default().trim_ascii();
        if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
            let length = decimal(value).filter(|_| !is_cut).ok_or(())?;
            let is_repeated = self.length.is_some();
            self.length = Some(length);
            return if is_repeated { Err(()) } else { Ok(()) };
        }
        // The server takes what follows such a head for a body without an end, whatever length it states.
        if name.trim_ascii().eq_ignore_ascii_case(b"upgrade")
            && (is_cut || value.eq_ignore_ascii_case(b"websocket"))
        {
            return Err(());
        }
        if name.trim_ascii().eq_ignore_ascii_case(b"transfer-encoding") {
            let is_first = self.encoding == TransferEncoding::None;
            if !is_first || is_cut || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(());
            }
            self.encoding = TransferEncoding::Chunked;
        }
        Ok(())
    }

    fn read_start_line(&mut self, line: &[u8], direction: Direction) -> Result<(), ()> {
        if direction == Direction::Requests {
            self.is_head_request = line.starts_with(b"HEAD ");
            self.is_http_1_0 = line.ends_with(b"HTTP/1.0");
            // A tunnel has no framing.
            return if line.starts_with(b"CONNECT ") { Err(()) } else { Ok(()) };
        }
        let status = line.split(|byte| *byte == b' ').nth(1).and_then(decimal).ok_or(())?;
        self.status = u16::try_from(status).map_err(|_| ())?;
        Ok(())
    }

    /// Returns whether the length of the body is ambiguous.
    pub(super) fn is_malformed(&self) -> bool {
        match self.encoding {
            TransferEncoding::None => false,
            TransferEncoding::Chunked => self.length.is_some() || self.is_http_1_0,
            TransferEncoding::Unknown => true,
        }
    }
}
