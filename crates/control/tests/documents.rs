//! Routing documents and target versions in the agreed state.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_control::{
    command::{Command, PublishDocument, Reply, SetTargetVersion},
    state::AgreedState,
};
use daisysill_core::ids::{ConfigVersion, WeightVersion};

fn publish(version: u64, body: &str) -> Command {
    Command::PublishDocument(PublishDocument { version, body: body.as_bytes().to_vec() })
}

/// Guards against an older or equal version that replaces the one in force, and against a refused resend.
#[test]
fn the_highest_version_stays_in_force_and_every_resend_is_accepted() {
    let mut state = AgreedState::default();
    assert_eq!(state.apply(1, 10, &publish(5, "five")), Reply::Done);
    assert_eq!(state.apply(2, 20, &publish(3, "three")), Reply::Done);
    assert_eq!(state.apply(3, 30, &publish(5, "other five")), Reply::Done);
    let document = state.config.document.clone().unwrap();
    assert_eq!((document.version, document.body.as_slice()), (5, b"five".as_slice()));
    assert_eq!(state.config.version, ConfigVersion(1), "nothing has changed since");
    assert_eq!(state.apply(4, 40, &publish(9, "nine")), Reply::Done);
    assert_eq!(state.config.document.clone().unwrap().version, 9);
    assert_eq!(state.config.version, ConfigVersion(4));
}

/// Guards against a late copy of a command that lowers a target version.
#[test]
fn target_versions_only_grow() {
    let mut state = AgreedState::default();
    let set_target = |version| {
        Command::SetTargetVersion(SetTargetVersion { model: "m".to_owned(), version: WeightVersion(version) })
    };
    for (index, version) in [(1, 2), (2, 4), (3, 3)] {
        assert_eq!(state.apply(index, 10, &set_target(version)), Reply::Done);
    }
    assert_eq!(state.config.target_versions["m"], WeightVersion(4));
    assert_eq!(state.config.version, ConfigVersion(2));
}
