//! Reads a response from pieces of a connection, as a client does.

use daisysill_http::{BodyReader, BodyStep, MAX_INFORMATIONAL_HEADS, ResponseFault, headers, parse_head};

/// What became of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Refused(ResponseFault),
    /// The connection ended inside it.
    Incomplete,
    Complete {
        status: u16,
        body: Vec<u8>,
        /// Bytes that belong to it.
        bytes: usize,
    },
}

/// Reads one response from pieces of a connection, which ends after them.
pub(crate) fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Outcome {
    let mut response = Response::default();
    for piece in pieces {
        response.input.extend_from_slice(piece);
        if let Err(fault) = response.go_on() {
            return Outcome::Refused(fault);
        }
    }
    response.end()
}

#[derive(Default)]
struct Response {
    input: Vec<u8>,
    /// Bytes that were read and removed from `input`.
    taken: usize,
    informational_heads: usize,
    status: u16,
    body: Vec<u8>,
    reader: Option<BodyReader>,
}

impl Response {
    fn go_on(&mut self) -> Result<(), ResponseFault> {
        loop {
            let Some(reader) = &mut self.reader else {
                if !self.read_head()? {
                    return Ok(());
                }
                continue;
            };
            match reader.step(&self.input)? {
                BodyStep::Data(count) => {
                    let data = self.take(count);
                    self.body.extend(data);
                }
                BodyStep::Framing(count) => drop(self.take(count)),
                BodyStep::NeedsMore | BodyStep::Complete => return Ok(()),
            }
        }
    }

    /// Reads a head; returns whether there was a whole one.
    fn read_head(&mut self) -> Result<bool, ResponseFault> {
        let mut space = headers();
        let Some(head) = parse_head(&self.input, &mut space, false)? else { return Ok(false) };
        let (status, framing, head_bytes) = (head.status, head.framing, head.head_bytes);
        if head.is_informational() {
            self.informational_heads += 1;
            assert!(self.informational_heads <= MAX_INFORMATIONAL_HEADS);
        } else {
            self.status = status;
            self.reader = Some(BodyReader::new(framing));
        }
        self.take(head_bytes);
        Ok(true)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.taken += count;
        self.input.drain(..count).collect()
    }

    fn end(mut self) -> Outcome {
        let ended = self.reader.as_mut().map(BodyReader::end_connection);
        match ended {
            Some(Ok(())) => Outcome::Complete { status: self.status, body: self.body, bytes: self.taken },
            _ => Outcome::Incomplete,
        }
    }
}
