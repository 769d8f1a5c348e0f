//! The processes of a small deployment, and its operator.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, call},
    names::{PUT_CONFIG, SETTINGS_VARIABLE},
    record::Record,
};

const OPERATORS_PORT: u16 = 8_100;
const CALLERS_PORT: u16 = 8_101;
const READY_PORT: u16 = 8_102;

/// The processes that run now, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this program has started and that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

fn forget(child: &Child) {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|id| *id != child.id());
}

/// A process of the system; killed when it is dropped.
pub struct Node {
    pub ip: Ipv4Addr,
    pub name: String,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log")).unwrap();
        let child = Command::new("target/release/daisysilld")
            .arg("--platform")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file can be started");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record.line(&format!("{} ({}) starts", self.name, self.ip));
    }

    /// Sends SIGTERM and waits for the end; SIGKILL follows after `grace_s`. Returns whether the process ended by itself.
    pub fn terminate(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return false };
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        self.record.line(&format!("{} gets SIGTERM", self.name));
        let sent_at = Instant::now();
        while sent_at.elapsed() < Duration::from_secs(8) {
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(&child);
                self.record.line(&format!("{} has ended", self.name));
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        forget(&child);
        self.record.line(&format!("{} is killed after grace_s", self.name));
        false
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub fn operators(&self) -> SocketAddr {
        (self.ip, OPERATORS_PORT).into()
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            (self.ip, READY_PORT).into(),
            "GET /readyz HTTP/1.1\r\nHost: x\r\n",
            "",
            Duration::from_secs(1),
        );
        answer.status == 200
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(&child);
        }
    }
}

/// Addresses and folder of a deployment.
pub struct Place {
    net: (u8, u8),
    folder: PathBuf,
    record: Record,
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Place {
    /// Chooses loopback addresses by the number of this process, and a temporary folder.
    pub fn new(record: &Record) -> Self {
        let number = std::process::id();
        let net = (64 + (number / 250 % 128) as u8, (number % 250) as u8);
        let folder = std::env::temp_dir().join(format!("stand-in-3-{number}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        Self { net, folder, record: record.clone() }
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        (self.ip(number), port).into()
    }

    /// Prepares a process; `serves` is `edge` or `control`, `seeds` are the numbers of control machines.
    pub fn node(
        &self,
        number: u8,
        serves: &str,
        zone: &str,
        seeds: &[u8],
        list: SocketAddr,
        is_first: bool,
    ) -> Node {
        let ip = self.ip(number);
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{}:{OPERATORS_PORT}", self.ip(*seed))).collect();
        let data = self.folder.join(format!("data-{number}"));
        let (memory, disk) = if serves == "edge" {
            (260, String::new())
        } else {
            (256, format!("data_dir={}\n", data.display()))
        };
        let name = format!("{serves}-{number}");
        let text = format!(
            "node_name={name}\nrole={serves}\nserves={serves}\nip={ip}\nzone={zone}\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\n\
             listen.front={ip}:{CALLERS_PORT}\nlisten.ready={ip}:{READY_PORT}\nlisten.control={ip}:{OPERATORS_PORT}\n\
             port_range=7700,7715\nseeds={}\nbootstrap={is_first}\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb={memory}\n\
             limits.max_fds=4200\ndiscovery=cloud\nentry=vip\nfault_tolerance.machines=1\nfault_tolerance.zones=1\n\
             fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
             bounds.sync_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.back_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=52\nbounds.recover_s=12\n\
             bounds.transit_ms=120\nbounds.retry_after_s=20\nbounds.require_fence=false\nbounds.lease_ms=3000\n\
             bounds.freeze_slack_ms=300\nbounds.version_ms=6000\nbounds.version_all_ms=8400\nconfig_mode=highest\n\
             cloud.addr={list}\ncloud.rate_per_s=40.0\ncloud.lag_ms=800\n{disk}",
            seeds.join(",")
        );
        let settings = self.folder.join(format!("settings-{number}"));
        fs::write(&settings, text).expect("the settings can be written");
        Node { ip, name, settings, child: None, record: self.record.clone() }
    }
}

/// A route of the config.
pub struct Route<'a> {
    pub name: &'a str,
    /// `safe`, `unsafe` or `streaming`; a stream may be resumed.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

/// Returns a config with the key `key-1` of the tenant `house`.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|Route { name, kind, service, timeout_ms }| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"goal_ms\":300,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false,\"sticky\":false,\
                 \"resumable\":{},\"gap_goal_ms\":300}}",
                *kind == "streaming"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"house\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Sends a config as the operator does, to one node after another, until it is acknowledged or `limit` is over; returns how long that
/// took.
pub fn put_config(nodes: &[SocketAddr], config: &str, limit: Duration, record: &Record) -> Option<Duration> {
    let start = Instant::now();
    record.line("the operator sends the config");
    for number in 0.. {
        let address = nodes[number % nodes.len()];
        let head =
            format!("POST {PUT_CONFIG} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
        let answer = call(address, &head, config, Duration::from_secs(4));
        if answer.status == 200 {
            record.line(&format!("{address} acknowledges the config"));
            return Some(start.elapsed());
        }
        if number % 10 == 0 {
            record.line(&format!("{address} answers {} to the config", answer.status));
        }
        if start.elapsed() >= limit {
            return None;
        }
        sleep(Duration::from_millis(200));
    }
    None
}

/// Sends a client's request with the key `key-1`.
pub fn request(
    entry: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    headers: &str,
    deadline_ms: u64,
) -> Answer {
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-1\r\n{headers}"
    );
    call(entry, &head, "", Duration::from_millis(deadline_ms + 1_000))
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() >= limit {
            return Err(format!("timed out: {what}"));
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}
