//! How the bytes of a stream are passed on to its caller.

use bytes::Bytes;
use daisysill_core::{event_tracker::EventTracker, routing::CallKind};

use crate::{caller_request::CallerRequest, event_stream::EventSplitter, http_head::ResponseHead};

/// How the bytes of a stream are passed on.
pub(crate) enum Passing {
    /// Of a resumable stream only complete events, since it may have to resume after the last one.
    WholeEvents(EventSplitter),
    /// As received.
    AsReceived(EventTracker),
    /// As received; the body is declared to be something else than events.
    Opaque,
}

impl Passing {
    /// Returns how the body of a response with this head is passed on.
    pub(crate) fn new(request: &CallerRequest, head: &ResponseHead) -> Self {
        if !head.may_hold_events() {
            Self::Opaque
        } else if matches!(request.route.kind, CallKind::Stream { resumable: true }) {
            Self::WholeEvents(EventSplitter::after(request.headers.resume_after.clone()))
        } else {
            Self::AsReceived(EventTracker::default())
        }
    }

    /// Returns the bytes that may be relayed now; `None` if an event is too large.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self {
            Self::WholeEvents(splitter) => splitter.push(&bytes),
            Self::AsReceived(tracker) => {
                tracker.push(&bytes);
                Some(bytes)
            }
            Self::Opaque => Some(bytes),
        }
    }

    /// Returns the memory that bytes occupy which may not be relayed yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        match self {
            Self::WholeEvents(splitter) => splitter.pending_bytes(),
            Self::AsReceived(_) | Self::Opaque => 0,
        }
    }

    /// Returns the remaining bytes at the end of the stream.
    pub(crate) fn finish(&mut self) -> Bytes {
        match self {
            Self::WholeEvents(splitter) => splitter.finish(),
            Self::AsReceived(_) | Self::Opaque => Bytes::new(),
        }
    }

    /// Returns whether an event was passed on that the stream may resume after.
    pub(crate) fn has_event_id(&self) -> bool {
        match self {
            Self::WholeEvents(splitter) => splitter.last_id().is_some(),
            Self::AsReceived(_) | Self::Opaque => false,
        }
    }

    /// Returns whether a body that ends here breaks off in the middle of an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        match self {
            Self::WholeEvents(splitter) => splitter.is_inside_event(),
            Self::AsReceived(tracker) => tracker.is_inside_event(),
            Self::Opaque => false,
        }
    }
}
