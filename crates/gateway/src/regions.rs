//! The regions to which requests are limited: where a request may run, and where its body may go.

use daisysill_core::{
    ids::ZoneName,
    regions::{RegionLimit, ZoneRegions},
};

use crate::{caller_request::CallerRequest, forward::Gateway};

/// The zones of the deployment as an entry node in one of them sees them.
#[derive(Clone, Debug)]
pub struct Regions {
    /// All zones with their regions.
    pub zones: ZoneRegions,
    /// The zone of this node.
    pub own_zone: ZoneName,
}

impl CallerRequest {
    /// Returns the regions to which the request is limited.
    pub(crate) fn region_limit(&self) -> RegionLimit<'_> {
        let customer = self.customer.as_ref().and_then(|customer| customer.allowed_regions.as_deref());
        RegionLimit { route: self.route.allowed_regions.as_deref(), customer }
    }

    /// Returns the limit for the reason of a refusal; empty if there is none.
    pub(crate) fn region_description(&self) -> String {
        let RegionLimit { route, customer } = self.region_limit();
        let lists = [("route", route), ("customer", customer)];
        let set = lists.iter().filter_map(|(owner, list)| Some((owner, (*list)?)));
        let described: Vec<String> =
            set.map(|(owner, list)| format!("; regions of the {owner} {list:?}")).collect();
        described.concat()
    }
}

impl Gateway {
    /// Returns whether a request may use an upstream or a store in a zone.
    pub(crate) fn may_use_zone(&self, request: &CallerRequest, zone: &ZoneName) -> bool {
        self.regions.zones.admits(&request.region_limit(), zone)
    }

    /// Returns whether the body of a request may go to an entry node in a zone, which is `None` if it is unknown.
    pub(crate) fn may_pass_to(&self, request: &CallerRequest, zone: Option<&ZoneName>) -> bool {
        self.regions.zones.admits_body(&request.region_limit(), &self.regions.own_zone, zone)
    }
}
