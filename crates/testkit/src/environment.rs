//! Runs real daisysilld processes and the command `daisysill` in a temporary folder.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde::Deserialize;
use tempfile::TempDir;

use crate::full_disk;

/// Time in which a started process must listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a suspended process must have stopped, and the period at which that is checked.
const SUSPEND_TIMEOUT: Duration = Duration::from_secs(5);
const SUSPEND_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A temporary folder with the settings, ready files and logs of processes; removed when dropped.
#[derive(Debug)]
pub struct Environment {
    folder: TempDir,
}

/// The addresses on which a node listens, as read from its ready file.
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
    /// Ends once the log is complete.
    log: Option<JoinHandle<()>>,
    /// Addresses on which it listens.
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

    /// Writes a file below the folder, with its parent folders, and returns its path.
    ///
    /// # Panics
    /// Panics if the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts daisysilld with these settings, in which `READY_FILE` is replaced by a path, and waits until it listens.
    ///
    /// # Panics
    /// Panics if the process exits or does not listen within 20 s.
    pub fn start_node(&self, name: &str, settings: &str) -> NodeProcess {
        let ready = self.path().join(format!("{name}.ready"));
        let _ = fs::remove_file(&ready);
        let settings = settings.replace("READY_FILE", &ready.display().to_string());
        let path = self.write(&format!("{name}.ini"), &settings);
        let log = fs::File::options().create(true).append(true).open(self.path().join(format!("{name}.log")));
        let mut child = full_disk::command(&binary("daisysilld"))
            .arg("--config")
            .arg(path)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = full_disk::copy_output(child.stderr.take().unwrap(), log.unwrap());
        let mut process = NodeProcess {
            child,
            log: Some(log),
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
            if let Some(status) = process.child.try_wait().unwrap() {
                process.wait_for_log();
                panic!("{name} exited before it listened: {status}\n{}", self.log(name));
            }
            assert!(
                Instant::now() < end,
                "{name} does not listen within {START_TIMEOUT:?}\n{}",
                self.log(name)
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs daisysilld where its start must fail, and ends it after 20 s; returns exit code and standard error.
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

    /// Runs `daisysilld --check-settings`; returns its standard error if it rejects them, otherwise `None`.
    ///
    /// # Panics
    /// Panics if the program cannot be run.
    pub fn check_settings(&self, settings: &str) -> Option<String> {
        let path = self.write("checked.ini", settings);
        let output = Command::new(binary("daisysilld")).arg("--check-settings").arg(path).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        (!output.status.success()).then_some(stderr)
    }

    /// Returns what a node has logged, across restarts; empty if there is no log.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Runs the command `daisysill` against a node.
    ///
    /// # Panics
    /// Panics if the command cannot be run.
    pub fn cli(&self, node: &NodeProcess, arguments: &[&str]) -> Output {
        self.cli_command(node, arguments).output().unwrap()
    }

    /// Prepares the command `daisysill` against a node, without running it.
    pub fn cli_command(&self, node: &NodeProcess, arguments: &[&str]) -> Command {
        let mut command = Command::new(binary("daisysill"));
        command.arg("--node").arg(format!("http://{}", node.addresses.admin)).args(arguments);
        command
    }
}

impl NodeProcess {
    /// Sends a signal, given by its name without `SIG`.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Sends SIGSTOP and blocks the thread until all threads of the process have stopped, which takes a while on a busy
    /// machine.
    ///
    /// # Panics
    /// Panics if the signal cannot be sent, or the process does not stop in time.
    pub fn suspend(&self) {
        self.signal("STOP");
        let end = Instant::now() + SUSPEND_TIMEOUT;
        while !self.is_suspended() {
            assert!(Instant::now() < end, "the process did not stop in time");
            thread::sleep(SUSPEND_POLL_INTERVAL);
        }
    }

    fn is_suspended(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.map_while(Result::ok).all(|thread| {
            // The state follows the name, which is in parentheses.
            let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            stat.rsplit(") ").next().is_none_or(|rest| rest.starts_with('T') || rest.is_empty())
        })
    }

    /// Blocks the thread until the process exits; returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    /// Panics if the process does not exit in time.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                self.wait_for_log();
                return status.code();
            }
            assert!(Instant::now() < end, "the process does not exit within {timeout:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether the process has exited.
    ///
    /// # Panics
    /// Panics if the process's state cannot be read.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sets whether its disk refuses all writes.
    ///
    /// # Panics
    /// Panics if the process has ended.
    pub fn set_disk_full(&self, full: bool) {
        full_disk::set_full(self.id(), full);
    }

    /// Waits until the log of the process, which has ended, is complete.
    fn wait_for_log(&mut self) {
        if let Some(log) = self.log.take() {
            let _ = log.join();
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.wait_for_log();
    }
}

/// Returns the path of a binary of this workspace, searched in the parent folders of the running test.
///
/// # Panics
/// Panics if the binary is not built.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let folder = test.ancestors().skip(1).find(|folder| folder.join(name).is_file());
    folder.unwrap_or_else(|| panic!("{name} is not built; run cargo build --workspace first")).join(name)
}
