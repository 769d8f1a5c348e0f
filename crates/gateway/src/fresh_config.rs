//! Requests that wait until this node can prove again that its configuration is recent enough.

use std::{cell::Cell, time::Duration};

use daisysill_core::{config_wait::ConfigWait, result_code::ResultCode};
use tokio::time::{Instant, sleep};

use crate::{admission::Admitted, duration::millis, forward::Gateway, refusal::Refusal};

/// Interval at which a waiting request checks the configuration.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What is known about a request before it is admitted.
pub(crate) struct Arrival<'a> {
    pub(crate) arrived: Instant,
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
    pub(crate) key: Option<&'a str>,
    /// Time until its deadline as its caller states it.
    pub(crate) deadline_ms: Option<u64>,
}

/// Counts a waiting request until it is dropped.
struct WaitingRequest<'a>(&'a Cell<usize>);

impl<'a> WaitingRequest<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Gateway {
    /// Admits a request, after a wait for a fresh configuration if this node has been out of contact for a short time.
    pub(crate) async fn admit_when_fresh(&self, arrival: &Arrival<'_>) -> Result<Admitted, Refusal> {
        let admitted = self.admit(arrival.host, arrival.path, arrival.key);
        match &admitted {
            Err(refusal) if refusal.code == ResultCode::NoQuorum => {}
            Ok(_) | Err(_) => return admitted,
        }
        if !self.wait_until_fresh(arrival).await {
            return admitted;
        }
        self.admit(arrival.host, arrival.path, arrival.key)
    }

    /// Waits until the routing table is fresh; `false` if that takes too long or would not help.
    async fn wait_until_fresh(&self, arrival: &Arrival<'_>) -> bool {
        let Some(limit_ms) = self.config_wait(arrival).and_then(|wait| wait.limit_ms()) else {
            return false;
        };
        let limit = arrival.arrived + Duration::from_millis(limit_ms);
        let _waiting = WaitingRequest::new(&self.config_waits);
        self.metrics.waits_for_config.inc();
        while Instant::now() < limit {
            sleep(CHECK_INTERVAL).await;
            if self.confirmed_table().is_some_and(|confirmed| self.is_fresh(&confirmed)) {
                return true;
            }
        }
        false
    }

    /// Returns what the wait depends on; `None` without a routing table.
    fn config_wait(&self, arrival: &Arrival<'_>) -> Option<ConfigWait> {
        let confirmed = self.confirmed_table()?;
        let route = confirmed.table.route(arrival.host, arrival.path);
        let route_ms = route.map_or(u64::MAX, |route| route.timeout_ms);
        Some(ConfigWait {
            config_age_ms: confirmed.age().map(millis),
            max_config_age_ms: millis(self.bounds.max_config_age),
            uptime_ms: self.now_ms(),
            waiting: self.config_waits.get(),
            deadline_ms: arrival.deadline_ms.unwrap_or(u64::MAX).min(route_ms),
        })
    }
}
