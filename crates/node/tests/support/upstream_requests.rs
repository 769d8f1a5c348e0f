//! Requests that tests send to stand-ins for upstreams.

use actix_web::web;
use daisysill_node::upstream_api::PlainRequest;
use daisysill_wire::http_types::EngineRequest;

/// Returns a request without a body to a plain service.
pub(crate) fn plain_request() -> PlainRequest {
    PlainRequest {
        method: "GET".to_owned(),
        path: "/x".to_owned(),
        headers: Vec::new(),
        body: web::Bytes::new(),
    }
}

/// Returns a request of a short prompt to an engine.
pub(crate) fn engine_request() -> EngineRequest {
    EngineRequest {
        attempt_id: "att-1".to_owned(),
        model: "m".to_owned(),
        adapter: None,
        prompt: "la".to_owned(),
        max_tokens: 8,
        priority: 0,
        cache_salt: "s".to_owned(),
        kv_pieces: Vec::new(),
        resume_from_token: 0,
        resume_text: None,
        weight_version: 1,
    }
}
