//! The routing document: routes, services, customers and limits, and how a request finds its route.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    sync::Arc,
};

use crate::ids::{CustomerId, ServiceName, ZoneName};

value_types! {
    /// What may be repeated, and how the answer is delivered.
    #[derive(Copy)]
    pub enum CallKind {
        /// Idempotent: may run more than once.
        Idempotent,
        /// Runs at most once for each request.
        AtMostOnce,
        /// A stream of events.
        Stream {
            /// Whether another upstream may go on after the last event that was delivered.
            resumable: bool,
        },
    }

    /// A share of a route's requests.
    pub struct Target {
        /// The service.
        pub service: ServiceName,
        /// The share, relative to the other targets.
        pub weight: u32,
    }

    /// Where requests of one host and path prefix go.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub path_prefix: String,
        /// What may be repeated.
        pub kind: CallKind,
        /// Longest time that a request is kept waiting.
        pub timeout_ms: u64,
        /// Time within which an answer, or the first event of a stream, is on time.
        pub goal_ms: u64,
        /// Longest pause between two events that is on time.
        pub event_gap_goal_ms: Option<u64>,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// Where requests go.
        pub targets: Vec<Target>,
        /// Upstreams that one request may be sent to.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub public: bool,
    }

    /// What is known of the engines of a service.
    pub struct EngineSpec {
        /// Requests that one engine runs at the same time.
        pub slots: u32,
        /// Tokens that one engine holds.
        pub memory_tokens: u64,
        /// Bytes of KV cache of one token.
        pub token_bytes: u64,
        /// Speed of one engine's link for transfers of KV cache.
        pub link_mbit_per_s: u64,
        /// The models that it serves.
        pub models: Vec<String>,
    }

    /// A store of KV cache.
    pub struct StoreSpec {
        /// Its address.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Tokens that it holds.
        pub memory_tokens: u64,
        /// Speed of its link.
        pub link_mbit_per_s: u64,
    }

    /// What upstreams of a service are.
    pub enum ServiceSpec {
        /// Engines that run prompts.
        Engine(EngineSpec),
        /// Plain services.
        Plain,
        /// A store, to which no request goes.
        Store(StoreSpec),
    }

    /// A service.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Connections that one upstream accepts from all nodes together.
        pub max_connections: u32,
        /// What its upstreams are.
        pub spec: ServiceSpec,
    }

    /// A customer.
    pub struct Customer {
        /// Its name.
        pub name: CustomerId,
        /// The keys that identify it.
        pub keys: Vec<String>,
        /// Rank that goes before that of the route.
        pub priority: Option<u8>,
        /// Whether its cached prompts are shared with nobody.
        pub isolated: bool,
    }

    /// What a caller may send.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Bytes of the head of a request.
        pub header_bytes: usize,
        /// Bytes of the body of a request.
        pub body_bytes: usize,
        /// Time for the head of a request.
        pub header_timeout_ms: u64,
        /// Time that a connection may be idle.
        pub idle_timeout_ms: u64,
    }

    /// A routing document as its author wrote it.
    pub struct RoutingSpec {
        /// Its version; the highest is in force.
        pub version: u64,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services.
        pub services: Vec<Service>,
        /// The customers; if there are none, no key is needed.
        pub customers: Vec<Customer>,
        /// What callers may send.
        pub limits: CallerLimits,
    }

    /// Why a routing document is invalid.
    pub enum RoutingError {
        /// A route names a service that the document lacks.
        UnknownService {
            /// The route.
            route: String,
            /// The service.
            service: ServiceName,
        },
        /// Two routes have the same host and prefix.
        SamePlace {
            /// The host.
            host: String,
            /// The prefix.
            path_prefix: String,
        },
        /// The weights of a route add up to 0.
        NoWeight {
            /// The route.
            route: String,
        },
        /// A route gives no time.
        NoTimeout {
            /// The route.
            route: String,
        },
        /// Two customers have the same key.
        SharedKey {
            /// The customer that came second.
            customer: CustomerId,
        },
    }
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route:?} names the unknown service {service:?}", service = service.as_str())
            }
            Self::SamePlace { host, path_prefix } => {
                write!(f, "two routes have the host {host:?} and the prefix {path_prefix:?}")
            }
            Self::NoWeight { route } => write!(f, "the weights of route {route:?} add up to 0"),
            Self::NoTimeout { route } => write!(f, "route {route:?} has a timeout of 0 ms"),
            Self::SharedKey { customer } => write!(f, "customer {customer} has a key of another customer"),
        }
    }
}

impl std::error::Error for RoutingError {}

/// A routing document, checked and indexed.
#[derive(Debug)]
pub struct RoutingTable {
    version: u64,
    by_host: HashMap<String, HashMap<String, Arc<Route>>>,
    customers: HashMap<String, Arc<Customer>>,
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
                return Err(RoutingError::SamePlace { host: route.host, path_prefix: route.path_prefix });
            }
            routes.insert(route.path_prefix.clone(), Arc::new(route));
        }
        let customers = index_customers(spec.customers)?;
        Ok(Self { version: spec.version, by_host, customers, services, limits: spec.limits })
    }

    /// Returns the version of the document.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of the longest prefix that begins `path`.
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

    /// Returns whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer that a key identifies.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

impl Route {
    /// Returns the service that a request goes to. `draw` is a random number in 0..1.
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
        return Err(RoutingError::NoWeight { route: route.name.clone() });
    }
    if route.timeout_ms == 0 {
        return Err(RoutingError::NoTimeout { route: route.name.clone() });
    }
    Ok(())
}

fn index_customers(customers: Vec<Customer>) -> Result<HashMap<String, Arc<Customer>>, RoutingError> {
    let mut by_key = HashMap::new();
    for customer in customers {
        let customer = Arc::new(customer);
        let own: HashSet<&String> = customer.keys.iter().collect();
        for key in own {
            if by_key.insert(key.clone(), Arc::clone(&customer)).is_some() {
                return Err(RoutingError::SharedKey { customer: customer.name.clone() });
            }
        }
    }
    Ok(by_key)
}
