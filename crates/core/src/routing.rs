//! The routing document (routes, services, customers and limits) and the lookup of a request's route in it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
    sync::Arc,
};

use crate::ids::{CustomerId, RegionName, ServiceName, ZoneName};

value_types! {
    /// Whether a request may be repeated, and how its response is delivered.
    #[derive(Copy)]
    pub enum CallKind {
        /// May run more than once for one request.
        Idempotent,
        /// Runs at most once for each request.
        AtMostOnce,
        /// Answered by a stream of events.
        Stream {
            /// Whether another upstream may continue after the last delivered event.
            resumable: bool,
        },
    }

    /// A share of a route's requests.
    pub struct Target {
        /// The service that gets the requests; must be in the document.
        pub service: ServiceName,
        /// The share, relative to the weights of the route's other targets; 0 for none.
        pub weight: u32,
    }

    /// Routing of the requests to one host and path prefix.
    pub struct Route {
        /// Its name in errors and logs.
        pub name: String,
        /// The host name that requests must have.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub path_prefix: String,
        /// Whether requests may be repeated.
        pub kind: CallKind,
        /// Default and maximum of a request's deadline, counted from its arrival; must not be 0.
        pub timeout_ms: u64,
        /// Latency goal for a response, or for the first event of a stream.
        pub goal_ms: u64,
        /// Latency goal for the gap between two events of a stream; `None` for the gateway's default.
        pub event_gap_goal_ms: Option<u64>,
        /// Priority of requests; 0 is the most urgent.
        pub priority: u8,
        /// The services that share the requests by weight.
        pub targets: Vec<Target>,
        /// Number of upstreams that one request may be sent to.
        pub max_attempts: u32,
        /// Whether requests are accepted without a key.
        pub public: bool,
        /// The regions in which requests may run; `None` for no limit, none for an empty list.
        pub allowed_regions: Option<Vec<RegionName>>,
    }

    /// Capacity of the engines of a service.
    pub struct EngineSpec {
        /// Requests that one engine runs concurrently.
        pub slots: u32,
        /// Tokens that fit in the KV cache of one engine.
        pub memory_tokens: u64,
        /// Size of the KV cache of one token.
        pub token_bytes: u64,
        /// Bandwidth of one engine's link for transfers of KV cache.
        pub link_mbit_per_s: u64,
        /// The models that the service offers.
        pub models: Vec<String>,
    }

    /// A store of exported KV cache.
    pub struct StoreSpec {
        /// Its network address.
        pub address: String,
        /// The availability zone it runs in.
        pub zone: ZoneName,
        /// Tokens of KV cache that fit in it.
        pub memory_tokens: u64,
        /// Bandwidth of its link.
        pub link_mbit_per_s: u64,
    }

    /// Kind of the upstreams of a service.
    pub enum ServiceSpec {
        /// Engines that run prompts.
        Engine(EngineSpec),
        /// Plain HTTP services, which run no prompts.
        Plain,
        /// A store, which gets no requests of callers.
        Store(StoreSpec),
    }

    /// What upstreams tolerate while they are cold.
    #[derive(Copy)]
    pub struct ColdLimit {
        /// How long an upstream is cold after its start.
        pub start_ms: u64,
        /// Requests per 1,000 s that a cold upstream tolerates from all nodes together.
        pub per_1000_s: u64,
    }

    /// A service and its upstreams.
    pub struct Service {
        /// Its name in the document.
        pub name: ServiceName,
        /// Limit on connections to one upstream, for all nodes together.
        pub max_connections: u32,
        /// Kind and capacity of its upstreams.
        pub spec: ServiceSpec,
        /// The limit for cold upstreams; `None` if there is none.
        pub cold: Option<ColdLimit>,
    }

    /// A customer and its keys.
    pub struct Customer {
        /// Its name in the document.
        pub name: CustomerId,
        /// The keys that identify its requests; no other customer may have them.
        pub keys: Vec<String>,
        /// Priority that takes precedence over that of the route; 0 is the most urgent, `None` the default.
        pub priority: Option<u8>,
        /// Whether its cached prompts are kept apart from those of other customers.
        pub isolated: bool,
        /// The regions in which its requests may run; `None` for no limit, none for an empty list.
        pub allowed_regions: Option<Vec<RegionName>>,
    }

    /// Limits on requests of callers.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Maximum size of a request's head.
        pub header_bytes: usize,
        /// Maximum size of a request's body.
        pub body_bytes: usize,
        /// Time limit for receiving a request's head.
        pub header_timeout_ms: u64,
        /// Time after which an idle connection is closed.
        pub idle_timeout_ms: u64,
    }

    /// A decoded routing document that has not been checked.
    pub struct RoutingSpec {
        /// Its version; the highest is in force.
        pub version: u64,
        /// The routes, in no particular order.
        pub routes: Vec<Route>,
        /// The services that routes refer to, and stores.
        pub services: Vec<Service>,
        /// The customers; `None` if the document names none at all, so that requests need no key. An empty list still
        /// requires one, which no customer has.
        pub customers: Option<Vec<Customer>>,
        /// The limits on requests of all callers.
        pub limits: CallerLimits,
    }

    /// Reason why a routing document is invalid.
    pub enum RoutingError {
        /// A route refers to a service that is not in the document.
        UnknownService {
            /// The route's name.
            route: String,
            /// The missing service.
            service: ServiceName,
        },
        /// Two routes have the same host and prefix.
        DuplicateRoute {
            /// The host of both.
            host: String,
            /// The path prefix of both.
            path_prefix: String,
        },
        /// All weights of a route are 0.
        ZeroWeights {
            /// The route's name.
            route: String,
        },
        /// The time limit of a route is 0.
        ZeroTimeout {
            /// The route's name.
            route: String,
        },
        /// Two customers have the same key.
        DuplicateKey {
            /// The later one of them in the document.
            customer: CustomerId,
        },
        /// A route or a customer is limited to a region that no zone has.
        UnknownRegion {
            /// Name of the route or the customer.
            owner: String,
            /// The region.
            region: RegionName,
        },
    }
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route:?} names the unknown service {service:?}", service = service.as_str())
            }
            Self::DuplicateRoute { host, path_prefix } => {
                write!(f, "two routes have the host {host:?} and the prefix {path_prefix:?}")
            }
            Self::ZeroWeights { route } => write!(f, "the weights of route {route:?} add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "route {route:?} has a timeout of 0 ms"),
            Self::UnknownRegion { owner, region } => {
                write!(f, "{owner:?} names the region {:?}, which no zone has", region.as_str())
            }
            Self::DuplicateKey { customer } => write!(f, "customer {customer} has a key of another customer"),
        }
    }
}

impl std::error::Error for RoutingError {}

/// Number of hexadecimal digits of [`CachePartition::SharedBeside`].
const PARTITION_DIGITS: usize = 16;

/// The customers among which cached prompts are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachePartition<'a> {
    /// All customers.
    Shared,
    /// All but those that are isolated, which this digest names: what a customer left in the cache before it became isolated
    /// must not be found afterwards.
    SharedBeside(&'a str),
    /// Only this customer.
    Isolated(&'a CustomerId),
}

/// A valid routing document, indexed for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    version: u64,
    by_host: HashMap<String, HashMap<String, Arc<Route>>>,
    customers: HashMap<String, Arc<Customer>>,
    requires_keys: bool,
    isolated: BTreeSet<CustomerId>,
    /// Digest of the names of all isolated customers; `None` if there are none.
    isolated_digest: Option<String>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    limits: CallerLimits,
}

impl RoutingTable {
    /// Checks and indexes a document.
    ///
    /// # Errors
    /// Returns the first reason why the document is invalid.
    pub fn build(spec: RoutingSpec) -> Result<Self, RoutingError> {
        let services: BTreeMap<ServiceName, Arc<Service>> =
            spec.services.into_iter().map(|service| (service.name.clone(), Arc::new(service))).collect();
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in spec.routes {
            check_route(&route, &services)?;
            let routes = by_host.entry(route.host.clone()).or_default();
            if routes.contains_key(&route.path_prefix) {
                return Err(RoutingError::DuplicateRoute {
                    host: route.host,
                    path_prefix: route.path_prefix,
                });
            }
            routes.insert(route.path_prefix.clone(), Arc::new(route));
        }
        let requires_keys = spec.customers.is_some();
        let customers = spec.customers.unwrap_or_default();
        let isolated: BTreeSet<CustomerId> = customers
            .iter()
            .filter(|customer| customer.isolated)
            .map(|customer| customer.name.clone())
            .collect();
        Ok(Self {
            version: spec.version,
            by_host,
            customers: index_customers(customers)?,
            requires_keys,
            isolated_digest: digest_of(&isolated),
            isolated,
            services,
            limits: spec.limits,
        })
    }

    /// Returns the document's version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route with the longest prefix of `path`; `None` if the host has no such route.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path.get(..end)?.rfind('/') {
            if let Some(route) = path.get(..=slash).and_then(|prefix| routes.get(prefix)) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns whether routes that are not public require a key, which they also do once no customer has one any more.
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the customer that a key identifies, `None` if the key is unknown.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// Returns the customers with which a request of `customer` shares cached prompts. A customer that was isolated when the
    /// request was admitted stays apart for it, also if this newer document does not isolate it.
    ///
    /// ```
    /// use daisysill_core::routing::{CachePartition, CallerLimits, Customer, RoutingError, RoutingSpec, RoutingTable};
    /// let customer = |name: &str, isolated| Customer {
    ///     name: name.into(),
    ///     keys: vec![],
    ///     priority: None,
    ///     isolated,
    ///     allowed_regions: None,
    /// };
    /// let (red, blue) = (customer("red", true), customer("blue", false));
    /// let table = RoutingTable::build(RoutingSpec {
    ///     version: 1,
    ///     routes: vec![],
    ///     services: vec![],
    ///     customers: Some(vec![red.clone(), blue.clone()]),
    ///     limits: CallerLimits { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
    /// })?;
    /// assert_eq!(table.cache_partition(Some(&red)), CachePartition::Isolated(&red.name));
    /// assert!(matches!(table.cache_partition(Some(&blue)), CachePartition::SharedBeside(_)));
    /// # Ok::<(), RoutingError>(())
    /// ```
    pub fn cache_partition<'a>(&'a self, customer: Option<&'a Customer>) -> CachePartition<'a> {
        match (customer, self.isolated_digest.as_deref()) {
            (Some(customer), _) if customer.isolated || self.isolated.contains(&customer.name) => {
                CachePartition::Isolated(&customer.name)
            }
            (_, Some(digest)) => CachePartition::SharedBeside(digest),
            (_, None) => CachePartition::Shared,
        }
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

impl Route {
    /// Selects the service of a request by weight; `draw` is a random number in `0.0..1.0`.
    ///
    /// Returns `None` if no target has a weight.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        let chosen = self.targets.iter().find(|target| {
            left -= f64::from(target.weight);
            left < 0.0
        });
        chosen.or_else(|| self.targets.iter().rfind(|target| target.weight > 0)).map(|target| &target.service)
    }
}

fn check_route(route: &Route, services: &BTreeMap<ServiceName, Arc<Service>>) -> Result<(), RoutingError> {
    let unknown = route.targets.iter().find(|target| !services.contains_key(&target.service));
    if let Some(target) = unknown {
        let service = target.service.clone();
        return Err(RoutingError::UnknownService { route: route.name.clone(), service });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(RoutingError::ZeroWeights { route: route.name.clone() });
    }
    if route.timeout_ms == 0 {
        return Err(RoutingError::ZeroTimeout { route: route.name.clone() });
    }
    Ok(())
}

/// Returns a digest of names, each with its length, so that no two sets have the same; `None` without names.
fn digest_of(names: &BTreeSet<CustomerId>) -> Option<String> {
    if names.is_empty() {
        return None;
    }
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(&(name.as_str().len() as u64).to_le_bytes());
        hasher.update(name.as_str().as_bytes());
    }
    Some(hasher.finalize().to_hex()[..PARTITION_DIGITS].to_owned())
}

fn index_customers(customers: Vec<Customer>) -> Result<HashMap<String, Arc<Customer>>, RoutingError> {
    let mut by_key = HashMap::new();
    for customer in customers {
        let customer = Arc::new(customer);
        let distinct: HashSet<&String> = customer.keys.iter().collect();
        for key in distinct {
            if by_key.insert(key.clone(), Arc::clone(&customer)).is_some() {
                return Err(RoutingError::DuplicateKey { customer: customer.name.clone() });
            }
        }
    }
    Ok(by_key)
}
