//! The daisysill command, with which operators check and change a deployment.

mod check;
mod client;
mod digest;
mod evacuate;
mod exit_code;
mod options;
mod publish;
mod report;
mod where_command;

use std::process::ExitCode as ProcessExitCode;

use crate::{
    exit_code::ExitCode,
    options::{Action, Options},
};

fn main() -> ProcessExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let exit_code = match Options::parse(std::env::args().skip(1)) {
        Ok(options) => run(&options),
        Err(message) => {
            eprintln!("daisysill: {message}");
            ExitCode::Usage
        }
    };
    exit_code.into()
}

fn run(options: &Options) -> ExitCode {
    let result = match &options.action {
        Action::Print(text) => {
            print!("{text}");
            return ExitCode::Success;
        }
        Action::Digest => return digest::run(),
        Action::Check { directory } => return check::run(directory, options.json),
        Action::Publish(publish) => actix_rt::System::new().block_on(publish::run(options, publish)),
        Action::Status => actix_rt::System::new().block_on(report::status(options)),
        Action::Explain { request_id } => {
            actix_rt::System::new().block_on(report::explain(options, request_id.as_deref()))
        }
        Action::Where(request) => actix_rt::System::new().block_on(where_command::run(options, request)),
        Action::Drain { upstream, draining } => {
            actix_rt::System::new().block_on(report::drain(options, upstream, *draining))
        }
        Action::Evacuate { zone, evacuated } => {
            actix_rt::System::new().block_on(evacuate::change(options, zone, *evacuated))
        }
        Action::EvacuationStatus { zone } => {
            actix_rt::System::new().block_on(evacuate::status(options, zone.as_deref()))
        }
        Action::Voters => actix_rt::System::new().block_on(report::voters(options)),
        Action::ChangeVoters { action, name } => {
            actix_rt::System::new().block_on(report::change_voters(options, *action, name))
        }
        Action::Weights { service, base, version } => {
            actix_rt::System::new().block_on(report::weights(options, service, *base, *version))
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("daisysill: {error}");
        error.exit_code()
    })
}
