//! Weight rollout: limits on loading engines, the lease, and its fencing number.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{cell::Cell, rc::Rc, time::Duration};

use actix::Actor;
use daisysill_control::command::{Command, SetWeights};
use daisysill_core::{
    ids::{FencingNumber, WeightVersion},
    rules::WeightRules,
};
use daisysill_node::rollout::{EngineVersion, OrderLease, Rollout, plan_orders};
use proptest::prelude::*;
use support::Node;
use tokio::time::sleep;

mod support;

const RULES: &str = "[service]\nname = lyric-llm\n[weights]\nmax_loading = 1\nfloor_percent = 50\n";

struct FakeLease(Cell<Option<u64>>);

impl OrderLease for FakeLease {
    fn fencing(&self) -> Option<FencingNumber> {
        self.0.get().map(FencingNumber)
    }
}

proptest! {
    /// Guards against more engines loading at once than the rules allow, and fewer in service than the floor.
    #[test]
    fn planned_orders_keep_both_limits(
        states in proptest::collection::vec((any::<bool>(), 1_u64..3, any::<bool>()), 2..30),
        max_loading in 1_u64..5,
        floor_percent in 0_u64..=100,
    ) {
        let engine = |(index, (in_service, version, loading)): (usize, &(bool, u64, bool))| EngineVersion {
            id: format!("lyric-{index}").as_str().into(),
            in_service: *in_service,
            version: WeightVersion(*version),
            loading: *loading,
        };
        let engines: Vec<EngineVersion> = states.iter().enumerate().map(engine).collect();
        let ordered = plan_orders(&engines, WeightVersion(2), &WeightRules { max_loading, floor_percent });
        let loading = engines.iter().filter(|e| e.loading).count() + ordered.len();
        let serving = engines.iter().filter(|e| e.in_service && !e.loading).count() - ordered.len();
        if !ordered.is_empty() {
            prop_assert!(loading as u64 <= max_loading);
            // A floor that requires every engine still lets one load at a time.
            let keeps_floor = serving as u64 * 100 >= floor_percent * engines.len() as u64;
            prop_assert!(keeps_floor || serving + 1 == engines.len());
        }
        for id in &ordered {
            let engine = engines.iter().find(|e| e.id == *id).unwrap();
            prop_assert!(engine.in_service && !engine.loading && engine.version == WeightVersion(1));
        }
    }
}

/// Guards against orders without the lease, without its fencing number, or to more engines than may load at once.
#[actix_rt::test]
async fn orders_are_given_under_the_lease_one_at_a_time() {
    let node = Node::start(RULES).await;
    let lease = Rc::new(FakeLease(Cell::new(None)));
    Rollout::new(node.shared.clone(), node.engine.clone(), lease.clone()).start();
    let weights = SetWeights {
        change: "w1".into(),
        base: WeightVersion(0),
        service: "lyric-llm".into(),
        version: WeightVersion(2),
    };
    node.shared.cluster.propose(Command::SetWeights(weights)).await.unwrap();
    sleep(Duration::from_millis(600)).await;
    assert!(node.engine.orders.borrow().is_empty());
    lease.0.set(Some(9));
    sleep(Duration::from_millis(900)).await;
    let orders = node.engine.orders.borrow();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((orders[0].1.fencing, orders[0].1.weight_version), (9, 2));
}
