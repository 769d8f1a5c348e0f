//! The state charts, and parsing of published files.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    chart::{Chart, REQUEST_CHART, ROLE_CHART, UPSTREAM_CHART, VOTER_CHART},
    ini_check::IniFile,
    rules::{RuleFile, RuleSet},
};
use proptest::{prelude::*, test_runner::Config};

const CHARTS: &[(&str, &str, usize)] = &[
    (REQUEST_CHART, "received", 9),
    (UPSTREAM_CHART, "unknown", 6),
    (ROLE_CHART, "starting", 6),
    (VOTER_CHART, "outside", 6),
];

/// Guards against transitions and states that cannot be reached from the first state.
#[test]
fn every_declared_transition_is_reachable() {
    for (text, first, state_count) in CHARTS {
        let chart = Chart::parse(text).unwrap();
        let declared: Vec<(String, String, String)> =
            chart.transitions().map(|(s, e, t)| (s.into(), e.into(), t.into())).collect();
        let mut reached = vec![(*first).to_owned()];
        let mut taken = 0;
        let mut at = 0;
        while let Some(state) = reached.get(at).cloned() {
            for (_, event, target) in declared.iter().filter(|(from, _, _)| *from == state) {
                assert_eq!(chart.next(&state, event).unwrap(), target);
                taken += 1;
                if !reached.contains(target) {
                    reached.push(target.clone());
                }
            }
            at += 1;
        }
        assert_eq!(taken, declared.len(), "unreachable transitions, reached {reached:?}");
        assert_eq!(reached.len(), *state_count, "{reached:?}");
    }
}

/// Guards against an observation of an upstream that is dropped because its state does not declare the event.
#[test]
fn the_upstream_chart_declares_every_event_in_every_state() {
    let chart = Chart::parse(UPSTREAM_CHART).unwrap();
    let events: std::collections::BTreeSet<&str> = chart.transitions().map(|(_, e, _)| e).collect();
    for state in ["unknown", "live", "suspect", "down", "leaving", "gone"] {
        for event in &events {
            assert!(chart.next(state, event).is_ok(), "{state} does not declare {event}");
        }
    }
}

/// Generates text that resembles INI, so that parsing gets past the first lines.
fn ini_like() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("[service]".to_owned()),
        Just("[rest]".to_owned()),
        Just("[never_twice]".to_owned()),
        "[a-z_]{0,12} ?[=:] ?[-0-9a-z*/, ]{0,24}",
        Just("name = ".to_owned()),
        Just("calls = POST".to_owned()),
        "(name|accelerator_s|calls|default|keep_s) = .{0,20}",
        "\\PC{0,30}",
        ".{0,20}",
    ];
    proptest::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against a published file that crashes the process.
    #[test]
    fn parsing_never_panics(text in ini_like(), any in ".{0,200}") {
        for text in [&text, &any] {
            let file = RuleFile { name: "rules.ini".into(), text: text.clone() };
            let _ = RuleSet::parse(&[file.clone(), file]);
            let _ = Chart::parse(text);
            if let Ok(mut ini) = IniFile::parse("rules.ini", text) {
                for section in ini.sections() {
                    ini.check_keys(&section, &["name"]);
                    let _ = ini.number(&section, "name", 1, 0, 9);
                    let _ = ini.entries(&section);
                }
                let _ = ini.into_errors();
            }
        }
    }
}
