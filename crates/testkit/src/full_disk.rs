//! Lets the disk of one running process refuse writes for a while.
//!
//! The limit on file sizes (`RLIMIT_FSIZE`) of the process is lowered to zero, so that each of its writes to a file fails
//! with EFBIG where a full disk answers ENOSPC; opening, reading, truncating, syncing and deleting files still works.
//! Pipes and sockets have no such limit, so logs are passed through a pipe ([`copy_output`]).

use std::{
    fs::File,
    io::{self, Read},
    path::Path,
    process::Command,
    thread::{self, JoinHandle},
};

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};

/// Ignores the signal that by default ends a process at a write beyond the limit, and runs the program with its arguments.
const IGNORE_SIGNAL_AND_RUN: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// Returns a command that runs a program in a process for which [`set_full`] can be called.
pub fn command(program: &Path) -> Command {
    let mut command = Command::new("sh");
    command.arg("-c").arg(IGNORE_SIGNAL_AND_RUN).arg(program);
    command
}

/// Sets whether every write of a process to a file fails. The process was started by [`command`].
///
/// # Panics
/// Panics if there is no such process.
pub fn set_full(process: u32, full: bool) {
    // The process has inherited these limits.
    let unlimited = getrlimit(Resource::Fsize);
    let limit = if full { Rlimit { current: Some(0), ..unlimited } } else { unlimited };
    let process = i32::try_from(process).ok().and_then(Pid::from_raw).unwrap();
    prlimit(Some(process), Resource::Fsize, limit).unwrap();
}

/// Appends what a process writes to a pipe to a file, until the process ends; the thread then ends, too.
pub fn copy_output(mut output: impl Read + Send + 'static, mut file: File) -> JoinHandle<()> {
    thread::spawn(move || {
        let _ = io::copy(&mut output, &mut file);
    })
}
