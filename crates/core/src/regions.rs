//! The availability zones of a deployment and the regions that they lie in. Handles the load of each choice of an upstream, which
//! asks for the region of a few zones.

use std::collections::BTreeMap;

use crate::{
    ids::{RegionName, ZoneName},
    routing::{RoutingError, RoutingSpec},
};

/// The known zones, each with its region as far as that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions(BTreeMap<ZoneName, Option<RegionName>>);

impl ZoneRegions {
    /// Creates the zones from pairs; for a zone that is named twice, a known region takes precedence.
    ///
    /// ```
    /// use daisysill_core::regions::ZoneRegions;
    ///
    /// let zones = ZoneRegions::new([("north".into(), Some("east".into())), ("north".into(), None)]);
    /// assert!(zones.contains(&"north".into()) && !zones.contains(&"south".into()));
    /// assert_eq!(zones.region_of(&"north".into()), Some(&"east".into()));
    /// ```
    pub fn new(pairs: impl IntoIterator<Item = (ZoneName, Option<RegionName>)>) -> Self {
        let mut zones = BTreeMap::new();
        for (zone, region) in pairs {
            let known: &mut Option<RegionName> = zones.entry(zone).or_default();
            *known = region.or(known.take());
        }
        Self(zones)
    }

    /// Returns whether a zone is known.
    ///
    /// ```
    /// use daisysill_core::regions::ZoneRegions;
    ///
    /// assert!(!ZoneRegions::default().contains(&"north".into()));
    /// ```
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.0.contains_key(zone)
    }

    /// Returns the region of a zone; `None` if the zone or its region is unknown.
    ///
    /// ```
    /// use daisysill_core::regions::ZoneRegions;
    ///
    /// assert_eq!(ZoneRegions::default().region_of(&"north".into()), None);
    /// ```
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.0.get(zone)?.as_ref()
    }

    /// Returns the names of the known zones.
    ///
    /// ```
    /// use daisysill_core::regions::ZoneRegions;
    ///
    /// let zones = ZoneRegions::new([("north".into(), None)]);
    /// assert_eq!(zones.names().next(), Some(&"north".into()));
    /// ```
    pub fn names(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.keys()
    }
}

/// The regions to which a request is limited, by its route and by its customer; both lists bind. An empty list allows none.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionLimit<'a> {
    /// The regions that the route allows; `None` if it sets no limit.
    pub route: Option<&'a [RegionName]>,
    /// The regions that the customer allows; `None` if it sets no limit.
    pub customer: Option<&'a [RegionName]>,
}

impl RegionLimit<'_> {
    /// Returns whether any list limits the request.
    ///
    /// ```
    /// use daisysill_core::regions::RegionLimit;
    ///
    /// assert!(!RegionLimit::default().is_set());
    /// assert!(RegionLimit { route: Some(&[]), customer: None }.is_set());
    /// ```
    pub const fn is_set(&self) -> bool {
        self.route.is_some() || self.customer.is_some()
    }

    /// Returns whether both lists allow a region.
    ///
    /// ```
    /// use daisysill_core::regions::RegionLimit;
    ///
    /// let (east, both) = (["east".into()], ["east".into(), "west".into()]);
    /// let limit = RegionLimit { route: Some(&east), customer: Some(&both) };
    /// assert!(limit.allows(&"east".into()) && !limit.allows(&"west".into()));
    /// ```
    pub fn allows(&self, region: &RegionName) -> bool {
        let lists = [self.route, self.customer];
        lists.iter().flatten().all(|list| list.contains(region))
    }
}

impl ZoneRegions {
    /// Returns whether a request may use an upstream or a store in a zone. Under a limit, it may not where the region is unknown.
    ///
    /// ```
    /// use daisysill_core::regions::{RegionLimit, ZoneRegions};
    ///
    /// let zones = ZoneRegions::new([("north".into(), Some("east".into()))]);
    /// let east = ["east".into()];
    /// let limit = RegionLimit { route: Some(&east), customer: None };
    /// assert!(zones.admits(&limit, &"north".into()) && !zones.admits(&limit, &"unknown".into()));
    /// assert!(zones.admits(&RegionLimit::default(), &"unknown".into()));
    /// ```
    pub fn admits(&self, limit: &RegionLimit<'_>, zone: &ZoneName) -> bool {
        !limit.is_set() || self.region_of(zone).is_some_and(|region| limit.allows(region))
    }

    /// Returns whether the body of a request may go to an entry node in the zone `to` (`None` if that is unknown), from the node
    /// in the zone `from` that its caller connected to: to an allowed region, and within the region of that node.
    ///
    /// ```
    /// use daisysill_core::regions::{RegionLimit, ZoneRegions};
    ///
    /// let zones = [("north".into(), Some("east".into())), ("south".into(), Some("west".into()))];
    /// let zones = ZoneRegions::new(zones);
    /// let limit = RegionLimit { route: Some(&[]), customer: None };
    /// assert!(zones.admits_body(&limit, &"north".into(), Some(&"north".into())));
    /// assert!(!zones.admits_body(&limit, &"north".into(), Some(&"south".into())));
    /// assert!(!zones.admits_body(&limit, &"north".into(), None));
    /// ```
    pub fn admits_body(&self, limit: &RegionLimit<'_>, from: &ZoneName, to: Option<&ZoneName>) -> bool {
        if !self.depends_on_zone(limit) {
            return true;
        }
        let Some(region) = to.and_then(|zone| self.region_of(zone)) else { return false };
        limit.allows(region) || self.region_of(from) == Some(region)
    }

    /// Returns whether it depends on the zone of an entry node whether the body of a request may go there.
    ///
    /// ```
    /// use daisysill_core::regions::{RegionLimit, ZoneRegions};
    ///
    /// let zones = ZoneRegions::new([("north".into(), Some("east".into()))]);
    /// let limit = RegionLimit { route: Some(&[]), customer: None };
    /// assert!(!zones.depends_on_zone(&limit), "there is one region only");
    /// ```
    pub fn depends_on_zone(&self, limit: &RegionLimit<'_>) -> bool {
        limit.is_set() && !self.is_one_region()
    }

    /// Returns whether all known zones lie in one known region.
    ///
    /// ```
    /// use daisysill_core::regions::ZoneRegions;
    ///
    /// let zones = [("north".into(), Some("east".into())), ("south".into(), None)];
    /// assert!(ZoneRegions::new(zones[..1].to_vec()).is_one_region());
    /// assert!(!ZoneRegions::new(zones).is_one_region(), "one is unknown");
    /// ```
    pub fn is_one_region(&self) -> bool {
        let mut regions = self.0.values();
        let Some(Some(first)) = regions.next() else { return false };
        regions.all(|region| region.as_ref() == Some(first))
    }

    /// Checks that each region that a routing document names has a zone.
    ///
    /// # Errors
    /// Returns the first region that has none.
    ///
    /// ```
    /// use daisysill_core::{regions::ZoneRegions, routing::{CallerLimits, Customer, RoutingSpec}};
    ///
    /// let red = Customer {
    ///     name: "red".into(),
    ///     keys: vec![],
    ///     priority: None,
    ///     isolated: false,
    ///     allowed_regions: Some(vec!["east".into()]),
    /// };
    /// let spec = RoutingSpec {
    ///     version: 1,
    ///     routes: vec![],
    ///     services: vec![],
    ///     customers: Some(vec![red]),
    ///     limits: CallerLimits { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
    /// };
    /// assert!(ZoneRegions::new([("north".into(), Some("east".into()))]).check(&spec).is_ok());
    /// assert!(ZoneRegions::default().check(&spec).is_err());
    /// ```
    pub fn check(&self, spec: &RoutingSpec) -> Result<(), RoutingError> {
        let routes = spec.routes.iter().map(|route| (route.name.as_str(), &route.allowed_regions));
        let customers = spec.customers.iter().flatten();
        let customers = customers.map(|customer| (customer.name.as_str(), &customer.allowed_regions));
        for (owner, regions) in routes.chain(customers) {
            let unknown = regions.iter().flatten().find(|region| !self.has_region(region));
            if let Some(region) = unknown {
                return Err(RoutingError::UnknownRegion { owner: owner.to_owned(), region: region.clone() });
            }
        }
        Ok(())
    }

    fn has_region(&self, region: &RegionName) -> bool {
        self.0.values().flatten().any(|known| known == region)
    }
}
