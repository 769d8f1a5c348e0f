//! The daisysilld process: serves requests of callers and takes part in the cluster.

use std::process::ExitCode as ProcessExitCode;

use daisysill_node::{app, exit_code::ExitCode, options::Options};

fn main() -> ProcessExitCode {
    let exit_code = match Options::parse(std::env::args().skip(1)) {
        Ok(options) if options.on_platform && options.print.is_none() => run_on_platform(),
        Ok(options) => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
            app::run(&options)
        }
        Err(message) => {
            eprintln!("daisysilld: {message}");
            ExitCode::Usage
        }
    };
    exit_code.into()
}

/// Serves with the platform's settings file. Logs go to standard output in the platform's format.
fn run_on_platform() -> ExitCode {
    match actix_rt::System::new().block_on(daisysill_platform::run()) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("daisysilld: {error:#}");
            ExitCode::Failure
        }
    }
}
