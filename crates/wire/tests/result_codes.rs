//! The result codes in the code match their table in `docs/RESULT-CODES.md`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeSet, fs, path::Path};

use daisysill_core::result_code::{ResultCode, RunState};

fn table_rows() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT-CODES.md");
    let text = fs::read_to_string(path).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| 1") && line.matches('|').count() == 6);
    rows.map(|row| row.rsplit_once(" | ").unwrap().0.to_owned()).collect()
}

/// Guards against a documented table that lacks a code, has a removed one, or gives another status or run state.
#[test]
fn the_documented_table_lists_every_code() {
    let run_state = |code: ResultCode| match code.run_state() {
        RunState::NotRun => "not_run",
        RunState::MayHaveRun => "may_have_run",
        RunState::Run => "run",
    };
    let expected = ResultCode::ALL.iter().map(|code| {
        format!("| {} | `{}` | {} | `{}`", code.number(), code.name(), code.http_status(), run_state(*code))
    });
    assert_eq!(table_rows(), expected.collect());
}

/// Guards against two codes that share a number or a name.
#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!((numbers.len(), names.len()), (ResultCode::ALL.len(), ResultCode::ALL.len()));
}
