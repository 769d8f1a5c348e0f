//! URLs of upstreams.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod support {
    pub(crate) mod upstream_requests;
}

use std::net::TcpListener;

use daisysill_node::{
    engine_client::HttpEngine,
    http,
    plain_client::HttpPlainService,
    upstream_api::{AttemptError, Engine, PlainService},
};
use support::upstream_requests::plain_request;

/// Guards against a URL with an IPv6 address, which stands in brackets there, that names no address.
#[actix_rt::test]
async fn a_url_with_an_ipv6_address_is_resolved() {
    let target = http::resolve("http://[::1]:8080/v1").await.unwrap();
    assert_eq!(
        (target.address.to_string().as_str(), target.authority.as_str()),
        ("[::1]:8080", "[::1]:8080")
    );
}

/// Guards against a request to a URL of another scheme that is sent as plain text.
#[actix_rt::test]
async fn nothing_is_sent_to_a_url_of_another_scheme() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let url = format!("https://{}", listener.local_addr().unwrap());
    let plain = HttpPlainService::default().send(&url, &plain_request(), "").await.unwrap_err();
    let poll = HttpEngine::new(http::client()).load(&url).await.unwrap_err();
    assert!(
        matches!((&plain, &poll), (AttemptError::NotSent(_), AttemptError::NotSent(_))),
        "{plain}, {poll}"
    );
}
