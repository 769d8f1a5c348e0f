//! Polls the platform's list and the upstreams, and applies drain marks.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, AsyncContext, Context, WrapFuture};
use daisysill_core::ids::InstanceId;
use daisysill_wire::http_types::InstanceKind;
use tokio::time::Instant;

use crate::{
    shared::Shared,
    upstream_api::{Engine, PlainService, Platform, Store},
};

/// Interval between checks of the drain marks.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// The actor that polls the platform's list, each engine's load and cache events, each store's usage, and
/// whether plain upstreams answer.
pub struct UpstreamMonitor {
    shared: Arc<Shared>,
    engine: Rc<dyn Engine>,
    store: Rc<dyn Store>,
    plain: Rc<dyn PlainService>,
    platform: Rc<dyn Platform>,
    /// Instances with a poll in progress; the empty name stands for the platform's list.
    polls_running: Rc<RefCell<BTreeSet<InstanceId>>>,
}

impl UpstreamMonitor {
    /// Creates the actor; `start` runs it.
    pub fn new(
        shared: Arc<Shared>,
        engine: Rc<dyn Engine>,
        store: Rc<dyn Store>,
        plain: Rc<dyn PlainService>,
        platform: Rc<dyn Platform>,
    ) -> Self {
        Self { shared, engine, store, plain, platform, polls_running: Rc::default() }
    }

    /// Starts a poll unless the former poll of the same instance is still running: polls of a slow upstream
    /// must not pile up.
    fn poll<F>(&self, id: &InstanceId, poll: F, context: &mut Context<Self>)
    where
        F: Future<Output = ()> + 'static,
    {
        if !self.polls_running.borrow_mut().insert(id.clone()) {
            self.shared.metrics.skipped_polls.inc();
            return;
        }
        let (polls_running, id) = (Rc::clone(&self.polls_running), id.clone());
        let poll = async move {
            poll.await;
            polls_running.borrow_mut().remove(&id);
        };
        context.spawn(poll.into_actor(self));
    }

    fn poll_list(&mut self, context: &mut Context<Self>) {
        let (shared, platform) = (Arc::clone(&self.shared), Rc::clone(&self.platform));
        let poll = async move {
            if let Ok(list) = platform.instances(&shared.config.platform.url).await {
                for gone in shared.upstreams.apply_list(list.instances) {
                    shared.directory.drop_store(&gone);
                    shared.idle_pieces.forget_engine(&gone);
                }
            }
            shared.apply_drain_marks();
        };
        self.poll(&InstanceId::from(""), poll, context);
    }

    fn poll_drains(&mut self, _: &mut Context<Self>) {
        self.shared.apply_drain_marks();
        self.shared.upstreams.update_evacuation_gauges();
    }

    fn poll_upstreams(&mut self, context: &mut Context<Self>) {
        for (id, url, after) in self.shared.upstreams.poll_targets(InstanceKind::Engine) {
            let (shared, engine) = (Arc::clone(&self.shared), Rc::clone(&self.engine));
            let poll = {
                let id = id.clone();
                async move {
                    let polled_at = Instant::now();
                    match engine.load(&url).await {
                        Ok(load) => {
                            if shared.upstreams.apply_load(&id, load, polled_at) {
                                shared.idle_pieces.forget_engine(&id);
                            }
                        }
                        Err(_) => return shared.upstreams.event(&id, "ping_failed"),
                    }
                    if let Ok(events) = engine.cache_events(&url, after).await {
                        for evicted in shared.upstreams.apply_cache_events(&id, &events) {
                            shared.idle_pieces.forget(&id, &evicted);
                        }
                    }
                }
            };
            self.poll(&id, poll, context);
        }
        self.poll_stores(context);
        self.poll_plain(context);
    }

    fn poll_stores(&self, context: &mut Context<Self>) {
        for (id, url, _) in self.shared.upstreams.poll_targets(InstanceKind::Store) {
            let (shared, store) = (Arc::clone(&self.shared), Rc::clone(&self.store));
            let poll = {
                let id = id.clone();
                async move {
                    match store.usage(&url).await {
                        Ok(usage) => shared.upstreams.apply_usage(&id, usage),
                        Err(_) => shared.upstreams.event(&id, "ping_failed"),
                    }
                }
            };
            self.poll(&id, poll, context);
        }
    }

    fn poll_plain(&self, context: &mut Context<Self>) {
        for (id, url, _) in self.shared.upstreams.poll_targets(InstanceKind::Plain) {
            let (shared, plain) = (Arc::clone(&self.shared), Rc::clone(&self.plain));
            let poll = {
                let id = id.clone();
                async move {
                    let answered = plain.ping(&url).await.is_ok();
                    shared.upstreams.event(&id, if answered { "ping_ok" } else { "ping_failed" });
                }
            };
            self.poll(&id, poll, context);
        }
    }
}

impl Actor for UpstreamMonitor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let services = self.shared.config.services.values();
        let poll_ms = services.map(|service| service.poll_ms).min().unwrap_or(500);
        self.poll_list(context);
        let list_interval = Duration::from_millis(self.shared.config.platform.poll_ms);
        context.run_interval(list_interval, Self::poll_list);
        context.run_interval(Duration::from_millis(poll_ms), Self::poll_upstreams);
        context.run_interval(DRAIN_INTERVAL, Self::poll_drains);
    }
}
