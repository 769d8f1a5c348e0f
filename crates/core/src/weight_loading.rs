//! Decides which upstreams load new weights next.

/// Upstreams that load at once are at most this share of all, so that the rest can carry the work.
const SHARE_AT_ONCE: f64 = 0.25;
/// At least so many load at once, or a small service would take too long.
const LEAST_AT_ONCE: usize = 2;

/// An upstream as the plan sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightState {
    /// Has the weights.
    UpToDate,
    /// Has been told to load them.
    Loading,
    /// Has older weights.
    Outdated {
        /// Requests in flight there, as far as known; the least busy goes first.
        in_flight: u32,
    },
}

/// Returns the indices of the upstreams to be told next.
///
/// ```
/// use daisysill_core::weight_loading::{WeightState, next_to_load};
/// let outdated = WeightState::Outdated { in_flight: 0 };
/// assert_eq!(next_to_load(&[WeightState::Loading, outdated, outdated]), [1]);
/// ```
pub fn next_to_load(upstreams: &[WeightState]) -> Vec<usize> {
    // A share of a count that fits in memory is exact enough.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let share = (upstreams.len() as f64 * SHARE_AT_ONCE) as usize;
    let loading = upstreams.iter().filter(|state| **state == WeightState::Loading).count();
    let free = share.max(LEAST_AT_ONCE).saturating_sub(loading);
    let outdated = upstreams.iter().enumerate().filter_map(|(index, state)| match state {
        WeightState::Outdated { in_flight } => Some((*in_flight, index)),
        WeightState::UpToDate | WeightState::Loading => None,
    });
    let mut outdated: Vec<(u32, usize)> = outdated.collect();
    outdated.sort_unstable();
    outdated.into_iter().take(free).map(|(_, index)| index).collect()
}
