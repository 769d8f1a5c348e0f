//! Tests of the lifecycle of a store's blocks.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_core::{
    block::{BlockDescriptor, BlockName},
    block_lifecycle::{BlockError, BlockState, LeaseId, StoreBlocks},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn descriptor(generation: u64) -> BlockDescriptor {
    BlockDescriptor { name: name(), length_bytes: 100, checksum: 7, generation }
}

fn name() -> BlockName {
    BlockName::from("block")
}

fn put_listed(blocks: &mut StoreBlocks, generation: u64) {
    blocks.begin(descriptor(generation)).unwrap();
    blocks.verify(&name(), generation, 100, 7).unwrap();
    blocks.seal(&name(), generation).unwrap();
    blocks.list(&name(), generation).unwrap();
}

/// Guards against reading a block that is not verified and sealed.
#[test]
fn a_block_is_leased_only_once_listed() {
    let mut blocks = StoreBlocks::default();
    assert_eq!(blocks.lease(&name(), 1, 10), Err(BlockError::Unknown));
    blocks.begin(descriptor(1)).unwrap();
    assert_eq!(blocks.lease(&name(), 1, 10), Err(BlockError::WrongState(BlockState::Writing)));
    assert_eq!(blocks.seal(&name(), 1), Err(BlockError::WrongState(BlockState::Writing)));
    assert_eq!(blocks.verify(&name(), 1, 99, 7), Err(BlockError::Corrupt));
    assert_eq!(blocks.verify(&name(), 1, 100, 8), Err(BlockError::Corrupt));
    blocks.verify(&name(), 1, 100, 7).unwrap();
    assert_eq!(blocks.list(&name(), 1), Err(BlockError::WrongState(BlockState::Verified)));
}

/// Guards against freeing a block while a reader uses it.
#[test]
fn a_leased_block_is_not_freed() {
    let mut blocks = StoreBlocks::default();
    put_listed(&mut blocks, 1);
    let (lease, read) = blocks.lease(&name(), 1, 50).unwrap();
    assert_eq!(read, descriptor(1));
    assert_eq!(blocks.free(&name(), 1, 60), Err(BlockError::WrongState(BlockState::Listed)));
    blocks.unlist(&name(), 1).unwrap();
    assert_eq!(blocks.lease(&name(), 1, 99), Err(BlockError::WrongState(BlockState::Unlisted)));
    assert_eq!(blocks.free(&name(), 1, 50), Err(BlockError::Leased { until_ms: 50 }));
    blocks.release(&name(), lease);
    blocks.free(&name(), 1, 50).unwrap();
}

/// Guards against a reader of an old generation that gets the bytes of a new one.
#[test]
fn generations_increase_and_are_never_confused() {
    let mut blocks = StoreBlocks::default();
    put_listed(&mut blocks, 5);
    assert_eq!(
        blocks.begin(descriptor(6)),
        Err(BlockError::InUse { generation: 5, state: BlockState::Listed })
    );
    blocks.unlist(&name(), 5).unwrap();
    blocks.free(&name(), 5, 0).unwrap();
    assert_eq!(blocks.begin(descriptor(5)), Err(BlockError::OldGeneration { last: 5 }));
    put_listed(&mut blocks, 6);
    assert_eq!(blocks.lease(&name(), 5, 10), Err(BlockError::WrongGeneration { present: 6 }));
    assert_eq!(blocks.unlist(&name(), 5), Err(BlockError::WrongGeneration { present: 6 }));
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(9), ..Config::default() })]

    /// Guards against any sequence of transitions after which a reader has a lease on an unreadable block.
    #[test]
    fn no_sequence_of_transitions_frees_a_leased_block(
        steps in proptest::collection::vec((0..9_u8, 1..4_u64, 0..60_u64), 0..80),
    ) {
        let mut blocks = StoreBlocks::default();
        let mut leases: Vec<(LeaseId, u64, u64)> = Vec::new();
        let mut now_ms = 0;
        for (step, generation, number) in steps {
            let _ = match step {
                0 => blocks.begin(descriptor(generation)),
                1 => blocks.verify(&name(), generation, 100, 7),
                2 => blocks.seal(&name(), generation),
                3 => blocks.list(&name(), generation),
                4 => blocks.lease(&name(), generation, now_ms + number).map(|(lease, read)| {
                    assert_eq!(read.generation, generation);
                    leases.push((lease, generation, now_ms + number));
                }),
                5 => blocks.unlist(&name(), generation),
                6 => blocks.free(&name(), generation, now_ms),
                7 => blocks.abandon(&name(), generation),
                _ => {
                    now_ms += number;
                    Ok(())
                }
            };
            leases.retain(|(_, _, until_ms)| *until_ms >= now_ms);
            if let Some((_, leased, _)) = leases.first() {
                let state = blocks.state(&name()).unwrap();
                prop_assert!(matches!(state, BlockState::Listed | BlockState::Unlisted), "{state:?}");
                prop_assert!(leases.iter().all(|(_, generation, _)| generation == leased));
            }
        }
    }
}
