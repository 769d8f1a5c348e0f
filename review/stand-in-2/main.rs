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

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let folder = PathBuf::from(arguments.get(2).map_or(".", String::as_str));
    let code = match arguments.get(1).map(String::as_str) {
        Some("alike") => alike::run(&folder),
        Some("first-start") => first_start::run(&folder),
        Some("heads") => heads::run(&folder),
        Some("poison") => poison::run(&folder),
        Some("taken-up") => taken_up::run(&folder),
        Some("upgrade") => upgrade::run(&folder),
        other => {
            eprintln!("no case {other:?}");
            2
        }
    };
    exit(code);
}
