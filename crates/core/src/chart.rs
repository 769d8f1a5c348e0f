//! State charts, read from INI files and interpreted.

use std::collections::BTreeMap;

use ini::Ini;

/// Life cycle of a request on the node that received it.
pub const REQUEST_CHART: &str = include_str!("../charts/request.ini");
/// Life cycle of an upstream as one node sees it.
pub const UPSTREAM_CHART: &str = include_str!("../charts/upstream.ini");
/// Life cycle of a daisysill process.
pub const ROLE_CHART: &str = include_str!("../charts/role.ini");

/// Life cycle of a node in the replicated log: outside, learner, voter, and what follows a failed write.
pub const VOTER_CHART: &str = include_str!("../charts/voter.ini");

/// A set of states and the transitions between them.
#[derive(Clone, Debug)]
pub struct Chart {
    /// Next state by state and event.
    transitions: BTreeMap<String, BTreeMap<String, String>>,
}

/// Why a chart does not parse, or why an event has no transition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not valid INI.
    Syntax(String),
    /// A transition leads to a state without a section.
    UnknownTarget {
        /// The state the transition starts from.
        state: String,
        /// The event of the transition.
        event: String,
        /// The state that has no section.
        target: String,
    },
    /// The state is unknown or does not declare the event.
    UndeclaredEvent {
        /// The current state.
        state: String,
        /// The event that arrived.
        event: String,
    },
}

impl std::fmt::Display for ChartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Syntax(text) => write!(f, "state chart is not valid INI: {text}"),
            Self::UnknownTarget { state, event, target } => {
                write!(f, "state {state:?}, event {event:?}: state {target:?} has no section")
            }
            Self::UndeclaredEvent { state, event } => {
                write!(f, "state {state:?} does not declare event {event:?}")
            }
        }
    }
}

impl std::error::Error for ChartError {}

impl Chart {
    /// Parses a chart; fails if a transition leads to a state without a section.
    ///
    /// ```
    /// use daisysill_core::chart::{Chart, ROLE_CHART};
    /// let chart = Chart::parse(ROLE_CHART)?;
    /// assert_eq!(chart.next("ready", "stop")?, "draining");
    /// # Ok::<(), daisysill_core::chart::ChartError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let ini = Ini::load_from_str(text).map_err(|e| ChartError::Syntax(e.to_string()))?;
        let mut transitions = BTreeMap::new();
        for (section, properties) in &ini {
            let Some(state) = section else { continue };
            let events = properties.iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
            transitions.insert(state.to_owned(), events);
        }
        let chart = Self { transitions };
        chart.check_targets()?;
        Ok(chart)
    }

    /// Returns the state that follows when `event` arrives in `state`.
    pub fn next(&self, state: &str, event: &str) -> Result<&str, ChartError> {
        let target = self.transitions.get(state).and_then(|events| events.get(event));
        target
            .map(String::as_str)
            .ok_or_else(|| ChartError::UndeclaredEvent { state: state.to_owned(), event: event.to_owned() })
    }

    /// Iterates over the transitions as (state, event, next state).
    pub fn transitions(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        self.transitions.iter().flat_map(|(state, events)| {
            events.iter().map(move |(event, next)| (state.as_str(), event.as_str(), next.as_str()))
        })
    }

    fn check_targets(&self) -> Result<(), ChartError> {
        for (state, event, target) in self.transitions() {
            if !self.transitions.contains_key(target) {
                return Err(ChartError::UnknownTarget {
                    state: state.to_owned(),
                    event: event.to_owned(),
                    target: target.to_owned(),
                });
            }
        }
        Ok(())
    }
}
