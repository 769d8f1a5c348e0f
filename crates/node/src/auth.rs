//! Authentication of callers and operators by bearer token.

use std::collections::BTreeMap;

use actix_web::{HttpRequest, http::header};
use daisysill_core::{
    ids::{CustomerId, ServiceName},
    result_code::ResultCode,
};

use crate::{
    config::{Config, CustomerConfig},
    refusal::Refusal,
};

/// Finds the customer whose bearer token a request carries.
#[derive(Debug)]
pub struct Authenticator {
    /// Customers by the blake3 digest of their token, in lower-case hexadecimal.
    by_digest: BTreeMap<String, Customer>,
}

/// An authenticated customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer in the settings.
    pub id: CustomerId,
    services: Vec<ServiceName>,
}

impl Authenticator {
    /// Creates the table of customers from the settings.
    pub fn new(config: &Config) -> Self {
        let entry = |(id, customer): (&CustomerId, &CustomerConfig)| {
            let services = customer.services.clone();
            (customer.token_digest.clone(), Customer { id: id.clone(), services })
        };
        Self { by_digest: config.customers.iter().map(entry).collect() }
    }

    /// Returns the customer whose token the request carries.
    ///
    /// # Errors
    /// Refuses a request without a token or with an unknown one.
    pub fn authenticate(&self, request: &HttpRequest) -> Result<&Customer, Refusal> {
        let digest = token_digest(request)?;
        self.by_digest
            .get(&digest)
            .ok_or_else(|| Refusal::new(ResultCode::TokenUnknown, "the bearer token belongs to no customer"))
    }

    /// Returns a customer by name; `None` if the settings have none of this name.
    pub fn customer(&self, id: &CustomerId) -> Option<&Customer> {
        self.by_digest.values().find(|customer| customer.id == *id)
    }
}

impl Customer {
    /// Checks that the customer may use a service.
    ///
    /// # Errors
    /// Refuses a service that the settings do not grant to the customer.
    pub fn check_service(&self, service: &ServiceName) -> Result<(), Refusal> {
        if self.services.contains(service) {
            return Ok(());
        }
        let message = format!("customer {} may not use service {service}", self.id);
        Err(Refusal::new(ResultCode::ServiceForbidden, message))
    }

    /// Returns the services that the customer may use.
    pub fn services(&self) -> &[ServiceName] {
        &self.services
    }
}

/// Checks that a request carries the operators' token, given by its digest.
///
/// # Errors
/// Refuses a request without a token or with another one.
pub fn check_token(request: &HttpRequest, digest: &str) -> Result<(), Refusal> {
    if token_digest(request)? == digest {
        return Ok(());
    }
    Err(Refusal::new(ResultCode::TokenUnknown, "the bearer token is not the operators' token"))
}

/// Returns the digest of a request's bearer token. Digests are compared instead of tokens, so that the time
/// of a comparison reveals nothing about a token.
fn token_digest(request: &HttpRequest) -> Result<String, Refusal> {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = value.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim).filter(|t| !t.is_empty());
    let missing = || Refusal::new(ResultCode::TokenMissing, "the request carries no bearer token");
    token.map(|token| blake3::hash(token.as_bytes()).to_hex().to_string()).ok_or_else(missing)
}
