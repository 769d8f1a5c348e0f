//! Pauses of upstreams that refused a request, after which they may be asked for it again.

use std::{collections::BTreeMap, time::Duration};

use daisysill_core::ids::InstanceId;
use tokio::time::Instant;

/// Shortest pause after the first refusal; doubles with each further one, so that an upstream is asked few times until the
/// deadline.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Limit on the exponent of the pauses.
const MAX_DOUBLINGS: u32 = 10;

/// The upstreams that refused a request without leaving.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPauses {
    pauses: BTreeMap<InstanceId, Pause>,
}

#[derive(Debug, Default)]
struct Pause {
    refusals: u32,
    /// `None` if the pause has ended, or does not end within the time that can be expressed.
    until: Option<Instant>,
}

impl UpstreamPauses {
    /// Begins a pause after a refusal, as long as the upstream asks for or longer.
    pub(crate) fn begin(&mut self, upstream: &InstanceId, retry_after_ms: Option<u64>) {
        let pause = self.pauses.entry(upstream.clone()).or_default();
        let shortest = MIN_PAUSE * 2_u32.pow(pause.refusals.min(MAX_DOUBLINGS));
        let asked_for = Duration::from_millis(retry_after_ms.unwrap_or_default());
        pause.refusals += 1;
        pause.until = Instant::now().checked_add(shortest.max(asked_for));
    }

    /// Returns the upstreams whose pause has ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<InstanceId> {
        let now = Instant::now();
        let ended = self
            .pauses
            .iter_mut()
            .filter_map(|(upstream, pause)| pause.until.take_if(|until| *until <= now).and(Some(upstream)));
        ended.cloned().collect()
    }
}
