//! Holds a named lease and tells when orders may be sent under it.

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

/// The share of the lease kept as a margin for clocks that run at different speeds.
const DRIFT_SHARE: f64 = 0.1;
/// The lease is renewed after this share of its duration.
const RENEW_SHARE: f64 = 1.0 / 3.0;
/// Delay before the lease is asked for again while nobody answers.
const RETRY: Duration = Duration::from_millis(200);

/// What to hold, and how.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// The control role, for example `weights`.
    pub role: String,
    /// How long the lease lasts from its commit.
    pub duration: Duration,
    /// The longest time that an order of a former holder may still be in flight.
    pub order_timeout: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    fencing: FencingNumber,
    usable_from: BootInstant,
    valid_until: BootInstant,
}

/// Takes and renews a lease for as long as it exists.
#[derive(Debug)]
pub struct LeaseHolder {
    holding: Arc<Mutex<Option<Holding>>>,
    held: watch::Receiver<Option<FencingNumber>>,
    task: AbortHandle,
}

impl LeaseHolder {
    /// Starts to ask for the lease on behalf of `holder`.
    pub fn start(cluster: ClusterHandle, holder: InstanceId, terms: LeaseConfig) -> Self {
        let holding = Arc::new(Mutex::new(None));
        let (sender, held) = watch::channel(None);
        let keeper = Keeper { cluster, holder, terms, holding: Arc::clone(&holding), held: sender };
        Self { holding, held, task: tokio::spawn(keeper.run()).abort_handle() }
    }

    /// Returns the number that an order sent now must carry; `None` if no order may be sent. To be asked
    /// immediately before each order, since the process may have been suspended since the last time.
    pub fn fencing(&self) -> Option<FencingNumber> {
        let now = BootInstant::now();
        let holding = (*self.holding.lock().unwrap_or_else(PoisonError::into_inner))?;
        (holding.usable_from <= now && now < holding.valid_until).then_some(holding.fencing)
    }

    /// Returns the number while the lease is usable, and its changes; `None` tells the holder to stop.
    pub fn held(&self) -> watch::Receiver<Option<FencingNumber>> {
        self.held.clone()
    }
}

impl Drop for LeaseHolder {
    /// Stops renewing; the lease then runs out.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Keeper {
    cluster: ClusterHandle,
    holder: InstanceId,
    terms: LeaseConfig,
    holding: Arc<Mutex<Option<Holding>>>,
    held: watch::Sender<Option<FencingNumber>>,
}

impl Keeper {
    async fn run(self) {
        let mut renew_at = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(renew_at) => renew_at = self.ask().await,
                () = self.changes() => self.publish(),
            }
        }
    }

    /// Completes when the lease becomes usable or runs out.
    async fn changes(&self) {
        let now = BootInstant::now();
        let holding = *self.holding.lock().unwrap_or_else(PoisonError::into_inner);
        let next = holding.and_then(|h| [h.usable_from, h.valid_until].into_iter().find(|at| *at > now));
        match next {
            Some(at) => sleep(at.since(now)).await,
            None if self.held.borrow().is_some() => {}
            None => std::future::pending().await,
        }
    }

    fn publish(&self) {
        let now = BootInstant::now();
        let holding = *self.holding.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = holding.filter(|h| h.usable_from <= now && now < h.valid_until).map(|h| h.fencing);
        self.held.send_if_modified(|held| std::mem::replace(held, usable) != usable);
    }

    /// Asks for the lease; returns when to ask next.
    async fn ask(&self) -> Instant {
        let (asked_at, asked_boot) = (Instant::now(), BootInstant::now());
        let request = AcquireLease {
            role: self.terms.role.clone(),
            holder: self.holder.clone(),
            duration_ms: u64::try_from(self.terms.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let reply = tokio::select! {
            reply = self.cluster.propose(Command::AcquireLease(request)) => reply,
            // The lease may run out while the answer is awaited.
            () = async { loop { self.changes().await; self.publish(); sleep(RETRY).await } } => return asked_at,
        };
        match reply {
            Ok(Reply::LeaseGranted(fencing)) => self.granted(fencing, asked_boot),
            Ok(_) => *self.holding.lock().unwrap_or_else(PoisonError::into_inner) = None,
            Err(_) => {
                self.publish();
                return Instant::now() + RETRY;
            }
        }
        self.publish();
        asked_at + self.terms.duration.mul_f64(RENEW_SHARE)
    }

    fn granted(&self, fencing: FencingNumber, asked_at: BootInstant) {
        // The lease began at some time after it was asked for, so this end is early on any clock.
        let valid_until = asked_at + self.terms.duration.mul_f64(1.0 - DRIFT_SHARE);
        let mut holding = self.holding.lock().unwrap_or_else(PoisonError::into_inner);
        let usable_from = match *holding {
            Some(present) if present.fencing == fencing => present.usable_from,
            // The former holder may have sent an order just before its lease ran out.
            _ => BootInstant::now() + self.terms.order_timeout,
        };
        *holding = Some(Holding { fencing, usable_from, valid_until });
    }
}
