//! Exit codes of daisysilld.

use std::process::ExitCode as ProcessExitCode;

/// Exit codes of daisysilld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The process stopped as requested, or the settings are valid.
    Success = 0,
    /// The process could not start or failed while serving.
    Failure = 1,
    /// The command line is not valid.
    Usage = 2,
    /// The settings are not valid or cannot be read.
    Settings = 3,
}

impl From<ExitCode> for ProcessExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
