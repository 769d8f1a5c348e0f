//! The meaning of the headers that callers and upstreams send, and the trait that translates them.

use std::time::Duration;

use actix_web::http::header::HeaderMap;
use daisysill_core::{
    ids::{CustomerId, InstanceId, WeightVersion},
    link_booking::BookingId,
    value_types,
};

value_types! {
    /// A part of a prompt. All parts but the last are shared between requests.
    pub struct PromptPart {
        /// Equal for parts with the same text.
        pub id: String,
        /// Length in tokens.
        pub tokens: u64,
    }

    /// The prompt of a request to a model.
    pub struct Prompt {
        /// Name of the model.
        pub model: String,
        /// Length of the whole prompt in tokens.
        pub prompt_tokens: u64,
        /// Maximum number of generated tokens.
        pub max_output_tokens: u64,
        /// The parts of the prompt in order; may be empty.
        pub parts: Vec<PromptPart>,
    }

    /// The decoded headers of a caller's request.
    pub struct RequestHeaders {
        /// Different for each try of a caller.
        pub request_id: Option<String>,
        /// Time that the caller waits for the complete response.
        pub deadline_ms: Option<u64>,
        /// The key that authenticates the customer.
        pub key: Option<String>,
        /// `None` for a request to a plain service.
        pub prompt: Option<Prompt>,
        /// ID of the last event that the caller received of a broken stream.
        pub resume_after: Option<String>,
        /// ID of the request that brought the first event of that stream.
        pub resumes: Option<String>,
    }
}

/// The headers that an attempt adds to a request.
#[derive(Clone, Debug)]
pub struct AttemptHeaders<'a> {
    /// Time left for the request.
    pub deadline_ms: u64,
    /// The upstream that the attempt is meant for; any other must refuse it.
    pub upstream: &'a InstanceId,
    /// `None` if the route needs no key.
    pub customer: Option<&'a CustomerId>,
    /// Cached prompts are shared only within one scope; `None` without a prompt.
    pub cache_scope: Option<&'a str>,
    /// The weight version that the upstream must have; one with another must refuse the attempt.
    pub weight_version: Option<WeightVersion>,
    /// From 0, the most urgent, to 9; `None` without a prompt.
    pub urgency: Option<u8>,
    /// ID of the last event that the caller received of a broken stream.
    pub resume_after: Option<&'a str>,
    /// `None` without a prompt.
    pub transfers: Option<&'a Transfers>,
}

/// For each part of a prompt, the stores that it is fetched from and saved to.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    /// For each part that is fetched, the address of the store and the number of tokens.
    pub fetch: Vec<Option<(String, u64)>>,
    /// For each part that is saved, the address of the store.
    pub save: Vec<Option<String>>,
    /// Time of the upstreams' clock at which fetches that have not ended are abandoned.
    pub fetch_until_ms: u64,
    /// Number of stored parts that are prefilled instead of fetched, since earlier fetches from their store were late or
    /// its link is booked for too long.
    pub skipped_parts: usize,
    /// This node's bookings of the stores' links.
    pub bookings: Vec<BookingId>,
}

impl Transfers {
    /// Returns the total number of tokens that are fetched.
    pub fn fetched_tokens(&self) -> u64 {
        self.fetch.iter().flatten().map(|(_, tokens)| tokens).sum()
    }
}

/// The decoded headers of an upstream's response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseHeaders<'a> {
    /// ID of the request that the response belongs to.
    pub request_id: Option<&'a str>,
    /// Whether the upstream states that it did not run the request.
    pub not_executed: bool,
    /// Whether the response carries the upstream's proof of origin.
    pub sealed: bool,
    /// The weight version that generated the start of the response.
    pub weight_version: Option<WeightVersion>,
    /// What the upstream states about its own state.
    pub hints: ResponseHints,
}

/// What an upstream states about its own state in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHints {
    /// The requests per second that the upstream takes from all nodes together; `None` if it names no limit.
    pub rate_limit_per_s: Option<f64>,
    /// The requests per second of all nodes together that the upstream can reject for want of a slot before it fails;
    /// `None` if it names no limit.
    pub max_rejections_per_s: Option<f64>,
    /// Whether the upstream leaves and must get no new requests.
    pub is_leaving: bool,
    /// The time after which a request may be sent again; `None` if none is stated.
    pub retry_after: Option<Duration>,
}

/// Translates headers; implemented by the adapter to the deployment's platform.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Decodes the headers of a caller's request; absent ones are `None`.
    ///
    /// # Errors
    /// Returns a description of a header that cannot be parsed.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, String>;

    /// Returns whether a caller's header with this lower-case name is forwarded to upstreams.
    fn forwards(&self, name: &str) -> bool;

    /// Appends the header lines of an attempt, each with its line end.
    fn encode_attempt(&self, headers: &AttemptHeaders<'_>, out: &mut Vec<u8>);

    /// Decodes the headers of a response; headers that cannot be parsed count as absent.
    fn decode_response<'a>(&self, headers: &'a [httparse::Header<'a>]) -> ResponseHeaders<'a>;
}
