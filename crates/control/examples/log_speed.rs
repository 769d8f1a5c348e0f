//! Measures a single voter on real storage: memory and recovery time after 10,000 changes, then commits per second and
//! latency by number of concurrent proposers, compared with plain syncs of the same size on the same disk.
//!
//! Usage: `cargo run --release -p daisysill-control --example log_speed [folder]`

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use daisysill_control::{
    Input, Output, Replica, ReplicaConfig, Role, Storage,
    command::{Command, SetDrain},
    storage::open,
};
use eyre::{Result, ensure};

/// Duration of each measurement of commits or syncs.
const RUN_TIME: Duration = Duration::from_secs(3);
const CHANGES: u64 = 10_000;
const PROPOSERS: [u64; 3] = [1, 16, 256];

/// A single voter, run in this thread.
struct Voter {
    replica: Replica,
    storage: Storage,
    start: Instant,
    next_proposal_id: u64,
    /// Start of each proposal in progress.
    in_progress: BTreeMap<u64, Instant>,
    latencies: Vec<Duration>,
    writes: u32,
}

impl Voter {
    fn open(folder: &Path) -> Result<Self> {
        let (storage, recovered) = open(folder)?;
        let empty = recovered.hard_state.is_none();
        let replica = Replica::new(ReplicaConfig::new("a".into()), recovered, 0, 1);
        let mut voter = Self {
            replica,
            storage,
            start: Instant::now(),
            next_proposal_id: 0,
            in_progress: BTreeMap::new(),
            latencies: Vec::new(),
            writes: 0,
        };
        voter.run(vec![Input::Tick])?;
        if empty {
            voter.run(vec![Input::Bootstrap { voters: vec!["a".into()] }])?;
        }
        Ok(voter)
    }

    fn now_ms(&self) -> Result<u64> {
        Ok(u64::try_from(self.start.elapsed().as_millis())?)
    }

    /// Processes inputs and the write completions that follow from them.
    fn run(&mut self, inputs: Vec<Input>) -> Result<()> {
        let mut outputs = Vec::new();
        for input in inputs {
            self.replica.step(self.now_ms()?, input, &mut outputs);
        }
        while !outputs.is_empty() {
            for output in std::mem::take(&mut outputs) {
                self.process(output, &mut outputs)?;
            }
        }
        Ok(())
    }

    fn process(&mut self, output: Output, outputs: &mut Vec<Output>) -> Result<()> {
        match output {
            Output::Write(batch) => {
                self.writes += 1;
                self.storage.write(&batch)?;
                self.replica.step(self.now_ms()?, Input::BatchSynced { batch_id: batch.id }, outputs);
            }
            Output::Reply { proposal_id, result } => {
                ensure!(result.is_ok(), "proposal {proposal_id} failed: {result:?}");
                let proposed = self.in_progress.remove(&proposal_id);
                self.latencies.extend(proposed.map(|proposed| proposed.elapsed()));
            }
            Output::Send { .. } | Output::ConfigChanged(_) => {}
        }
        Ok(())
    }

    fn lead(&mut self) -> Result<()> {
        while self.replica.status().role != Role::Leader {
            self.run(vec![Input::Tick])?;
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Proposes until `proposers` proposals are in progress, and processes them.
    fn round(&mut self, proposers: u64) -> Result<()> {
        let mut inputs = vec![Input::Tick];
        while (self.in_progress.len() as u64) < proposers {
            self.next_proposal_id += 1;
            self.in_progress.insert(self.next_proposal_id, Instant::now());
            inputs.push(Input::Propose {
                proposal_id: self.next_proposal_id,
                command: drain(self.next_proposal_id),
            });
        }
        self.run(inputs)
    }
}

fn drain(number: u64) -> Command {
    let upstream = format!("lyric-{}", number % 20);
    let change = format!("change-{number:012}");
    let draining = number.is_multiple_of(2);
    Command::SetDrain(SetDrain { change: change.into(), upstream: upstream.into(), draining })
}

/// Measures appends of `bytes` to a plain file, each synced; returns their number per second.
fn measure_syncs(folder: &Path, bytes: usize) -> Result<f64> {
    let path = folder.join("bare");
    let mut file = File::create(&path)?;
    let block = vec![7; bytes];
    let (start, mut count) = (Instant::now(), 0_u32);
    while start.elapsed() < RUN_TIME {
        file.write_all(&block)?;
        file.sync_data()?;
        count += 1;
    }
    let rate = f64::from(count) / start.elapsed().as_secs_f64();
    fs::remove_file(path)?;
    Ok(rate)
}

fn resident_kib() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line.unwrap_or("0").trim().trim_end_matches(" kB").parse()?)
}

fn folder_bytes(folder: &Path) -> Result<u64> {
    let mut bytes = 0;
    for item in fs::read_dir(folder)? {
        bytes += item?.metadata()?.len();
    }
    Ok(bytes)
}

fn measure(folder: &Path, proposers: u64) -> Result<()> {
    let mut voter = Voter::open(folder)?;
    voter.lead()?;
    let before = folder_bytes(folder)?;
    voter.round(proposers)?;
    let bytes = usize::try_from(folder_bytes(folder)? - before)?;
    voter.latencies.clear();
    voter.writes = 0;
    let start = Instant::now();
    while start.elapsed() < RUN_TIME {
        voter.round(proposers)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let commits = voter.latencies.len();
    voter.latencies.sort();
    let at = |percent: usize| voter.latencies.get(commits * percent / 100).copied().unwrap_or_default();
    println!(
        "{proposers} proposers: {:.0} commits/s, p50 {:.2?}, p99 {:.2?}, {:.0} writes/s; bare syncs of {bytes} \
         bytes: {:.0}/s",
        commits as f64 / seconds,
        at(50),
        at(99),
        f64::from(voter.writes) / seconds,
        measure_syncs(folder, bytes)?,
    );
    Ok(())
}

fn recovery(folder: &Path) -> Result<()> {
    let before = resident_kib()?;
    let mut voter = Voter::open(folder)?;
    voter.lead()?;
    while voter.next_proposal_id < CHANGES {
        voter.round(16)?;
    }
    let after = resident_kib()?;
    let bytes = folder_bytes(folder)?;
    drop(voter);
    let start = Instant::now();
    let voter = Voter::open(folder)?;
    println!(
        "after {CHANGES} changes: {before} KiB resident before, {after} KiB after, folder {bytes} bytes, \
         reopened in {:.2?} at version {}",
        start.elapsed(),
        voter.replica.state().config.version
    );
    Ok(())
}

fn main() -> Result<()> {
    let parent = env::args().nth(1).map_or_else(env::temp_dir, PathBuf::from);
    let folder = parent.join(format!("log-speed-{}", std::process::id()));
    // First, so that its memory does not include that of the other measurements.
    recovery(&folder.join("recovery"))?;
    for proposers in PROPOSERS {
        measure(&folder.join(proposers.to_string()), proposers)?;
    }
    fs::remove_dir_all(&folder)?;
    Ok(())
}
