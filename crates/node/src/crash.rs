//! Requests that take down upstreams: fingerprints, detection of a crash, refusal.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::{
    command::{Command, EndSuspectRun, Reply, ReportCrash, RunRefusal, StartSuspectRun},
    crashes::suspect_digest,
};
use daisysill_core::{
    ids::{AttemptId, CustomerId, InstanceId, ServiceName},
    rules::ServiceRules,
};
use tokio::time::{Instant, timeout};

use crate::{
    request::new_id,
    shared::Shared,
    upstream_api::{AttemptError, Engine},
};

/// Time in which an upstream must show that it still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a further attempt waits for the report of a crash to be committed.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a request waits for the permission to run. Longer than an election takes, so that a change of leader
/// refuses nobody.
const PERMISSION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which the end of a run is proposed again; the run then counts as ended by its own time limit.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Fingerprints of crashes seen here that are remembered until the configuration names them.
const MAX_SEEN_HERE: usize = 1_024;

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
    /// Requests that were part of a crash that this node saw, and until when the node asks before it runs them.
    /// The configuration names them too, but later, and not if the report of the crash found no majority.
    crashed_here: Mutex<BTreeMap<String, Instant>>,
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

    /// Returns whether this node saw a crash that a request was part of.
    fn crashed_here(&self, fingerprint: &str) -> bool {
        let mut crashed = self.crashed_here.lock().unwrap_or_else(PoisonError::into_inner);
        crashed.retain(|_, until| *until > Instant::now());
        crashed.contains_key(fingerprint)
    }

    fn note_crash(&self, fingerprint: &str, rules: &ServiceRules) {
        let mut crashed = self.crashed_here.lock().unwrap_or_else(PoisonError::into_inner);
        if crashed.len() < MAX_SEEN_HERE {
            let until = Instant::now() + Duration::from_secs(rules.crashes.block_s);
            crashed.insert(fingerprint.to_owned(), until);
        }
    }

    fn clear(&self, fingerprint: &str) {
        self.crashed_here.lock().unwrap_or_else(PoisonError::into_inner).remove(fingerprint);
    }
}

/// Whether an attempt may run.
pub(crate) enum RunPermission {
    /// The request was part of no crash that is known.
    Free,
    /// The request was part of a crash; the end of this run must be reported.
    Granted(GrantedRun),
    /// The request must not run as asked.
    Refused(RunRefusal),
    /// No majority answered.
    NoQuorum,
}

/// The run of a request that was part of a crash. When it is dropped, its end is reported.
pub(crate) struct GrantedRun {
    shared: Arc<Shared>,
    end: Option<EndSuspectRun>,
    fingerprint: String,
}

impl GrantedRun {
    /// Ends a run that was refused; there is nothing to report.
    fn refused(mut self) {
        self.end = None;
    }

    /// Reports that the upstream completed the request.
    pub(crate) fn finished(mut self) {
        if let Some(end) = &mut self.end {
            end.finished = true;
        }
        self.shared.blocked_requests.clear(&self.fingerprint);
    }
}

impl Drop for GrantedRun {
    fn drop(&mut self) {
        let Some(end) = self.end.take() else { return };
        let shared = Arc::clone(&self.shared);
        actix_rt::spawn(async move {
            let attempt = end.attempt.clone();
            let proposed = shared.proposer.propose(Command::EndSuspectRun(end));
            match timeout(END_TIMEOUT, proposed).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::warn!("the end of run {attempt} was not recorded: {error}"),
                Err(_) => log::warn!("the end of run {attempt} was not recorded in time"),
            }
        });
    }
}

/// An attempt that is about to run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedRun<'a> {
    /// Where.
    pub(crate) upstream: &'a InstanceId,
    /// Fingerprint of the request.
    pub(crate) fingerprint: &'a str,
    /// The rules of the service.
    pub(crate) rules: &'a ServiceRules,
    /// When the request ends at the latest.
    pub(crate) deadline: Instant,
}

impl PlannedRun<'_> {
    /// Asks the agreed state for permission if the request was part of a crash.
    pub(crate) async fn permission(&self, shared: &Arc<Shared>) -> RunPermission {
        let named = shared.cluster.view().borrow().suspects.contains(&suspect_digest(self.fingerprint));
        if !named && !shared.blocked_requests.crashed_here(self.fingerprint) {
            return RunPermission::Free;
        }
        let attempt = AttemptId::from(new_id("run"));
        let limit = self.deadline.saturating_duration_since(Instant::now());
        let start = StartSuspectRun {
            attempt: attempt.clone(),
            fingerprint: self.fingerprint.to_owned(),
            upstream: self.upstream.clone(),
            limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        let block_ms = self.rules.crashes.block_s * 1_000;
        // Made before the proposal: a permission whose reply is lost is given back as well.
        let run = GrantedRun {
            shared: Arc::clone(shared),
            end: Some(EndSuspectRun { attempt, finished: false, block_ms }),
            fingerprint: self.fingerprint.to_owned(),
        };
        let proposed = shared.proposer.propose(Command::StartSuspectRun(start));
        match timeout(PERMISSION_TIMEOUT, proposed).await {
            Ok(Ok(Reply::RunPermitted)) => RunPermission::Granted(run),
            Ok(Ok(Reply::RunRefused(refusal))) => {
                run.refused();
                RunPermission::Refused(refusal)
            }
            _ => RunPermission::NoQuorum,
        }
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
        shared.blocked_requests.note_crash(self.fingerprint, self.rules);
        let report = ReportCrash {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            fingerprints: vec![self.fingerprint.to_owned()],
            block_ms: self.rules.crashes.block_s * 1_000,
        };
        // Without a majority the crash goes unreported; this node then asks before it runs the request again.
        let proposed = shared.proposer.propose(Command::ReportCrash(report));
        match timeout(REPORT_TIMEOUT, proposed).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::warn!("the crash of {} was not recorded: {error}", self.upstream),
            Err(_) => log::warn!("the crash of {} was not recorded in time", self.upstream),
        }
    }
}
