//! The statement to a client whose connection is closed that nothing was read which followed the last response on it.
//!
//! A client may write a request at the moment at which its connection is closed for want of a place. Without the statement
//! it has to assume that the request ran.

use std::sync::Arc;

use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    runtime::Handle,
    sync::Semaphore,
    time::timeout,
};

use super::{
    connections::Place,
    drain::{DRAIN_BYTES, DRAIN_TIME, drain},
};

/// What is sent before a connection is closed unread; clones share the bound on connections that are being closed.
#[derive(Clone, Debug)]
pub struct UnreadStatement {
    /// A whole response.
    response: &'static str,
    /// One permit for each connection that may be in the course of being closed.
    closing: Arc<Semaphore>,
}

impl UnreadStatement {
    /// Creates a statement that is sent on at most `max_closing` connections at a time; further ones are closed without it.
    pub fn new(response: &'static str, max_closing: usize) -> Self {
        Self { response, closing: Arc::new(Semaphore::new(max_closing)) }
    }

    /// Sends the statement and closes the connection in the background; its place is given back afterwards. The client still
    /// sends, so its bytes are read and dropped: a reset could overtake the statement.
    pub(super) fn send<T>(&self, mut transport: T, place: Option<Place>)
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Ok(permit) = Arc::clone(&self.closing).try_acquire_owned() else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let response = self.response;
        runtime.spawn(async move {
            let _held = (permit, place);
            let written = timeout(DRAIN_TIME, transport.write_all(response.as_bytes())).await;
            if matches!(written, Ok(Ok(()))) {
                drain(transport, DRAIN_BYTES).await;
            }
        });
    }
}
