//! The headers that entry nodes set between each other, in addition to those of the caller and of the upstream.
//!
//! They are read from requests on the listener for entry nodes only, and never forwarded to callers or upstreams.

use std::io::Write;

use actix_web::http::header::HeaderMap;

/// Begins the name of each such header.
const PREFIX: &str = "x-daisysill-peer-";
/// Time left for the request, in ms.
const DEADLINE_MS: &str = "x-daisysill-peer-deadline-ms";
/// Number of upstreams that may have run the request.
const ATTEMPTS: &str = "x-daisysill-peer-attempts";
/// Number of sends of the request that may have reached an upstream, whether it ran or not. Also in a response that states that
/// the node could not serve the request.
pub(crate) const SENDS: &str = "x-daisysill-peer-sends";
/// Version of the routing document by which the request was admitted.
const CONFIG_VERSION: &str = "x-daisysill-peer-config-version";
/// In a response: the node could not serve the request, and another may.
pub(crate) const UNABLE: &str = "x-daisysill-peer-unable";

/// In a response: the connection is closed, and nothing was read that followed the last response on it.
pub(crate) const UNREAD: &str = "x-daisysill-peer-unread";
/// The response that states so. It names no request; a build that does not know the statement discards it, or, for a request
/// without an ID, reads that this node could not serve it.
pub(crate) const UNREAD_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nx-daisysill-peer-unable: 1\r\n\
     x-daisysill-peer-unread: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// In a request: the other node is asked for its zone.
pub(crate) const ZONE_QUESTION: &str = "x-daisysill-peer-zone-question";
/// In the response to that: the zone.
pub(crate) const ZONE: &str = "x-daisysill-peer-zone";

/// What an entry node states about a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedOn {
    /// Time left for the request.
    pub deadline_ms: u64,
    /// Number of upstreams that may have run it.
    pub attempts: u32,
    /// Number of its sends that may have reached an upstream; all further ones are retries.
    pub sends: u32,
    /// Version of the routing document by which it was admitted; a node with an older one must not serve it.
    pub config_version: u64,
}

impl PassedOn {
    /// Reads the headers; `None` if they are missing or invalid.
    pub(crate) fn decode(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let attempts = text(ATTEMPTS)?.parse().ok()?;
        // Older builds state only the sends that may have run.
        let sends = text(SENDS).map_or(Some(attempts), |sends| sends.parse().ok())?;
        Some(Self {
            deadline_ms: text(DEADLINE_MS)?.parse().ok()?,
            attempts,
            sends,
            config_version: text(CONFIG_VERSION)?.parse().ok()?,
        })
    }

    /// Appends the header lines, each with its line end.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        // Writing to a vector cannot fail.
        let _ = write!(
            out,
            "{DEADLINE_MS}: {}\r\n{ATTEMPTS}: {}\r\n{SENDS}: {}\r\n{CONFIG_VERSION}: {}\r\n",
            self.deadline_ms, self.attempts, self.sends, self.config_version
        );
    }
}

/// Returns whether a header with this lower-case name is one that only entry nodes set.
pub(crate) fn is_peer_header(name: &str) -> bool {
    name.starts_with(PREFIX)
}
