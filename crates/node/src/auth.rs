//! Authentication of callers by bearer token.

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

/// Customers by the digest of their token.
#[derive(Debug)]
pub struct Authenticator {
    by_digest: BTreeMap<String, Customer>,
}

/// An authenticated customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    services: Vec<ServiceName>,
}

impl Authenticator {
    /// Builds the table from the settings.
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
    /// Refuses requests without a token or with an unknown one.
    pub fn authenticate(&self, request: &HttpRequest) -> Result<&Customer, Refusal> {
        let digest = token_digest(request)?;
        self.by_digest
            .get(&digest)
            .ok_or_else(|| Refusal::new(ResultCode::TokenUnknown, "the bearer token belongs to no customer"))
    }
}

impl Customer {
    /// Checks that the customer may use a service.
    ///
    /// # Errors
    /// Refuses services that the settings do not grant.
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

/// Checks that a request carries the token with the given digest.
///
/// # Errors
/// Refuses requests without a token or with another one.
pub fn check_token(request: &HttpRequest, digest: &str) -> Result<(), Refusal> {
    if token_digest(request)? == digest {
        return Ok(());
    }
    Err(Refusal::new(ResultCode::TokenUnknown, "the bearer token is not the operators' token"))
}

/// Returns the digest of the token. Comparisons are by digest, so their timing says nothing about tokens.
fn token_digest(request: &HttpRequest) -> Result<String, Refusal> {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = value.and_then(|v| v.strip_prefix("Bearer ")).map(str::trim).filter(|t| !t.is_empty());
    let missing = || Refusal::new(ResultCode::TokenMissing, "the request carries no bearer token");
    token.map(|token| blake3::hash(token.as_bytes()).to_hex().to_string()).ok_or_else(missing)
}
