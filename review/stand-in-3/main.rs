//! Stand-ins for the cases of the second review: the platform's list, workers, clients and the operator, and the processes of a
//! small deployment, which it starts with the commands of the deploy file.
//!
//! Usage: `stand-in-3 CASE FOLDER`, from the root of the repository; writes `record.txt` in the folder. `TROUBLE=0` leaves out the
//! disruption. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod names;
mod record;
mod worker;

use std::{process::exit, thread, time::Duration};

/// A case takes less than 120 s, whatever happens.
const LIMIT: Duration = Duration::from_secs(114);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-in-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&format!("{folder}/record.txt"));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        deployment::kill_all();
        late.line("the case took too long");
        exit(2);
    });
    let outcome =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, trouble, &record)));
    let (code, text) = match outcome {
        Ok(Ok(None)) => (0, "the rule held".to_owned()),
        Ok(Ok(Some(broken))) => (1, format!("the rule was broken: {broken}")),
        Ok(Err(error)) => (2, format!("the case could not run: {error}")),
        Err(_) => (2, "the case could not run: the stand-in panicked".to_owned()),
    };
    deployment::kill_all();
    record.line(&text);
    println!("{text}");
    exit(code);
}
