//! Reads the platform's list of instances over HTTP.

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
    /// Creates an adapter over a client.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

impl Platform for HttpPlatform {
    fn instances<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>> {
        async move { http::get_json(&self.client, &format!("{url}/v1/instances")).await }.boxed_local()
    }
}
