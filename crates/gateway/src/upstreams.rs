//! What this node knows of the upstreams: the list, and what it has in flight there.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use daisysill_core::ids::{ServiceName, WeightVersion, ZoneName};
use daisysill_wire::peer::{UpstreamEntry, UpstreamLoad};
use tokio::{sync::Notify, time::Instant};

/// Time in which the weight of a failure falls to about a third.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Pause after the first connection that failed; doubled by each further one, up to so many times.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF_STEPS: u32 = 4;
/// After the pause for an upstream, this node tells the others for so long that it could not reach it, unless it tries
/// again before.
const UNREACHABLE_MEMORY: Duration = Duration::from_secs(1);
/// An upstream that was heard within this time is in reach, whatever other nodes say.
const HEARD_MEMORY: Duration = Duration::from_millis(500);
/// Sessions remembered for each upstream.
const REMEMBERED_SESSIONS: usize = 128;
/// The share of a new sample in a running mean.
const SAMPLE_SHARE: f64 = 0.1;

/// Identifies the shared parts of a prompt under one cache scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// Derives the key; equal on all nodes.
    pub fn of(scope: &str, shared_parts: &[&str]) -> Self {
        Self(stable_hash(&(scope, shared_parts)))
    }
}

/// Hashes equally in every process of one build.
pub(crate) fn stable_hash(value: &impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The entry of the list.
    pub entry: UpstreamEntry,
    in_flight: Rc<Cell<u32>>,
    pending_prefill_tokens: Rc<Cell<u64>>,
    tokens: Rc<Cell<u64>>,
    /// Names the upstream among nodes.
    pub tag: u64,
    /// Since when something is awaited from the upstream and nothing has come.
    waiting_since: Rc<Cell<Option<Instant>>>,
    failures: Cell<(f64, Option<Instant>)>,
    /// Connections that failed in a row, and until when no other is tried.
    unreachable: Cell<(u32, Option<Instant>)>,
    /// When bytes came from it last.
    heard_at: Cell<Option<Instant>>,
    /// Whether another upstream answers at its address.
    gone: Cell<bool>,
    learned_versions: RefCell<HashMap<String, WeightVersion>>,
    sessions: RefCell<VecDeque<(SessionKey, u64)>>,
}

impl Upstream {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            tag: stable_hash(&entry.id.as_str()),
            tokens: Rc::default(),
            entry,
            in_flight: Rc::default(),
            pending_prefill_tokens: Rc::default(),
            waiting_since: Rc::default(),
            failures: Cell::default(),
            unreachable: Cell::default(),
            heard_at: Cell::default(),
            gone: Cell::default(),
            learned_versions: RefCell::default(),
            sessions: RefCell::default(),
        }
    }

    /// Returns the requests of this node in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the tokens that this node's requests take there at most.
    pub fn tokens(&self) -> u64 {
        self.tokens.get()
    }

    /// Returns the prompt tokens of this node's requests that have had no answer yet.
    pub fn pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill_tokens.get()
    }

    /// Returns the weight of the failures lately.
    pub fn recent_failures(&self) -> f64 {
        let (weight, at) = self.failures.get();
        at.map_or(0.0, |at| weight * (-at.elapsed().as_secs_f64() / FAILURE_MEMORY.as_secs_f64()).exp())
    }

    /// Returns how long something has been awaited from the upstream without any byte coming.
    pub fn silent_for(&self) -> Duration {
        self.waiting_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Notes that bytes came from the upstream.
    pub fn heard(&self) {
        let now = Instant::now();
        self.unreachable.set((0, None));
        self.heard_at.set(Some(now));
        self.waiting_since.set((self.in_flight.get() > 0).then_some(now));
    }

    /// Notes a failure.
    pub fn failed(&self) {
        self.failures.set((self.recent_failures() + 1.0, Some(Instant::now())));
    }

    /// Notes a good answer.
    pub fn succeeded(&self) {
        let weight = self.recent_failures();
        if weight > 0.0 {
            self.failures.set((weight * 0.7, Some(Instant::now())));
        }
    }

    /// Notes that no connection could be made; no new work goes there for a while, longer each time.
    pub fn unreachable(&self) {
        let (failures, _) = self.unreachable.get();
        let failures = (failures + 1).min(MAX_BACKOFF_STEPS);
        let pause = FIRST_BACKOFF * 2_u32.pow(failures - 1);
        self.unreachable.set((failures, Some(Instant::now() + pause)));
    }

    /// Returns whether the upstream could not be reached lately.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get().1.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether this node has nothing of its own to say on whether the upstream is in reach.
    pub fn is_unheard(&self) -> bool {
        let heard_lately = self.heard_at.get().is_some_and(|at| at.elapsed() < HEARD_MEMORY);
        self.unreachable.get().0 == 0 && !heard_lately
    }

    /// Returns whether other nodes are told that it is out of reach.
    fn tells_unreachable(&self) -> bool {
        self.unreachable.get().1.is_some_and(|until| Instant::now() < until + UNREACHABLE_MEMORY)
    }

    /// Notes that another upstream answers at this one's address.
    pub fn set_gone(&self) {
        self.gone.set(true);
    }

    /// Returns whether new work may go there.
    pub fn takes_work(&self) -> bool {
        !self.entry.draining && !self.entry.loading && !self.gone.get()
    }

    /// Returns the weight version that it has, as far as known.
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        let listed = self.entry.models.get(model).copied();
        listed.max(self.learned_versions.borrow().get(model).copied())
    }

    /// Notes the weight version that an answer named.
    pub fn learn_version(&self, model: &str, version: WeightVersion) {
        if self.version_of(model).is_none_or(|known| known < version) {
            self.learned_versions.borrow_mut().insert(model.to_owned(), version);
        }
    }

    /// Returns how many tokens of a session this node has sent there before.
    pub fn cached_tokens(&self, session: SessionKey) -> u64 {
        self.sessions.borrow().iter().find(|(known, _)| *known == session).map_or(0, |(_, tokens)| *tokens)
    }

    /// Notes that the upstream has read a session.
    pub fn remember_session(&self, session: SessionKey, tokens: u64, memory_tokens: u64) {
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|(known, _)| *known != session);
        sessions.push_back((session, tokens));
        let mut total: u64 = sessions.iter().map(|(_, tokens)| tokens).sum();
        while sessions.len() > REMEMBERED_SESSIONS || total > memory_tokens {
            let Some((_, tokens)) = sessions.pop_front() else { return };
            total -= tokens;
        }
    }

    /// Returns the rank of this upstream for a session, equal on all nodes.
    pub fn session_rank(&self, session: SessionKey) -> u64 {
        stable_hash(&(session.0, self.entry.id.as_str()))
    }
}

/// Counts a request at its upstream while it exists.
#[derive(Debug)]
pub struct InFlight {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    pending_prefill_tokens: u64,
    tokens: u64,
    released: Rc<Notify>,
}

impl InFlight {
    /// Starts to count a request with this many prompt tokens to read, which takes `tokens` at most. `released` is
    /// told when it ends.
    pub fn new(
        upstream: Rc<Upstream>,
        pending_prefill_tokens: u64,
        tokens: u64,
        released: Rc<Notify>,
    ) -> Self {
        if upstream.in_flight.get() == 0 {
            upstream.waiting_since.set(Some(Instant::now()));
        }
        upstream.in_flight.set(upstream.in_flight.get() + 1);
        upstream.pending_prefill_tokens.set(upstream.pending_prefill_tokens.get() + pending_prefill_tokens);
        upstream.tokens.set(upstream.tokens.get() + tokens);
        Self { upstream, pending_prefill_tokens, tokens, released }
    }

    /// Notes that the prompt was read.
    pub fn prompt_was_read(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.upstream
            .pending_prefill_tokens
            .set(self.upstream.pending_prefill_tokens.get().saturating_sub(tokens));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_was_read();
        self.upstream.tokens.set(self.upstream.tokens.get().saturating_sub(self.tokens));
        self.released.notify_one();
        let left = self.upstream.in_flight.get().saturating_sub(1);
        self.upstream.in_flight.set(left);
        if left == 0 {
            self.upstream.waiting_since.set(None);
        }
    }
}

/// Speeds of a service, learned from its answers.
#[derive(Debug)]
pub struct Speeds {
    /// Prompt tokens that an upstream reads in a millisecond.
    pub tokens_per_ms: Cell<f64>,
    /// Time that a request takes.
    pub request_ms: Cell<f64>,
}

impl Default for Speeds {
    /// Starts with speeds of common hardware; the first answers correct them.
    fn default() -> Self {
        Self { tokens_per_ms: Cell::new(60.0), request_ms: Cell::new(60.0) }
    }
}

impl Speeds {
    /// Notes how long a request took.
    pub fn finished(&self, took: Duration) {
        mix(&self.request_ms, took.as_secs_f64() * 1_000.0);
    }

    /// Notes how long an upstream took to read a prompt.
    pub fn read(&self, tokens: u64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        if took_ms > 0.0 {
            mix(&self.tokens_per_ms, tokens as f64 / took_ms);
        }
    }
}

fn mix(mean: &Cell<f64>, sample: f64) {
    mean.set(mean.get() * (1.0 - SAMPLE_SHARE) + sample * SAMPLE_SHARE);
}

/// All upstreams.
#[derive(Debug)]
pub struct Upstreams {
    zone: ZoneName,
    /// Stands for the zone in sets of zones.
    zone_bit: u32,
    by_service: RefCell<HashMap<ServiceName, Vec<Rc<Upstream>>>>,
    speeds: RefCell<HashMap<ServiceName, Rc<Speeds>>>,
}

impl Upstreams {
    /// Starts without upstreams. `zone` is the availability zone of this node.
    pub fn new(zone: ZoneName) -> Self {
        let zone_bit = 1 << (stable_hash(&zone.as_str()) % u64::from(u32::BITS));
        Self { zone, zone_bit, by_service: RefCell::default(), speeds: RefCell::default() }
    }

    /// Replaces the list; what is known of upstreams that stay is kept.
    pub fn replace(&self, entries: &[UpstreamEntry]) {
        let mut by_service = self.by_service.borrow_mut();
        let old: HashMap<_, _> = by_service
            .drain()
            .flat_map(|(_, upstreams)| upstreams)
            .map(|upstream| ((upstream.entry.id.clone(), upstream.entry.started_unix_ms), upstream))
            .collect();
        for entry in entries {
            let known = old.get(&(entry.id.clone(), entry.started_unix_ms));
            let upstream = match known {
                Some(known) if known.entry == *entry => Rc::clone(known),
                Some(known) => Rc::new(known.with_entry(entry.clone())),
                None => Rc::new(Upstream::new(entry.clone())),
            };
            by_service.entry(entry.service.clone()).or_default().push(upstream);
        }
    }

    /// Returns the upstreams of a service that take work.
    pub fn of(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let by_service = self.by_service.borrow();
        let all = by_service.get(service).into_iter().flatten();
        all.filter(|upstream| upstream.takes_work()).cloned().collect()
    }

    /// Returns whether the list has any upstream.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// Returns this node's work in flight.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let by_service = self.by_service.borrow();
        let all = by_service.values().flatten();
        let told = all.filter(|upstream| upstream.in_flight() > 0 || upstream.tells_unreachable());
        told.map(|upstream| UpstreamLoad {
            upstream: upstream.tag,
            requests: upstream.in_flight(),
            tokens: upstream.tokens(),
            pending_prefill_tokens: upstream.pending_prefill_tokens(),
            unreachable_from: if upstream.tells_unreachable() { self.zone_bit } else { 0 },
        })
        .collect()
    }

    /// Returns whether other nodes of this zone could not reach an upstream, given what they tell.
    pub fn is_told_unreachable(&self, told: &UpstreamLoad) -> bool {
        told.unreachable_from & self.zone_bit != 0
    }

    /// Returns the addresses of all upstreams.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        self.by_service.borrow().values().flatten().map(|upstream| upstream.entry.address).collect()
    }

    /// Returns whether an upstream is in the availability zone of this node.
    pub fn is_near(&self, upstream: &Upstream) -> bool {
        upstream.entry.zone == self.zone
    }

    /// Returns the speeds of a service.
    pub fn speeds(&self, service: &ServiceName) -> Rc<Speeds> {
        if let Some(speeds) = self.speeds.borrow().get(service) {
            return Rc::clone(speeds);
        }
        Rc::clone(self.speeds.borrow_mut().entry(service.clone()).or_default())
    }
}

impl Upstream {
    /// Returns this upstream with a newer entry; the counts are shared with the old one.
    fn with_entry(&self, entry: UpstreamEntry) -> Self {
        Self {
            tag: self.tag,
            tokens: Rc::clone(&self.tokens),
            entry,
            in_flight: Rc::clone(&self.in_flight),
            pending_prefill_tokens: Rc::clone(&self.pending_prefill_tokens),
            waiting_since: Rc::clone(&self.waiting_since),
            failures: Cell::new(self.failures.get()),
            unreachable: Cell::new(self.unreachable.get()),
            heard_at: Cell::new(self.heard_at.get()),
            gone: Cell::new(self.gone.get()),
            learned_versions: RefCell::new(self.learned_versions.borrow().clone()),
            sessions: RefCell::new(self.sessions.borrow().clone()),
        }
    }
}
