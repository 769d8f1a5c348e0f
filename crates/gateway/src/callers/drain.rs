//! Closes a connection whose client may still send. A socket that is closed with unread bytes sends a reset, upon which the client
//! loses a response that it has not read.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// Bytes of a request that are read and dropped after it was answered early, so that the client can read the answer.
pub(super) const DRAIN_BYTES: usize = 256 * 1_024;
/// Time for that.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(1);
const READ_BYTES: usize = 8 * 1_024;

/// Closes the own side, then reads until the client closes its side, or the limits are reached.
pub(super) async fn drain<T: AsyncRead + AsyncWrite + Unpin>(mut transport: T, max_bytes: usize) {
    let read = async {
        transport.shutdown().await?;
        let mut buffer = [0; READ_BYTES];
        let mut dropped = 0;
        while dropped < max_bytes {
            match transport.read(&mut buffer).await? {
                0 => break,
                count => dropped += count,
            }
        }
        io::Result::Ok(())
    };
    let _ = timeout(DRAIN_TIME, read).await;
}
