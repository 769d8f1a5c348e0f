//! Entries that only advance log time, for changes that are due at a time.

use daisysill_control::{
    Input,
    command::{ClaimState, Command, ReportCrash},
    crashes::REPORT_WINDOW_MS,
};

use crate::sim::Sim;

/// Guards against a claim that stays in progress because no entry advances log time, and against a leader that appends
/// no-op entries forever.
#[test]
fn log_time_advances_until_an_outcome_is_due() {
    let mut sim = Sim::new(&["a", "b", "c"], 8);
    sim.bootstrap(&["a", "b", "c"]);
    let a = "a".into();
    sim.propose_claim(&a, "k");
    sim.run_without_faults(3_000);
    let replica = sim.nodes[&a].replica.as_ref().unwrap();
    let state = replica.state();
    let claim = state.claims.values().next().unwrap();
    assert_eq!(claim.state_at(state.now_ms), ClaimState::Unknown);
    let last_index = replica.status().last_index;
    sim.run_without_faults(3_000);
    assert_eq!(sim.nodes[&a].replica.as_ref().unwrap().status().last_index, last_index);
}

/// Guards against requests that stay refused after the time of a crash's evaluation, since an entry shortly before it kept
/// the leader from appending the one that advances log time.
#[test]
fn a_crash_is_evaluated_in_time_after_other_entries() {
    const HEARTBEATS_MS: u64 = 200;
    for pause_ms in (0..REPORT_WINDOW_MS).step_by(100) {
        let mut sim = Sim::new(&["a", "b", "c"], 9);
        sim.bootstrap(&["a", "b", "c"]);
        let a = "a".into();
        sim.step(&a, Input::Propose { proposal_id: u64::MAX, command: crash_report() });
        sim.run_without_faults(pause_ms);
        sim.propose_drain(&a, "another entry");
        sim.run_without_faults(REPORT_WINDOW_MS + HEARTBEATS_MS - pause_ms);
        let state = sim.nodes[&a].replica.as_ref().unwrap().state();
        assert!(state.crashes.pending.is_empty(), "an entry after {pause_ms} ms delays the evaluation");
    }
}

fn crash_report() -> Command {
    Command::ReportCrash(ReportCrash {
        upstream: "lyric-1".into(),
        incarnation: 1,
        fingerprints: vec!["request-a".into()],
        block_ms: 60_000,
    })
}
