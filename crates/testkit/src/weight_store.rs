//! A stand-in for the weight store, whose total rate is limited.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{self, Data, Path},
};

use crate::{paths, server::StandInServer};

/// Period at which a load reads how many others share the rate.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Simulates the time of weight loads: up to `full_speed_loads` concurrent ones take `load_ms` each, more share that
/// total rate.
#[derive(Debug)]
pub struct WeightStore {
    server: StandInServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    load: Duration,
    full_speed_loads: u64,
    loading: AtomicU64,
    max_concurrent_loads: AtomicU64,
    loads: AtomicU64,
}

/// Counts a load as in progress until dropped.
struct LoadGuard(Arc<State>);

impl WeightStore {
    /// Starts the store; `full_speed_loads` counts as at least 1.
    pub fn start(load_ms: u64, full_speed_loads: u64) -> Self {
        let state = Arc::new(State {
            load: Duration::from_millis(load_ms),
            full_speed_loads: full_speed_loads.max(1),
            loading: AtomicU64::new(0),
            max_concurrent_loads: AtomicU64::new(0),
            loads: AtomicU64::new(0),
        });
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes.app_data(data.clone()).route(paths::WEIGHTS, web::get().to(load));
        });
        Self { server, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the highest number of loads that were in progress at a time.
    pub fn max_concurrent_loads(&self) -> u64 {
        self.state.max_concurrent_loads.load(Ordering::Relaxed)
    }

    /// Returns the number of finished loads.
    pub fn loads(&self) -> u64 {
        self.state.loads.load(Ordering::Relaxed)
    }
}

async fn load(_version: Path<u64>, state: Data<State>) -> HttpResponse {
    let state = state.into_inner();
    let loading = state.loading.fetch_add(1, Ordering::Relaxed) + 1;
    state.max_concurrent_loads.fetch_max(loading, Ordering::Relaxed);
    let loading = LoadGuard(Arc::clone(&state));
    let mut left_s = state.load.as_secs_f64();
    while left_s > 0.0 {
        let began = Instant::now();
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let shared_by = state.loading.load(Ordering::Relaxed).max(state.full_speed_loads);
        left_s -= began.elapsed().as_secs_f64() * state.full_speed_loads as f64 / shared_by as f64;
    }
    drop(loading);
    state.loads.fetch_add(1, Ordering::Relaxed);
    HttpResponse::Ok().body("loaded\n")
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.loading.fetch_sub(1, Ordering::Relaxed);
    }
}
