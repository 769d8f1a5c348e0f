//! Permits for upstreams with a rate limit: what the leader has granted, and the requests of other nodes for them. Handles
//! limited upstreams whose callers are at few of many entry nodes.
//!
//! The leader grants only while it holds a lease. It acquires the lease when a node asks and gives it up when none does, so
//! deployments without limited upstreams have no messages and no log entries for it.

use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use daisysill_core::{
    ids::{FencingNumber, InstanceId},
    rate_permits::{GRANT_LIFETIME_MS, Granted, PermitAsk, PermitIssuer},
};
use daisysill_wire::peer::{PeerClient, PermitGrant, PermitGrants, PermitRequests, UpstreamStart};
use futures::FutureExt;

use crate::{
    clock::BootInstant,
    handle::ClusterHandle,
    lease::{LeaseConfig, LeaseHolder},
    link::NewerCall,
    metrics::ClusterMetrics,
};

/// Role of the lease for grants.
const PERMIT_ROLE: &str = "permits";
/// Duration of the lease. Short, since the next leader waits for its end; it is renewed three times in this time.
const LEASE_DURATION: Duration = Duration::from_secs(1);
/// The lease and the state of an upstream are kept for this time after the last request.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Time after which a node asks again that does not know the last start of an upstream yet.
const OUTDATED_RETRY_MS: u64 = 1_000;
/// Maximum number of permits that one request is granted for one upstream.
const MAX_WANTED: u32 = 64;

/// The lease under which the leader grants, while nodes ask for permits.
#[derive(Debug, Default)]
pub struct PermitLease(Option<Arc<LeaseHolder>>);

/// A begin or an end of grants for an upstream, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitChange {
    /// The upstream.
    pub upstream: InstanceId,
    /// Whether they begin.
    pub begins: bool,
}

/// The permits that this node grants while it leads.
#[derive(Debug)]
pub(crate) struct PermitTable {
    /// Origin of the issuers' time.
    origin: BootInstant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    asked_at: Option<BootInstant>,
    lease: Weak<LeaseHolder>,
    /// The lease under which the issuers were created.
    fencing: Option<FencingNumber>,
    issuers: HashMap<InstanceId, Issuer>,
    changes: Vec<PermitChange>,
}

#[derive(Debug)]
struct Issuer {
    /// The start of the upstream. Nodes that still know an earlier one get nothing, or both would get the whole rate.
    started_unix_ms: u64,
    permits: PermitIssuer,
    asked_at: BootInstant,
}

impl Default for PermitTable {
    fn default() -> Self {
        Self { origin: BootInstant::now(), inner: Mutex::default() }
    }
}

impl PermitTable {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants permits to a node; none while this node holds no usable lease.
    pub(crate) fn grant(
        &self,
        asker: &InstanceId,
        requests: PermitRequests,
        metrics: &ClusterMetrics,
    ) -> PermitGrants {
        let mut inner = self.lock();
        let now = BootInstant::now();
        inner.asked_at = Some(now);
        let PermitRequests { number, upstreams } = requests;
        let Some(fencing) = inner.lease.upgrade().and_then(|lease| lease.fencing()) else {
            return PermitGrants { number, upstreams: Vec::new() };
        };
        inner.enter_lease(Some(fencing));
        let now_ms = u64::try_from(now.since(self.origin).as_millis()).unwrap_or(u64::MAX);
        let asker = hash_of(asker);
        let upstreams = upstreams.into_iter().map(|request| {
            let wanted = request.wanted.min(MAX_WANTED);
            let granted_per_s = request.granted_per_1000_s as f64 / 1_000.0;
            let ask = PermitAsk { asker, granted_per_s, wanted, draw: rand::random() };
            let Granted { permits, retry_ms } = inner.issue(request.start, &ask, now, now_ms);
            metrics.permits_granted.inc_by(permits.into());
            metrics.permits_refused.inc_by((wanted - permits).into());
            PermitGrant { permits, retry_ms }
        });
        PermitGrants { number, upstreams: upstreams.collect() }
    }
}

/// Returns a number that identifies a node.
fn hash_of(node: &InstanceId) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(node)
}

impl Inner {
    /// Drops all issuers if the lease is another one than that under which they were created.
    fn enter_lease(&mut self, fencing: Option<FencingNumber>) {
        if std::mem::replace(&mut self.fencing, fencing) != fencing {
            self.end_issuers(|_| true);
        }
    }

    fn end_issuers(&mut self, mut has_ended: impl FnMut(&Issuer) -> bool) {
        let ended = self.issuers.extract_if(|_, issuer| has_ended(issuer));
        self.changes.extend(ended.map(|(upstream, _)| PermitChange { upstream, begins: false }));
    }

    fn issue(&mut self, start: UpstreamStart, ask: &PermitAsk, now: BootInstant, now_ms: u64) -> Granted {
        let UpstreamStart { id, started_unix_ms } = start;
        let new = || Issuer {
            started_unix_ms,
            permits: PermitIssuer::new(now_ms, ask.granted_per_s),
            asked_at: now,
        };
        let changes = &mut self.changes;
        let issuer = self.issuers.entry(id.clone()).or_insert_with(|| {
            changes.push(PermitChange { upstream: id, begins: true });
            new()
        });
        if started_unix_ms < issuer.started_unix_ms {
            return Granted { permits: 0, retry_ms: OUTDATED_RETRY_MS };
        }
        if started_unix_ms > issuer.started_unix_ms {
            *issuer = new();
        }
        issuer.asked_at = now;
        issuer.permits.grant(now_ms, ask)
    }
}

impl ClusterHandle {
    /// Acquires the lease for grants while nodes ask for them, and gives it up otherwise; returns for which upstreams grants
    /// have begun or ended. To be called by the leader, several times per second.
    pub fn step_permits(&self, lease: &mut PermitLease, holder: &InstanceId) -> Vec<PermitChange> {
        let mut inner = self.inner.soft_state.permits.lock();
        let is_wanted = inner.asked_at.is_some_and(|at| at.elapsed() < IDLE_TIME);
        if !is_wanted {
            lease.0 = None;
        } else if lease.0.is_none() {
            let config = LeaseConfig {
                role: PERMIT_ROLE.to_owned(),
                duration: LEASE_DURATION,
                order_timeout: Duration::from_millis(GRANT_LIFETIME_MS),
            };
            let started = Arc::new(LeaseHolder::start(self.clone(), holder.clone(), config));
            inner.lease = Arc::downgrade(&started);
            lease.0 = Some(started);
        }
        inner.end_issuers(|issuer| issuer.asked_at.elapsed() >= IDLE_TIME);
        std::mem::take(&mut inner.changes)
    }

    /// Ends the grants of this node, which no longer leads; returns for which upstreams they have ended.
    pub fn end_permits(&self, lease: PermitLease) -> Vec<PermitChange> {
        drop(lease);
        let mut inner = self.inner.soft_state.permits.lock();
        inner.enter_lease(None);
        std::mem::take(&mut inner.changes)
    }

    /// Asks the leader for permits; `None` if it is not known, does not answer within the lifetime of a grant, or does not
    /// grant.
    pub async fn ask_permits(&self, requests: PermitRequests) -> Option<PermitGrants> {
        let proposer = &self.inner.proposer;
        let leader = proposer.leader.get()?;
        let link = proposer.links.get(&leader)?;
        // Runs on the cluster's runtime, to which the connections belong.
        let call = self.inner.runtime.spawn(async move {
            let request = move |client: PeerClient, context| {
                async move { client.grant_permits(context, requests).await }.boxed()
            };
            let limit = Duration::from_millis(GRANT_LIFETIME_MS);
            link.call_newer(NewerCall::GrantPermits, limit, request).await
        });
        let grants = call.await.ok()?.ok()?;
        (!grants.upstreams.is_empty()).then_some(grants)
    }
}
