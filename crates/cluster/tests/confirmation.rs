//! When a replica's configuration counts as the newest, at a process that is suspended.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_cluster::{BootInstant, ReplicaStep, confirmed_at};
use daisysill_control::{Input, Output, Recovered, Replica, ReplicaConfig, Role};
use tokio::time::advance;

const ELECTION_TIMEOUT_MS: u64 = 400;
/// Longer than a lease lasts.
const FREEZE: Duration = Duration::from_secs(7);

/// Two replicas on the paused clock; the first by name leads.
struct Pair {
    start: BootInstant,
    replicas: [Replica; 2],
    messages: Vec<(usize, usize, Vec<u8>)>,
}

impl Pair {
    async fn start() -> Self {
        let replica = |name: &str, seed| {
            let config = ReplicaConfig {
                heartbeat_ms: 100,
                election_timeout_ms: ELECTION_TIMEOUT_MS,
                ..ReplicaConfig::new(name.into())
            };
            Replica::new(config, Recovered::default(), 0, seed)
        };
        let start = BootInstant::now();
        let mut pair = Self { start, replicas: [replica("a", 1), replica("b", 2)], messages: Vec::new() };
        pair.step(0, Input::Bootstrap { voters: vec!["a".into(), "b".into()] });
        pair.run(Duration::from_secs(2)).await;
        assert_eq!(pair.replicas[0].status().role, Role::Leader);
        assert_eq!(pair.replicas[1].status().role, Role::Follower);
        pair
    }

    /// Makes a step of a replica; writes are synced at once.
    fn step(&mut self, index: usize, input: Input) -> ReplicaStep {
        let at = BootInstant::now();
        let now_ms = u64::try_from(at.since(self.start).as_millis()).unwrap();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.replicas[index].step(now_ms, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => {
                        let to = usize::from(to.as_str() == "b");
                        self.messages.push((index, to, message));
                    }
                    Output::Write(batch) => inputs.push(Input::BatchSynced { batch_id: batch.id }),
                    Output::Reply { .. } | Output::ConfigChanged(_) => {}
                }
            }
        }
        ReplicaStep { now_ms, at }
    }

    /// Delivers all messages, and lets time pass.
    async fn run(&mut self, time: Duration) {
        let end = BootInstant::now() + time;
        while BootInstant::now() < end {
            advance(Duration::from_millis(10)).await;
            for index in 0..2 {
                self.step(index, Input::Tick);
            }
            for _ in 0..4 {
                for (from, to, message) in std::mem::take(&mut self.messages) {
                    let from = ["a", "b"][from].into();
                    self.step(to, Input::Receive { from, message });
                }
            }
        }
    }
}

/// Guards against an older configuration that looks recent because its process was suspended between the look at the lease, or at the
/// contact with the leader, and the reading of the clock for the confirmation.
#[tokio::test(start_paused = true)]
async fn confirmation_is_not_later_than_the_step_that_shows_it() {
    let mut pair = Pair::start().await;
    for index in 0..2 {
        let step = pair.step(index, Input::Tick);
        let status = pair.replicas[index].status();
        advance(FREEZE).await;
        let confirmed = confirmed_at(&status, step, true).unwrap();
        assert!(confirmed <= step.at, "replica {index}: {:?} after the step", confirmed.since(step.at));
        assert!(confirmed.elapsed() >= FREEZE, "replica {index}");
        pair.run(Duration::from_secs(3)).await;
    }
}

/// Guards against a follower whose last contact with the leader is some time ago, and whose configuration counts as confirmed at the
/// time of the step.
#[tokio::test(start_paused = true)]
async fn follower_confirms_as_of_its_last_contact() {
    let mut pair = Pair::start().await;
    let silence = Duration::from_millis(ELECTION_TIMEOUT_MS / 2);
    advance(silence).await;
    let step = pair.step(1, Input::Tick);
    let confirmed = confirmed_at(&pair.replicas[1].status(), step, true).unwrap();
    assert!(step.at.since(confirmed) >= silence);
    assert_eq!(confirmed_at(&pair.replicas[1].status(), step, false), None, "contact is not trusted");
}

/// Guards against a leader that confirms its configuration after the end of its lease.
#[tokio::test(start_paused = true)]
async fn leader_confirms_nothing_after_its_lease() {
    let mut pair = Pair::start().await;
    let status = pair.replicas[0].status();
    let until_ms = status.leader_until_ms.unwrap();
    let step = |now_ms| ReplicaStep { now_ms, at: BootInstant::now() };
    assert!(confirmed_at(&status, step(until_ms - 1), true).is_some());
    assert_eq!(confirmed_at(&status, step(until_ms), true), None);
    pair.run(Duration::from_millis(10)).await;
}
