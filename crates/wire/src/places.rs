//! Messages about places (slots) of plain services, which the leader grants to entry nodes.

use daisysill_core::{
    ids::ServiceName,
    place_queue::{PlaceCandidate, PlaceEnd},
    value_types,
};

value_types! {
    /// A request of an entry node for a place.
    pub struct PlaceRequest {
        /// The service.
        pub service: ServiceName,
        /// The upstreams that may run the request.
        pub candidates: Vec<PlaceCandidate>,
        /// For this time the request may wait for the place.
        pub max_wait_ms: u64,
        /// Time until the response is due.
        pub goal_ms: u64,
        /// Time until the request ends for certain.
        pub deadline_ms: u64,
        /// Urgency from 0, the most urgent, to 9; 10 for a request that will be late.
        pub urgency: u8,
    }

    /// The leader's answer to a [`PlaceRequest`].
    #[derive(Copy)]
    pub enum PlaceAnswer {
        /// The request may be sent to an upstream.
        Granted {
            /// Number of the place, to be released by it.
            place: u64,
            /// Hash of the upstream's id.
            upstream: u64,
        },
        /// The request would be late.
        Refused {
            /// Time after which its caller should come back.
            retry_after_ms: u64,
        },
        /// The receiver is not the leader.
        NotLeader,
        /// The leader serves as many requests for places as it can.
        Overloaded,
    }

    /// The end of the use of a place.
    pub struct PlaceRelease {
        /// The service.
        pub service: ServiceName,
        /// Number of the place.
        pub place: u64,
        /// Why it is released.
        pub end: PlaceEnd,
    }
}
