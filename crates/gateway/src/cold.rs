//! Cold upstreams: their state at this node, and this node's share of the few requests that they tolerate.
//!
//! Handles upstreams that join or return while many entry nodes send, each of which would find them empty.

use std::{cell::Cell, rc::Rc, time::Duration};

use daisysill_core::{
    cold_start::{COLD_PERMIT_LIFETIME_MS, ColdStart, ColdState},
    rate_permits::RateDivision,
    rate_share::{Permit, RateShare},
};

use tokio::time::Instant;

use crate::{process_clock::ProcessClock, upstreams::Upstream};

/// Upstreams that are not listed and were marked as unknown are remembered for this time. The marks of services without cold upstreams
/// are never cleared by a list.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(30);

/// The limit of one service's cold upstreams.
#[derive(Clone, Debug)]
pub struct ColdRules {
    pub(crate) clock: Rc<ProcessClock>,
    /// Entry nodes that share the rate.
    pub(crate) nodes: u32,
    /// What is granted of the rate, and what the shares of all nodes add up to.
    pub(crate) division: RateDivision,
    /// How long an upstream is cold after its start.
    pub(crate) cold_start_ms: u64,
    /// Whether an upstream was left out since this node's share of it was used up.
    pub(crate) has_left_out: Cell<bool>,
}

/// What this node knows of one start of an upstream, and its share of the requests.
#[derive(Debug)]
pub struct ColdLimiter {
    start: Cell<Option<ColdStart>>,
    share: Cell<RateShare>,
    logged: Cell<ColdState>,
    /// When the upstream was last marked as unknown.
    marked_at: Cell<Option<Instant>>,
}

impl Default for ColdLimiter {
    fn default() -> Self {
        let share = RateShare::new(0, rand::random()).with_lifetime(COLD_PERMIT_LIFETIME_MS).beside_grants();
        Self {
            start: Cell::default(),
            share: Cell::new(share),
            logged: Cell::new(ColdState::Warm),
            marked_at: Cell::default(),
        }
    }
}

impl ColdLimiter {
    /// Records what a list read at `read_ms` says, see [`ColdStart::record_list`].
    pub(crate) fn record_list(&self, clock: &ProcessClock, read_ms: u64, left_ms: u64) {
        self.change(clock, |start| start.record_list(read_ms, left_ms));
    }

    /// Returns whether the upstream was recently marked as unknown, and no list that would show its state has been read since.
    pub(crate) fn is_recently_unknown(&self) -> bool {
        let is_recent = self.marked_at.get().is_some_and(|at| at.elapsed() < UNKNOWN_RETENTION);
        is_recent && self.start.get().is_some_and(|start| start.is_doubted())
    }

    /// Records that the upstream may have become cold.
    pub(crate) fn mark_unknown(&self, clock: &ProcessClock) {
        let now_ms = clock.now_ms();
        self.marked_at.set(Some(Instant::now()));
        self.change(clock, |start| start.mark_unknown(now_ms));
    }

    /// Returns the present state.
    pub(crate) fn state(&self, rules: &ColdRules) -> ColdState {
        let now_ms = rules.clock.now_ms();
        self.change(&rules.clock, |_| {}).state(now_ms, rules.cold_start_ms)
    }

    /// Returns the present state if it is another one than at the last call.
    pub(crate) fn changed_state(&self, rules: &ColdRules) -> Option<ColdState> {
        let state = self.state(rules);
        (self.logged.replace(state) != state).then_some(state)
    }

    /// Applies a change; an interruption of the process has made the state unknown before.
    fn change(&self, clock: &ProcessClock, change: impl FnOnce(&mut ColdStart)) -> ColdStart {
        let mut start = self.start.get().unwrap_or_else(|| ColdStart::new(clock.now_ms()));
        if let Some(interrupted_ms) = clock.interrupted_ms() {
            start.mark_unknown(interrupted_ms);
        }
        change(&mut start);
        self.start.set(Some(start));
        start
    }

    /// Calls `act` with the share and the present time.
    fn with_share<T>(&self, rules: &ColdRules, act: impl FnOnce(&mut RateShare, u64) -> T) -> T {
        let mut share = self.share.get();
        let result = act(&mut share, rules.clock.now_ms());
        self.share.set(share);
        result
    }
}

/// Returns whether an upstream gets only as many requests as a cold one.
pub(crate) fn is_limited(rules: Option<&ColdRules>, upstream: &Upstream) -> bool {
    rules.is_some_and(|rules| upstream.hints().cold.state(rules) != ColdState::Warm)
}

/// Returns the time until this node may send a request to an upstream because of its share; zero if the upstream is warm.
pub(crate) fn cold_wait(rules: Option<&ColdRules>, upstream: &Upstream) -> Duration {
    let Some(rules) = rules.filter(|rules| is_limited(Some(rules), upstream)) else { return Duration::ZERO };
    let wait_ms = upstream
        .hints()
        .cold
        .with_share(rules, |share, now_ms| share.wait_ms(now_ms, rules.division.shared_per_s, rules.nodes));
    rules.has_left_out.set(rules.has_left_out.get() || wait_ms > 0);
    Duration::from_millis(wait_ms)
}

/// The permission to send one request to an upstream that may be cold. A permit that is not used goes back to the share.
#[derive(Debug, Default)]
pub struct ColdPermit(Option<Limited>);

#[derive(Debug)]
struct Limited {
    gate: Rc<ColdLimiter>,
    rules: ColdRules,
    permit: Cell<Option<Permit>>,
}

impl ColdPermit {
    /// Takes a permit if the upstream counts as cold; `None` if none is due.
    pub(crate) fn take(rules: Option<&ColdRules>, upstream: &Upstream) -> Option<Self> {
        let Some(rules) = rules else { return Some(Self::default()) };
        let gate = Rc::clone(&upstream.hints().cold);
        let permit = if is_limited(Some(rules), upstream) {
            Some(gate.with_share(rules, |share, now_ms| {
                share.take(now_ms, rules.division.shared_per_s, rules.nodes)
            })?)
        } else {
            None
        };
        Some(Self(Some(Limited { gate, rules: rules.clone(), permit: Cell::new(permit) })))
    }

    /// Returns whether the request may be sent now, and uses the permit if the upstream counts as cold.
    pub(crate) fn try_use(&self) -> bool {
        let Some(Limited { gate, rules, permit }) = &self.0 else { return true };
        if gate.state(rules) == ColdState::Warm {
            return true;
        }
        let is_valid = |permit: Permit| {
            gate.with_share(rules, |share, now_ms| {
                share.is_valid(permit, now_ms, rules.division.shared_per_s, rules.nodes)
            })
        };
        permit.take().is_some_and(is_valid)
    }
}

impl Drop for Limited {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.gate.with_share(&self.rules, |share, _| share.give_back(permit));
        }
    }
}
