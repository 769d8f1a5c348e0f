//! Callers of all kinds, which arrive at random times with a fixed seed.

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
    measure_plain::{PlainOutcome, call_once, look_up},
};

/// Share of prompt tokens that belongs to long prompts.
const LONG_SHARE: f64 = 0.85;
/// Mean tokens of a long prompt.
const LONG_TOKENS: u64 = 14_000;
/// Mean tokens of a short question.
const SHORT_TOKENS: u64 = 500;
/// Plain calls of each kind in a second.
const PLAIN_PER_S: f64 = 10.0;
/// Long contexts; together about twice what the prefix caches of Bangkok hold.
const CONTEXTS: usize = 90;
/// Customers that are large, and the share of arrivals that belongs to them.
const LARGE_CUSTOMERS: usize = 3;
const LARGE_SHARE: f64 = 0.7;
/// Share of calls that may not be repeated whose caller sends them a second time.
const RESEND_SHARE: f64 = 0.3;
/// Time in which a caller wants its whole answer.
const DEADLINE: Duration = Duration::from_secs(10);

/// Who asks for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptKind {
    /// A short question.
    Short,
    /// The first request of a long context.
    LongFirst,
    /// A later request of a long context.
    LongReturn,
}

/// One prompt as its caller saw it.
#[derive(Clone, Debug)]
pub struct PromptRecord {
    /// The kind.
    pub kind: PromptKind,
    /// The customer.
    pub customer: String,
    /// The node that was asked.
    pub node: String,
    /// Digest of the prompt, in hexadecimal.
    pub prompt_digest: String,
    /// Whether the text is what the engines generate for the prompt, as far as it came.
    pub is_right: bool,
    /// What came back.
    pub outcome: PromptOutcome,
}

/// Everything that callers saw.
#[derive(Clone, Debug, Default)]
pub struct CallerRecords {
    /// Prompts.
    pub prompts: Vec<PromptRecord>,
    /// Sends of calls that may not be repeated.
    pub once: Vec<PlainOutcome>,
    /// Calls that may be repeated.
    pub look_ups: Vec<PlainOutcome>,
}

/// The nodes that the platform's balancer sends callers to: names and base URLs.
pub type Balancer = Rc<RefCell<Vec<(String, String)>>>;

/// The callers of one run.
pub struct Load {
    config: DeploymentConfig,
    balancer: Balancer,
    client: Client,
    records: Rc<RefCell<CallerRecords>>,
    draw: RefCell<StdRng>,
    started_contexts: RefCell<BTreeSet<usize>>,
}

impl Load {
    /// Prepares callers.
    pub fn new(config: DeploymentConfig, balancer: Balancer, seed: u64) -> Rc<Self> {
        let connector = awc::Connector::new().limit(0);
        Rc::new(Self {
            config,
            balancer,
            client: Client::builder().connector(connector).disable_timeout().finish(),
            records: Rc::default(),
            draw: RefCell::new(StdRng::seed_from_u64(seed)),
            started_contexts: RefCell::default(),
        })
    }

    /// Lets callers arrive for this time, then waits for their answers.
    pub async fn run(self: &Rc<Self>, duration: Duration, load_percent: u64) -> CallerRecords {
        let engines = self.config.upstreams.iter().filter(|plan| plan.service == self.config.model).count();
        let capacity = engines as u64 * self.config.engine.prefill_tokens_per_s;
        let tokens_per_s = capacity as f64 * load_percent as f64 / 100.0;
        let rates = [
            tokens_per_s * (1.0 - LONG_SHARE) / SHORT_TOKENS as f64,
            tokens_per_s * LONG_SHARE / LONG_TOKENS as f64,
            PLAIN_PER_S,
            PLAIN_PER_S,
        ];
        let end = Instant::now() + duration;
        let arrivals = rates.iter().enumerate().map(|(kind, rate)| self.arrivals(kind, *rate, end));
        let callers: Vec<_> = futures::future::join_all(arrivals).await.into_iter().flatten().collect();
        futures::future::join_all(callers).await;
        self.records.take()
    }

    async fn arrivals(
        self: &Rc<Self>,
        kind: usize,
        rate: f64,
        end: Instant,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let mut callers = Vec::new();
        let mut at = Instant::now();
        loop {
            let draw: f64 = self.draw.borrow_mut().random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / rate);
            if at >= end {
                return callers;
            }
            tokio::time::sleep_until(at.into()).await;
            let load = Rc::clone(self);
            let number = callers.len();
            callers.push(actix_rt::spawn(async move {
                match kind {
                    0 => load.short(number).await,
                    1 => load.long().await,
                    2 => load.once(number).await,
                    _ => load.look_up(number).await,
                }
            }));
        }
    }

    async fn short(&self, number: usize) {
        let customer = self.customer();
        let tokens = self.range(SHORT_TOKENS / 2, SHORT_TOKENS * 3 / 2);
        let text = sized_text(&format!("question {number} of {customer}: "), tokens);
        self.send_prompt(PromptKind::Short, customer, text, 16).await;
    }

    async fn long(&self) {
        let context = usize::try_from(self.range(0, CONTEXTS as u64)).unwrap_or_default();
        let kind = if self.started_contexts.borrow_mut().insert(context) {
            PromptKind::LongFirst
        } else {
            PromptKind::LongReturn
        };
        let customer = self.config.customers[context_customer(context, self.config.customers.len())].clone();
        let tokens = LONG_TOKENS / 2 + (context as u64 * 7_919) % LONG_TOKENS;
        let text = sized_text(&format!("libretto {context} of {customer}: "), tokens);
        self.send_prompt(kind, customer, text, 32).await;
    }

    async fn send_prompt(&self, kind: PromptKind, customer: String, text: String, max_tokens: u32) {
        let Some((node, url)) = self.node() else { return };
        let token = DeploymentConfig::token(&customer);
        let call = PromptRequest {
            url: &url,
            token: &token,
            model: &self.config.model,
            prompt: &text,
            max_tokens,
            deadline: DEADLINE,
        };
        let outcome = prompt(&self.client, &call).await;
        let expected = crate::engine::expected_text(&text, u64::from(max_tokens));
        let is_right =
            if outcome.is_complete { outcome.text == expected } else { expected.starts_with(&outcome.text) };
        let prompt_digest = blake3::hash(text.as_bytes()).to_hex().to_string();
        let record = PromptRecord { kind, customer, node, prompt_digest, is_right, outcome };
        self.records.borrow_mut().prompts.push(record);
    }

    /// A cue, renewal or address change, which some callers send again through another node.
    async fn once(&self, number: usize) {
        let customer = self.customer();
        let sends = if self.draw.borrow_mut().random_bool(RESEND_SHARE) { 2 } else { 1 };
        let sends = (0..sends).map(|_| async {
            let Some((_, url)) = self.node() else { return };
            let token = DeploymentConfig::token(&customer);
            let outcome = call_once(&self.client, &url, &token, &self.config.plain, number).await;
            self.records.borrow_mut().once.push(outcome);
        });
        futures::future::join_all(sends).await;
    }

    async fn look_up(&self, number: usize) {
        let (customer, Some((_, url))) = (self.customer(), self.node()) else { return };
        let token = DeploymentConfig::token(&customer);
        let outcome = look_up(&self.client, &url, &token, &self.config.plain, number).await;
        self.records.borrow_mut().look_ups.push(outcome);
    }

    fn node(&self) -> Option<(String, String)> {
        let nodes = self.balancer.borrow();
        let index = self.draw.borrow_mut().random_range(0..nodes.len().max(1));
        nodes.get(index).cloned()
    }

    fn customer(&self) -> String {
        let mut draw = self.draw.borrow_mut();
        let (customers, large) = (&self.config.customers, draw.random_bool(LARGE_SHARE));
        let range = if large { 0..LARGE_CUSTOMERS } else { LARGE_CUSTOMERS..customers.len() };
        customers[draw.random_range(range)].clone()
    }

    fn range(&self, from: u64, to: u64) -> u64 {
        self.draw.borrow_mut().random_range(from..to)
    }
}

fn context_customer(context: usize, customers: usize) -> usize {
    // Seven of ten contexts belong to the large customers, as with other arrivals.
    if context % 10 < 7 {
        context % LARGE_CUSTOMERS
    } else {
        LARGE_CUSTOMERS + context % (customers - LARGE_CUSTOMERS)
    }
}

fn sized_text(head: &str, tokens: u64) -> String {
    let bytes = usize::try_from(tokens * 4).unwrap_or_default();
    let mut text = head.repeat(bytes / head.len() + 1);
    text.truncate(bytes);
    text
}
