//! Exit codes of daisysill.

use std::process::ExitCode as ProcessExitCode;

/// Exit codes of daisysill, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// The command was carried out.
    Success = 0,
    /// The node refused or could not be reached, or a local file cannot be read.
    Failure = 1,
    /// The command line is not valid.
    Usage = 2,
    /// The rule files have errors.
    Invalid = 3,
    /// Another change was accepted on the same base version.
    Conflict = 4,
    /// The change may have been accepted; resend it with the same change id.
    Uncertain = 5,
    /// The change was accepted, but is not yet in force on every live node.
    NotEverywhere = 6,
}

impl From<ExitCode> for ProcessExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
