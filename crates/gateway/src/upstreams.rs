//! The upstreams as known to this node: the entries of the list, this node's load on them, and what its requests
//! showed of their state.

mod in_flight;
mod learned;

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use daisysill_core::ids::{ServiceName, WeightVersion, ZoneName};
use daisysill_wire::peer::{UpstreamEntry, UpstreamLoad};
use tokio::time::Instant;

use crate::{
    evacuation::Evacuations, hints::Hints, rejection_limit::RejectionLimit, service_speeds::ServiceSpeeds,
};

pub use in_flight::InFlight;
pub use learned::UpstreamEstimates;

/// Time constant of the exponential decay of failures.
const FAILURE_DECAY: Duration = Duration::from_secs(2);
/// Backoff after the first failed connection; doubled by each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Failed connections in a row up to which the backoff grows.
const MAX_BACKOFF_STEPS: u32 = 4;
/// Time after the backoff for which this node still reports an upstream as unreachable to the others, unless bytes
/// arrive from it.
const UNREACHABLE_REPORT_TIME: Duration = Duration::from_secs(1);
/// An upstream from which bytes arrived within this time is reachable, whatever other nodes report.
const ACTIVITY_WINDOW: Duration = Duration::from_millis(500);
/// Time after which an upstream that was replaced at its address, or had other weights than expected, is tried again.
const REPLACED_PAUSE: Duration = Duration::from_secs(5);
/// Maximum number of upstreams that are remembered although they are not listed.
const MAX_UNLISTED: usize = 256;
/// Maximum number of cached prefixes recorded for each upstream.
const MAX_CACHED_PREFIXES: usize = 128;

/// Identifies the shared prefix of a prompt within one cache scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// Derives the key from the cache scope and the IDs of the shared parts; equal on all nodes.
    pub fn of(scope: &str, shared_parts: &[&str]) -> Self {
        Self(stable_hash(&(scope, shared_parts)))
    }
}

/// Returns a hash that is equal in every process of one build.
pub(crate) fn stable_hash(value: &impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

/// An upstream of the list with the state that this node keeps of it.
#[derive(Debug)]
pub struct Upstream {
    /// The entry as last published.
    pub entry: UpstreamEntry,
    in_flight: Rc<Cell<u32>>,
    pending_prefill_tokens: Rc<Cell<u64>>,
    tokens: Rc<Cell<u64>>,
    /// Hash of the ID that identifies the upstream in load reports.
    pub tag: u64,
    /// Since when requests are in flight and no byte has arrived.
    waiting_since: Rc<Cell<Option<Instant>>>,
    /// The decaying number of failures and when it was last updated.
    failures: Cell<(f64, Option<Instant>)>,
    /// Number of failed connections in a row, and the end of the backoff.
    pub(crate) connect_failures: Cell<(u32, Option<Instant>)>,
    /// When bytes last arrived.
    pub(crate) last_active_at: Cell<Option<Instant>>,
    /// When another upstream, or one with other weights, last responded at its address.
    replaced_at: Cell<Option<Instant>>,
    /// Weight versions learned from responses, by model.
    learned_versions: RefCell<HashMap<String, WeightVersion>>,
    /// Cached prefixes with their length in tokens, the most recent one last.
    prefixes: RefCell<VecDeque<(PrefixKey, u64)>>,
    hints: Rc<Hints>,
    evacuations: Evacuations,
    learned: Rc<UpstreamEstimates>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, hints: Hints, evacuations: Evacuations) -> Self {
        Self {
            tag: stable_hash(&entry.id.as_str()),
            tokens: Rc::default(),
            entry,
            in_flight: Rc::default(),
            pending_prefill_tokens: Rc::default(),
            waiting_since: Rc::default(),
            failures: Cell::default(),
            connect_failures: Cell::default(),
            last_active_at: Cell::default(),
            replaced_at: Cell::default(),
            learned_versions: RefCell::default(),
            prefixes: RefCell::default(),
            hints: Rc::new(hints),
            evacuations,
            learned: Rc::default(),
        }
    }

    /// Returns what the upstream states about itself in its responses.
    pub fn hints(&self) -> &Hints {
        &self.hints
    }

    /// Returns the learned speed, and the work of this node's requests in flight.
    pub fn learned(&self) -> &UpstreamEstimates {
        &self.learned
    }

    /// Returns the number of this node's requests in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the maximum number of tokens that this node's requests occupy.
    pub fn tokens(&self) -> u64 {
        self.tokens.get()
    }

    /// Returns the number of prompt tokens of this node's requests that are yet to be prefilled.
    pub fn pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill_tokens.get()
    }

    /// Returns the number of recent failures, decayed over time.
    pub fn recent_failures(&self) -> f64 {
        let (weight, at) = self.failures.get();
        at.map_or(0.0, |at| weight * (-at.elapsed().as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp())
    }

    /// Returns how long requests have been in flight without a byte arriving; zero if none is in flight.
    pub fn silent_for(&self) -> Duration {
        self.waiting_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Records that bytes arrived, which ends a backoff.
    pub fn record_activity(&self) {
        let now = Instant::now();
        self.connect_failures.set((0, None));
        self.last_active_at.set(Some(now));
        self.waiting_since.set((self.in_flight.get() > 0).then_some(now));
    }

    /// Records a failed attempt.
    pub fn record_failure(&self) {
        self.failures.set((self.recent_failures() + 1.0, Some(Instant::now())));
    }

    /// Records a complete, successful response, which lowers the number of recent failures.
    pub fn record_success(&self) {
        let weight = self.recent_failures();
        if weight > 0.0 {
            self.failures.set((weight * 0.7, Some(Instant::now())));
        }
    }

    /// Records a failed connection, which starts or extends the backoff.
    pub fn record_unreachable(&self) {
        let (failures, _) = self.connect_failures.get();
        let failures = (failures + 1).min(MAX_BACKOFF_STEPS);
        let pause = INITIAL_BACKOFF * 2_u32.pow(failures - 1);
        self.connect_failures.set((failures, Some(Instant::now() + pause)));
    }

    /// Returns whether the upstream is in backoff after failed connections.
    pub fn is_unreachable(&self) -> bool {
        self.connect_failures.get().1.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether this node has no recent evidence of its own on the upstream's reachability.
    pub fn reachability_unknown(&self) -> bool {
        let is_active = self.last_active_at.get().is_some_and(|at| at.elapsed() < ACTIVITY_WINDOW);
        self.connect_failures.get().0 == 0 && !is_active
    }

    /// Returns whether this node reports the upstream as unreachable to other nodes.
    fn reports_unreachable(&self) -> bool {
        self.connect_failures.get().1.is_some_and(|until| Instant::now() < until + UNREACHABLE_REPORT_TIME)
    }

    /// Records that another upstream, or one with other weights, responded at this one's address. It gets no new requests until
    /// the list shows other weights of it, or for a pause: it may have gone to other weights and back in between.
    pub fn mark_replaced(&self) {
        self.replaced_at.set(Some(Instant::now()));
    }

    fn is_replaced(&self) -> bool {
        self.replaced_at.get().is_some_and(|at| at.elapsed() < REPLACED_PAUSE)
    }

    /// Returns whether new requests may be sent to the upstream, disregarding its capacity and reachability.
    pub fn accepts_requests(&self) -> bool {
        !self.entry.draining
            && !self.entry.loading
            && !self.is_replaced()
            && !self.hints.is_leaving()
            && !self.evacuations.contains(&self.entry.zone)
    }

    /// Returns the newest weight version of a model that the upstream is known to have.
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        let listed = self.entry.models.get(model).copied();
        listed.max(self.learned_versions.borrow().get(model).copied())
    }

    /// Records a weight version that the upstream has.
    pub fn record_version(&self, model: &str, version: WeightVersion) {
        if self.version_of(model).is_none_or(|known| known < version) {
            self.learned_versions.borrow_mut().insert(model.to_owned(), version);
        }
    }

    /// Returns the length of a prefix that this node's earlier requests left in the upstream's cache; 0 if none did.
    pub fn cached_tokens(&self, prefix: PrefixKey) -> u64 {
        self.prefixes.borrow().iter().find(|(known, _)| *known == prefix).map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that the upstream has a prefix in its cache; drops the oldest prefixes beyond its `memory_tokens`.
    pub fn record_prefix(&self, prefix: PrefixKey, tokens: u64, memory_tokens: u64) {
        let mut prefixes = self.prefixes.borrow_mut();
        prefixes.retain(|(known, _)| *known != prefix);
        prefixes.push_back((prefix, tokens));
        let mut total: u64 = prefixes.iter().map(|(_, tokens)| tokens).sum();
        while prefixes.len() > MAX_CACHED_PREFIXES || total > memory_tokens {
            let Some((_, tokens)) = prefixes.pop_front() else { return };
            total -= tokens;
        }
    }

    /// Returns the rank of this upstream for requests with a prefix; equal on all nodes.
    pub fn prefix_rank(&self, prefix: PrefixKey) -> u64 {
        stable_hash(&(prefix.0, self.entry.id.as_str()))
    }
}

/// All listed upstreams by service.
#[derive(Debug)]
pub struct Upstreams {
    /// Availability zone of this node.
    zone: ZoneName,
    /// Represents the zone in bit sets of zones; two zones may share a bit.
    zone_bit: u32,
    pub(crate) by_service: RefCell<HashMap<ServiceName, Vec<Rc<Upstream>>>>,
    /// Upstreams that restrict the requests that they get and are not listed now.
    unlisted: RefCell<Vec<Rc<Upstream>>>,
    speeds: RefCell<HashMap<ServiceName, Rc<ServiceSpeeds>>>,
    rejection_limits: RefCell<HashMap<ServiceName, Rc<RejectionLimit>>>,
    is_listed: Cell<bool>,
    evacuations: Evacuations,
}

impl Upstreams {
    /// Creates an empty list; `zone` is the availability zone of this node.
    pub fn new(zone: ZoneName) -> Self {
        let zone_bit = 1 << (stable_hash(&zone.as_str()) % u64::from(u32::BITS));
        Self {
            zone,
            zone_bit,
            by_service: RefCell::default(),
            unlisted: RefCell::default(),
            speeds: RefCell::default(),
            rejection_limits: RefCell::default(),
            is_listed: Cell::default(),
            evacuations: Evacuations::default(),
        }
    }

    /// Replaces the list, keeping the state of upstreams that are still listed with the same start time. Those that are no longer
    /// listed are remembered if they have restricted the requests that they get: a list may lack one for a time.
    pub fn replace(&self, entries: &[UpstreamEntry]) {
        self.is_listed.set(true);
        let mut by_service = self.by_service.borrow_mut();
        let mut unlisted = self.unlisted.borrow_mut();
        let old: HashMap<_, _> = unlisted
            .drain(..)
            .chain(by_service.drain().flat_map(|(_, upstreams)| upstreams))
            .map(|upstream| ((upstream.entry.id.clone(), upstream.entry.started_unix_ms), upstream))
            .collect();
        for entry in entries {
            let known = old.get(&(entry.id.clone(), entry.started_unix_ms));
            let upstream = match known {
                Some(known) if known.entry == *entry => Rc::clone(known),
                Some(known) => Rc::new(known.with_entry(entry.clone())),
                None => {
                    let hints = self.new_hints(&entry.service);
                    Rc::new(Upstream::new(entry.clone(), hints, self.evacuations.clone()))
                }
            };
            by_service.entry(entry.service.clone()).or_default().push(upstream);
        }
        let listed: HashSet<_> = entries.iter().map(|entry| (&entry.id, entry.started_unix_ms)).collect();
        let is_listed =
            |upstream: &Upstream| listed.contains(&(&upstream.entry.id, upstream.entry.started_unix_ms));
        let gone = old.into_values().filter(|upstream| !is_listed(upstream));
        unlisted.extend(gone.filter(|upstream| upstream.hints.restrict_requests()));
        // The last ones to start are the most likely to be listed again.
        unlisted.sort_by_key(|upstream| Reverse(upstream.entry.started_unix_ms));
        unlisted.truncate(MAX_UNLISTED);
    }

    /// Returns the upstreams of a service that accept requests.
    pub fn accepting(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let by_service = self.by_service.borrow();
        let all = by_service.get(service).into_iter().flatten();
        all.filter(|upstream| upstream.accepts_requests()).cloned().collect()
    }

    /// Returns the number of listed upstreams with these hints.
    pub fn count_by_hints(&self, is_counted: impl Fn(&Hints) -> bool) -> usize {
        self.count(|upstream| is_counted(upstream.hints()))
    }

    /// Returns the number of listed upstreams for which `is_counted` holds.
    pub(crate) fn count(&self, is_counted: impl Fn(&Upstream) -> bool) -> usize {
        let by_service = self.by_service.borrow();
        by_service.values().flatten().filter(|upstream| is_counted(upstream)).count()
    }

    /// Returns the hints of an upstream that has stated nothing yet.
    fn new_hints(&self, service: &ServiceName) -> Hints {
        let mut limits = self.rejection_limits.borrow_mut();
        Hints::new(Rc::clone(limits.entry(service.clone()).or_default()))
    }

    /// Returns the evacuated zones, whose upstreams accept no requests.
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether the list is known, empty or not.
    pub fn is_listed(&self) -> bool {
        self.is_listed.get()
    }

    /// Returns whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// Returns this node's load report: the upstreams with requests in flight and those reported as unreachable.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let by_service = self.by_service.borrow();
        let all = by_service.values().flatten();
        let reported = all.filter(|upstream| upstream.in_flight() > 0 || upstream.reports_unreachable());
        reported
            .map(|upstream| UpstreamLoad {
                upstream: upstream.tag,
                requests: upstream.in_flight(),
                tokens: upstream.tokens(),
                pending_prefill_tokens: upstream.pending_prefill_tokens(),
                unreachable_from: if upstream.reports_unreachable() { self.zone_bit } else { 0 },
            })
            .collect()
    }

    /// Returns whether other nodes in this zone reported an upstream as unreachable.
    pub fn is_reported_unreachable(&self, report: &UpstreamLoad) -> bool {
        report.unreachable_from & self.zone_bit != 0
    }

    /// Returns the addresses of all listed upstreams.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        self.by_service.borrow().values().flatten().map(|upstream| upstream.entry.address).collect()
    }

    /// Returns whether an upstream is in the availability zone of this node.
    pub fn in_own_zone(&self, upstream: &Upstream) -> bool {
        upstream.entry.zone == self.zone
    }

    /// Returns the speeds of a service, which its samples update.
    pub fn speeds(&self, service: &ServiceName) -> Rc<ServiceSpeeds> {
        if let Some(speeds) = self.speeds.borrow().get(service) {
            return Rc::clone(speeds);
        }
        Rc::clone(self.speeds.borrow_mut().entry(service.clone()).or_default())
    }
}

impl Upstream {
    /// Returns this upstream with a newer entry. Its load is shared with the old one, whose requests are still counted.
    fn with_entry(&self, entry: UpstreamEntry) -> Self {
        // A request may have been refused for weights that the list did not show yet.
        let replaced_at = self.replaced_at.get().filter(|_| entry.models == self.entry.models);
        let mut learned_versions = self.learned_versions.borrow().clone();
        // The leader has read from its report that it went back to older weights.
        learned_versions.retain(|model, _| entry.models.get(model) >= self.entry.models.get(model));
        Self {
            tag: self.tag,
            tokens: Rc::clone(&self.tokens),
            entry,
            in_flight: Rc::clone(&self.in_flight),
            pending_prefill_tokens: Rc::clone(&self.pending_prefill_tokens),
            waiting_since: Rc::clone(&self.waiting_since),
            failures: Cell::new(self.failures.get()),
            connect_failures: Cell::new(self.connect_failures.get()),
            last_active_at: Cell::new(self.last_active_at.get()),
            replaced_at: Cell::new(replaced_at),
            learned_versions: RefCell::new(learned_versions),
            prefixes: RefCell::new(self.prefixes.borrow().clone()),
            hints: Rc::clone(&self.hints),
            evacuations: self.evacuations.clone(),
            learned: Rc::clone(&self.learned),
        }
    }
}
