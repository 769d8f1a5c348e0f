//! A stand-in for the platform's list of instances, with a configurable lag and URLs that depend on the reader.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{self, Data, Path},
};
use daisysill_wire::http_types::{InstanceKind, InstanceState, PlatformInstance, PlatformList};

use crate::{paths, server::StandInServer, util::lock};

/// Serves the list of instances; changes become visible after a lag.
#[derive(Debug)]
pub struct Platform {
    server: StandInServer,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    current: Vec<PlatformInstance>,
    /// Earlier and current lists with the time from which each is visible, oldest first.
    visible: Vec<(Instant, Vec<PlatformInstance>)>,
    /// URLs that replace the listed ones, by reader and instance id.
    urls: BTreeMap<(String, String), String>,
}

impl Platform {
    /// Starts with an empty list.
    pub fn start() -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let data = Data::from(Arc::clone(&state));
        let server = StandInServer::start(move |routes| {
            routes
                .app_data(data.clone())
                .route(paths::INSTANCES, web::get().to(list))
                .route(paths::INSTANCES_FOR, web::get().to(list_for));
        });
        Self { server, state }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the base URL for a reader that gets its own URLs, and so its own link to each instance.
    pub fn url_for(&self, reader: &str) -> String {
        format!("{}/for/{reader}", self.server.url())
    }

    /// Delays the visibility of later changes by this time.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Lists an instance as live.
    pub fn add(&self, kind: InstanceKind, service: &str, id: &str, zone: &str, url: &str) {
        let instance = PlatformInstance {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            availability_zone: zone.to_owned(),
            url: url.to_owned(),
            state: InstanceState::Live,
        };
        lock(&self.state).change(|instances| instances.push(instance));
    }

    /// Replaces an instance's URL in the list of one reader.
    pub fn set_url_for(&self, reader: &str, id: &str, url: &str) {
        lock(&self.state).urls.insert((reader.to_owned(), id.to_owned()), url.to_owned());
    }

    /// Lists an instance as leaving.
    pub fn set_leaving(&self, id: &str) {
        lock(&self.state).change(|instances| {
            for instance in instances.iter_mut().filter(|instance| instance.id == id) {
                instance.state = InstanceState::Leaving;
            }
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &str) {
        lock(&self.state).change(|instances| instances.retain(|instance| instance.id != id));
    }
}

impl State {
    fn change(&mut self, edit: impl FnOnce(&mut Vec<PlatformInstance>)) {
        edit(&mut self.current);
        self.visible.push((Instant::now() + self.lag, self.current.clone()));
    }

    /// Returns the newest list that is visible by now, and drops older ones.
    fn list(&mut self) -> Vec<PlatformInstance> {
        let now = Instant::now();
        let due = self.visible.iter().filter(|(from, _)| *from <= now).count();
        self.visible.drain(..due.saturating_sub(1));
        match self.visible.first() {
            Some((from, instances)) if *from <= now => instances.clone(),
            _ => Vec::new(),
        }
    }
}

async fn list(state: Data<Mutex<State>>) -> HttpResponse {
    let instances = lock(&state).list();
    HttpResponse::Ok().json(PlatformList { instances })
}

async fn list_for(reader: Path<String>, state: Data<Mutex<State>>) -> HttpResponse {
    let (reader, mut state) = (reader.into_inner(), lock(&state));
    let mut instances = state.list();
    for instance in &mut instances {
        if let Some(url) = state.urls.get(&(reader.clone(), instance.id.clone())) {
            instance.url.clone_from(url);
        }
    }
    HttpResponse::Ok().json(PlatformList { instances })
}
