//! The state of an upstream, combined from all sources.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    chart::{Chart, UPSTREAM_CHART},
    liveness::{Liveness, Observation},
    view::UpstreamState,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn observe(liveness: &mut Liveness, observations: &[Observation]) -> UpstreamState {
    let chart = Chart::parse(UPSTREAM_CHART).unwrap();
    for observation in observations {
        liveness.observe(&chart, *observation).unwrap();
    }
    liveness.upstream_state()
}

const LISTED: Observation = Observation::Listed { leaving: false };
const PING: Observation = Observation::PingOk { incarnation: 1 };

/// Guards against an upstream that becomes live although a source reports it as leaving.
#[test]
fn any_leaving_source_makes_an_upstream_leaving() {
    let reports = [
        Observation::Listed { leaving: true },
        Observation::Drain(true),
        Observation::RefusedLeaving,
        Observation::PeerRefused,
    ];
    for report in reports {
        let mut liveness = Liveness::default();
        assert_eq!(observe(&mut liveness, &[report, PING]), UpstreamState::Leaving, "{report:?} first");
        let mut liveness = Liveness::default();
        assert_eq!(
            observe(&mut liveness, &[LISTED, PING, report, PING]),
            UpstreamState::Leaving,
            "{report:?}"
        );
    }
}

/// Guards against a removed drain mark that gives work to an upstream that the list still reports as leaving.
#[test]
fn a_removed_leaving_source_does_not_cancel_the_others() {
    let mut liveness = Liveness::default();
    let both = [Observation::Listed { leaving: true }, Observation::Drain(true), Observation::Drain(false)];
    assert_eq!(observe(&mut liveness, &both), UpstreamState::Leaving);
    assert_eq!(observe(&mut liveness, &[LISTED]), UpstreamState::Live);
}

/// Guards against a restarted upstream that gets no work because its former process refused.
#[test]
fn a_restart_ends_a_refusal_but_not_a_drain() {
    let mut liveness = Liveness::default();
    observe(&mut liveness, &[LISTED, PING, Observation::RefusedLeaving]);
    assert_eq!(observe(&mut liveness, &[PING]), UpstreamState::Leaving);
    assert_eq!(observe(&mut liveness, &[Observation::PingOk { incarnation: 2 }]), UpstreamState::Live);
    observe(&mut liveness, &[Observation::Drain(true), Observation::RefusedLeaving]);
    assert_eq!(observe(&mut liveness, &[Observation::PingOk { incarnation: 3 }]), UpstreamState::Leaving);
    observe(&mut liveness, &[Observation::Unlisted]);
    assert_eq!(observe(&mut liveness, &[LISTED]), UpstreamState::Leaving, "the drain mark stays");
}

/// Guards against a healthy upstream that gets no work because one connection went silent.
#[test]
fn a_silent_connection_counts_only_when_a_new_one_fails() {
    let mut liveness = Liveness::default();
    observe(&mut liveness, &[LISTED, PING]);
    let works =
        [Observation::ConnectionSilent, Observation::NewConnectionOk, Observation::NewConnectionFailed];
    assert_eq!(observe(&mut liveness, &works), UpstreamState::Live);
    let fails = [Observation::ConnectionSilent, Observation::NewConnectionFailed];
    assert_eq!(observe(&mut liveness, &fails), UpstreamState::Suspect);
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        any::<bool>().prop_map(|leaving| Observation::Listed { leaving }),
        Just(Observation::Unlisted),
        any::<bool>().prop_map(Observation::Drain),
        Just(Observation::RefusedLeaving),
        Just(Observation::PeerRefused),
        (1..4_u64).prop_map(|incarnation| Observation::PingOk { incarnation }),
        Just(Observation::PingFailed),
        Just(Observation::ConnectionSilent),
        Just(Observation::NewConnectionOk),
        Just(Observation::NewConnectionFailed),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(8), ..Config::default() })]

    /// Guards against any order of observations that gives work to an upstream reported as leaving.
    #[test]
    fn an_upstream_with_a_leaving_source_takes_no_work(
        observations in proptest::collection::vec(observation(), 0..40),
    ) {
        let chart = Chart::parse(UPSTREAM_CHART).unwrap();
        let mut liveness = Liveness::default();
        for observation in observations {
            prop_assert!(liveness.observe(&chart, observation).is_ok(), "{observation:?}");
            let state = liveness.upstream_state();
            let takes_work = matches!(state, UpstreamState::Live | UpstreamState::Suspect);
            prop_assert!(!takes_work || liveness.leaving_sources().is_empty(), "{state:?} {liveness:?}");
        }
    }
}
