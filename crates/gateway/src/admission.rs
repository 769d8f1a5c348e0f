//! Admits requests by the routing table in force, and checks their keys again before each send.

use std::sync::Arc;

use daisysill_core::{
    result_code::ResultCode,
    routing::{Customer, Route},
};

use crate::{
    caller_request::{AttemptHistory, CallerRequest},
    forward::Gateway,
    refusal::Refusal,
    refusal_rules::STALE_RETRY_MS,
    routing_state::ConfirmedTable,
};

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The matching route.
    pub route: Arc<Route>,
    /// The customer; `None` if the route needs no key.
    pub customer: Option<Arc<Customer>>,
    /// Version of the routing document that admitted the request.
    pub config_version: u64,
}

/// What a later check of an admitted request's key finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    /// It is still the customer's, or the request needs none.
    Valid,
    /// The configuration is too old to decide.
    Unconfirmed,
    /// It was taken away.
    Revoked,
}

impl Gateway {
    /// Puts the newest configuration that this node knows in force, and returns its routing table with its confirmation; `None`
    /// before the first configuration has arrived.
    pub fn confirmed_table(&self) -> Option<ConfirmedTable> {
        self.routing.update(|view| self.install_evacuations(&view.draining))
    }

    /// Puts the newest configuration that this node knows in force, with its evacuated zones.
    pub(crate) fn update_config(&self) {
        let _ = self.confirmed_table();
    }

    /// Returns whether a routing table is recent enough to accept a key.
    pub(crate) fn is_fresh(&self, confirmed: &ConfirmedTable) -> bool {
        confirmed.age().is_some_and(|age| age < self.bounds.max_config_age)
    }

    /// Finds the route and the customer of a request; routes that need no key have no customer.
    ///
    /// # Errors
    /// Refuses requests that the configuration does not allow, and those for which it is too old to decide.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, Refusal> {
        let Some(confirmed) = self.confirmed_table() else {
            return Err(Refusal::not_run(ResultCode::NoQuorum, "no configuration yet", STALE_RETRY_MS));
        };
        if let Some(age) = confirmed.age() {
            self.metrics.admitted_config_age_seconds.observe(age.as_secs_f64());
        }
        let (table, fresh) = (&confirmed.table, self.is_fresh(&confirmed));
        let config_version = table.version();
        let stale = || {
            let age_ms = confirmed.age().map(|age| age.as_millis());
            let reason = format!("configuration of age {age_ms:?} ms is too old to decide");
            Refusal::not_run(ResultCode::NoQuorum, reason, STALE_RETRY_MS)
        };
        let Some(route) = table.route(host, path).map(Arc::clone) else {
            // A newer configuration may contain the route.
            let unknown = Refusal::new(ResultCode::RouteUnknown, format!("version {config_version}"));
            return Err(if fresh { unknown } else { stale() });
        };
        // A key identifies its customer even where none is required: one that was taken away must not be accepted.
        if route.public || (key.is_none() && !table.requires_keys()) {
            return Ok(Admitted { route, customer: None, config_version });
        }
        if !fresh {
            return Err(stale());
        }
        let Some(key) = key else { return Err(Refusal::new(ResultCode::TokenMissing, "no key")) };
        let Some(customer) = table.customer(key) else {
            return Err(Refusal::new(ResultCode::TokenUnknown, format!("version {config_version}")));
        };
        Ok(Admitted { route, customer: Some(Arc::clone(customer)), config_version })
    }

    /// Returns whether the key of an admitted request still allows a send.
    pub(crate) fn may_send(&self, request: &CallerRequest) -> bool {
        self.key_state(request) == KeyState::Valid
    }

    /// Returns the refusal of an admitted request whose key no longer allows a send. The process may have been suspended since the
    /// admission, or the key taken away.
    pub(crate) fn key_refusal(&self, request: &CallerRequest, history: &AttemptHistory) -> Option<Refusal> {
        match self.key_state(request) {
            KeyState::Valid => None,
            KeyState::Unconfirmed => {
                let reason = "configuration went stale before the request was sent";
                Some(history.refusal(ResultCode::NoQuorum, reason, STALE_RETRY_MS))
            }
            // 401 states that the request has not run.
            KeyState::Revoked if history.may_have_run > 0 => {
                let reason = "the key was taken away before a further attempt";
                Some(Refusal::new(ResultCode::UpstreamFailed, reason))
            }
            KeyState::Revoked => {
                let reason = "the key was taken away before the request was sent";
                Some(Refusal::new(ResultCode::TokenUnknown, reason))
            }
        }
    }

    fn key_state(&self, request: &CallerRequest) -> KeyState {
        let Some(customer) = &request.customer else { return KeyState::Valid };
        let Some(confirmed) = self.confirmed_table().filter(|confirmed| self.is_fresh(confirmed)) else {
            return KeyState::Unconfirmed;
        };
        if confirmed.table.version() == request.config_version {
            return KeyState::Valid;
        }
        let found = request.headers.key.as_deref().and_then(|key| confirmed.table.customer(key));
        if found.is_some_and(|found| found.name == customer.name) {
            KeyState::Valid
        } else {
            KeyState::Revoked
        }
    }
}
