//! Stand-ins for the platform, its workers, the operator and clients, on loopback addresses.
//!
//! `stand-in CASE RECORD TROUBLE` plays one case, writes what was sent, answered and run to the file RECORD, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `0` for TROUBLE the disruption is left out.

mod blocked;
mod cut_off;
mod http;
mod isolated;
mod late_orders;
mod names;
mod nodes;
mod record;
mod revoked;

use std::process::ExitCode;

mod thawed;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = args.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let is_disrupted = trouble != "0";
    let played = match case.as_str() {
        "late-orders" => late_orders::play(&record, is_disrupted),
        "blocked" => blocked::play(&record, is_disrupted),
        "revoked" => revoked::play(&record, is_disrupted),
        "isolated" => isolated::play(&record, is_disrupted),
        "thawed" => thawed::play(&record, is_disrupted),
        "cut-off" => cut_off::play(&record, is_disrupted),
        other => Err(format!("there is no case {other:?}")),
    };
    match played {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
