//! Requests that crash upstreams: fingerprints, crash detection, permission for further runs, blocking.

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
use futures::future::join;
use tokio::time::{Instant, timeout};

use crate::{
    request::new_id,
    shared::Shared,
    upstream_api::{AttemptError, Engine},
};

/// Limit on the load request that shows whether an upstream still runs.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on committing a crash report, which delays the next attempt of the request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on committing the permission to run. Longer than an election, so that a change of leader causes no
/// refusals.
const PERMISSION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Limit on committing the end of a run; without that, the run counts as ended at its own time limit.
const RUN_END_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum fingerprints remembered of crashes that this node detected, each for `block_s` of its rules.
const MAX_LOCAL_CRASHES: usize = 1_024;

/// Returns a hash of customer, service, adapter and prompt, which is the same for equal requests.
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

/// Blocked requests, and requests that were part of a crash detected by this node.
///
/// The configuration gives the end of a block in log time, which a node does not know. Here a block therefore
/// ends `block_s` of the service's rules after the node first saw it.
#[derive(Debug, Default)]
pub struct BlockedRequests {
    /// For each blocked fingerprint, the end of its block in log time and when this node first saw it.
    first_seen: Mutex<BTreeMap<String, (u64, Instant)>>,
    /// Fingerprints of crashes detected by this node, and until when they need permission to run. The
    /// configuration names them too, but later, and not if the crash report found no majority.
    local_crashes: Mutex<BTreeMap<String, Instant>>,
}

impl BlockedRequests {
    /// Returns whether a fingerprint is blocked, and records that this node has seen its block; `blocked` is the
    /// configuration's map of fingerprint to log time.
    pub fn contains(&self, blocked: &BTreeMap<String, u64>, fingerprint: &str, rules: &ServiceRules) -> bool {
        let Some(until) = blocked.get(fingerprint).copied() else { return false };
        let now = Instant::now();
        let mut entries = self.first_seen.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|known, _| blocked.contains_key(known));
        let first_seen = entries.entry(fingerprint.to_owned()).or_insert((until, now));
        if first_seen.0 != until {
            *first_seen = (until, now);
        }
        now - first_seen.1 < Duration::from_secs(rules.crashes.block_s)
    }

    /// As [`Self::contains`], but records nothing, so that the block ends no earlier.
    pub fn is_blocked(
        &self,
        blocked: &BTreeMap<String, u64>,
        fingerprint: &str,
        rules: &ServiceRules,
    ) -> bool {
        let Some(until) = blocked.get(fingerprint).copied() else { return false };
        let entries = self.first_seen.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = entries.get(fingerprint).filter(|seen| seen.0 == until);
        seen.is_none_or(|(_, at)| at.elapsed() < Duration::from_secs(rules.crashes.block_s))
    }

    /// Returns whether this node detected a crash that the request was part of.
    fn in_local_crash(&self, fingerprint: &str) -> bool {
        let mut crashed = self.local_crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashed.retain(|_, until| *until > Instant::now());
        crashed.contains_key(fingerprint)
    }

    fn record_crash(&self, fingerprint: &str, rules: &ServiceRules) {
        let mut crashed = self.local_crashes.lock().unwrap_or_else(PoisonError::into_inner);
        if crashed.len() < MAX_LOCAL_CRASHES {
            let until = Instant::now() + Duration::from_secs(rules.crashes.block_s);
            crashed.insert(fingerprint.to_owned(), until);
        }
    }

    fn clear_crash(&self, fingerprint: &str) {
        self.local_crashes.lock().unwrap_or_else(PoisonError::into_inner).remove(fingerprint);
    }
}

/// The result of requesting permission for an attempt.
pub(crate) enum RunPermission {
    /// The request was part of no known crash.
    NotNeeded,
    /// The request was part of a crash; dropping the run reports its end.
    Granted(GrantedRun),
    /// The request must not run at this upstream, or not at all.
    Refused(RunRefusal),
    /// No majority committed the permission in time.
    NoQuorum,
}

/// A permitted run of a request that was part of a crash; dropping it proposes the end of the run.
pub(crate) struct GrantedRun {
    shared: Arc<Shared>,
    end: Option<EndSuspectRun>,
    fingerprint: String,
    /// Whether its completion clears the request of the crashes reported before the permission.
    clears: bool,
}

impl GrantedRun {
    /// Drops a run that was refused, without a report.
    fn discard(mut self) {
        self.end = None;
    }

    /// Marks a run that began before the request became suspect.
    pub(crate) fn began_before(mut self) -> Self {
        self.clears = false;
        self
    }

    /// Ends the run and clears the request of the crash, since the upstream completed it.
    pub(crate) fn finished(mut self) {
        if !self.clears {
            return;
        }
        if let Some(end) = &mut self.end {
            end.finished = true;
        }
        self.shared.blocked_requests.clear_crash(&self.fingerprint);
    }
}

impl Drop for GrantedRun {
    fn drop(&mut self) {
        let Some(end) = self.end.take() else { return };
        let shared = Arc::clone(&self.shared);
        actix_rt::spawn(async move {
            let attempt = end.attempt.clone();
            let proposed = shared.proposer.propose(Command::EndSuspectRun(end));
            match timeout(RUN_END_TIMEOUT, proposed).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::warn!("end of run {attempt} not committed: {error}"),
                Err(_) => log::warn!("end of run {attempt} not committed within {RUN_END_TIMEOUT:?}"),
            }
        });
    }
}

/// Returns whether a request was part of a crash, so that each of its runs needs permission.
pub(crate) fn needs_permission(shared: &Shared, fingerprint: &str) -> bool {
    let is_suspect = shared.cluster.view().borrow().suspects.contains(&suspect_digest(fingerprint));
    is_suspect || shared.blocked_requests.in_local_crash(fingerprint)
}

/// An attempt that is about to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedRun<'a> {
    /// The chosen upstream.
    pub(crate) upstream: &'a InstanceId,
    /// See [`fingerprint`].
    pub(crate) fingerprint: &'a str,
    /// The rules of the service.
    pub(crate) rules: &'a ServiceRules,
    /// When the request ends at the latest; limits the run too.
    pub(crate) deadline: Instant,
}

impl PlannedRun<'_> {
    /// Proposes the start of the run if the request was part of a crash.
    pub(crate) async fn request_permission(&self, shared: &Arc<Shared>) -> RunPermission {
        if !needs_permission(shared, self.fingerprint) {
            return RunPermission::NotNeeded;
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
        // Created before the proposal, so that a permission whose reply is lost is released too.
        let run = GrantedRun {
            shared: Arc::clone(shared),
            end: Some(EndSuspectRun { attempt, finished: false, block_ms }),
            fingerprint: self.fingerprint.to_owned(),
            clears: true,
        };
        let proposed = shared.proposer.propose(Command::StartSuspectRun(start));
        match timeout(PERMISSION_TIMEOUT, proposed).await {
            Ok(Ok(Reply::RunPermitted)) => RunPermission::Granted(run),
            Ok(Ok(Reply::RunRefused(refusal))) => {
                run.discard();
                RunPermission::Refused(refusal)
            }
            _ => RunPermission::NoQuorum,
        }
    }
}

/// An attempt that failed after it was sent, perhaps because the upstream crashed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Where the attempt ran.
    pub upstream: &'a InstanceId,
    /// Incarnation of the upstream when the attempt began; 0 if it was not known.
    pub incarnation: u64,
    /// See [`fingerprint`].
    pub fingerprint: &'a str,
    /// Keys of the prompt's prefixes.
    pub parts: &'a [u64],
    /// When the attempt began.
    pub sent_at: Instant,
    /// The rules of the service.
    pub rules: &'a ServiceRules,
}

impl FailedAttempt<'_> {
    /// Checks whether the upstream crashed during the attempt, and reports a crash; returns whether it did.
    ///
    /// A crash shows as a new incarnation or as an upstream that accepts no connection. An upstream that is
    /// merely silent is not considered crashed.
    pub async fn report_if_crashed(&self, shared: &Shared, engine: &dyn Engine) -> bool {
        let broke_at = Instant::now();
        let Some(url) = shared.upstreams.url(self.upstream) else { return false };
        let crashed = match timeout(LIVENESS_TIMEOUT, engine.load(&url)).await {
            Ok(Ok(load)) => self.incarnation != 0 && load.incarnation != self.incarnation,
            Ok(Err(AttemptError::NotSent(_))) => true,
            Ok(Err(_)) | Err(_) => false,
        };
        if !crashed {
            return false;
        }
        shared.metrics.crashes.inc();
        shared.blocked_requests.record_crash(self.fingerprint, self.rules);
        let report = ReportCrash {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            fingerprints: vec![self.fingerprint.to_owned()],
            block_ms: self.rules.crashes.block_s * 1_000,
        };
        // Without a majority the crash is not reported; this node still requires permission for the next run.
        let proposed = timeout(REPORT_TIMEOUT, shared.proposer.propose(Command::ReportCrash(report)));
        match join(proposed, self.report_prompt(shared, broke_at)).await.0 {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::warn!("crash of {} not committed: {error}", self.upstream),
            Err(_) => log::warn!("crash of {} not committed within {REPORT_TIMEOUT:?}", self.upstream),
        }
        true
    }
}
