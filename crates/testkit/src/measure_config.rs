//! Command-line options of the benchmark.

use std::path::PathBuf;

use eyre::{WrapErr, bail, eyre};

use crate::deployment_config::DeploymentConfig;

/// Policy of a node whose settings name none.
pub const DEFAULT_POLICY: &str = "estimate";
/// Capacity of each engine's prefix cache; small, so that idle contexts are evicted within seconds.
const CACHE_PIECES: usize = 16;

/// A fault that is injected after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A store is killed.
    StoreDead,
    /// The links of all stores and engines are limited to a tenth of their rate.
    SlowLink,
    /// A zone is isolated for a third of the run.
    ZoneCut,
    /// A node is killed.
    NodeKilled,
    /// A node is stopped with SIGTERM.
    NodeStopped,
    /// An engine is listed as leaving.
    EngineLeaves,
}

/// What to benchmark, as given on the command line.
#[derive(Clone, Debug)]
pub struct MeasureConfig {
    /// Name of the deployment preset: `bangkok` or `bengal`.
    pub preset: String,
    /// Duration of the load for each policy, in seconds.
    pub seconds: u64,
    /// Seed of the load's arrivals and choices.
    pub seed: u64,
    /// Rate of arriving prompt tokens, in percent of the prefill rate of all engines.
    pub load_percent: u64,
    /// Names of the policies, run one after the other on the same load.
    pub policies: Vec<String>,
    /// Fault to inject.
    pub fault: Fault,
    /// Path of the result file.
    pub output: PathBuf,
}

impl MeasureConfig {
    /// Parses the command line; `None` if it asked for help, which is printed.
    ///
    /// # Errors
    /// Fails for an unknown option, preset or fault, and for a value that is not a number.
    pub fn parse<I: IntoIterator<Item = String>>(arguments: I) -> eyre::Result<Option<Self>> {
        let mut options = getopts::Options::new();
        options.optopt("", "preset", "bangkok or bengal", "NAME");
        options.optopt("", "seconds", "seconds of load for each policy", "N");
        options.optopt("", "seed", "seed of arrivals", "N");
        options.optopt("", "load", "arriving prompt tokens in percent of prefill capacity", "PERCENT");
        options.optopt("", "policy", "policies, separated by commas", "NAMES");
        options.optopt("", "fault", FAULT_NAMES, "NAME");
        options.optopt("", "output", "result file", "FILE");
        options.optflag("h", "help", "print this text");
        let matches = options.parse(arguments)?;
        if matches.opt_present("help") {
            println!("{}", options.usage("Usage: measure [OPTIONS]"));
            return Ok(None);
        }
        let number = |name: &str, default: u64| match matches.opt_str(name) {
            Some(text) => text.parse().wrap_err_with(|| format!("--{name} {text:?} is not a number")),
            None => Ok(default),
        };
        let policies = matches.opt_str("policy").unwrap_or_else(|| DEFAULT_POLICY.to_owned());
        let config = Self {
            preset: matches.opt_str("preset").unwrap_or_else(|| "bangkok".to_owned()),
            seconds: number("seconds", 20)?,
            seed: number("seed", 1)?,
            load_percent: number("load", 60)?,
            policies: policies.split(',').map(|policy| policy.trim().to_owned()).collect(),
            fault: parse_fault(&matches.opt_str("fault").unwrap_or_else(|| "none".to_owned()))?,
            output: matches.opt_str("output").unwrap_or_else(|| "measure.json".to_owned()).into(),
        };
        config.deployment(DEFAULT_POLICY)?;
        Ok(Some(config))
    }

    /// Returns the configuration of the deployment for a policy.
    ///
    /// # Errors
    /// Fails for an unknown preset.
    pub fn deployment(&self, policy: &str) -> eyre::Result<DeploymentConfig> {
        let mut deployment = match self.preset.as_str() {
            "bangkok" => DeploymentConfig::bangkok(),
            "bengal" => DeploymentConfig::bengal(),
            other => bail!("--preset {other:?} is neither bangkok nor bengal"),
        };
        deployment.engine.cache_pieces = CACHE_PIECES;
        deployment.engine.load_lag_ms = 100;
        deployment.engine.event_delay_ms = 50;
        if policy != DEFAULT_POLICY {
            deployment.extra_node_settings = format!("policy = {policy}\n");
        }
        Ok(deployment)
    }
}

const FAULT_NAMES: &str = "none, store-dead, slow-link, zone-cut, node-killed, node-stopped or engine-leaves";

fn parse_fault(name: &str) -> eyre::Result<Fault> {
    Ok(match name {
        "none" => Fault::None,
        "store-dead" => Fault::StoreDead,
        "slow-link" => Fault::SlowLink,
        "zone-cut" => Fault::ZoneCut,
        "node-killed" => Fault::NodeKilled,
        "node-stopped" => Fault::NodeStopped,
        "engine-leaves" => Fault::EngineLeaves,
        other => return Err(eyre!("--fault {other:?} is not one of {FAULT_NAMES}")),
    })
}
