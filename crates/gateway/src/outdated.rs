//! For how long the weights of an engine have been outdated.

use std::time::Duration;

/// The state of an engine whose weights a newer version has replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedWeights {
    /// Time since the first newer version was set, suspended time included; `None` while this node does not know it.
    pub age: Option<Duration>,
}

impl OutdatedWeights {
    /// Returns whether the weights have been outdated for at least this time. If this is not known they count as that: the
    /// node may have just started.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisysill_gateway::outdated::OutdatedWeights;
    /// let outdated = OutdatedWeights { age: Some(Duration::from_secs(2)) };
    /// assert!(outdated.lasts(Duration::from_secs(2)) && !outdated.lasts(Duration::from_secs(3)));
    /// assert!(OutdatedWeights { age: None }.lasts(Duration::from_secs(3)));
    /// ```
    pub fn lasts(&self, limit: Duration) -> bool {
        self.age.is_none_or(|age| age >= limit)
    }

    /// Returns the time until the weights have been outdated for `limit`; zero if they have.
    pub fn time_until(&self, limit: Duration) -> Duration {
        self.age.map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }
}
