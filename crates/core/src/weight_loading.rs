//! Selection of the upstreams that load new model weights next during a rollout.

/// Maximum fraction of upstreams that load concurrently, so that the others can serve the requests.
const MAX_LOADING_FRACTION: f64 = 0.25;
/// Number of upstreams that may always load concurrently; with fewer, a rollout of a small service takes too long.
const MIN_LOADING: usize = 2;

/// State of the weights at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightState {
    /// Runs the new weights.
    UpToDate,
    /// Was ordered to load the new weights.
    Loading,
    /// Was ordered and does not answer any more, or refused its last order just now. It is not ordered again yet, and others
    /// load in its place: it may never come back.
    Unavailable,
    /// Runs older weights.
    Outdated {
        /// Orders in a row after which it did not get the new weights; the upstream with the fewest loads first.
        failed_orders: u32,
    },
}

/// Returns the indices of the upstreams to be ordered to load next.
///
/// ```
/// use daisysill_core::weight_loading::{WeightState, next_to_load};
/// let outdated = WeightState::Outdated { failed_orders: 0 };
/// assert_eq!(next_to_load(&[WeightState::Loading, outdated, outdated]), [1]);
/// let failed = WeightState::Outdated { failed_orders: 1 };
/// assert_eq!(next_to_load(&[WeightState::Unavailable, failed, failed, outdated]), [3, 1]);
/// ```
pub fn next_to_load(upstreams: &[WeightState]) -> Vec<usize> {
    // `f64` is exact enough for a fraction of a count that fits in memory.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let fraction = (upstreams.len() as f64 * MAX_LOADING_FRACTION) as usize;
    let loading = upstreams.iter().filter(|state| **state == WeightState::Loading).count();
    let allowed = fraction.max(MIN_LOADING).saturating_sub(loading);
    let outdated = upstreams.iter().enumerate().filter_map(|(index, state)| match state {
        WeightState::Outdated { failed_orders } => Some((*failed_orders, index)),
        WeightState::UpToDate | WeightState::Loading | WeightState::Unavailable => None,
    });
    let mut outdated: Vec<(u32, usize)> = outdated.collect();
    outdated.sort_unstable();
    outdated.into_iter().take(allowed).map(|(_, index)| index).collect()
}
