//! Conversions from floating-point estimates to integers, and time units.

/// Microseconds in a second.
pub(crate) const US_PER_S: f64 = 1_000_000.0;

/// Microseconds in a millisecond.
pub(crate) const US_PER_MS: f64 = 1_000.0;

/// Truncates an estimate to an integer; negative values and NaN become 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

/// Returns the index that a random number in `0.0..1.0` selects among `count` items.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn pick(random: f64, count: usize) -> usize {
    ((random.clamp(0.0, 1.0) * count as f64) as usize).min(count.saturating_sub(1))
}
