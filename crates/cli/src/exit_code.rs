//! Exit codes of daisysill.

use std::process::ExitCode as ProcessExitCode;

/// Exit codes of daisysill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// Done.
    Success = 0,
    /// The node refused, or could not be reached.
    Failure = 1,
    /// Wrong command line.
    Usage = 2,
    /// Rule files have errors.
    Invalid = 3,
    /// Another change was accepted on the same base.
    Conflict = 4,
    /// The change may have been accepted; send it again with the same change id.
    Uncertain = 5,
    /// The change is accepted, but not yet in force on every live node.
    NotEverywhere = 6,
}

impl From<ExitCode> for ProcessExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
