//! Strict reading of HTTP/1.1 responses by the grammar of RFC 9110 and RFC 9112.
//!
//! All nodes read responses through this crate: connections to upstreams and to other nodes parse them with
//! [`parse_head`] and [`BodyReader`]. What the grammar does not allow is refused with a [`ResponseFault`]: a lenient reading
//! could take a part of a response, or parts of two, for a whole one.

mod body;
mod fault;
mod head;
mod refusals;

pub use self::{
    body::{BodyReader, BodyStep},
    fault::ResponseFault,
    head::{Framing, Headers, MAX_HEADERS, MAX_INFORMATIONAL_HEADS, ResponseHead, headers, parse_head},
    refusals::{FaultLabels, record_refusal, refused_responses},
};
