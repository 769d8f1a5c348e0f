//! How much of an engine's KV memory a request may fill, by its urgency.
//!
//! Answers many prompts of unequal urgency and size. An engine whose memory is full preempts requests, evicts cached
//! prefixes and keeps further prompts waiting, whatever their urgency. Less urgent requests therefore stop at a lower
//! mark, which keeps room for urgent ones.

/// Part of the memory that the most urgent requests may fill. The rest absorbs requests that other nodes have sent
/// and this one does not know yet.
const HIGHEST_MARK: f64 = 0.9;
/// Part by which each level of urgency lowers the mark.
const MARK_STEP: f64 = 0.02;
/// The least urgent level.
const LEAST_URGENT: u8 = 9;

/// Returns the part of an engine's memory that may be in use once a request of this urgency runs there; 0 is the most
/// urgent, 9 the least.
///
/// ```
/// use daisysill_core::memory_mark::memory_mark;
/// assert!(memory_mark(0) > memory_mark(5));
/// assert!((memory_mark(5) - 0.8).abs() < 1e-9);
/// ```
pub fn memory_mark(urgency: u8) -> f64 {
    HIGHEST_MARK - MARK_STEP * f64::from(urgency.min(LEAST_URGENT))
}
