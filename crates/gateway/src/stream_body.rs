//! Bodies of responses to callers that are streams and may break.

use std::pin::Pin;

use actix_web::body::BodyStream;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use tokio::task::yield_now;

use crate::relay::StreamBroken;

/// A stream that the server sends as the body of a response.
type BoxedStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamBroken>>>>;

/// Returns the body of a response. Its error is delayed until the server has been able to send what precedes it: the server writes
/// to the socket while the body is pending, and drops what it has not written when the body fails.
pub(crate) fn stream_body(
    stream: impl Stream<Item = Result<Bytes, StreamBroken>> + 'static,
) -> BodyStream<BoxedStream> {
    let delayed = stream.then(|item| async {
        if item.is_err() {
            yield_now().await;
        }
        item
    });
    BodyStream::new(Box::pin(delayed))
}
