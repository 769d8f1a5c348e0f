//! Bookings of the network links of stores.
//!
//! A store sends parts one after another. Nodes that do not know of each other's fetches request more than its link
//! carries: fetches time out, the bytes sent for them are lost, and the prompts are prefilled after all. Each node
//! therefore books its fetches and tells the others, and none starts a fetch that would wait for too long.

use std::collections::BTreeMap;

/// A fetch may wait at its store for this share of the time in which the response is due. Large, since the estimated wait includes the prefill
/// of other prompts: a booking lasts until its response begins.
const MAX_WAIT_SHARE: f64 = 0.75;

/// Identifies a booking at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookingId {
    store: u32,
    number: u64,
}

#[derive(Clone, Copy, Debug)]
struct Booking {
    number: u64,
    tokens: u64,
    ends_ms: u64,
}

/// The fetches in progress of one node, by the store's tag.
#[derive(Debug, Default)]
pub struct LinkBookings {
    by_store: BTreeMap<u32, Vec<Booking>>,
    last_number: u64,
}

impl LinkBookings {
    /// Books a fetch of `tokens` that times out at `ends_ms`. Tokens that cross between availability zones count as
    /// often as they occupy the link.
    pub fn book(&mut self, store: u32, tokens: u64, ends_ms: u64) -> BookingId {
        self.last_number += 1;
        let booking = Booking { number: self.last_number, tokens, ends_ms };
        self.by_store.entry(store).or_default().push(booking);
        BookingId { store, number: self.last_number }
    }

    /// Ends a booking, since its fetch has arrived or the attempt has failed.
    pub fn release(&mut self, id: BookingId) {
        if let Some(bookings) = self.by_store.get_mut(&id.store) {
            bookings.retain(|booking| booking.number != id.number);
        }
    }

    /// Returns the tokens booked at a store.
    ///
    /// ```
    /// use daisysill_core::link_booking::LinkBookings;
    /// let mut bookings = LinkBookings::default();
    /// let id = bookings.book(7, 5_000, 40);
    /// assert_eq!((bookings.tokens(7, 39), bookings.tokens(7, 40), bookings.tokens(8, 0)), (5_000, 0, 0));
    /// bookings.release(id);
    /// assert_eq!(bookings.tokens(7, 39), 0);
    /// ```
    pub fn tokens(&self, store: u32, now_ms: u64) -> u64 {
        let booked = self.by_store.get(&store).into_iter().flatten();
        booked.filter(|booking| booking.ends_ms > now_ms).map(|booking| booking.tokens).sum()
    }

    /// Drops the bookings that have ended, and returns the tokens booked at each store that has any.
    pub fn totals(&mut self, now_ms: u64) -> Vec<(u32, u64)> {
        self.by_store.retain(|_, bookings| {
            bookings.retain(|booking| booking.ends_ms > now_ms);
            !bookings.is_empty()
        });
        let total = |bookings: &Vec<Booking>| bookings.iter().map(|booking| booking.tokens).sum();
        self.by_store.iter().map(|(store, bookings)| (*store, total(bookings))).collect()
    }
}

/// Returns whether a fetch may start that would wait for `wait_ms` at its store, for a request whose response is due in
/// `left_ms`.
///
/// ```
/// use daisysill_core::link_booking::may_wait;
/// assert!(may_wait(290.0, 400) && !may_wait(310.0, 400));
/// ```
pub fn may_wait(wait_ms: f64, left_ms: u64) -> bool {
    wait_ms <= left_ms as f64 * MAX_WAIT_SHARE
}
