//! A stand-in for the platform's list of instances.

use std::sync::{Arc, Mutex, PoisonError};

use actix_web::{
    HttpResponse,
    web::{self, Data},
};
use daisysill_wire::border::{InstanceKind, InstanceState, PlatformInstance, PlatformList};

use crate::{paths, server::StandInServer};

/// A stand-in for the platform's list of instances.
#[derive(Debug)]
pub struct Platform {
    server: StandInServer,
    instances: Arc<Mutex<Vec<PlatformInstance>>>,
}

impl Platform {
    /// Starts with an empty list.
    pub fn start() -> Self {
        let instances: Arc<Mutex<Vec<PlatformInstance>>> = Arc::default();
        let data = Data::from(Arc::clone(&instances));
        let server = StandInServer::start(move |routes| {
            routes.app_data(data.clone()).route(paths::INSTANCES, web::get().to(list));
        });
        Self { server, instances }
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Lists an instance as live.
    pub fn add(&self, kind: InstanceKind, service: &str, id: &str, zone: &str, url: &str) {
        self.lock().push(PlatformInstance {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            availability_zone: zone.to_owned(),
            url: url.to_owned(),
            state: InstanceState::Live,
        });
    }

    /// Lists an instance as leaving.
    pub fn set_leaving(&self, id: &str) {
        for instance in self.lock().iter_mut().filter(|instance| instance.id == id) {
            instance.state = InstanceState::Leaving;
        }
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &str) {
        self.lock().retain(|instance| instance.id != id);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<PlatformInstance>> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn list(instances: Data<Mutex<Vec<PlatformInstance>>>) -> HttpResponse {
    let instances = instances.lock().unwrap_or_else(PoisonError::into_inner).clone();
    HttpResponse::Ok().json(PlatformList { instances })
}
