//! A small deployment of the project's own processes on loopback addresses, with the stand-in of the platform's list.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection},
    names::{PUT_CONFIG, SETTINGS_VARIABLE},
    record::Record,
};

const ZONES: [&str; 3] = ["howrah", "salt-lake", "durgapur"];
const CONTROL_PORT: u16 = 8582;
const FRONT_PORT: u16 = 8580;
const READY_PORT: u16 = 8586;
/// Time for the deployment to be ready.
const START_TIME: Duration = Duration::from_secs(20);

/// One process.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    child: Child,
}

impl Node {
    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill cannot be run").success(), "no signal sent to {}", self.name);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Waits for the end of the process; kills it after `limit`, as the platform does.
    pub fn wait_or_kill(&mut self, limit: Duration) {
        let start = Instant::now();
        while !self.has_ended() {
            if start.elapsed() >= limit {
                let _ = self.child.kill();
                let _ = self.child.wait();
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the process again, with `bootstrap=false` as at any start but the first.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, text.replace("bootstrap=true", "bootstrap=false")).unwrap();
        self.child = start(&self.settings);
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CONTROL_PORT)
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONT_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), READY_PORT);
        http::call(address, "GET", "/readyz", "", "").is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes, and the text of the platform's list.
pub struct Nodes {
    pub control: Vec<Node>,
    pub edge: Vec<Node>,
    pub list: Arc<Mutex<String>>,
    /// Settings of a control node, with its address left out.
    core_settings: String,
    net: (u8, u8),
    /// Address at which workers of the case listen.
    pub workers_ip: Ipv4Addr,
    pub folder: PathBuf,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.control.clear();
        self.edge.clear();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Nodes {
    /// Starts 3 control nodes and `edges` entry nodes, each in a zone of its own.
    pub fn start(edges: usize, record: &Record) -> Self {
        let folder = env::temp_dir().join(format!("daisysill-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let net = free_net();
        let list = Arc::new(Mutex::new(String::from("{\"instances\":[],\"next_token\":null}")));
        let list_address = serve_list(Ipv4Addr::new(127, net.0, net.1, 200), Arc::clone(&list));
        let ip = |number: u8| Ipv4Addr::new(127, net.0, net.1, number);
        let seeds: Vec<String> = (1..=3).map(|number| format!("{}:{CONTROL_PORT}", ip(number))).collect();
        let settings = |name: &str, ip: Ipv4Addr, role: &str, zone: &str| {
            let is_core = role == "control";
            let mut text = format!(
                "node_name={name}\nrole={}\nmachine_class={}\nserves={}\nip={ip}\nzone={zone}\nregion=gangetic\n",
                if is_core { "control" } else { "entry" },
                if is_core { "core" } else { "edge" },
                if is_core { "control" } else { "edge" },
            );
            for zone in ZONES {
                text += &format!("zones.{zone}=gangetic\n");
            }
            if is_core {
                let data = folder.join(format!("data-{name}"));
                text += &format!(
                    "listen.control={ip}:{CONTROL_PORT}\nlimits.memory_mb=256\nlimits.max_fds=4096\n\
                     limits.disk_mb=128\nloss_counted=true\ndata_dir={}\n",
                    data.display()
                );
            } else {
                text += &format!(
                    "listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\nlimits.memory_mb=110\n\
                     limits.max_fds=4100\nlimits.disk_mb=0\nloss_counted=false\n"
                );
            }
            text + &format!(
                "port_range=7260,7275\nseeds={}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n\
                 limits.link_mbps=1000.0\ndiscovery=cloud\nentry=vip\nheartbeat_ms=1200\n\
                 contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
                 fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
                 bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
                 bounds.sync_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
                 bounds.config_apply_ms=2000\nbounds.back_ms=250\nbounds.max_stretch_ms=5000\n\
                 bounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
                 bounds.retry_window_s=10\nbounds.retry_slack=54\nbounds.recover_s=12\nbounds.transit_ms=120\n\
                 bounds.retry_after_s=20\nbounds.require_fence=false\nbounds.lease_ms=3000\n\
                 bounds.freeze_slack_ms=300\nbounds.version_ms=8000\nbounds.version_all_ms=11000\n\
                 config_mode=highest\ncloud.addr={list_address}\ncloud.rate_per_s=42.0\ncloud.duties=\n\
                 cloud.lag_ms=800\n",
                seeds.join(",")
            )
        };
        let begin = |number: u8, role: &str, zone: &str, prefix: &str| {
            let (name, ip) = (format!("{prefix}-{zone}-{number}"), ip(number));
            let path = folder.join(format!("{name}.conf"));
            fs::write(&path, settings(&name, ip, role, zone)).unwrap();
            record.line(&format!("start {name} at {ip}"));
            Node { name, ip, child: start(&path), settings: path }
        };
        let zones = || ZONES.iter().cycle();
        let control = (1..=3).zip(zones()).map(|(number, zone)| begin(number, "control", zone, "core"));
        let control: Vec<Node> = control.collect();
        let edge = (0..edges).zip(zones());
        let edge = edge.map(|(number, zone)| begin(100 + number as u8, "edge", zone, "edge")).collect();
        let core_settings = settings("NAME", Ipv4Addr::LOCALHOST, "control", "ZONE");
        Self { control, edge, list, core_settings, net, workers_ip: ip(201), folder }
    }

    /// Adds a control node with an empty disk at a new address, as the platform does once the system runs. Its seeds are those of
    /// the others, since the operator's list lags.
    pub fn add_control(&mut self, number: u8, record: &Record) {
        let (ip, zone) = (Ipv4Addr::new(127, self.net.0, self.net.1, number), zone(usize::from(number) - 1));
        let name = format!("core-{zone}-{number}");
        let text = self.core_settings.replace("NAME", &name).replace("ZONE", zone);
        let text = text.replace("127.0.0.1", &ip.to_string()).replace("bootstrap=true", "bootstrap=false");
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, text).unwrap();
        record.line(&format!("start {name} at {ip}, with an empty disk"));
        self.control.push(Node { name, ip, child: start(&path), settings: path });
    }

    /// Sends a change as an operator until a control node confirms it: at once the same again at another node after a 5xx or no
    /// response. Returns the time of the confirmation, `None` if there is none in time.
    pub fn change(&self, path: &str, body: &str, limit: Duration) -> Option<Instant> {
        let start = Instant::now();
        while start.elapsed() < limit {
            for node in &self.control {
                if http::call(node.control(), "POST", path, "", body)
                    .is_ok_and(|answer| answer.status() == 200)
                {
                    return Some(Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Puts the first config in force and waits until all entry nodes are ready; returns whether they are.
    pub fn become_ready(&self, config: &str, record: &Record) -> bool {
        if self.change(PUT_CONFIG, config, START_TIME).is_none() {
            record.line("no control node confirmed the first config");
            return false;
        }
        let start = Instant::now();
        while !self.edge.iter().all(Node::is_ready) {
            if start.elapsed() > START_TIME {
                record.line("not all entry nodes became ready");
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("the first config is confirmed and all entry nodes are ready");
        true
    }

    /// Lists workers: id, service, address, zone and slots of each.
    pub fn list(&self, workers: &[(String, &str, SocketAddr, &str, u32)]) {
        let entries: Vec<String> = workers
            .iter()
            .map(|(id, service, address, zone, slots)| {
                format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"id\":\"{id}\",\"born\":1700000000000}}"
                )
            })
            .collect();
        *self.list.lock().unwrap() = format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","));
    }
}

/// The zone of a number, by turns.
pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn start(settings: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(settings.with_extension("log")).unwrap();
    Command::new("target/release/daisysilld")
        .arg("--platform")
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .expect("target/release/daisysilld cannot be started")
}

/// Returns the second and third octet of loopback addresses on which the ports of the deployment are free.
fn free_net() -> (u8, u8) {
    let mut draw = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() / 1_000
        + std::process::id() * 7_919;
    loop {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let net = (100 + (draw >> 8) as u8 % 100, (draw >> 16) as u8);
        let is_free = |number: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, number), port)).is_ok()
        };
        let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, 9464, 7260, 7261];
        if ports.iter().all(|port| (1..=3).chain(100..=105).all(|number| is_free(number, *port))) {
            return net;
        }
    }
}

/// Serves the list of instances.
fn serve_list(ip: Ipv4Addr, list: Arc<Mutex<String>>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("no address for the list");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = Arc::clone(&list);
            thread::spawn(move || {
                let Ok(mut connection) = Connection::over(stream) else { return };
                while connection.read().is_ok() {
                    let body = list.lock().unwrap().clone();
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if connection.write(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
