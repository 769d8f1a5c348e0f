//! Queue of one node's transfers over one store link, ordered by class.

use std::collections::BTreeMap;

use crate::num::{US_PER_S, whole};

/// The urgency of a transfer, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkClass {
    /// Needed to fire a live cue.
    LiveCue,
    /// Needed by a caller that waits for its first token.
    WaitingCaller,
    /// Needed for an expected return; no caller waits yet.
    ExpectedReturn,
    /// Export of an idle context to the store.
    BackgroundExport,
}

/// Identifies a booking of one `LinkQueue`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BookingId(u64);

/// A booked transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Identifies it for `record_progress` and `release`.
    pub id: BookingId,
    /// Estimated time from the booking until the end of the transfer.
    pub finish_us: u64,
    /// One line for `daisysill explain` with the figures behind the estimate.
    pub reason: String,
}

/// A transfer that has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// The booking that the transfer belongs to.
    pub id: BookingId,
    /// Its urgency.
    pub class: LinkClass,
    /// Bytes to transfer.
    pub bytes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    class: LinkClass,
    bytes_left: u64,
    started: bool,
}

/// Booked transfers, in order of class and then of booking.
///
/// Classes have strict priority, except that background exports get a minimum share of the bytes.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    background_percent: u64,
    next_id: u64,
    transfers: BTreeMap<(LinkClass, BookingId), Transfer>,
    classes: BTreeMap<BookingId, LinkClass>,
    /// Bytes that background exports may send ahead of more urgent transfers, times 100.
    background_credit: u64,
}

impl LinkQueue {
    /// Creates an empty queue; at least `background_percent` of the bytes go to background exports.
    pub fn new(background_percent: u64) -> Self {
        Self {
            background_percent: background_percent.min(100),
            next_id: 0,
            transfers: BTreeMap::new(),
            classes: BTreeMap::new(),
            background_credit: 0,
        }
    }

    /// Books a transfer and estimates its end for a link share of `bytes_per_s`.
    ///
    /// ```
    /// use daisysill_core::link::{LinkClass, LinkQueue};
    /// let mut queue = LinkQueue::new(5);
    /// let booking = queue.book(LinkClass::LiveCue, 1_000, 1_000_000);
    /// queue.release(booking.id);
    /// assert_eq!(queue.booked_bytes(), 0);
    /// ```
    pub fn book(&mut self, class: LinkClass, bytes: u64, bytes_per_s: u64) -> Booking {
        let ahead = self.bytes_ahead(class);
        let rate = self.rate(class, bytes_per_s).max(1);
        let id = BookingId(self.next_id);
        self.next_id += 1;
        self.transfers.insert((class, id), Transfer { class, bytes_left: bytes, started: false });
        self.classes.insert(id, class);
        let finish_us = whole((ahead + bytes) as f64 / rate as f64 * US_PER_S);
        let reason = format!("{class:?}: {bytes} bytes after {ahead} booked ahead at {rate} bytes/s");
        Booking { id, finish_us, reason }
    }

    /// Starts the next transfer; returns `None` if none waits.
    pub fn start_next(&mut self) -> Option<Started> {
        let first = self.waiting(|_| true)?;
        let background = self.waiting(|class| class == LinkClass::BackgroundExport);
        let due = background.filter(|b| self.background_credit >= b.bytes.saturating_mul(100));
        let next = due.unwrap_or(first);
        if next.class == LinkClass::BackgroundExport {
            self.background_credit = self.background_credit.saturating_sub(next.bytes.saturating_mul(100));
        } else if background.is_some() {
            self.background_credit += next.bytes.saturating_mul(self.background_percent);
        }
        if let Some(transfer) = self.transfers.get_mut(&(next.class, next.id)) {
            transfer.started = true;
        }
        Some(next)
    }

    /// Records that `bytes` more bytes of a transfer were sent.
    pub fn record_progress(&mut self, id: BookingId, bytes: u64) {
        let Some(class) = self.classes.get(&id) else { return };
        if let Some(transfer) = self.transfers.get_mut(&(*class, id)) {
            transfer.bytes_left = transfer.bytes_left.saturating_sub(bytes);
        }
    }

    /// Removes the booking of a completed, failed or cancelled transfer; returns the bytes that were not sent.
    pub fn release(&mut self, id: BookingId) -> u64 {
        let Some(class) = self.classes.remove(&id) else { return 0 };
        self.transfers.remove(&(class, id)).map_or(0, |transfer| transfer.bytes_left)
    }

    /// Returns the unsent bytes of all bookings.
    pub fn booked_bytes(&self) -> u64 {
        self.transfers.values().map(|transfer| transfer.bytes_left).sum()
    }

    /// Returns the unsent bytes that go before a new transfer of `class`.
    pub fn bytes_ahead(&self, class: LinkClass) -> u64 {
        let ahead = self.transfers.values().filter(|t| t.class <= class || t.started);
        ahead.map(|transfer| transfer.bytes_left).sum()
    }

    /// Returns the bandwidth left for `class` beside the minimum of background exports.
    fn rate(&self, class: LinkClass, bytes_per_s: u64) -> u64 {
        let background = self.transfers.values().any(|t| t.class == LinkClass::BackgroundExport);
        let reserved =
            if background && class != LinkClass::BackgroundExport { self.background_percent } else { 0 };
        bytes_per_s / 100 * (100 - reserved)
    }

    /// Returns the first waiting transfer of a class for which `wanted` returns true.
    fn waiting(&self, wanted: impl Fn(LinkClass) -> bool) -> Option<Started> {
        let mut waiting = self.transfers.iter().filter(|((class, _), t)| !t.started && wanted(*class));
        waiting.next().map(|((class, id), t)| Started { id: *id, class: *class, bytes: t.bytes_left })
    }
}
