//! Runs the benchmark's load against real nodes, injects its fault and collects the records.

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
    measure_load::{Balancer, CallerRecords, LoadGenerator},
};

/// Time in which published rules must be in force on every node at the size of the presets.
const RULES_TIMEOUT: Duration = Duration::from_secs(2);
/// Unit of the times in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// Resources that a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// User and system time in seconds.
    pub processor_s: f64,
    /// Peak resident memory in kilobytes (KiB).
    pub peak_memory_kb: u64,
}

/// The records of one run.
pub struct RunResult {
    /// Outcomes of all requests.
    pub callers: CallerRecords,
    /// The deployment, with the upstreams' records; its nodes are still running.
    pub deployment: Deployment,
    /// Resources that each node still running has used, by name.
    pub usage_by_node: BTreeMap<String, ResourceUsage>,
    /// Engine that was listed as leaving, and when.
    pub leaving_engine: Option<(String, Instant)>,
    /// Node that was stopped, and its exit code.
    pub stopped_node: Option<(String, Option<i32>)>,
    /// Running nodes that did not have the rules published at half of the run in time.
    pub outdated_nodes: Vec<String>,
    /// Time from the first arrival to the last response and the end of all events.
    pub elapsed: Duration,
}

/// Runs the benchmark for one policy.
///
/// # Errors
/// Fails for an unknown preset.
pub async fn measure(config: &MeasureConfig, policy: &str) -> eyre::Result<RunResult> {
    let deployment = Deployment::start(config.deployment(policy)?);
    deployment.wait_until_ready().await;
    let first = deployment.node_names()[0].clone();
    deployment.publish(&first, &rule_files(&deployment, 1)).await;
    let balancer: Balancer = Rc::new(RefCell::new(Vec::new()));
    let mut run =
        Run { balancer, deployment, leaving_engine: None, stopped_node: None, outdated_nodes: Vec::new() };
    run.refresh_balancer();

    let duration = Duration::from_secs(config.seconds);
    let load = LoadGenerator::new(run.deployment.config.clone(), Rc::clone(&run.balancer), config.seed);
    let began = Instant::now();
    let callers = load.run(duration, config.load_percent);
    let (callers, ()) = futures::future::join(callers, run.events(config.fault, duration)).await;
    let elapsed = began.elapsed();
    let usage_by_node = run.usage_by_node();
    let Run { deployment, leaving_engine, stopped_node, outdated_nodes, .. } = run;
    Ok(RunResult {
        callers,
        deployment,
        usage_by_node,
        leaving_engine,
        stopped_node,
        outdated_nodes,
        elapsed,
    })
}

/// Returns the error with which a node rejects the settings of a policy; `None` if it accepts them.
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
    leaving_engine: Option<(String, Instant)>,
    stopped_node: Option<(String, Option<i32>)>,
    outdated_nodes: Vec<String>,
}

impl Run {
    /// Injects the fault at a third of the run, publishes rules at half, and ends a zone cut at two thirds.
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
        let target = self.deployment.config.nodes[1].clone();
        match fault {
            Fault::None => {}
            Fault::StoreDead => {
                if let Some(store) = self.deployment.upstreams.stores.values().next() {
                    store.kill();
                }
            }
            Fault::SlowLink => self.slow_links(),
            Fault::ZoneCut => self.deployment.set_zone_cut(&target.zone, true),
            Fault::NodeKilled => {
                self.deployment.kill(&target.name);
                self.refresh_balancer();
            }
            Fault::NodeStopped => self.stop(&target.name).await,
            Fault::EngineLeaves => {
                if let Some(id) = self.deployment.upstreams.engines.keys().next() {
                    self.deployment.platform.set_leaving(id);
                    self.leaving_engine = Some((id.clone(), Instant::now()));
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

    /// Stops a node with SIGTERM. The balancer drops it at once, within the notice that the node allows for this.
    async fn stop(&mut self, name: &str) {
        self.deployment.node(name).signal("TERM");
        self.balancer.borrow_mut().retain(|(node, _)| node != name);
        let code = self.deployment.wait_for_end(name, Duration::from_secs(30)).await;
        self.stopped_node = Some((name.to_owned(), code));
    }

    /// Publishes rules through the first running node and records the nodes that do not have them in time.
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
        actix_rt::time::sleep(RULES_TIMEOUT).await;
        for (name, status) in self.deployment.statuses().await {
            if status.is_none_or(|status| status.rules_version <= before) {
                self.outdated_nodes.push(name);
            }
        }
    }

    fn refresh_balancer(&self) {
        let names = self.deployment.node_names();
        let running = names.into_iter().filter(|name| self.deployment.is_running(name));
        *self.balancer.borrow_mut() =
            running.map(|name| (name.clone(), self.deployment.caller_url(&name))).collect();
    }

    fn usage_by_node(&self) -> BTreeMap<String, ResourceUsage> {
        let names = self.deployment.node_names();
        let running = names.into_iter().filter(|name| self.deployment.is_running(name));
        running.map(|name| (name.clone(), resource_usage(self.deployment.node(&name).id()))).collect()
    }
}

/// Reads the resource usage of a process from `/proc`; zeros if there is no such process.
pub fn resource_usage(process: u32) -> ResourceUsage {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The second field, the program's name, may contain spaces, but ends with the last parenthesis.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_memory_kb =
        most.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default();
    ResourceUsage { processor_s: (ticks(11) + ticks(12)) / TICKS_PER_S, peak_memory_kb }
}

/// Returns rule files of both services; the number makes each publication differ from the one before.
fn rule_files(deployment: &Deployment, number: u64) -> Vec<(&'static str, String)> {
    let (model, plain) = (&deployment.config.model, &deployment.config.plain);
    vec![
        ("model.ini", format!("[service]\nname = {model}\n[rest]\naccelerator_s = {number}\n")),
        ("plain.ini", format!("[service]\nname = {plain}\n[never_twice]\ncalls = POST /cues/*/fire\n")),
    ]
}
