//! Reads the body of a response as its framing says.

use std::io;

use bytes::{Buf, Bytes};
use daisysill_http::BodyStep;

use super::{ReadError, UpstreamConnection};

impl UpstreamConnection {
    /// Reads the next bytes of the body; `None` once it is complete. A response that is malformed is counted and logged.
    ///
    /// # Errors
    /// Fails if the connection ends before the body is complete, or its chunks are malformed.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, ReadError> {
        let read = self.next_bytes().await;
        read.inspect_err(|error| self.record_malformed(error))
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            let Some(body) = &mut self.body else { return Ok(None) };
            match body.step(&self.input)? {
                BodyStep::Complete => return Ok(None),
                BodyStep::Data(count) => return Ok(Some(self.input.split_to(count).freeze())),
                BodyStep::Framing(count) => self.input.advance(count),
                BodyStep::NeedsMore => self.fill_body().await?,
            }
        }
    }

    /// Receives more bytes, or the end of a connection that ends the body.
    async fn fill_body(&mut self) -> Result<(), ReadError> {
        let is_at_end = self.read_more().await? == 0;
        if let Some(body) = &mut self.body
            && is_at_end
        {
            body.end_connection().map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        }
        Ok(())
    }

    /// Returns whether the body was read to its end.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.is_some_and(|body| body.is_complete())
    }
}
