//! The state of an upstream, combined from every source that says something about it.
//!
//! The chart file defines the states. This module turns observations into its events: a leaving sign from
//! any source holds until that source takes it back or the upstream restarts.

use std::collections::BTreeSet;

use crate::{
    chart::{Chart, ChartError},
    view::UpstreamState,
};

value_types! {
    /// Who says that an upstream is leaving.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum LeavingSource {
        /// The platform's list.
        List,
        /// A drain mark of an operator.
        Drain,
        /// The upstream itself, by refusing work.
        Refusal,
        /// Another node that was refused.
        Peer,
    }
}

/// What a node has learned about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The platform lists it.
    Listed {
        /// Whether the list says that it is leaving.
        leaving: bool,
    },
    /// The platform no longer lists it.
    Unlisted,
    /// It has a drain mark, or no longer has one.
    Drain(bool),
    /// It refused work because it is leaving.
    RefusedLeaving,
    /// Another node was refused because it is leaving.
    PeerRefused,
    /// It answered a ping.
    PingOk {
        /// Changes when it restarts.
        incarnation: u64,
    },
    /// It missed a ping, or refused a connection.
    PingFailed,
    /// An established connection made no progress.
    ConnectionSilent,
    /// A connection opened after a silent one works.
    NewConnectionOk,
    /// A connection opened after a silent one fails too.
    NewConnectionFailed,
}

/// A change of state with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivenessChange {
    /// The state before.
    pub from: String,
    /// The state now.
    pub to: String,
    /// One line for the log and `daisysill explain`.
    pub reason: String,
}

/// One upstream's state as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    state: String,
    signs: BTreeSet<LeavingSource>,
    incarnation: Option<u64>,
    silent: bool,
}

impl Default for Liveness {
    fn default() -> Self {
        Self { state: "unknown".to_owned(), signs: BTreeSet::new(), incarnation: None, silent: false }
    }
}

impl Liveness {
    /// Returns the chart's state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns who says that the upstream is leaving.
    pub fn leaving_sources(&self) -> &BTreeSet<LeavingSource> {
        &self.signs
    }

    /// Returns the state as decisions use it.
    pub fn upstream_state(&self) -> UpstreamState {
        match self.state.as_str() {
            "live" => UpstreamState::Live,
            "suspect" => UpstreamState::Suspect,
            "leaving" => UpstreamState::Leaving,
            _ => UpstreamState::Down,
        }
    }

    /// Takes an observation; an event that the chart does not declare is an error for the caller to count.
    ///
    /// ```
    /// use daisysill_core::{chart::{Chart, UPSTREAM_CHART}, liveness::{Liveness, Observation}};
    /// let chart = Chart::parse(UPSTREAM_CHART)?;
    /// let mut liveness = Liveness::default();
    /// liveness.observe(&chart, Observation::Listed { leaving: false })?;
    /// let change = liveness.observe(&chart, Observation::RefusedLeaving)?;
    /// assert_eq!(change.unwrap().to, "leaving");
    /// # Ok::<(), daisysill_core::chart::ChartError>(())
    /// ```
    pub fn observe(
        &mut self,
        chart: &Chart,
        observation: Observation,
    ) -> Result<Option<LivenessChange>, ChartError> {
        let Some(event) = self.event_for(observation) else { return Ok(None) };
        let next = chart.next(&self.state, event)?.to_owned();
        if next == self.state {
            return Ok(None);
        }
        let reason = format!("{} -> {next} on {event}; leaving by {:?}", self.state, self.signs);
        let from = std::mem::replace(&mut self.state, next.clone());
        Ok(Some(LivenessChange { from, to: next, reason }))
    }

    /// Updates the signs and returns the chart's event, if the observation is one.
    fn event_for(&mut self, observation: Observation) -> Option<&'static str> {
        match observation {
            Observation::Listed { leaving: true } => Some(self.sign(LeavingSource::List, "listed_leaving")),
            Observation::Listed { leaving: false } => Some(self.unsign(LeavingSource::List, "listed")),
            Observation::Unlisted => {
                // An instance that is listed again under the same name is a new one, but a drain mark stays.
                self.signs.retain(|sign| *sign == LeavingSource::Drain);
                self.silent = false;
                Some("removed")
            }
            Observation::Drain(true) => Some(self.sign(LeavingSource::Drain, "drain_marked")),
            Observation::Drain(false) if self.signs.contains(&LeavingSource::Drain) => {
                Some(self.unsign(LeavingSource::Drain, "drain_cleared"))
            }
            Observation::Drain(false) => None,
            Observation::RefusedLeaving => Some(self.sign(LeavingSource::Refusal, "refused")),
            Observation::PeerRefused => Some(self.sign(LeavingSource::Peer, "refused")),
            Observation::PingOk { incarnation } => Some(self.ping_ok(incarnation)),
            Observation::PingFailed => Some("ping_failed"),
            Observation::ConnectionSilent => {
                self.silent = true;
                None
            }
            Observation::NewConnectionOk => {
                self.silent = false;
                None
            }
            Observation::NewConnectionFailed => std::mem::take(&mut self.silent).then_some("ping_failed"),
        }
    }

    fn sign(&mut self, sign: LeavingSource, event: &'static str) -> &'static str {
        self.signs.insert(sign);
        event
    }

    /// Takes a sign back; the upstream takes work again only if no other source says that it is leaving.
    fn unsign(&mut self, sign: LeavingSource, event: &'static str) -> &'static str {
        let was_leaving = self.signs.remove(&sign);
        match (was_leaving, self.signs.is_empty()) {
            (true, true) => "drain_cleared",
            (_, false) => "listed_leaving",
            (false, true) => event,
        }
    }

    fn ping_ok(&mut self, incarnation: u64) -> &'static str {
        let restarted = self.incarnation.is_some_and(|known| known != incarnation);
        self.incarnation = Some(incarnation);
        if !restarted {
            return "ping_ok";
        }
        // A refusal came from the process that has ended; the list and drain marks outlive it.
        let refused = self.signs.remove(&LeavingSource::Refusal) | self.signs.remove(&LeavingSource::Peer);
        if refused && self.signs.is_empty() { "restarted" } else { "ping_ok" }
    }
}
