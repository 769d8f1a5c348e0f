//! The benchmark's load: prompts and plain requests that arrive at random times from a fixed seed.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    caller::{PromptOutcome, PromptRequest, prompt},
    deployment_config::DeploymentConfig,
    measure_plain::{PlainOutcome, send_idempotent, send_non_idempotent},
};

/// Share of the arriving prompt tokens that belongs to long prompts.
const LONG_TOKEN_SHARE: f64 = 0.85;
/// Mean length of a long prompt.
const MEAN_LONG_TOKENS: u64 = 14_000;
/// Mean length of a short prompt.
const MEAN_SHORT_TOKENS: u64 = 500;
/// Arrivals of idempotent plain requests, and of non-idempotent ones.
const PLAIN_REQUESTS_PER_S: f64 = 10.0;
/// Number of long contexts; together about twice the capacity of the prefix caches of the Bangkok preset.
const CONTEXT_COUNT: usize = 90;
/// Number of large customers.
const LARGE_CUSTOMERS: usize = 3;
/// Share of arrivals that belongs to the large customers.
const LARGE_CUSTOMER_SHARE: f64 = 0.7;
/// Share of non-idempotent requests that their caller sends twice under the same key.
const RESEND_SHARE: f64 = 0.3;
/// Deadline of prompts.
const DEADLINE: Duration = Duration::from_secs(10);

/// The kinds of prompts, which are reported separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptKind {
    /// A short prompt, sent once.
    Short,
    /// The first prompt with a long context.
    LongFirst,
    /// A later prompt with the same long context.
    LongReturn,
}

/// A prompt with its outcome.
#[derive(Clone, Debug)]
pub struct PromptRecord {
    /// Kind of the prompt.
    pub kind: PromptKind,
    /// Name of the customer.
    pub customer: String,
    /// Node that the prompt was sent to.
    pub node: String,
    /// BLAKE3 digest of the prompt, in hexadecimal.
    pub prompt_digest: String,
    /// Whether the received text is the expected one, or its beginning if the response is incomplete.
    pub is_correct: bool,
    /// Outcome as the caller saw it.
    pub outcome: PromptOutcome,
}

/// The outcomes of all requests of a run.
#[derive(Clone, Debug, Default)]
pub struct CallerRecords {
    /// Prompts in the order in which they finished.
    pub prompts: Vec<PromptRecord>,
    /// Non-idempotent plain requests; one entry for each time that a caller sent it.
    pub non_idempotent: Vec<PlainOutcome>,
    /// Idempotent plain requests.
    pub idempotent: Vec<PlainOutcome>,
}

/// The nodes that the load balancer chooses from, by name and base URL.
pub type Balancer = Rc<RefCell<Vec<(String, String)>>>;

/// Generates the load of one run.
pub struct LoadGenerator {
    config: DeploymentConfig,
    balancer: Balancer,
    client: Client,
    records: Rc<RefCell<CallerRecords>>,
    rng: RefCell<StdRng>,
    started_contexts: RefCell<BTreeSet<usize>>,
}

impl LoadGenerator {
    /// Prepares a load whose arrivals and choices follow from `seed`.
    pub fn new(config: DeploymentConfig, balancer: Balancer, seed: u64) -> Rc<Self> {
        let connector = awc::Connector::new().limit(0);
        Rc::new(Self {
            config,
            balancer,
            client: Client::builder().connector(connector).disable_timeout().finish(),
            records: Rc::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            started_contexts: RefCell::default(),
        })
    }

    /// Sends requests for this time and waits for their responses. `load_percent` is the rate of arriving prompt tokens
    /// in percent of the prefill rate of all engines.
    pub async fn run(self: &Rc<Self>, duration: Duration, load_percent: u64) -> CallerRecords {
        let engines = self.config.upstreams.iter().filter(|plan| plan.service == self.config.model).count();
        let capacity = engines as u64 * self.config.engine.prefill_tokens_per_s;
        let tokens_per_s = capacity as f64 * load_percent as f64 / 100.0;
        let rates = [
            tokens_per_s * (1.0 - LONG_TOKEN_SHARE) / MEAN_SHORT_TOKENS as f64,
            tokens_per_s * LONG_TOKEN_SHARE / MEAN_LONG_TOKENS as f64,
            PLAIN_REQUESTS_PER_S,
            PLAIN_REQUESTS_PER_S,
        ];
        let end = Instant::now() + duration;
        let arrivals = rates.iter().enumerate().map(|(kind, rate)| self.arrivals(kind, *rate, end));
        let callers: Vec<_> = futures::future::join_all(arrivals).await.into_iter().flatten().collect();
        futures::future::join_all(callers).await;
        self.records.take()
    }

    /// Starts requests of one kind at exponentially distributed intervals until `end`.
    async fn arrivals(
        self: &Rc<Self>,
        kind: usize,
        rate: f64,
        end: Instant,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let mut callers = Vec::new();
        let mut at = Instant::now();
        loop {
            let uniform: f64 = self.rng.borrow_mut().random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / rate);
            if at >= end {
                return callers;
            }
            tokio::time::sleep_until(at.into()).await;
            let load = Rc::clone(self);
            let number = callers.len();
            callers.push(actix_rt::spawn(async move {
                match kind {
                    0 => load.send_short(number).await,
                    1 => load.send_long().await,
                    2 => load.send_non_idempotent(number).await,
                    _ => load.send_idempotent(number).await,
                }
            }));
        }
    }

    async fn send_short(&self, number: usize) {
        let customer = self.customer();
        let tokens = self.range(MEAN_SHORT_TOKENS / 2, MEAN_SHORT_TOKENS * 3 / 2);
        let text = sized_text(&format!("question {number} of {customer}: "), tokens);
        self.send_prompt(PromptKind::Short, customer, text, 16).await;
    }

    async fn send_long(&self) {
        let context = usize::try_from(self.range(0, CONTEXT_COUNT as u64)).unwrap_or_default();
        let kind = if self.started_contexts.borrow_mut().insert(context) {
            PromptKind::LongFirst
        } else {
            PromptKind::LongReturn
        };
        let customer = self.config.customers[context_customer(context, self.config.customers.len())].clone();
        let tokens = MEAN_LONG_TOKENS / 2 + (context as u64 * 7_919) % MEAN_LONG_TOKENS;
        let text = sized_text(&format!("libretto {context} of {customer}: "), tokens);
        self.send_prompt(kind, customer, text, 32).await;
    }

    async fn send_prompt(&self, kind: PromptKind, customer: String, text: String, max_tokens: u32) {
        let Some((node, url)) = self.node() else { return };
        let token = DeploymentConfig::token(&customer);
        let request = PromptRequest {
            url: &url,
            token: &token,
            model: &self.config.model,
            prompt: &text,
            max_tokens,
            deadline: DEADLINE,
        };
        let outcome = prompt(&self.client, &request).await;
        let expected = crate::engine::expected_text(&text, u64::from(max_tokens));
        let is_correct =
            if outcome.is_complete { outcome.text == expected } else { expected.starts_with(&outcome.text) };
        let prompt_digest = blake3::hash(text.as_bytes()).to_hex().to_string();
        let record = PromptRecord { kind, customer, node, prompt_digest, is_correct, outcome };
        self.records.borrow_mut().prompts.push(record);
    }

    /// Sends a non-idempotent request; some are sent twice at the same time, each through a random node.
    async fn send_non_idempotent(&self, number: usize) {
        let customer = self.customer();
        let sends = if self.rng.borrow_mut().random_bool(RESEND_SHARE) { 2 } else { 1 };
        let sends = (0..sends).map(|_| async {
            let Some((_, url)) = self.node() else { return };
            let token = DeploymentConfig::token(&customer);
            let outcome = send_non_idempotent(&self.client, &url, &token, &self.config.plain, number).await;
            self.records.borrow_mut().non_idempotent.push(outcome);
        });
        futures::future::join_all(sends).await;
    }

    async fn send_idempotent(&self, number: usize) {
        let (customer, Some((_, url))) = (self.customer(), self.node()) else { return };
        let token = DeploymentConfig::token(&customer);
        let outcome = send_idempotent(&self.client, &url, &token, &self.config.plain, number).await;
        self.records.borrow_mut().idempotent.push(outcome);
    }

    /// Chooses a node at random; `None` if the balancer has none.
    fn node(&self) -> Option<(String, String)> {
        let nodes = self.balancer.borrow();
        let index = self.rng.borrow_mut().random_range(0..nodes.len().max(1));
        nodes.get(index).cloned()
    }

    /// Chooses a customer at random, weighted towards the large ones.
    fn customer(&self) -> String {
        let mut rng = self.rng.borrow_mut();
        let (customers, large) = (&self.config.customers, rng.random_bool(LARGE_CUSTOMER_SHARE));
        let range = if large { 0..LARGE_CUSTOMERS } else { LARGE_CUSTOMERS..customers.len() };
        customers[rng.random_range(range)].clone()
    }

    fn range(&self, from: u64, to: u64) -> u64 {
        self.rng.borrow_mut().random_range(from..to)
    }
}

/// Returns the index of the customer that a context belongs to.
fn context_customer(context: usize, customers: usize) -> usize {
    // Seven of ten contexts belong to the large customers, the same share as of other arrivals.
    if context % 10 < 7 {
        context % LARGE_CUSTOMERS
    } else {
        LARGE_CUSTOMERS + context % (customers - LARGE_CUSTOMERS)
    }
}

/// Repeats `head` up to a length in tokens of four bytes.
fn sized_text(head: &str, tokens: u64) -> String {
    let bytes = usize::try_from(tokens * 4).unwrap_or_default();
    let mut text = head.repeat(bytes / head.len() + 1);
    text.truncate(bytes);
    text
}
