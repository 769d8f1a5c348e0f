//! Runs the load against real nodes, injects the fault and collects what nodes and upstreams recorded.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    deployment::Deployment,
    environment::Environment,
    measure_config::{Fault, MeasureConfig},
    measure_load::{Balancer, CallerRecords, Load},
};

/// Time in which a change must be in force everywhere at today's size.
const RULES_IN_FORCE: Duration = Duration::from_secs(2);
/// Kernel clock ticks in a second, as used by `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// What a node used.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeUse {
    /// Processor time in seconds.
    pub processor_s: f64,
    /// Most memory, in kilobytes.
    pub memory_kb: u64,
}

/// Everything that one run left behind.
pub struct RunResult {
    /// What callers saw.
    pub callers: CallerRecords,
    /// Upstreams with their records; nodes are still running.
    pub deployment: Deployment,
    /// What each node used, by name.
    pub node_use: BTreeMap<String, NodeUse>,
    /// When an engine was listed as leaving, and which.
    pub left: Option<(String, Instant)>,
    /// Exit code of a node that was asked to stop, and its name.
    pub stopped: Option<(String, Option<i32>)>,
    /// Nodes without the rule change of the middle of the run after the allowed time.
    pub without_rules: Vec<String>,
    /// Time of load.
    pub elapsed: Duration,
}

/// Measures one policy.
///
/// # Errors
/// Fails for an unknown preset.
pub async fn measure(config: &MeasureConfig, policy: &str) -> eyre::Result<RunResult> {
    let deployment = Deployment::start(config.deployment(policy)?);
    deployment.wait_until_ready().await;
    let first = deployment.node_names()[0].clone();
    deployment.publish(&first, &rule_files(&deployment, 1)).await;
    let balancer: Balancer = Rc::new(RefCell::new(Vec::new()));
    let mut run = Run { balancer, deployment, left: None, stopped: None, without_rules: Vec::new() };
    run.refresh_balancer();

    let duration = Duration::from_secs(config.seconds);
    let load = Load::new(run.deployment.config.clone(), Rc::clone(&run.balancer), config.seed);
    let began = Instant::now();
    let callers = load.run(duration, config.load_percent);
    let (callers, ()) = futures::future::join(callers, run.events(config.fault, duration)).await;
    let elapsed = began.elapsed();
    let node_use = run.node_use();
    let Run { deployment, left, stopped, without_rules, .. } = run;
    Ok(RunResult { callers, deployment, node_use, left, stopped, without_rules, elapsed })
}

/// Returns what a node says against the settings of a policy; `None` if it accepts them.
///
/// # Errors
/// Fails for an unknown preset.
pub fn settings_error(config: &MeasureConfig, policy: &str) -> eyre::Result<Option<String>> {
    let (environment, deployment) = (Environment::new(), config.deployment(policy)?);
    let data_dir = environment.path().join("data");
    let settings = deployment.settings(&deployment.nodes[0], Vec::new(), "http://127.0.0.1:1", &data_dir);
    Ok(environment.check_settings(&settings))
}

struct Run {
    balancer: Balancer,
    deployment: Deployment,
    left: Option<(String, Instant)>,
    stopped: Option<(String, Option<i32>)>,
    without_rules: Vec<String>,
}

impl Run {
    /// Injects the fault at a third, publishes at half, and heals at two thirds of the run.
    async fn events(&mut self, fault: Fault, duration: Duration) {
        actix_rt::time::sleep(duration / 3).await;
        self.inject(fault).await;
        actix_rt::time::sleep(duration / 6).await;
        self.publish().await;
        actix_rt::time::sleep(duration / 6).await;
        if fault == Fault::ZoneCut {
            let zone = self.deployment.config.nodes[1].zone.clone();
            self.deployment.set_zone_cut(&zone, false);
        }
    }

    async fn inject(&mut self, fault: Fault) {
        let victim = self.deployment.config.nodes[1].clone();
        match fault {
            Fault::None => {}
            Fault::StoreDead => {
                if let Some(store) = self.deployment.upstreams.stores.values().next() {
                    store.kill();
                }
            }
            Fault::SlowLink => self.slow_links(),
            Fault::ZoneCut => self.deployment.set_zone_cut(&victim.zone, true),
            Fault::NodeKilled => {
                self.deployment.kill(&victim.name);
                self.refresh_balancer();
            }
            Fault::NodeStopped => self.stop(&victim.name).await,
            Fault::EngineLeaves => {
                if let Some(id) = self.deployment.upstreams.engines.keys().next() {
                    self.deployment.platform.set_leaving(id);
                    self.left = Some((id.clone(), Instant::now()));
                }
            }
        }
    }

    fn slow_links(&self) {
        let rate = self.deployment.config.store.link_bytes_per_s / 10;
        for store in self.deployment.upstreams.stores.values() {
            store.set_link_bytes_per_s(rate);
        }
        for engine in self.deployment.upstreams.engines.values() {
            engine.set_link_bytes_per_s(rate);
        }
    }

    /// Asks a node to stop; the balancer notices within the time that the node allows for it.
    async fn stop(&mut self, name: &str) {
        self.deployment.node(name).signal("TERM");
        self.balancer.borrow_mut().retain(|(node, _)| node != name);
        let code = self.deployment.wait_for_end(name, Duration::from_secs(30)).await;
        self.stopped = Some((name.to_owned(), code));
    }

    async fn publish(&mut self) {
        let running: Vec<String> = self
            .deployment
            .node_names()
            .into_iter()
            .filter(|name| self.deployment.is_running(name))
            .collect();
        let before = self.deployment.status(&running[0]).await.map_or(0, |status| status.rules_version);
        let files = rule_files(&self.deployment, 2);
        self.deployment.publish(&running[0], &files).await;
        actix_rt::time::sleep(RULES_IN_FORCE).await;
        for (name, status) in self.deployment.statuses().await {
            if status.is_none_or(|status| status.rules_version <= before) {
                self.without_rules.push(name);
            }
        }
    }

    fn refresh_balancer(&self) {
        let names = self.deployment.node_names();
        let running = names.into_iter().filter(|name| self.deployment.is_running(name));
        *self.balancer.borrow_mut() =
            running.map(|name| (name.clone(), self.deployment.caller_url(&name))).collect();
    }

    fn node_use(&self) -> BTreeMap<String, NodeUse> {
        let names = self.deployment.node_names();
        let running = names.into_iter().filter(|name| self.deployment.is_running(name));
        running.map(|name| (name.clone(), node_use(self.deployment.node(&name).id()))).collect()
    }
}

/// Returns what a process has used so far.
pub fn node_use(process: u32) -> NodeUse {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The second field may contain spaces but ends with the last parenthesis.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let memory_kb =
        most.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default();
    NodeUse { processor_s: (ticks(11) + ticks(12)) / TICKS_PER_S, memory_kb }
}

/// Rule files of both services; the number makes one publication differ from the next.
fn rule_files(deployment: &Deployment, number: u64) -> Vec<(&'static str, String)> {
    let (model, plain) = (&deployment.config.model, &deployment.config.plain);
    vec![
        ("model.ini", format!("[service]\nname = {model}\n[rest]\naccelerator_s = {number}\n")),
        ("plain.ini", format!("[service]\nname = {plain}\n[never_twice]\ncalls = POST /cues/*/fire\n")),
    ]
}
