//! Real processes in a temporary folder.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde::Deserialize;
use tempfile::TempDir;

/// Time in which a process must listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A folder that holds the settings and files of real processes.
#[derive(Debug)]
pub struct Environment {
    folder: TempDir,
}

/// Addresses a node listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NodeAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// A running daisysilld process; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    /// Where it listens.
    pub addresses: NodeAddresses,
}

impl Default for Environment {
    fn default() -> Self {
        Self::new()
    }
}

impl Environment {
    /// Creates the folder.
    ///
    /// # Panics
    /// Panics if no folder can be created.
    pub fn new() -> Self {
        Self { folder: TempDir::new().unwrap() }
    }

    /// Returns the folder.
    pub fn path(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file and returns its path.
    ///
    /// # Panics
    /// Panics if the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts daisysilld with the given settings and waits until it listens.
    ///
    /// # Panics
    /// Panics if it does not listen in time.
    pub fn start_node(&self, name: &str, settings: &str) -> NodeProcess {
        let ready = self.path().join(format!("{name}.ready"));
        let _ = fs::remove_file(&ready);
        let settings = settings.replace("READY_FILE", &ready.display().to_string());
        let path = self.write(&format!("{name}.ini"), &settings);
        let log = fs::File::options().create(true).append(true).open(self.path().join(format!("{name}.log")));
        let child = Command::new(binary("daisysilld"))
            .arg("--config")
            .arg(path)
            .stdin(Stdio::null())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        let mut process = NodeProcess {
            child,
            addresses: NodeAddresses {
                caller: SocketAddr::from(([127, 0, 0, 1], 0)),
                admin: SocketAddr::from(([127, 0, 0, 1], 0)),
                peer: SocketAddr::from(([127, 0, 0, 1], 0)),
            },
        };
        let end = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(addresses) = fs::read(&ready).ok().and_then(|text| serde_json::from_slice(&text).ok())
            {
                process.addresses = addresses;
                return process;
            }
            let exited = process.child.try_wait().unwrap();
            assert!(exited.is_none(), "{name} exited: {exited:?}\n{}", self.log(name));
            assert!(Instant::now() < end, "{name} does not listen\n{}", self.log(name));
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs daisysilld with settings that it cannot start with; returns its exit code and what it said.
    ///
    /// # Panics
    /// Panics if the program cannot be run.
    pub fn expect_start_failure(&self, settings: &str) -> (Option<i32>, String) {
        let path = self.write("failing.ini", settings);
        let mut command = Command::new("timeout");
        command.arg(START_TIMEOUT.as_secs().to_string());
        let output = command.arg(binary("daisysilld")).arg("--config").arg(path).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    }

    /// Asks daisysilld to check settings; returns what it says against them, or `None`.
    ///
    /// # Panics
    /// Panics if the program cannot be run.
    pub fn check_settings(&self, settings: &str) -> Option<String> {
        let path = self.write("checked.ini", settings);
        let output = Command::new(binary("daisysilld")).arg("--check-settings").arg(path).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        (!output.status.success()).then_some(said)
    }

    /// Returns what a node wrote to its log.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Runs the operators' command against a node.
    ///
    /// # Panics
    /// Panics if the command cannot be run.
    pub fn cli(&self, node: &NodeProcess, arguments: &[&str]) -> Output {
        self.cli_command(node, arguments).output().unwrap()
    }

    /// Prepares the operators' command against a node.
    pub fn cli_command(&self, node: &NodeProcess, arguments: &[&str]) -> Command {
        let mut command = Command::new(binary("daisysill"));
        command.arg("--node").arg(format!("http://{}", node.addresses.admin)).args(arguments);
        command
    }
}

impl NodeProcess {
    /// Sends a signal by its name, for example `TERM`.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Waits for the end and returns the exit code.
    ///
    /// # Panics
    /// Panics if the process does not end in time.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < end, "the process does not end");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether the process has ended.
    ///
    /// # Panics
    /// Panics if the process cannot be asked for.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary of this workspace, which lies beside the folder of the running test.
///
/// # Panics
/// Panics if the binary is not built.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let folder = test.ancestors().skip(1).find(|folder| folder.join(name).is_file());
    folder.unwrap_or_else(|| panic!("{name} is not built; run cargo build --workspace first")).join(name)
}
