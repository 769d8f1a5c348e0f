//! Stand-ins of the second review: clients, workers, the operator and the platform's list for the scripts in `review/`.
//!
//! `stand-in-2 CASE FOLDER` plays a case and writes `record.txt` in its folder. It exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

#![allow(dead_code)]

mod alike;
mod first_start;
mod heads;
mod http;
mod names;
mod nodes;
mod poison;
mod record;
mod taken_up;
mod upgrade;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    process::exit,
};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let folder = PathBuf::from(arguments.get(2).map_or(".", String::as_str));
    let case = arguments.get(1).map(String::as_str);
    // A panic means that the case could not run. The processes that it started end as their handles are dropped.
    exit(catch_unwind(AssertUnwindSafe(|| play(case, &folder))).unwrap_or(2));
}

/// Plays a case; returns the exit code.
fn play(case: Option<&str>, folder: &Path) -> i32 {
    match case {
        Some("alike") => alike::run(folder),
        Some("first-start") => first_start::run(folder),
        Some("heads") => heads::run(folder),
        Some("poison") => poison::run(folder),
        Some("taken-up") => taken_up::run(folder),
        Some("upgrade") => upgrade::run(folder),
        other => {
            eprintln!("no case {other:?}");
            2
        }
    }
}
