//! Permits that the leader grants to this node for upstreams with a rate limit: cold ones, and ones that name a limit.
//!
//! A grant is used before the equal share of the node. Handles limited upstreams whose callers are at few of many entry nodes.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use daisysill_core::rate_permits::{Grant, Granted, HeldGrants, MIN_ASK_INTERVAL_MS};
use daisysill_wire::peer::{PermitRequest, PermitRequests, UpstreamStart};
use rand::seq::SliceRandom;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    cold::{ColdPermit, ColdRules, cold_wait, is_limited},
    forward::Gateway,
    process_clock::ProcessClock,
    upstreams::Upstream,
};

/// For this time after a choice left an upstream out, permits for it are asked for.
const NEED_LIFETIME_MS: u64 = 200;
/// The same while requests wait, which are not placed again meanwhile.
const WAITING_NEED_LIFETIME_MS: u64 = 2_000;
/// Time between two requests to the leader while no request waits.
const IDLE_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without requests to the leader after one that failed; doubled by each further one.
const FAILURE_PAUSE_MS: u64 = 50;
/// Failures in a row up to which the pause grows.
const MAX_PAUSE_STEPS: u32 = 5;
/// After this many failures in a row, requests don't wait for grants. The pauses up to then add up to 350 ms, in which a leader that is
/// asked for the first time acquires its lease.
const MAX_AWAITED_FAILURES: u32 = 4;
/// Longest retry-after time of a request that a grant would admit: a new leader begins to grant within this time.
const MAX_GRANT_RETRY: Duration = Duration::from_secs(2);
/// Maximum number of permits that this node needs at a time.
const MAX_NEEDED: u32 = 64;
/// Expected time until the leader has answered.
const ANSWER_TIME_MS: u64 = 5;

/// The permits of this node for one start of an upstream.
#[derive(Debug, Default)]
pub struct UpstreamPermits {
    grants: RefCell<HeldGrants>,
    need: Cell<Option<Need>>,
}

/// A choice left out the upstream because this node had no permit for it.
#[derive(Clone, Copy, Debug)]
struct Need {
    at_ms: u64,
    /// The rate that may be granted to all nodes together.
    granted_per_s: f64,
}

/// What all upstreams' permits of this node have in common.
#[derive(Debug, Default)]
pub(crate) struct PermitDemand {
    /// Choices that left out an upstream since the last request to the leader.
    choices: Cell<u32>,
    /// Requests that wait for a permit.
    waiting: Cell<u32>,
    /// Notified when permits are needed.
    needed: Notify,
    /// Notified once for each permit that is granted.
    granted: Notify,
    last_number: Cell<u64>,
    /// Requests to the leader in a row that failed.
    failures: Cell<u32>,
    /// Until then the leader is not asked.
    paused_until_ms: Cell<u64>,
}

impl PermitDemand {
    /// Returns the time for which the leader is not asked.
    const fn pause_ms(&self, now_ms: u64) -> u64 {
        self.paused_until_ms.get().saturating_sub(now_ms)
    }
}

/// Time until an upstream may get a request, because of limits and pauses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitWait {
    /// The earliest time at which this node may have a permit, granted or of its share.
    pub(crate) earliest: Duration,
    /// The time until the share has a permit and no pause is on.
    pub(crate) share: Duration,
    /// Whether the share is not sufficient now.
    needs_grant: bool,
}

impl LimitWait {
    /// Creates the wait for a time that a grant does not shorten.
    const fn fixed(time: Duration) -> Self {
        Self { earliest: time, share: time, needs_grant: false }
    }

    /// Returns the time after which the caller of a refused request should come back. Grants begin again by then if the leader
    /// was lost; the share alone may take minutes.
    pub(crate) fn retry(self) -> Duration {
        if self.needs_grant { self.earliest.min(MAX_GRANT_RETRY) } else { self.earliest }
    }

    /// Returns the shorter one of each time.
    fn min(self, other: Self) -> Self {
        Self {
            earliest: self.earliest.min(other.earliest),
            share: self.share.min(other.share),
            needs_grant: self.needs_grant || other.needs_grant,
        }
    }
}

/// The permission to send one request to an upstream.
#[derive(Debug, Default)]
pub(crate) struct SendPermit {
    cold: ColdPermit,
    granted: Option<TakenGrant>,
}

#[derive(Debug)]
struct TakenGrant {
    upstream: Rc<Upstream>,
    rules: Option<ColdRules>,
    clock: Rc<ProcessClock>,
    grant: Cell<Option<Grant>>,
}

impl SendPermit {
    /// Takes a permit if the upstream has a limit; `None` if none is due.
    pub(crate) fn take(
        clock: &Rc<ProcessClock>,
        rules: Option<&ColdRules>,
        upstream: &Rc<Upstream>,
        nodes: u32,
    ) -> Option<Self> {
        let hints = upstream.hints();
        if has_limit(rules, upstream)
            && let Some(grant) = hints.permits.grants.borrow_mut().take(clock.now_ms())
        {
            let (upstream, clock) = (Rc::clone(upstream), Rc::clone(clock));
            let granted =
                TakenGrant { upstream, rules: rules.cloned(), clock, grant: Cell::new(Some(grant)) };
            return Some(Self { granted: Some(granted), cold: ColdPermit::default() });
        }
        let cold = ColdPermit::take(rules, upstream)?;
        hints.rate_limit.try_take(nodes).then_some(Self { cold, granted: None })
    }

    /// Returns whether the request may be sent now, and uses the permit if the upstream has a limit.
    pub(crate) fn try_use(&self) -> bool {
        let Some(TakenGrant { upstream, rules, clock, grant }) = &self.granted else {
            return self.cold.try_use();
        };
        !has_limit(rules.as_ref(), upstream)
            || grant.take().is_some_and(|grant| grant.is_valid(clock.now_ms()))
    }
}

impl Drop for TakenGrant {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.upstream.hints().permits.grants.borrow_mut().give_back(grant);
        }
    }
}

/// Returns whether an upstream is cold or names a limit.
pub(crate) fn has_limit(rules: Option<&ColdRules>, upstream: &Upstream) -> bool {
    upstream.hints().rate_limit.per_s().is_some() || is_limited(rules, upstream)
}

impl UpstreamPermits {
    /// Drops expired grants; returns their number.
    pub(crate) fn remove_expired(&self, clock: &ProcessClock) -> usize {
        self.grants.borrow_mut().remove_expired(clock.now_ms())
    }

    /// Returns the need if it is recent.
    fn need(&self, now_ms: u64, lifetime_ms: u64) -> Option<Need> {
        self.need.get().filter(|need| now_ms.saturating_sub(need.at_ms) <= lifetime_ms)
    }
}

impl Gateway {
    /// Returns the time until this node, one of `nodes`, may send a request to an upstream. If its share is not sufficient now,
    /// permits will be asked for.
    fn limit_wait(&self, rules: Option<&ColdRules>, upstream: &Upstream, nodes: u32) -> LimitWait {
        let hints = upstream.hints();
        let pause = hints.pause.left();
        if !has_limit(rules, upstream) {
            return LimitWait::fixed(pause);
        }
        let now_ms = self.process_clock.now_ms();
        if hints.permits.grants.borrow().has_valid(now_ms) {
            return LimitWait::fixed(pause);
        }
        let share = hints.wait(nodes).max(cold_wait(rules, upstream));
        if share.is_zero() || !pause.is_zero() {
            return LimitWait::fixed(share);
        }
        let cold_per_s =
            rules.filter(|_| is_limited(rules, upstream)).map(|rules| rules.division.granted_per_s);
        let granted_per_s =
            hints.rate_limit.granted_per_s().into_iter().chain(cold_per_s).fold(f64::INFINITY, f64::min);
        hints.permits.need.set(Some(Need { at_ms: now_ms, granted_per_s }));
        let grant_wait = if self.permits.failures.get() < MAX_AWAITED_FAILURES {
            let ask_wait_ms = hints.permits.grants.borrow().ask_wait_ms(now_ms);
            Duration::from_millis(ask_wait_ms.max(self.permits.pause_ms(now_ms)) + ANSWER_TIME_MS)
        } else {
            Duration::MAX
        };
        LimitWait { earliest: share.min(grant_wait), share, needs_grant: true }
    }

    /// Leaves out the upstreams that may get no request of this node now; returns the shortest wait of those.
    pub(crate) fn retain_admitting(
        &self,
        upstreams: &mut Vec<Rc<Upstream>>,
        rules: Option<&ColdRules>,
        nodes: u32,
    ) -> Option<LimitWait> {
        let mut shortest: Option<LimitWait> = None;
        upstreams.retain(|upstream| {
            let wait = self.limit_wait(rules, upstream, nodes);
            if wait.earliest.is_zero() {
                return true;
            }
            shortest = Some(shortest.map_or(wait, |known| known.min(wait)));
            false
        });
        if shortest.is_some_and(|wait| wait.needs_grant) {
            let demand = &self.permits;
            demand.choices.set((demand.choices.get() + 1).min(MAX_NEEDED));
            demand.needed.notify_one();
        }
        shortest
    }

    /// Waits until a permit is granted, for `limit` at most.
    pub(crate) async fn wait_for_grant(&self, limit: Duration) {
        let _waiting = CountedWait::new(&self.permits.waiting);
        self.permits.needed.notify_one();
        // The choice that follows tells whether a permit is left.
        let _ = timeout(limit, self.permits.granted.notified()).await;
    }

    /// Asks the leader for permits that are needed and may be asked for; returns when to go on, `None` if none is needed.
    async fn ask_for_permits(&self) -> Option<Duration> {
        let demand = &self.permits;
        let now_ms = self.process_clock.now_ms();
        let pause_ms = demand.pause_ms(now_ms);
        if pause_ms > 0 {
            return Some(Duration::from_millis(pause_ms));
        }
        let waiting = demand.waiting.get();
        let wanted = demand.choices.get().max(waiting).min(MAX_NEEDED);
        if wanted == 0 {
            return None;
        }
        let lifetime_ms = if waiting > 0 { WAITING_NEED_LIFETIME_MS } else { NEED_LIFETIME_MS };
        let mut needed: Vec<(Rc<Upstream>, Need)> = Vec::new();
        let mut next_ms = None;
        for upstream in self.upstreams.by_service.borrow().values().flatten() {
            let permits = &upstream.hints().permits;
            let Some(need) = permits.need(now_ms, lifetime_ms) else { continue };
            match permits.grants.borrow().ask_wait_ms(now_ms) {
                0 if upstream.accepts_requests() => needed.push((Rc::clone(upstream), need)),
                wait_ms => next_ms = Some(next_ms.unwrap_or(u64::MAX).min(wait_ms)),
            }
        }
        if next_ms.is_none() || !needed.is_empty() {
            demand.choices.set(0);
        }
        if needed.is_empty() {
            return next_ms.map(Duration::from_millis);
        }
        needed.shuffle(&mut rand::rng());
        needed.truncate(wanted as usize);
        let each = wanted.div_ceil(u32::try_from(needed.len()).unwrap_or(u32::MAX));
        self.ask_leader(&needed, each).await;
        Some(if demand.waiting.get() > 0 { Duration::ZERO } else { IDLE_ASK_INTERVAL })
    }

    /// Asks the leader for `each` permits for each of the upstreams, and records the answer.
    async fn ask_leader(&self, needed: &[(Rc<Upstream>, Need)], each: u32) {
        let demand = &self.permits;
        let number = demand.last_number.get() + 1;
        demand.last_number.set(number);
        let asked_ms = self.process_clock.now_ms();
        let upstreams = needed.iter().map(|(upstream, need)| {
            upstream.hints().permits.grants.borrow_mut().record_ask(asked_ms, number);
            let (id, started_unix_ms) = (upstream.entry.id.clone(), upstream.entry.started_unix_ms);
            // A rate is at most some thousands per second.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let granted_per_1000_s = (need.granted_per_s * 1_000.0) as u64;
            PermitRequest { start: UpstreamStart { id, started_unix_ms }, granted_per_1000_s, wanted: each }
        });
        let requests = PermitRequests { number, upstreams: upstreams.collect() };
        let answer = self.cluster.ask_permits(requests).await;
        let now_ms = self.process_clock.now_ms();
        let Some(answer) = answer else {
            let pause_ms = FAILURE_PAUSE_MS << demand.failures.get().min(MAX_PAUSE_STEPS);
            demand.failures.set(demand.failures.get().saturating_add(1));
            demand.paused_until_ms.set(now_ms + pause_ms);
            if demand.failures.get() >= MAX_AWAITED_FAILURES {
                // Those that wait for a grant only are refused now.
                demand.granted.notify_waiters();
            }
            for (upstream, _) in needed {
                upstream.hints().permits.grants.borrow_mut().record_failure(now_ms, number, pause_ms);
            }
            return;
        };
        demand.failures.set(0);
        for ((upstream, _), grant) in needed.iter().zip(answer.upstreams) {
            let granted = Granted { permits: grant.permits, retry_ms: grant.retry_ms };
            let usable =
                upstream.hints().permits.grants.borrow_mut().record_answer(now_ms, answer.number, granted);
            for _ in 0..usable {
                demand.granted.notify_one();
                self.wake_waiting();
            }
        }
    }

    /// Counts and drops grants that have expired.
    pub(crate) fn drop_expired_permits(&self) {
        let expired: usize = (self.upstreams.by_service.borrow().values().flatten())
            .map(|upstream| upstream.hints().permits.remove_expired(&self.process_clock))
            .sum();
        self.metrics.permits_expired.inc_by(expired as u64);
    }
}

/// Asks the leader for permits whenever requests need them.
pub(crate) async fn follow_permit_needs(gateway: Rc<Gateway>) {
    let min_pause = Duration::from_millis(MIN_ASK_INTERVAL_MS);
    loop {
        let Some(pause) = gateway.ask_for_permits().await else {
            gateway.permits.needed.notified().await;
            continue;
        };
        sleep(min_pause).await;
        let _ = timeout(pause.saturating_sub(min_pause), gateway.permits.needed.notified()).await;
    }
}

/// Counts a request while it waits.
struct CountedWait<'a>(&'a Cell<u32>);

impl<'a> CountedWait<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountedWait<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
