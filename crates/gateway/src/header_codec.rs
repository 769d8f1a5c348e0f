//! What headers mean to the deployment's callers and upstreams.

use actix_web::http::header::HeaderMap;
use daisysill_core::{
    ids::{CustomerId, InstanceId, WeightVersion},
    value_types,
};

value_types! {
    /// A part of a prompt. Parts before the last one are shared between requests.
    pub struct PromptPart {
        /// Identifies the text of the part.
        pub id: String,
        /// Its length.
        pub tokens: u64,
    }

    /// The prompt of a request to a model.
    pub struct Prompt {
        /// The model.
        pub model: String,
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Tokens generated at most.
        pub max_output_tokens: u64,
        /// The parts of the prompt in order.
        pub parts: Vec<PromptPart>,
    }

    /// What a caller's headers say.
    pub struct CallHeaders {
        /// Identifies the request; each try of a caller has its own.
        pub request_id: Option<String>,
        /// Time that the caller waits.
        pub deadline_ms: Option<u64>,
        /// The key that identifies the customer.
        pub key: Option<String>,
        /// The prompt; `None` for a plain call.
        pub prompt: Option<Prompt>,
        /// The last event that the caller has of a stream that broke.
        pub resume_after: Option<String>,
    }
}

/// What an attempt tells its upstream.
#[derive(Clone, Debug)]
pub struct AttemptTerms<'a> {
    /// Time left for the attempt.
    pub deadline_ms: u64,
    /// The upstream that the attempt is meant for.
    pub upstream: &'a InstanceId,
    /// The customer.
    pub customer: Option<&'a CustomerId>,
    /// Separates cached prompts that must not be shared.
    pub cache_scope: Option<&'a str>,
    /// The weight version that the upstream must have.
    pub weight_version: Option<WeightVersion>,
    /// Urgency, 0 to 9; 0 is first.
    pub urgency: Option<u8>,
    /// The last event that the caller has.
    pub resume_after: Option<&'a str>,
    /// What the upstream fetches from and saves to stores.
    pub transfers: Option<&'a Transfers>,
}

/// For each part of the prompt, which store it is fetched from and which it is saved to.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    /// Address and number of tokens by part.
    pub fetch: Vec<Option<(String, u64)>>,
    /// Address by part.
    pub save: Vec<Option<String>>,
    /// A fetch that has not ended at this time of the upstreams' clock, in ms, is given up.
    pub fetch_until_ms: u64,
    /// Parts that lie in a store and are read here all the same, since the store cannot keep up.
    pub left_out_parts: usize,
}

impl Transfers {
    /// Returns the tokens that are fetched.
    pub fn fetched_tokens(&self) -> u64 {
        self.fetch.iter().flatten().map(|(_, tokens)| tokens).sum()
    }
}

/// What the headers of an upstream's answer say.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerHeaders<'a> {
    /// The request that is answered.
    pub request_id: Option<&'a str>,
    /// Whether the upstream says that it has not run the request.
    pub not_executed: bool,
    /// Whether the answer carries the upstream's proof of origin.
    pub sealed: bool,
    /// The weight version that the answer was begun with.
    pub weight_version: Option<WeightVersion>,
}

/// Translates headers. Implemented by the adapter to the deployment's platform.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the headers of a caller.
    ///
    /// # Errors
    /// Returns what is wrong if a header cannot be read.
    fn decode_call(&self, headers: &HeaderMap) -> Result<CallHeaders, String>;

    /// Returns whether a caller's header of this lower-case name is passed on.
    fn forwards(&self, name: &str) -> bool;

    /// Appends the header lines of an attempt.
    fn encode_attempt(&self, terms: &AttemptTerms<'_>, out: &mut Vec<u8>);

    /// Reads the headers of an answer.
    fn decode_answer<'a>(&self, headers: &'a [httparse::Header<'a>]) -> AnswerHeaders<'a>;
}
