//! Acquires and renews a named lease, and tells when orders may be sent under it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use daisysill_control::command::{AcquireLease, Command, Reply};
use daisysill_core::ids::{FencingNumber, InstanceId};
use tokio::{
    sync::watch,
    task::AbortHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{clock::BootInstant, handle::ClusterHandle};

/// Share of the lease duration reserved as a margin for clocks that run at different rates.
const DRIFT_MARGIN_RATIO: f64 = 0.1;
/// Share of the lease duration after which the lease is renewed.
const RENEW_RATIO: f64 = 1.0 / 3.0;
/// Delay before the next request after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// The control role, for example `weights`.
    pub role: String,
    /// Duration of the lease from its commit.
    pub duration: Duration,
    /// Maximum time that an order may be in flight. A new holder waits this long before its first order, since the
    /// former holder may have sent one just before its lease expired.
    pub order_timeout: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    fencing: FencingNumber,
    usable_from: BootInstant,
    valid_until: BootInstant,
}

/// Acquires a lease and renews it until dropped.
#[derive(Debug)]
pub struct LeaseHolder {
    grant: Arc<Mutex<Option<Grant>>>,
    held: watch::Receiver<Option<FencingNumber>>,
    task: AbortHandle,
}

impl LeaseHolder {
    /// Starts to request the lease on behalf of `holder`.
    pub fn start(cluster: ClusterHandle, holder: InstanceId, config: LeaseConfig) -> Self {
        let grant = Arc::new(Mutex::new(None));
        let (sender, held) = watch::channel(None);
        let renewer = Renewer { cluster, holder, config, grant: Arc::clone(&grant), held: sender };
        Self { grant, held, task: tokio::spawn(renewer.run()).abort_handle() }
    }

    /// Returns the fencing number that an order sent now must carry; `None` if no order may be sent. Must be called
    /// immediately before each order, since the process may have been suspended since the previous call.
    pub fn fencing(&self) -> Option<FencingNumber> {
        let now = BootInstant::now();
        let grant = (*self.grant.lock().unwrap_or_else(PoisonError::into_inner))?;
        (grant.usable_from <= now && now < grant.valid_until).then_some(grant.fencing)
    }

    /// Returns a receiver of the fencing number; `None` while the lease is not usable, and the holder must stop.
    pub fn held(&self) -> watch::Receiver<Option<FencingNumber>> {
        self.held.clone()
    }
}

impl Drop for LeaseHolder {
    /// Stops the renewal; the lease then expires.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Renewer {
    cluster: ClusterHandle,
    holder: InstanceId,
    config: LeaseConfig,
    grant: Arc<Mutex<Option<Grant>>>,
    held: watch::Sender<Option<FencingNumber>>,
}

impl Renewer {
    async fn run(self) {
        let mut renew_at = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(renew_at) => renew_at = self.renew().await,
                () = self.next_change() => self.publish_usable(),
            }
        }
    }

    /// Completes when the lease becomes usable or expires.
    async fn next_change(&self) {
        let now = BootInstant::now();
        let grant = *self.grant.lock().unwrap_or_else(PoisonError::into_inner);
        let next =
            grant.and_then(|grant| [grant.usable_from, grant.valid_until].into_iter().find(|at| *at > now));
        match next {
            Some(at) => sleep(at.since(now)).await,
            None if self.held.borrow().is_some() => {}
            None => std::future::pending().await,
        }
    }

    fn publish_usable(&self) {
        let now = BootInstant::now();
        let grant = *self.grant.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = grant
            .filter(|grant| grant.usable_from <= now && now < grant.valid_until)
            .map(|grant| grant.fencing);
        self.held.send_if_modified(|held| std::mem::replace(held, usable) != usable);
    }

    /// Requests the lease; returns when to request it again.
    async fn renew(&self) -> Instant {
        let (requested_at, requested_boot) = (Instant::now(), BootInstant::now());
        let request = AcquireLease {
            role: self.config.role.clone(),
            holder: self.holder.clone(),
            duration_ms: u64::try_from(self.config.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let reply = tokio::select! {
            reply = self.cluster.propose(Command::AcquireLease(request)) => reply,
            // The lease may expire while the reply is pending.
            () = async {
                loop {
                    self.next_change().await;
                    self.publish_usable();
                    sleep(RETRY_DELAY).await;
                }
            } => return requested_at,
        };
        match reply {
            Ok(Reply::LeaseGranted(fencing)) => self.store_grant(fencing, requested_boot),
            Ok(_) => *self.grant.lock().unwrap_or_else(PoisonError::into_inner) = None,
            Err(_) => {
                self.publish_usable();
                return Instant::now() + RETRY_DELAY;
            }
        }
        self.publish_usable();
        requested_at + self.config.duration.mul_f64(RENEW_RATIO)
    }

    fn store_grant(&self, fencing: FencingNumber, requested_at: BootInstant) {
        // The lease began after it was requested, so this end is early on any clock within the margin.
        let valid_until = requested_at + self.config.duration.mul_f64(1.0 - DRIFT_MARGIN_RATIO);
        let mut grant = self.grant.lock().unwrap_or_else(PoisonError::into_inner);
        let usable_from = match *grant {
            Some(present) if present.fencing == fencing => present.usable_from,
            // The former holder may have sent an order just before its lease expired.
            _ => BootInstant::now() + self.config.order_timeout,
        };
        *grant = Some(Grant { fencing, usable_from, valid_until });
    }
}
