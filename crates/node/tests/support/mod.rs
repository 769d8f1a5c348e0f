//! A node in the test process, with fakes in place of upstreams, the platform and the agreed state.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fakes;

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use daisysill_cluster::Cluster;
use daisysill_control::command::{Command, PublishRules, Reply};
use daisysill_core::rules::RuleFile;
use daisysill_node::{
    caller_api::UpstreamClients,
    config::Config,
    dispatch::{Dispatch, PromptRequest, ResponseEvent},
    exporter::Exporter,
    monitor::UpstreamMonitor,
    request::RequestLifecycle,
    shared::Shared,
};
use daisysill_wire::http_types::InstanceKind;
use tempfile::TempDir;
use tokio::{
    sync::mpsc::{Receiver, channel},
    time::Instant,
};

pub use fakes::*;

pub const TOKEN: &str = "opera-a-token";

/// A node and its fakes.
pub struct Node {
    pub shared: Arc<Shared>,
    pub clients: UpstreamClients,
    pub proposer: Arc<FakeProposer>,
    pub plain: Rc<FakePlain>,
    pub engine: Rc<FakeEngine>,
    pub platform: Rc<FakePlatform>,
    pub store: Rc<FakeStore>,
    _folder: TempDir,
}

impl Drop for Node {
    /// Checks that the state charts declared every event that occurred.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(self.shared.metrics.undeclared_events.get(), 0, "undeclared events");
        }
    }
}

impl Node {
    /// Starts a node, puts `rules` in force, and waits until its two engines, two plain upstreams and store are live.
    pub async fn start(rules: &str) -> Self {
        let folder = TempDir::new().unwrap();
        let config = Config::parse("node.ini", &settings(&folder)).unwrap();
        let (cluster, _) = Cluster::start(config.cluster.clone()).await.unwrap();
        let publish = Command::PublishRules(PublishRules {
            change: "c1".into(),
            base: daisysill_core::ids::ConfigVersion(0),
            files: vec![RuleFile { name: "rules.ini".into(), text: rules.into() }],
        });
        for _ in 0..500 {
            if matches!(cluster.propose(publish.clone()).await, Ok(Reply::Accepted(_))) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let proposer = Arc::new(FakeProposer::default());
        let shared = Arc::new(Shared::with_proposer(config, cluster, proposer.clone()).unwrap());
        shared.lifecycle_event("settings_checked");
        shared.lifecycle_event("view_current");
        let (plain, engine, platform) =
            (Rc::<FakePlain>::default(), Rc::<FakeEngine>::default(), Rc::<FakePlatform>::default());
        engine.incarnation.set(1);
        for id in ["lyric-1", "lyric-2"] {
            platform.add(InstanceKind::Engine, "lyric-llm", id);
        }
        for id in ["booth-1", "booth-2"] {
            platform.add(InstanceKind::Plain, "booth-app", id);
        }
        platform.add(InstanceKind::Store, "score-cache", "score-1");
        let store = Rc::<FakeStore>::default();
        let (polled, plain_service) = (engine.clone(), plain.clone());
        let monitor =
            UpstreamMonitor::new(shared.clone(), polled, store.clone(), plain_service, platform.clone());
        monitor.start();
        Exporter::new(shared.clone(), engine.clone(), store.clone()).start();
        let node = Self {
            clients: UpstreamClients { engine: engine.clone(), plain: plain.clone() },
            shared,
            proposer,
            plain,
            engine,
            platform,
            store,
            _folder: folder,
        };
        while node.shared.upstreams.status().iter().filter(|u| u.state == "live").count() < 5 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        node
    }
}

impl Node {
    /// Dispatches a prompt and returns the events of the response to its caller.
    pub fn prompt(&self, customer: &str, prompt: &str) -> Receiver<ResponseEvent> {
        let (sender, receiver) = channel(64);
        let (customer, service) = (customer.into(), "lyric-llm".into());
        let config = self.shared.config.services[&service].clone();
        let life = RequestLifecycle::new(&self.shared, &customer, &service, "");
        let request = PromptRequest {
            prompt: prompt.to_owned(),
            max_tokens: 100,
            adapter: String::new(),
            deadline: Instant::now() + Duration::from_secs(30),
        };
        let dispatch =
            Dispatch::new(&self.shared, Rc::clone(&self.clients.engine), life, request, config, sender);
        actix_rt::spawn(dispatch.run());
        receiver
    }

    /// Sets the scripts that the next attempts play, in order.
    pub fn script(&self, scripts: &[&[Step]]) {
        *self.engine.scripts.borrow_mut() = scripts.iter().map(|script| script.to_vec()).collect();
    }

    /// Returns the state of an upstream or a store.
    pub fn state(&self, id: &str) -> String {
        let status = self.shared.upstreams.status();
        status.iter().find(|upstream| upstream.id == id).unwrap().state.clone()
    }
}

/// Returns the complete text, and the number of the result code if the request was refused; 0 if the response ends
/// without either.
pub async fn collect_response(mut receiver: Receiver<ResponseEvent>) -> (String, Option<u16>) {
    let mut text = String::new();
    while let Some(delivery) = receiver.recv().await {
        match delivery {
            ResponseEvent::Token(token) => text.push_str(&token),
            ResponseEvent::Finished { .. } => return (text, None),
            ResponseEvent::Refused(refusal) => return (text, Some(refusal.code.number())),
        }
    }
    (text, Some(0))
}

fn settings(folder: &TempDir) -> String {
    let digest = blake3::hash(TOKEN.as_bytes()).to_hex();
    format!(
        "[node]\nname = sathorn-1\navailability_zone = bkk-sathorn\ncaller_listen = 127.0.0.1:0\n\
         admin_listen = 127.0.0.1:0\n\
         [cluster]\npeer_listen = 127.0.0.1:0\nsecret = test\nbootstrap_voters = sathorn-1\ndata_dir = {}\n\
         [platform]\nurl = http://platform\npoll_ms = 50\n\
         [service.lyric-llm]\nkind = model\nslots = 64\npoll_ms = 50\npiece_tokens = 10\npiece_bytes = 10\nbytes_per_token = 1\n\
         [service.booth-app]\nkind = plain\nslots = 64\n[service.score-cache]\nkind = store\n\
         [customer.opera-a]\ntoken_digest = {digest}\nservices = lyric-llm, booth-app\n",
        folder.path().join("data").display()
    )
}
