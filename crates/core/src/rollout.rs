//! Which upstream gets the order for new weights next.

use crate::{
    ids::{InstanceId, WeightVersion},
    rules::WeightRules,
};

/// One upstream of the service that gets new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutUpstream {
    /// The upstream.
    pub id: InstanceId,
    /// The version it runs.
    pub weight_version: WeightVersion,
    /// Whether it takes new work.
    pub live: bool,
    /// Whether it has an order to load that has not ended.
    pub loading: bool,
    /// Requests that run on it.
    pub running: u64,
}

/// The next order, if one may be given now, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The upstream that gets the order.
    pub order: Option<InstanceId>,
    /// Whether every upstream that takes new work runs the target version.
    pub complete: bool,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// Decides on the next order to load `target`; call it again after each order and each report.
///
/// ```
/// use daisysill_core::{ids::WeightVersion, rollout::{RolloutUpstream, next_order}, rules::WeightRules};
/// let upstream = |id: &str, running| RolloutUpstream {
///     id: id.into(), weight_version: WeightVersion(1), live: true, loading: false, running,
/// };
/// let upstreams = [upstream("tanpura-1", 4), upstream("tanpura-2", 1)];
/// let rules = WeightRules { max_loading: 2, floor_percent: 50 };
/// let decision = next_order(&upstreams, WeightVersion(2), &rules);
/// assert_eq!(decision.order, Some("tanpura-2".into()));
/// ```
pub fn next_order(
    upstreams: &[RolloutUpstream],
    target: WeightVersion,
    rules: &WeightRules,
) -> RolloutDecision {
    let loading = upstreams.iter().filter(|u| u.loading).count() as u64;
    let serving = upstreams.iter().filter(|u| u.live && !u.loading).count() as u64;
    // The floor counts every upstream of the service, so that failures leave less room for loading.
    let floor = (upstreams.len() as u64 * rules.floor_percent.min(100)).div_ceil(100);
    let old = upstreams.iter().filter(|u| u.live && !u.loading && u.weight_version < target);
    let next = old.clone().min_by(|a, b| (a.running, &a.id).cmp(&(b.running, &b.id)));
    let Some(next) = next else {
        let complete = loading == 0;
        return decision(None, complete, format!("no live upstream is older than {target}, {loading} load"));
    };
    if loading >= rules.max_loading {
        return decision(None, false, format!("{loading} load, at most {} may", rules.max_loading));
    }
    if serving <= floor {
        return decision(None, false, format!("{serving} serve, the capacity floor is {floor}"));
    }
    let reason = format!(
        "{} has the least running ({}) of {} to load; {loading} load, {serving} serve, floor {floor}",
        next.id,
        next.running,
        old.count()
    );
    decision(Some(next.id.clone()), false, reason)
}

fn decision(order: Option<InstanceId>, complete: bool, reason: String) -> RolloutDecision {
    RolloutDecision { order, complete, reason }
}
