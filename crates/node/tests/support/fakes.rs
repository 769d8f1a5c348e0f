//! Fakes that implement the traits by which a node reaches upstreams, the platform and the agreed state.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Mutex,
    time::Duration,
};

use daisysill_cluster::ProposeError;
use daisysill_control::{
    command::{Command, Reply},
    state::AgreedState,
};
use daisysill_node::{
    proposer::CommandProposer,
    upstream_api::{
        AttemptError, AttemptResult, Engine, EngineStream, PlainRequest, PlainResponse, PlainService,
        Platform, Store,
    },
};
use daisysill_wire::http_types::{
    CacheEvents, EngineEvent, EngineLoad, EngineOrder, EngineRequest, ExportReply, ExportRequest,
    ImportReply, ImportRequest, InstanceKind, InstanceState, PlatformInstance, PlatformList, StoreUsage,
    StoredBlock, Usage,
};
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, LocalBoxFuture, pending},
    stream,
};
use tokio::time::Instant;

/// Applies commands to a state in memory; each proposal takes the next fault, if there is one.
#[derive(Default)]
pub struct FakeProposer {
    pub state: Mutex<AgreedState>,
    pub faults: Mutex<VecDeque<Fault>>,
    pub proposed: Mutex<Vec<Command>>,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    /// The command is committed, but its reply is lost.
    ReplyLost,
    /// The command is committed, but no reply arrives.
    NoReply,
    /// The command is not committed.
    NotCommitted,
    /// The process is suspended for this long before it sees the reply.
    Suspended(Duration),
}

impl CommandProposer for FakeProposer {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Reply, ProposeError>> {
        async move {
            let fault = self.faults.lock().unwrap().pop_front().unwrap_or(Fault::None);
            self.proposed.lock().unwrap().push(command.clone());
            if matches!(fault, Fault::NotCommitted) {
                return Err(ProposeError::NotCommitted);
            }
            let reply = {
                let mut state = self.state.lock().unwrap();
                let index = state.applied_index + 1;
                state.apply(index, 0, &command)
            };
            match fault {
                Fault::ReplyLost => Err(ProposeError::Uncertain),
                Fault::NoReply => pending().await,
                Fault::Suspended(time) => {
                    tokio::time::advance(time).await;
                    Ok(reply)
                }
                _ => Ok(reply),
            }
        }
        .boxed()
    }
}

/// A plain service that responds after a delay; counts the requests started and finished.
#[derive(Default)]
pub struct FakePlain {
    pub delay: Cell<Duration>,
    pub started: Cell<u32>,
    pub finished: Cell<u32>,
    pub response_bytes: Cell<usize>,
    pub unreachable: Cell<bool>,
    pub errors: RefCell<VecDeque<AttemptError>>,
}

impl FakePlain {
    async fn run(&self, deadline: Option<Instant>) -> AttemptResult<PlainResponse> {
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(AttemptError::TooLate);
        }
        if let Some(error) = self.errors.borrow_mut().pop_front() {
            return Err(error);
        }
        self.started.set(self.started.get() + 1);
        tokio::time::sleep(self.delay.get()).await;
        self.finished.set(self.finished.get() + 1);
        let body = format!("run {}{}", self.finished.get(), " ".repeat(self.response_bytes.get()));
        Ok(PlainResponse { status: 200, headers: Vec::new(), body: body.into() })
    }
}

impl PlainService for FakePlain {
    fn send<'a>(
        &'a self,
        _: &'a str,
        _: &'a PlainRequest,
        _: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        self.run(None).boxed_local()
    }

    fn ping<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>> {
        let result = if self.unreachable.get() {
            Err(AttemptError::NotSent("unreachable".to_owned()))
        } else {
            Ok(())
        };
        futures::future::ready(result).boxed_local()
    }

    fn send_before<'a>(
        &'a self,
        _: &'a str,
        _: &'a PlainRequest,
        _: &'a str,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, AttemptResult<PlainResponse>> {
        self.run(Some(deadline)).boxed_local()
    }
}

/// One step of the script of a fake engine's stream.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the token with this index, for the current attempt or for the one given.
    Token(u64, Option<&'static str>),
    /// Sends the event that ends the stream, after this many tokens.
    Finish(u64),
    /// Sends nothing for this long.
    Silence(Duration),
    /// Breaks the connection.
    Cut,
    /// As the first step: refuses the attempt before it runs, as a full engine does.
    Refuse,
    /// As [`Self::Refuse`], and asks for a pause of this many milliseconds.
    RefuseFor(u64),
}

/// All engines of the node: each attempt, at whichever engine, plays the next script.
#[derive(Default)]
pub struct FakeEngine {
    pub scripts: RefCell<VecDeque<Vec<Step>>>,
    pub attempts: RefCell<Vec<(String, EngineRequest)>>,
    pub cancelled: RefCell<Vec<String>>,
    pub imports: RefCell<Vec<ImportRequest>>,
    pub import_replies: RefCell<VecDeque<AttemptResult<ImportReply>>>,
    pub import_delay: Cell<Duration>,
    pub exports: RefCell<Vec<ExportRequest>>,
    /// Time before the stream of an attempt starts.
    pub start_delay: Cell<Duration>,
    pub load_delay: Cell<Duration>,
    pub concurrent_loads: Cell<u32>,
    pub max_concurrent_loads: Cell<u32>,
    pub unreachable: Cell<bool>,
    pub incarnation: Cell<u64>,
    /// Steps that the node has read, over all streams.
    pub pulled: Rc<Cell<u64>>,
    pub cache: RefCell<Option<CacheEvents>>,
    pub orders: RefCell<Vec<(String, EngineOrder)>>,
}

impl Engine for FakeEngine {
    fn generate<'a>(
        &'a self,
        url: &'a str,
        request: &'a EngineRequest,
        _: &'a str,
    ) -> LocalBoxFuture<'a, AttemptResult<EngineStream>> {
        async move {
            self.attempts.borrow_mut().push((url.to_owned(), request.clone()));
            tokio::time::sleep(self.start_delay.get()).await;
            let script = self.scripts.borrow_mut().pop_front().unwrap_or_default();
            if let Some(refusal) = refusal(&script) {
                return Err(refusal);
            }
            let (id, pulled) = (request.attempt_id.clone(), Rc::clone(&self.pulled));
            let events =
                stream::iter(script).filter_map(move |step| play(step, id.clone(), Rc::clone(&pulled)));
            Ok(events.boxed_local())
        }
        .boxed_local()
    }

    fn cancel<'a>(&'a self, _: &'a str, id: &'a str) -> LocalBoxFuture<'a, AttemptResult<()>> {
        self.cancelled.borrow_mut().push(id.to_owned());
        futures::future::ready(Ok(())).boxed_local()
    }

    fn load<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, AttemptResult<EngineLoad>> {
        async move {
            self.concurrent_loads.set(self.concurrent_loads.get() + 1);
            self.max_concurrent_loads.set(self.max_concurrent_loads.get().max(self.concurrent_loads.get()));
            tokio::time::sleep(self.load_delay.get()).await;
            self.concurrent_loads.set(self.concurrent_loads.get() - 1);
            if self.unreachable.get() {
                return Err(AttemptError::NotSent("unreachable".to_owned()));
            }
            Ok(EngineLoad {
                incarnation: self.incarnation.get(),
                prefill_tokens_per_s: 10_000,
                queue_tokens: 0,
                report_age_ms: 0,
                running: 0,
                weight_version: 1,
            })
        }
        .boxed_local()
    }

    fn cache_events<'a>(&'a self, _: &'a str, _: u64) -> LocalBoxFuture<'a, AttemptResult<CacheEvents>> {
        let events = self.cache.borrow_mut().take();
        let events = events.ok_or_else(|| AttemptError::NotSent("none".to_owned()));
        futures::future::ready(events).boxed_local()
    }

    fn export<'a>(
        &'a self,
        _: &'a str,
        request: &'a ExportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ExportReply>> {
        self.exports.borrow_mut().push(request.clone());
        let block = |name: &String| StoredBlock {
            name: name.clone(),
            generation: request.generation,
            length_bytes: 10,
            checksum: 1,
        };
        let blocks = request.pieces.iter().map(block).collect();
        futures::future::ready(Ok(ExportReply { blocks })).boxed_local()
    }

    fn import<'a>(
        &'a self,
        _: &'a str,
        request: &'a ImportRequest,
    ) -> LocalBoxFuture<'a, AttemptResult<ImportReply>> {
        async move {
            self.imports.borrow_mut().push(request.clone());
            tokio::time::sleep(self.import_delay.get()).await;
            let reply = self.import_replies.borrow_mut().pop_front();
            reply.unwrap_or_else(|| Err(AttemptError::Failed("no import".to_owned())))
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, url: &'a str, order: &'a EngineOrder) -> LocalBoxFuture<'a, AttemptResult<()>> {
        self.orders.borrow_mut().push((url.to_owned(), order.clone()));
        futures::future::ready(Ok(())).boxed_local()
    }
}

/// Returns the event of a step, with `id` as its attempt; counts the step in `pulled`.
async fn play(step: Step, id: String, pulled: Rc<Cell<u64>>) -> Option<AttemptResult<EngineEvent>> {
    let event = |attempt_id: String, token_index| EngineEvent {
        attempt_id,
        finish_reason: None,
        text: format!("t{token_index} "),
        token_index,
        usage: None,
    };
    pulled.set(pulled.get() + 1);
    match step {
        Step::Token(index, None) => Some(Ok(event(id, index))),
        Step::Token(index, Some(other)) => {
            Some(Ok(EngineEvent { text: format!("x{index} "), ..event(other.to_owned(), index) }))
        }
        Step::Finish(tokens) => Some(Ok(EngineEvent {
            finish_reason: Some("stop".to_owned()),
            usage: Some(Usage {
                prompt_tokens: 1,
                completion_tokens: tokens,
                total_tokens: tokens + 1,
                cached_tokens: None,
            }),
            ..event(id, tokens)
        })),
        Step::Silence(time) => {
            tokio::time::sleep(time).await;
            None
        }
        Step::Cut => Some(Err(AttemptError::Failed("cut".to_owned()))),
        Step::Refuse | Step::RefuseFor(_) => None,
    }
}

/// Returns the refusal with which a script begins.
fn refusal(script: &[Step]) -> Option<AttemptError> {
    let retry_after_ms = match script.first()? {
        Step::Refuse => None,
        Step::RefuseFor(retry_after_ms) => Some(*retry_after_ms),
        _ => return None,
    };
    Some(AttemptError::Refused { message: "status 503".to_owned(), leaving: false, retry_after_ms })
}

/// A platform whose list a test can change.
#[derive(Default)]
pub struct FakePlatform {
    pub instances: RefCell<Vec<PlatformInstance>>,
}

impl FakePlatform {
    pub fn add(&self, kind: InstanceKind, service: &str, id: &str) {
        self.instances.borrow_mut().push(PlatformInstance {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            availability_zone: "bkk-sathorn".to_owned(),
            url: format!("http://{id}"),
            state: InstanceState::Live,
        });
    }
}

impl Platform for FakePlatform {
    fn instances<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>> {
        let instances = self.instances.borrow().clone();
        futures::future::ready(Ok(PlatformList { instances })).boxed_local()
    }
}

/// A store with free space; records the blocks that are freed, with their generations.
#[derive(Default)]
pub struct FakeStore {
    pub freed: RefCell<Vec<(String, u64)>>,
}

impl Store for FakeStore {
    fn usage<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, AttemptResult<StoreUsage>> {
        let usage = StoreUsage {
            disk_bytes: 0,
            disk_limit_bytes: 1_000_000,
            link_bytes_per_s: 1_000_000,
            memory_bytes: 0,
            memory_limit_bytes: 1_000_000,
        };
        futures::future::ready(Ok(usage)).boxed_local()
    }

    fn free<'a>(
        &'a self,
        _: &'a str,
        name: &'a str,
        generation: u64,
    ) -> LocalBoxFuture<'a, AttemptResult<()>> {
        self.freed.borrow_mut().push((name.to_owned(), generation));
        futures::future::ready(Ok(())).boxed_local()
    }
}
