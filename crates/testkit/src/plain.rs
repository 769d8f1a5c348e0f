//! A stand-in for a plain service that counts what it ran.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes, Data},
};

use crate::server::StandInServer;

/// A stand-in for a plain service.
#[derive(Debug)]
pub struct PlainService {
    server: StandInServer,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: Mutex<BTreeMap<String, u64>>,
    delay_ms: Mutex<u64>,
}

impl PlainService {
    /// Starts the service; it answers every path with a line that repeats method, path and body.
    pub fn start() -> Self {
        let state: Arc<State> = Arc::default();
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes.app_data(data.clone()).default_service(web::route().to(run));
        });
        Self { server, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns how often a call with this body ran.
    pub fn runs(&self, body: &str) -> u64 {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).get(body).copied().unwrap_or(0)
    }

    /// Makes each call take this long after it ran and before it is answered.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        *self.state.delay_ms.lock().unwrap_or_else(PoisonError::into_inner) = delay_ms;
    }
}

async fn run(request: HttpRequest, body: Bytes, state: Data<State>) -> HttpResponse {
    let body = String::from_utf8_lossy(&body).into_owned();
    *state.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(body.clone()).or_default() += 1;
    let delay_ms = *state.delay_ms.lock().unwrap_or_else(PoisonError::into_inner);
    actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    HttpResponse::Ok().content_type("text/plain").body(format!(
        "{} {} {body}",
        request.method(),
        request.uri()
    ))
}
