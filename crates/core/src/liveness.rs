//! The state of an upstream as one node sees it, combined from all sources.
//!
//! The state chart defines the states; this module turns observations into its events. An upstream counts as leaving
//! while any source reports it so. The platform's list and drain marks hold until they are withdrawn, a refusal until
//! the upstream restarts.

use std::collections::BTreeSet;

use crate::{
    chart::{Chart, ChartError},
    view::UpstreamState,
};

value_types! {
    /// Who reports that an upstream is leaving.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum LeavingSource {
        /// The platform's list.
        List,
        /// An operator's drain mark.
        Drain,
        /// The upstream itself, by a refusal to this node.
        Refusal,
        /// The upstream itself, by a refusal to another node.
        Peer,
    }
}

/// Something that a node has learned about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The platform's list contains it.
    Listed {
        /// Whether the list says that it is leaving.
        leaving: bool,
    },
    /// The platform's list no longer contains it.
    Unlisted,
    /// It has a drain mark, or no longer has one.
    Drain(bool),
    /// It refused this node because it is leaving.
    RefusedLeaving,
    /// It refused another node because it is leaving.
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
    /// A connection opened after a silent one succeeded.
    NewConnectionOk,
    /// A connection opened after a silent one failed too.
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

/// The state of one upstream; `unknown` until the first observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    state: String,
    leaving_sources: BTreeSet<LeavingSource>,
    incarnation: Option<u64>,
    /// Whether a connection went silent and no newer one has been tried since.
    silent: bool,
}

impl Default for Liveness {
    fn default() -> Self {
        Self {
            state: "unknown".to_owned(),
            leaving_sources: BTreeSet::new(),
            incarnation: None,
            silent: false,
        }
    }
}

impl Liveness {
    /// Returns the state of the chart.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns who reports the upstream as leaving.
    pub fn leaving_sources(&self) -> &BTreeSet<LeavingSource> {
        &self.leaving_sources
    }

    /// Returns the state that routing uses; chart states without an equivalent count as down.
    pub fn upstream_state(&self) -> UpstreamState {
        match self.state.as_str() {
            "live" => UpstreamState::Live,
            "suspect" => UpstreamState::Suspect,
            "leaving" => UpstreamState::Leaving,
            _ => UpstreamState::Down,
        }
    }

    /// Applies an observation and returns the change of state, if any. If the chart does not declare the event in the
    /// current state, returns an error for the caller to count.
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
        let reason = format!("{} -> {next} on {event}; leaving by {:?}", self.state, self.leaving_sources);
        let from = std::mem::replace(&mut self.state, next.clone());
        Ok(Some(LivenessChange { from, to: next, reason }))
    }

    /// Updates the leaving sources and returns the chart's event, if the observation is one.
    fn event_for(&mut self, observation: Observation) -> Option<&'static str> {
        match observation {
            Observation::Listed { leaving: true } => {
                Some(self.add_source(LeavingSource::List, "listed_leaving"))
            }
            Observation::Listed { leaving: false } => Some(self.remove_source(LeavingSource::List, "listed")),
            Observation::Unlisted => {
                // An instance listed again under the same name is a new one, but a drain mark stays.
                self.leaving_sources.retain(|source| *source == LeavingSource::Drain);
                self.silent = false;
                Some("removed")
            }
            Observation::Drain(true) => Some(self.add_source(LeavingSource::Drain, "drain_marked")),
            Observation::Drain(false) if self.leaving_sources.contains(&LeavingSource::Drain) => {
                Some(self.remove_source(LeavingSource::Drain, "drain_cleared"))
            }
            Observation::Drain(false) => None,
            Observation::RefusedLeaving => Some(self.add_source(LeavingSource::Refusal, "refused")),
            Observation::PeerRefused => Some(self.add_source(LeavingSource::Peer, "refused")),
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

    fn add_source(&mut self, source: LeavingSource, event: &'static str) -> &'static str {
        self.leaving_sources.insert(source);
        event
    }

    /// Removes a source; the upstream takes work again only if no other one reports it as leaving.
    fn remove_source(&mut self, source: LeavingSource, event: &'static str) -> &'static str {
        let was_leaving = self.leaving_sources.remove(&source);
        match (was_leaving, self.leaving_sources.is_empty()) {
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
        // Refusals came from the former process; the list and drain marks apply to the new one too.
        let refused = self.leaving_sources.remove(&LeavingSource::Refusal)
            | self.leaving_sources.remove(&LeavingSource::Peer);
        if refused && self.leaving_sources.is_empty() { "restarted" } else { "ping_ok" }
    }
}
