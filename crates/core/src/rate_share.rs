//! One node's share of a rate limit that an upstream names for all nodes together.
//!
//! The nodes don't talk to each other about it: each takes an equal part of the rate, as permits that become due one after
//! the other at a random phase. An unused permit expires soon, so that nodes that were idle can't send all at once.

/// Time for which a permit can be used, unless another one is set.
pub const PERMIT_LIFETIME_MS: u64 = 1_000;
/// The lowest rate of all nodes together. With none, no response would tell that the limit has ended.
pub const MIN_RATE_PER_S: f64 = 0.2;

/// The lowest rate if permits are also granted, so that every wait is finite.
const MIN_RATE_BESIDE_GRANTS_PER_S: f64 = 0.001;

/// The permits of one node for one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Permits that have become due since the start, as a fraction.
    due: f64,
    /// Number of the last permit that was used.
    used: f64,
    updated_ms: u64,
    lifetime_ms: u64,
    min_rate_per_s: f64,
}

/// A permit that was taken, by its number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit(f64);

impl RateShare {
    /// Starts without a due permit. `phase`, from 0 up to 1, is the progress to the first one; it should be random.
    pub const fn new(now_ms: u64, phase: f64) -> Self {
        Self {
            due: phase,
            used: 0.0,
            updated_ms: now_ms,
            lifetime_ms: PERMIT_LIFETIME_MS,
            min_rate_per_s: MIN_RATE_PER_S,
        }
    }

    /// Sets the time for which a permit can be used.
    #[must_use]
    pub const fn with_lifetime(self, lifetime_ms: u64) -> Self {
        Self { lifetime_ms, ..self }
    }

    /// Allows rates below [`MIN_RATE_PER_S`], for a share beside permits that the leader grants
    /// ([`crate::rate_permits`]).
    #[must_use]
    pub const fn beside_grants(self) -> Self {
        Self { min_rate_per_s: MIN_RATE_BESIDE_GRANTS_PER_S, ..self }
    }

    /// Takes a permit; `false` if none is due. `limit_per_s` is the rate of all `nodes` together, in requests per second.
    ///
    /// ```
    /// use daisysill_core::rate_share::RateShare;
    /// let mut share = RateShare::new(0, 0.5);
    /// // Two nodes share 4 requests per second: one permit each half second.
    /// assert!(!share.try_take(0, 4.0, 2));
    /// assert!(share.try_take(250, 4.0, 2));
    /// assert!(!share.try_take(300, 4.0, 2));
    /// assert!(share.try_take(750, 4.0, 2));
    /// ```
    pub fn try_take(&mut self, now_ms: u64, limit_per_s: f64, nodes: u32) -> bool {
        self.take(now_ms, limit_per_s, nodes).is_some()
    }

    /// Takes a permit that may be given back; `None` if none is due.
    ///
    /// ```
    /// use daisysill_core::rate_share::RateShare;
    /// let mut share = RateShare::new(0, 0.0);
    /// let permit = share.take(500, 4.0, 2).unwrap();
    /// assert!(!share.try_take(500, 4.0, 2));
    /// share.give_back(permit);
    /// assert!(share.try_take(500, 4.0, 2));
    /// ```
    pub fn take(&mut self, now_ms: u64, limit_per_s: f64, nodes: u32) -> Option<Permit> {
        let permit = self.next_permit(now_ms, limit_per_s, nodes);
        if permit > self.due {
            return None;
        }
        self.used = permit;
        Some(Permit(permit))
    }

    /// Returns a permit that was not used. It is lost if a later one was taken meanwhile.
    pub fn give_back(&mut self, permit: Permit) {
        if permit.0 >= self.used {
            self.used = permit.0 - 1.0;
        }
    }

    /// Returns whether a permit that was taken can still be used.
    ///
    /// ```
    /// use daisysill_core::rate_share::RateShare;
    /// let mut share = RateShare::new(0, 0.0).with_lifetime(300);
    /// let permit = share.take(500, 4.0, 2).unwrap();
    /// assert!(share.is_valid(permit, 799, 4.0, 2));
    /// assert!(!share.is_valid(permit, 801, 4.0, 2));
    /// ```
    pub fn is_valid(&mut self, permit: Permit, now_ms: u64, limit_per_s: f64, nodes: u32) -> bool {
        self.first_valid(now_ms, limit_per_s, nodes) <= permit.0
    }

    /// Returns the time until a permit is due, in ms; 0 if one is.
    ///
    /// ```
    /// use daisysill_core::rate_share::RateShare;
    /// let mut share = RateShare::new(0, 0.0);
    /// assert_eq!(share.wait_ms(0, 4.0, 2), 500);
    /// assert_eq!(share.wait_ms(400, 4.0, 2), 100);
    /// assert_eq!(share.wait_ms(500, 4.0, 2), 0);
    /// ```
    pub fn wait_ms(&mut self, now_ms: u64, limit_per_s: f64, nodes: u32) -> u64 {
        let missing = (self.next_permit(now_ms, limit_per_s, nodes) - self.due).max(0.0);
        // Finite, since the rate has a lower bound.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = (missing / self.per_ms(limit_per_s, nodes)).ceil() as u64;
        wait_ms
    }

    /// Advances to `now_ms`, and returns the number of the first permit that is neither used nor expired.
    fn next_permit(&mut self, now_ms: u64, limit_per_s: f64, nodes: u32) -> f64 {
        let first_valid = self.first_valid(now_ms, limit_per_s, nodes);
        (self.used + 1.0).max(first_valid)
    }

    /// Advances to `now_ms`, and returns the number of the first permit that has not expired.
    fn first_valid(&mut self, now_ms: u64, limit_per_s: f64, nodes: u32) -> f64 {
        let rate_per_ms = self.per_ms(limit_per_s, nodes);
        self.due += rate_per_ms * now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let expired = self.due - rate_per_ms * self.lifetime_ms as f64;
        expired.ceil()
    }

    /// Returns the permits per millisecond of one of `nodes` nodes.
    fn per_ms(&self, limit_per_s: f64, nodes: u32) -> f64 {
        limit_per_s.max(self.min_rate_per_s) / f64::from(nodes.max(1)) / 1_000.0
    }
}
