//! The combined state of an upstream.

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

/// Guards against an upstream that goes live although its first listing says that it is leaving.
#[test]
fn a_leaving_sign_from_any_source_wins() {
    let signs = [
        Observation::Listed { leaving: true },
        Observation::Drain(true),
        Observation::RefusedLeaving,
        Observation::PeerRefused,
    ];
    for sign in signs {
        let mut liveness = Liveness::default();
        assert_eq!(observe(&mut liveness, &[sign, PING]), UpstreamState::Leaving, "{sign:?} first");
        let mut liveness = Liveness::default();
        assert_eq!(observe(&mut liveness, &[LISTED, PING, sign, PING]), UpstreamState::Leaving, "{sign:?}");
    }
}

/// Guards against a drain mark whose removal gives work to an upstream that the list says is leaving.
#[test]
fn a_sign_that_is_taken_back_leaves_the_others_in_force() {
    let mut liveness = Liveness::default();
    let both = [Observation::Listed { leaving: true }, Observation::Drain(true), Observation::Drain(false)];
    assert_eq!(observe(&mut liveness, &both), UpstreamState::Leaving);
    assert_eq!(observe(&mut liveness, &[LISTED]), UpstreamState::Live);
}

/// Guards against a restarted upstream that never gets work again because its former process refused.
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

/// Guards against a healthy upstream that loses work because one connection went silent.
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

    /// Guards against any order of observations that gives work to an upstream somebody says is leaving.
    #[test]
    fn an_upstream_with_a_leaving_sign_is_never_live(
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
