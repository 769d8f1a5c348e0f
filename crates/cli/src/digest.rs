//! Prints the digest of a bearer token, which settings contain instead of the token.

use std::io;

use crate::exit_code::ExitCode;

/// Reads a token from standard input, so that it does not appear in the process list, and prints its digest.
pub(crate) fn run() -> ExitCode {
    let mut token = String::new();
    if let Err(error) = io::stdin().read_line(&mut token) {
        eprintln!("daisysill: the token cannot be read: {error}");
        return ExitCode::Failure;
    }
    let token = token.trim_end_matches(['\r', '\n']);
    if token.is_empty() {
        eprintln!("daisysill: no token on standard input");
        return ExitCode::Usage;
    }
    println!("{}", blake3::hash(token.as_bytes()).to_hex());
    ExitCode::Success
}
