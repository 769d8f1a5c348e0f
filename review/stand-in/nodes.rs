//! Starts the project's processes as its deploy file says, and sends what an operator sends.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http::call, names::SETTINGS_VARIABLE, record::Record};

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const SIGKILL: u64 = 9;
/// Has a process get a signal once the thread that started it has ended.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    /// Sends a signal to a process, from the C library that every program is linked to.
    fn kill(process: i32, signal: i32) -> i32;

    /// Changes a property of the calling process.
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

const PROGRAM: &str = "target/release/daisysilld";
const OPERATORS_PORT: u16 = 8_000;
const CALLERS_PORT: u16 = 8_005;
const READY_PORT: u16 = 8_002;
const METRICS_PORT: u16 = 9_464;

/// The machines of a case, with their processes; those are killed when it is dropped.
pub struct Nodes {
    folder: PathBuf,
    network: (u8, u8),
    control: u8,
    list: SocketAddr,
    processes: Mutex<Vec<(u8, Child)>>,
}

/// A network of loopback addresses that nothing uses.
pub fn free_network() -> Result<(u8, u8), String> {
    let start = std::process::id();
    for step in 0..200 {
        let number = start.wrapping_mul(31).wrapping_add(step * 7);
        let network = (90 + (number % 100) as u8, ((number / 100) % 250) as u8);
        let ports = [OPERATORS_PORT, CALLERS_PORT, READY_PORT, METRICS_PORT, 7_700, 7_701];
        let is_free = (1..=60)
            .all(|host| ports.iter().all(|port| TcpListener::bind(address(network, host, *port)).is_ok()));
        if is_free {
            return Ok(network);
        }
    }
    Err("no free loopback addresses".to_owned())
}

pub fn address((second, third): (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
}

impl Nodes {
    /// Starts `control` control nodes, from host 1, and `entries` entry nodes, from host 11. `list` is the platform's list.
    pub fn start(network: (u8, u8), control: u8, entries: u8, list: SocketAddr) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let nodes = Self { folder, network, control, list, processes: Mutex::default() };
        for host in (1..=control).chain(11..11 + entries) {
            nodes.start_process(host, true)?;
        }
        Ok(nodes)
    }

    /// Starts the process of a machine; `bootstrap` is set on the first start only.
    pub fn start_process(&self, host: u8, bootstrap: bool) -> Result<(), String> {
        let is_entry = host > 10;
        let at = |host: u8, port: u16| address(self.network, host, port);
        let seeds: Vec<String> =
            (1..=self.control.min(3)).map(|host| at(host, OPERATORS_PORT).to_string()).collect();
        let data = self.folder.join(format!("data-{host}"));
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(host - 1) % 10 % 3];
        let mut text = format!(
            "node_name=node-{host}\nzone={zone}\nregion=here\nzones.zone-a=here\nzones.zone-b=here\nzones.zone-c=here\n\
             ip={ip}\nport_range=7700,7715\nseeds={seeds}\nbootstrap={bootstrap}\nlimits.cpu_share=0.25\n\
             limits.memory_mb=260\nlimits.max_fds=4200\nfault_tolerance.machines=1\nfault_tolerance.zones=1\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\n\
             bounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.back_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=52\nbounds.recover_s=12\n\
             bounds.transit_ms=120\nbounds.retry_after_s=20\nbounds.require_fence=false\nbounds.lease_ms=3000\n\
             bounds.freeze_slack_ms=300\nbounds.version_ms=6000\nbounds.version_all_ms=8400\nconfig_mode=highest\n\
             cloud.addr={list}\ncloud.rate_per_s=40.0\ncloud.lag_ms=800\n",
            ip = at(host, 0).ip(),
            seeds = seeds.join(","),
            list = self.list,
        );
        text += &if is_entry {
            format!(
                "machine_class=edge\nserves=edge\nlisten.front={}\nlisten.ready={}\n",
                at(host, CALLERS_PORT),
                at(host, READY_PORT)
            )
        } else {
            format!(
                "machine_class=core\nserves=control\nlisten.control={}\ndata_dir={}\n",
                at(host, OPERATORS_PORT),
                data.display()
            )
        };
        let settings = self.folder.join(format!("settings-{host}"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{host}")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.arg("--platform").env_clear().env("PATH", std::env::var("PATH").unwrap_or_default());
        command.env(SETTINGS_VARIABLE, &settings).stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        // All processes are started on the main thread, so that they end with the stand-in however that ends.
        // SAFETY: the closure only makes a system call.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.processes.lock().unwrap().push((host, child));
        Ok(())
    }

    /// Returns the id of the process of a machine; 0 if it has none.
    pub fn process(&self, host: u8) -> u32 {
        let processes = self.processes.lock().unwrap();
        processes.iter().find(|(known, _)| *known == host).map_or(0, |(_, child)| child.id())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, host: u8, signal: i32) {
        let processes = self.processes.lock().unwrap();
        if let Some(id) = processes
            .iter()
            .find(|(known, _)| *known == host)
            .and_then(|(_, child)| i32::try_from(child.id()).ok())
        {
            // SAFETY: the process was started here and was not waited for, so that its id is not in use again.
            unsafe { kill(id, signal) };
        }
    }

    /// Returns whether the process of a machine runs.
    #[allow(dead_code)]
    pub fn runs(&self, host: u8) -> bool {
        let mut processes = self.processes.lock().unwrap();
        processes.iter_mut().any(|(known, child)| *known == host && matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process of a machine and waits for its end.
    #[allow(dead_code)]
    pub fn kill(&self, host: u8) {
        let mut processes = self.processes.lock().unwrap();
        if let Some(at) = processes.iter().position(|(known, _)| *known == host) {
            let (_, mut child) = processes.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns what the process of a machine has written.
    #[allow(dead_code)]
    pub fn log(&self, host: u8) -> String {
        fs::read_to_string(self.folder.join(format!("log-{host}"))).unwrap_or_default()
    }

    pub fn operators(&self, host: u8) -> SocketAddr {
        address(self.network, host, OPERATORS_PORT)
    }

    pub fn callers(&self, entry: u8) -> SocketAddr {
        address(self.network, 11 + entry, CALLERS_PORT)
    }

    /// Sends an order of the operator to one control node after the other until one confirms it.
    pub fn order(&self, record: &Record, path: &str, body: &str) -> Result<Instant, String> {
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            for host in 1..=self.control {
                let address = self.operators(host);
                let json = [("content-type", "application/json")];
                let answer = call(address, "POST", path, &json, body, Duration::from_secs(1));
                match answer.map(|answer| answer.status()) {
                    Some(200) => {
                        record.line(&format!(
                            "operator: {path} {} confirmed by {address}",
                            &body[..body.len().min(60)]
                        ));
                        return Ok(Instant::now());
                    }
                    Some(status @ 400..=499) => return Err(format!("{path} was refused with {status}")),
                    _ => {}
                }
            }
            sleep(Duration::from_millis(100));
        }
        Err(format!("{path} was not confirmed"))
    }

    /// Waits until an entry node is ready.
    pub fn wait_until_ready(&self, entry: u8) -> Result<(), String> {
        let address = address(self.network, 11 + entry, READY_PORT);
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            let answer = call(address, "GET", "/readyz", &[], "", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("an entry node did not become ready".to_owned())
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for (_, child) in self.processes.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
