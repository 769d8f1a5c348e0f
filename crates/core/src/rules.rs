//! Rule files: the settings of each service that operators publish.

use std::collections::BTreeMap;

use crate::{
    ids::{CustomerId, ServiceName},
    ini_check::{IniError, IniFile},
};

/// Longest duration that a rule may set: one year.
const MAX_DURATION_S: u64 = 31_536_000;
/// Longest deadline that a rule may set: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

value_types! {
    /// A rule file as published, not yet parsed.
    pub struct RuleFile {
        /// Name given in errors.
        pub name: String,
        /// INI text.
        pub text: String,
    }

    /// The rules of one service.
    pub struct ServiceRules {
        /// The service, which no other rule file may name.
        pub service: ServiceName,
        /// Retention of idle context.
        pub rest: RestRules,
        /// Deadlines of requests.
        pub deadlines: DeadlineRules,
        /// Limits of retries.
        pub retries: RetryRules,
        /// Shares of customers.
        pub shares: ShareRules,
        /// Weights of costs in a decision.
        pub costs: CostRules,
        /// Rollout of new weights.
        pub weights: WeightRules,
        /// Requests that are not idempotent.
        pub never_twice: NeverTwiceRules,
        /// Blocking of requests that crash upstreams.
        pub crashes: CrashRules,
    }

    /// How long idle context is kept in each tier, and who may announce its return.
    pub struct RestRules {
        /// Seconds without use after which context leaves accelerator memory.
        pub accelerator_s: u64,
        /// Seconds without use after which context leaves store memory.
        pub memory_s: u64,
        /// Seconds without use after which context is deleted.
        pub disk_s: u64,
        /// Customers that may announce a return; empty allows every customer of the service.
        pub wake_customers: Vec<CustomerId>,
    }

    /// Deadlines of requests.
    pub struct DeadlineRules {
        /// Milliseconds from arrival to the end of the response, unless the caller names a deadline.
        pub request_ms: u64,
        /// Milliseconds without progress after which a connection is abandoned.
        pub progress_ms: u64,
    }

    /// Limits of retries.
    pub struct RetryRules {
        /// Extra attempts in percent of first attempts; 0 allows none.
        pub budget_percent: u64,
        /// Attempts of one request, the first included.
        pub max_attempts: u64,
    }

    /// Shares of customers in the capacity of the service.
    pub struct ShareRules {
        /// The share of a customer that is not named.
        pub default_share: u64,
        /// Shares by customer.
        pub by_customer: BTreeMap<CustomerId, u64>,
    }

    /// Weights of costs in a decision.
    pub struct CostRules {
        /// Microseconds of time to first token that one recomputed token counts for.
        pub recompute_weight_us: u64,
    }

    /// Rollout of new weights.
    pub struct WeightRules {
        /// Upstreams that may load at once.
        pub max_loading: u64,
        /// Percent of the service's upstreams that must stay in service.
        pub floor_percent: u64,
    }

    /// Requests that are not idempotent, and their idempotency keys.
    pub struct NeverTwiceRules {
        /// Method and path patterns; `*` stands for one path segment.
        pub calls: Vec<CallPattern>,
        /// Request header that carries the idempotency key.
        pub key_header: String,
        /// Seconds for which a claim and its response are kept.
        pub keep_s: u64,
    }

    /// A method and a path whose segments may be `*`.
    pub struct CallPattern {
        /// The HTTP method.
        pub method: String,
        /// The path pattern.
        pub path: String,
    }

    /// Blocking of requests that crash upstreams.
    pub struct CrashRules {
        /// Seconds for which a fingerprint stays blocked.
        pub block_s: u64,
    }
}

impl CallPattern {
    /// Returns whether a request matches; the method is compared without regard to case.
    ///
    /// ```
    /// use daisysill_core::rules::CallPattern;
    /// let pattern = CallPattern { method: "POST".into(), path: "/cues/*/fire".into() };
    /// assert!(pattern.matches("POST", "/cues/12/fire"));
    /// assert!(!pattern.matches("POST", "/cues/12/look/fire"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let (mut pattern, mut actual) = (self.path.split('/'), path.split('/'));
        if !self.method.eq_ignore_ascii_case(method) {
            return false;
        }
        loop {
            match (pattern.next(), actual.next()) {
                (None, None) => return true,
                (Some(expected), Some(segment)) if expected == "*" || expected == segment => {}
                _ => return false,
            }
        }
    }
}

impl NeverTwiceRules {
    /// Returns whether a request is not idempotent.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        self.calls.iter().any(|pattern| pattern.matches(method, path))
    }
}

impl ServiceRules {
    /// Returns the rules of a service without a rule file.
    pub fn defaults(service: ServiceName) -> Self {
        Self {
            service,
            rest: RestRules { accelerator_s: 600, memory_s: 86_400, disk_s: 604_800, wake_customers: vec![] },
            deadlines: DeadlineRules { request_ms: 60_000, progress_ms: 2_000 },
            retries: RetryRules { budget_percent: 10, max_attempts: 3 },
            shares: ShareRules { default_share: 1, by_customer: BTreeMap::new() },
            costs: CostRules { recompute_weight_us: 50 },
            weights: WeightRules { max_loading: 2, floor_percent: 70 },
            never_twice: NeverTwiceRules {
                calls: vec![],
                key_header: "idempotency-key".to_owned(),
                keep_s: 86_400,
            },
            crashes: CrashRules { block_s: 3_600 },
        }
    }

    /// Returns the share of a customer.
    pub fn share_of(&self, customer: &CustomerId) -> u64 {
        *self.shares.by_customer.get(customer).unwrap_or(&self.shares.default_share)
    }
}

/// The rules of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    services: BTreeMap<ServiceName, ServiceRules>,
}

impl RuleSet {
    /// Parses rule files; returns all errors of all files.
    ///
    /// ```
    /// use daisysill_core::rules::{RuleFile, RuleSet};
    /// let text = "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire\n";
    /// let rules = RuleSet::parse(&[RuleFile { name: "booth.ini".into(), text: text.into() }]).unwrap();
    /// assert!(rules.of(&"booth-app".into()).never_twice.covers("POST", "/cues/7/fire"));
    /// ```
    pub fn parse(files: &[RuleFile]) -> Result<Self, Vec<IniError>> {
        let mut set = Self::default();
        let mut errors = Vec::new();
        for file in files {
            match parse_file(file) {
                Ok(rules) => set.insert(file, rules, &mut errors),
                Err(mut found) => errors.append(&mut found),
            }
        }
        if errors.is_empty() { Ok(set) } else { Err(errors) }
    }

    /// Returns the rules of a service, or the defaults if none are published.
    pub fn of(&self, service: &ServiceName) -> ServiceRules {
        self.services.get(service).cloned().unwrap_or_else(|| ServiceRules::defaults(service.clone()))
    }

    /// Returns the services that have rules.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    fn insert(&mut self, file: &RuleFile, rules: ServiceRules, errors: &mut Vec<IniError>) {
        if self.services.contains_key(&rules.service) {
            errors.push(IniError {
                file: file.name.clone(),
                line: 1,
                section: "service".to_owned(),
                key: "name".to_owned(),
                value: rules.service.to_string(),
                allowed: "a service that no other rule file names".to_owned(),
            });
            return;
        }
        self.services.insert(rules.service.clone(), rules);
    }
}

const SECTIONS: &[&str] =
    &["service", "rest", "deadlines", "retries", "shares", "costs", "weights", "never_twice", "crashes"];

fn parse_file(file: &RuleFile) -> Result<ServiceRules, Vec<IniError>> {
    let mut ini = IniFile::parse(&file.name, &file.text).map_err(|error| vec![*error])?;
    for section in ini.sections() {
        if !SECTIONS.contains(&section.as_str()) {
            ini.unknown_section(&section, SECTIONS);
        }
    }
    ini.check_keys("service", &["name"]);
    let service = ServiceName::from(ini.required("service", "name", "the name of a service"));
    let defaults = ServiceRules::defaults(service.clone());
    let rules = ServiceRules {
        service,
        rest: parse_rest(&mut ini, &defaults.rest),
        deadlines: parse_deadlines(&mut ini, &defaults.deadlines),
        retries: parse_retries(&mut ini, &defaults.retries),
        shares: parse_shares(&mut ini, defaults.shares),
        costs: parse_costs(&mut ini, &defaults.costs),
        weights: parse_weights(&mut ini, &defaults.weights),
        never_twice: parse_never_twice(&mut ini, defaults.never_twice),
        crashes: parse_crashes(&mut ini, &defaults.crashes),
    };
    let errors = ini.into_errors();
    if errors.is_empty() { Ok(rules) } else { Err(errors) }
}

fn parse_rest(ini: &mut IniFile<'_>, defaults: &RestRules) -> RestRules {
    ini.check_keys("rest", &["accelerator_s", "memory_s", "disk_s", "wake_customers"]);
    let wake_customers = comma_separated(ini.raw("rest", "wake_customers")).map(CustomerId::from).collect();
    RestRules {
        accelerator_s: ini.number("rest", "accelerator_s", defaults.accelerator_s, 0, MAX_DURATION_S),
        memory_s: ini.number("rest", "memory_s", defaults.memory_s, 0, MAX_DURATION_S),
        disk_s: ini.number("rest", "disk_s", defaults.disk_s, 0, MAX_DURATION_S),
        wake_customers,
    }
}

fn parse_deadlines(ini: &mut IniFile<'_>, defaults: &DeadlineRules) -> DeadlineRules {
    ini.check_keys("deadlines", &["request_ms", "progress_ms"]);
    DeadlineRules {
        request_ms: ini.number("deadlines", "request_ms", defaults.request_ms, 1, MAX_DEADLINE_MS),
        progress_ms: ini.number("deadlines", "progress_ms", defaults.progress_ms, 1, MAX_DEADLINE_MS),
    }
}

fn parse_retries(ini: &mut IniFile<'_>, defaults: &RetryRules) -> RetryRules {
    ini.check_keys("retries", &["budget_percent", "max_attempts"]);
    RetryRules {
        budget_percent: ini.number("retries", "budget_percent", defaults.budget_percent, 0, 100),
        max_attempts: ini.number("retries", "max_attempts", defaults.max_attempts, 1, 10),
    }
}

fn parse_shares(ini: &mut IniFile<'_>, mut shares: ShareRules) -> ShareRules {
    for (customer, _) in ini.entries("shares") {
        let share = ini.number("shares", &customer, 1, 1, 1_000);
        if customer == "default" {
            shares.default_share = share;
        } else {
            shares.by_customer.insert(CustomerId::from(customer), share);
        }
    }
    shares
}

fn parse_costs(ini: &mut IniFile<'_>, defaults: &CostRules) -> CostRules {
    ini.check_keys("costs", &["recompute_weight_us"]);
    let weight = ini.number("costs", "recompute_weight_us", defaults.recompute_weight_us, 0, 1_000_000);
    CostRules { recompute_weight_us: weight }
}

fn parse_weights(ini: &mut IniFile<'_>, defaults: &WeightRules) -> WeightRules {
    ini.check_keys("weights", &["max_loading", "floor_percent"]);
    WeightRules {
        max_loading: ini.number("weights", "max_loading", defaults.max_loading, 1, 10_000),
        floor_percent: ini.number("weights", "floor_percent", defaults.floor_percent, 0, 100),
    }
}

fn parse_never_twice(ini: &mut IniFile<'_>, defaults: NeverTwiceRules) -> NeverTwiceRules {
    ini.check_keys("never_twice", &["calls", "key_header", "keep_s"]);
    let texts: Vec<String> = comma_separated(ini.raw("never_twice", "calls")).collect();
    let mut calls = Vec::new();
    for text in texts {
        match text.split_once(' ') {
            Some((method, path)) if path.trim().starts_with('/') => {
                calls.push(CallPattern { method: method.to_owned(), path: path.trim().to_owned() });
            }
            _ => ini.report("never_twice", "calls", &text, "METHOD /path, separated by commas"),
        }
    }
    let header = ini.raw("never_twice", "key_header").map(str::to_ascii_lowercase);
    NeverTwiceRules {
        calls,
        key_header: header.unwrap_or(defaults.key_header),
        keep_s: ini.number("never_twice", "keep_s", defaults.keep_s, 1, MAX_DURATION_S),
    }
}

fn parse_crashes(ini: &mut IniFile<'_>, defaults: &CrashRules) -> CrashRules {
    ini.check_keys("crashes", &["block_s"]);
    CrashRules { block_s: ini.number("crashes", "block_s", defaults.block_s, 1, MAX_DURATION_S) }
}

fn comma_separated(value: Option<&str>) -> impl Iterator<Item = String> {
    let items = value.unwrap_or("").split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(str::to_owned).collect::<Vec<_>>().into_iter()
}
