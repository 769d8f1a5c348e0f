//! Exit codes of daisysilld.

use std::process::ExitCode as ProcessExitCode;

/// Exit codes of daisysilld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// A planned stop, or settings without errors.
    Success = 0,
    /// A fault while running.
    Failure = 1,
    /// Wrong command line.
    Usage = 2,
    /// The settings have errors.
    Settings = 3,
}

impl From<ExitCode> for ProcessExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
