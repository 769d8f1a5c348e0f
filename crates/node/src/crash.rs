//! Requests that take down upstreams: fingerprints, detection of a crash, refusal.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::command::{Command, ReportCrash};
use daisysill_core::{
    ids::{CustomerId, InstanceId, ServiceName},
    rules::ServiceRules,
};
use tokio::time::{Instant, timeout};

use crate::{
    shared::Shared,
    upstream_edge::{AttemptError, Engine},
};

/// Time in which an upstream must show that it still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a further attempt waits for the report of a crash to be committed.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns what identifies equal requests: customer, service, adapter and prompt.
///
/// ```
/// use daisysill_node::crash::fingerprint;
/// let one = fingerprint(&"opera-a".into(), &"lyric-llm".into(), "", "la");
/// assert_ne!(one, fingerprint(&"opera-b".into(), &"lyric-llm".into(), "", "la"));
/// ```
pub fn fingerprint(customer: &CustomerId, service: &ServiceName, adapter: &str, prompt: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [customer.as_str(), service.as_str(), adapter, prompt] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// When this node first saw each blocked fingerprint.
///
/// The configuration gives the end of a block in log time, which a node does not know; the block therefore
/// ends here by the rule's time, counted from when the node saw it.
#[derive(Debug, Default)]
pub struct BlockedRequests {
    seen: Mutex<BTreeMap<String, (u64, Instant)>>,
}

impl BlockedRequests {
    /// Returns whether a fingerprint is blocked.
    pub fn contains(&self, blocked: &BTreeMap<String, u64>, fingerprint: &str, rules: &ServiceRules) -> bool {
        let Some(until) = blocked.get(fingerprint).copied() else { return false };
        let now = Instant::now();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|known, _| blocked.contains_key(known));
        let first_seen = seen.entry(fingerprint.to_owned()).or_insert((until, now));
        if first_seen.0 != until {
            *first_seen = (until, now);
        }
        now - first_seen.1 < Duration::from_secs(rules.crashes.block_s)
    }
}

/// An attempt that failed after it was sent.
#[derive(Clone, Copy, Debug)]
pub struct CrashSuspicion<'a> {
    /// The upstream.
    pub upstream: &'a InstanceId,
    /// Its incarnation when the attempt began; 0 if it was not known.
    pub incarnation: u64,
    /// Fingerprint of the request.
    pub fingerprint: &'a str,
    /// The rules of the service.
    pub rules: &'a ServiceRules,
}

impl CrashSuspicion<'_> {
    /// Looks whether the upstream crashed under the request, and reports it.
    ///
    /// A crash shows in a new incarnation or in an upstream that takes no connection. An upstream that is
    /// merely silent is not taken for crashed.
    pub async fn report_if_crashed(&self, shared: &Shared, engine: &dyn Engine) {
        let Some(url) = shared.upstreams.url(self.upstream) else { return };
        let crashed = match timeout(CHECK_TIMEOUT, engine.load(&url)).await {
            Ok(Ok(load)) => self.incarnation != 0 && load.incarnation != self.incarnation,
            Ok(Err(AttemptError::NotSent(_))) => true,
            Ok(Err(_)) | Err(_) => false,
        };
        if !crashed {
            return;
        }
        shared.metrics.crashes.inc();
        let report = ReportCrash {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            fingerprints: vec![self.fingerprint.to_owned()],
            block_ms: self.rules.crashes.block_s * 1_000,
        };
        // Without a majority the crash goes unreported; the next one is reported again.
        let proposed = shared.agreement.propose(Command::ReportCrash(report));
        let _ = timeout(REPORT_TIMEOUT, proposed).await;
    }
}
