//! The upstreams that an attempt may go to, before their load is considered.

use std::{collections::HashSet, rc::Rc};

use daisysill_core::ids::ZoneName;

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    forward::Gateway,
    upstreams::Upstream,
};

impl Gateway {
    /// Returns the upstreams that accept requests, may run this one and were not tried; those that seem unreachable, by themselves or
    /// with their zone, only if no other is left.
    pub(crate) fn untried(&self, request: &CallerRequest, history: &AttemptHistory) -> Vec<Rc<Upstream>> {
        let mut untried = self.untried_in_any_zone(request, history);
        let zones: HashSet<&ZoneName> = untried.iter().map(|upstream| &upstream.entry.zone).collect();
        let mut reachability = self.zone_reachability.borrow_mut();
        let now_ms = self.now_ms();
        let admitted: HashSet<ZoneName> =
            zones.into_iter().filter(|zone| reachability.admits(zone, now_ms)).cloned().collect();
        if !admitted.is_empty() {
            untried.retain(|upstream| admitted.contains(&upstream.entry.zone));
        }
        untried
    }

    /// Same as [`Self::untried`] in zones that seem reachable; takes no probe of the others.
    pub(crate) fn untried_in_reachable_zones(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
    ) -> Vec<Rc<Upstream>> {
        let mut untried = self.untried_in_any_zone(request, history);
        let (reachability, now_ms) = (self.zone_reachability.borrow(), self.now_ms());
        untried.retain(|upstream| reachability.is_reachable(&upstream.entry.zone, now_ms));
        untried
    }

    fn untried_in_any_zone(&self, request: &CallerRequest, history: &AttemptHistory) -> Vec<Rc<Upstream>> {
        let mut untried = self.upstreams.accepting(&request.service);
        untried.retain(|upstream| !history.tried.contains(&upstream.entry.id));
        untried.retain(|upstream| self.has_required_software(upstream, history));
        untried.retain(|upstream| self.may_use_zone(request, &upstream.entry.zone));
        if untried.iter().any(|upstream| !self.seems_unreachable(upstream)) {
            untried.retain(|upstream| !self.seems_unreachable(upstream));
        }
        untried
    }

    /// Returns whether an upstream seems unreachable. Reports of other nodes in this zone count only if this node has
    /// no recent evidence of its own.
    fn seems_unreachable(&self, upstream: &Upstream) -> bool {
        if upstream.reachability_unknown() {
            return self.upstreams.is_reported_unreachable(&self.cluster.other_nodes_load(upstream.tag));
        }
        upstream.is_unreachable()
    }
}
