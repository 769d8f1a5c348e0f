//! The daisysilld process: serves callers and takes part in the cluster.

use std::process::ExitCode as ProcessExitCode;

use daisysill_node::{app, exit_code::ExitCode, options::Options};

fn main() -> ProcessExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let exit_code = match Options::parse(std::env::args().skip(1)) {
        Ok(options) => app::run(&options),
        Err(message) => {
            eprintln!("daisysilld: {message}");
            ExitCode::Usage
        }
    };
    exit_code.into()
}
