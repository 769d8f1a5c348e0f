//! Chooses the upstream that is ordered to load new weights next.

use crate::{
    ids::{InstanceId, WeightVersion},
    rules::WeightRules,
};

/// An upstream of the service whose weights change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutUpstream {
    /// Breaks ties between equally loaded upstreams.
    pub id: InstanceId,
    /// The version it runs.
    pub weight_version: WeightVersion,
    /// Whether it takes new work.
    pub live: bool,
    /// Whether it has a load order in progress.
    pub loading: bool,
    /// Requests running on it.
    pub running: u64,
}

/// The next load order, if one may be given now, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The upstream to order; `None` if no order may be given now.
    pub order: Option<InstanceId>,
    /// Whether every upstream that takes new work runs the target version.
    pub complete: bool,
    /// One line for `daisysill explain`.
    pub reason: String,
}

/// Decides on the next order to load `target`; to be called again after each order and each report.
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
    // The floor is a part of all upstreams, failed ones included, so that failures allow fewer loads.
    let floor = (upstreams.len() as u64 * rules.floor_percent.min(100)).div_ceil(100);
    let outdated = upstreams.iter().filter(|u| u.live && !u.loading && u.weight_version < target);
    let next = outdated.clone().min_by(|a, b| (a.running, &a.id).cmp(&(b.running, &b.id)));
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
        outdated.count()
    );
    decision(Some(next.id.clone()), false, reason)
}

fn decision(order: Option<InstanceId>, complete: bool, reason: String) -> RolloutDecision {
    RolloutDecision { order, complete, reason }
}
