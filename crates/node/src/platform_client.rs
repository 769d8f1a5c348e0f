//! HTTP client of the platform's list of instances.

use actix_web::http::Uri;
use daisysill_wire::{
    http_types::{PlatformInstance, PlatformList},
    list_items::{ListItem, parse},
};
use futures::{FutureExt, future::LocalBoxFuture};
use serde::Deserialize;

use crate::{
    http::{self, PollClient},
    upstream_api::{AttemptError, AttemptResult, Platform},
};

/// The list as it arrives. Other writers of it may leave invalid entries.
#[derive(Deserialize)]
struct ListBody {
    /// Each a [`PlatformInstance`].
    instances: Vec<ListItem>,
}

/// Reads the platform's list of instances over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: PollClient,
}

impl HttpPlatform {
    /// Creates a client of the platform that sends its requests through `client`.
    pub fn new(client: PollClient) -> Self {
        Self { client }
    }

    async fn read(&self, url: &str) -> AttemptResult<PlatformList> {
        let body = http::poll(&self.client, &format!("{url}/v1/instances")).await?;
        let list: ListBody = parse(&body).map_err(|error| {
            AttemptError::Failed(format!("the list of instances is not the expected JSON: {error}"))
        })?;
        Ok(PlatformList { instances: list.instances.iter().filter_map(decode_instance).collect() })
    }
}

/// Decodes an entry of the list; `None` if it names no instance to use.
fn decode_instance(item: &ListItem) -> Option<PlatformInstance> {
    let instance: PlatformInstance =
        item.decode().inspect_err(|error| log::debug!("an entry of the list is left out: {error}")).ok()?;
    let is_named =
        [&instance.id, &instance.service, &instance.availability_zone].iter().all(|name| !name.is_empty());
    (is_named && is_base_url(&instance.url)).then_some(instance)
}

/// Returns whether a URL names a host and, if it has a port, a valid one.
fn is_base_url(url: &str) -> bool {
    let Ok(url) = url.parse::<Uri>() else { return false };
    let Some(authority) = url.authority() else { return false };
    let has_port = authority.as_str().rsplit(']').next().is_some_and(|end| end.contains(':'));
    url.scheme().is_some() && (!has_port || authority.port_u16().is_some_and(|port| port != 0))
}

impl Platform for HttpPlatform {
    fn instances<'a>(&'a self, url: &'a str) -> LocalBoxFuture<'a, AttemptResult<PlatformList>> {
        self.read(url).boxed_local()
    }
}
