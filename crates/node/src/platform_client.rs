//! HTTP client of the platform's list of instances.

use awc::Client;
use daisysill_wire::http_types::PlatformList;
use futures::{FutureExt, future::LocalBoxFuture};

use crate::{
    http,
    upstream_api::{AttemptResult, Platform},
};

/// Reads the platform's list of instances over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
}

impl HttpPlatform {
    /// Creates a client of the platform that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

impl Platform for HttpPlatform {
    fn instances<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>> {
        async move { http::get_json(&self.client, &format!("{url}/v1/instances")).await }.boxed_local()
    }
}
