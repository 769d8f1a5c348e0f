//! Watches whether this node reaches the upstreams: gathers what its requests show, and connects to some upstreams
//! while there is a sign that it does not.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::Duration,
};

use daisysill_core::{
    ids::ZoneName,
    upstream_contact::{Observation, Reach, UpstreamContact},
    zone_reachability::ZoneReachability,
};
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep};

use crate::{
    connection::UpstreamConnection,
    duration::millis,
    forward::Gateway,
    upstreams::{Upstream, Upstreams},
};

/// Interval at which the node judges how it reaches the upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an upstream to accept the connection of a probe; the same as for a request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How this node reaches the upstreams, as last judged.
#[derive(Debug)]
pub(crate) struct Contact {
    evidence: RefCell<UpstreamContact>,
    reach: Cell<Reach>,
    changed_at: Cell<Instant>,
    /// Whether another entry node is known, to which requests can be passed on.
    has_peers: Rc<Cell<bool>>,
}

impl Default for Contact {
    fn default() -> Self {
        Self {
            evidence: RefCell::default(),
            reach: Cell::default(),
            changed_at: Cell::new(Instant::now()),
            has_peers: Rc::default(),
        }
    }
}

impl Contact {
    /// Returns how this node reaches the upstreams.
    pub(crate) fn reach(&self) -> Reach {
        self.reach.get()
    }

    /// Returns whether another entry node is known.
    pub(crate) fn has_peers(&self) -> bool {
        self.has_peers.get()
    }

    /// Returns where it is recorded whether another entry node is known.
    pub(crate) fn peers_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.has_peers)
    }

    /// Returns whether requests may open connections to upstreams. While connections fail, requests that need one are
    /// passed on at once, and probes show when upstreams can be reached again.
    pub(crate) fn may_connect(&self) -> bool {
        self.reach.get() == Reach::InTouch || !self.has_peers.get()
    }

    /// Returns for how long that has been so.
    pub(crate) fn unchanged_for(&self) -> Duration {
        self.changed_at.get().elapsed()
    }

    /// Records that an upstream did not accept a connection.
    pub(crate) fn record_failure(&self, upstream: &Upstream, now_ms: u64) {
        let entry = &upstream.entry;
        self.evidence.borrow_mut().record_failure(&entry.id, &entry.zone, now_ms);
    }

    /// Records that an upstream accepted a connection.
    pub(crate) fn record_connected(&self) {
        self.evidence.borrow_mut().record_connected();
    }

    /// Judges how this node reaches the upstreams, and logs a change.
    fn judge(&self, seen: &Observation, now_ms: u64) {
        let mut evidence = self.evidence.borrow_mut();
        let reach = evidence.reach(seen, now_ms);
        let before = self.reach.replace(reach);
        if reach == before {
            return;
        }
        tracing::info!(
            event = "upstream_contact",
            reach = reach.name(),
            before = before.name(),
            before_ms = millis(self.unchanged_for()),
            failed_upstreams = evidence.failed_upstreams(),
            upstreams = seen.upstreams,
            zones = seen.zones,
            silent_ms = seen.silent_ms,
            longest_wait_ms = seen.longest_wait_ms,
        );
        self.changed_at.set(Instant::now());
    }

    /// Returns the upstreams to probe now: random ones, those first of which no connection failed recently.
    fn choose_probes(&self, upstreams: &Upstreams, seen: &Observation, now_ms: u64) -> Vec<Rc<Upstream>> {
        let mut evidence = self.evidence.borrow_mut();
        let count = evidence.probes_due(seen, now_ms);
        if count == 0 {
            return Vec::new();
        }
        let mut listed = upstreams.all();
        listed.shuffle(&mut rand::rng());
        listed.sort_by_key(|upstream| {
            let entry = &upstream.entry;
            (evidence.has_failed_in(&entry.zone), evidence.has_failed(&entry.id))
        });
        one_of_each_zone_first(listed).into_iter().take(count).collect()
    }
}

/// Moves the first upstream of each zone to the front.
fn one_of_each_zone_first(upstreams: Vec<Rc<Upstream>>) -> Vec<Rc<Upstream>> {
    let mut zones: HashSet<ZoneName> = HashSet::new();
    let (mut first, rest): (Vec<_>, Vec<_>) =
        upstreams.into_iter().partition(|upstream| zones.insert(upstream.entry.zone.clone()));
    first.extend(rest);
    first
}

/// Judges how this node reaches the upstreams until the task is aborted.
pub(crate) async fn watch_contact(gateway: Rc<Gateway>) {
    let metrics = &gateway.metrics;
    loop {
        sleep(CHECK_INTERVAL).await;
        let seen = gateway.upstreams.observe();
        let now_ms = gateway.now_ms();
        let was_in_touch = gateway.contact.reach() == Reach::InTouch;
        gateway.contact.judge(&seen, now_ms);
        let is_in_touch = gateway.contact.reach() == Reach::InTouch;
        if is_in_touch && !was_in_touch {
            gateway.forget_failed_connections();
        }
        metrics.lost_upstream_contact.set(i64::from(!is_in_touch));
        for upstream in gateway.contact.choose_probes(&gateway.upstreams, &seen, now_ms) {
            actix_rt::spawn(probe(Rc::clone(&gateway), upstream));
        }
    }
}

/// Connects to an upstream, and closes the connection at once.
async fn probe(gateway: Rc<Gateway>, upstream: Rc<Upstream>) {
    if UpstreamConnection::connect(upstream.entry.address, PROBE_TIMEOUT).await.is_ok() {
        gateway.metrics.record_probe("connected");
        gateway.contact.record_connected();
    } else {
        gateway.metrics.record_probe("failed");
        gateway.contact.record_failure(&upstream, gateway.now_ms());
    }
}

impl Gateway {
    /// Ends the backoff of upstreams and zones after this node's own links have failed.
    fn forget_failed_connections(&self) {
        for upstream in self.upstreams.all() {
            upstream.connect_failures.set((0, None));
        }
        *self.zone_reachability.borrow_mut() = ZoneReachability::default();
    }
}

impl Upstreams {
    /// Returns all listed upstreams.
    fn all(&self) -> Vec<Rc<Upstream>> {
        self.by_service.borrow().values().flatten().cloned().collect()
    }

    /// Returns what this node observes of all upstreams.
    fn observe(&self) -> Observation {
        let by_service = self.by_service.borrow();
        let mut zones: HashSet<&ZoneName> = HashSet::new();
        let mut last_active_at = None;
        let mut longest_wait = Duration::ZERO;
        let mut upstreams = 0;
        for upstream in by_service.values().flatten() {
            upstreams += 1;
            zones.insert(&upstream.entry.zone);
            last_active_at = last_active_at.max(upstream.last_active_at.get());
            longest_wait = longest_wait.max(upstream.silent_for());
        }
        Observation {
            upstreams,
            zones: zones.len(),
            silent_ms: last_active_at.map(|at| millis(at.elapsed())),
            longest_wait_ms: millis(longest_wait),
        }
    }
}
