//! Export of idle KV cache pieces, and restore before an attempt.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use daisysill_core::{
    block::{BlockDescriptor, BlockName, BlockScope, piece_names},
    ids::WeightVersion,
};
use daisysill_node::directory::{BlockDirectory, FREE_DELAY, MAX_LEASE};
use daisysill_wire::{http_types::ImportReply, peer::BlockLocation};
use support::{Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str = "[service]\nname = lyric-llm\n[rest]\naccelerator_s = 4\ndisk_s = 60\n\
     [costs]\nrecompute_weight_us = 100000\n";
const PROMPT: &str = "0123456789012345678901234567890123456789";

fn names(customer: &str) -> Vec<BlockName> {
    let (customer, service) = (customer.into(), "lyric-llm".into());
    let scope =
        BlockScope { customer: &customer, service: &service, adapter: "", weight_version: WeightVersion(1) };
    piece_names(&scope, PROMPT, 10)
}

fn sealed(name: &BlockName, generation: u64) -> BlockLocation {
    let block = BlockDescriptor { name: name.clone(), length_bytes: 10, checksum: 7, generation };
    BlockLocation { store: "score-1".into(), block }
}

fn list(node: &Node, customer: &str) {
    let blocks: Vec<BlockLocation> = names(customer).iter().map(|name| sealed(name, 5)).collect();
    node.shared.directory.apply_report(&blocks, &[]);
}

async fn served(node: &Node, customer: &str) {
    node.script(&[&[Step::Finish(0)]]);
    assert_eq!(collect_response(node.prompt(customer, PROMPT)).await, ("t0 ".to_owned(), None));
}

/// Guards against computing pieces that a store holds, and against descriptors without the checksum, length and
/// generation that the engine needs to verify blocks.
#[actix_rt::test]
async fn listed_blocks_are_imported_before_the_attempt() {
    let node = Node::start(RULES).await;
    list(&node, "opera-a");
    node.engine.import_replies.borrow_mut().push_back(Ok(ImportReply { bytes: 40, imported: 4 }));
    served(&node, "opera-a").await;
    let imports = node.engine.imports.borrow();
    let imported: Vec<&str> = imports[0].blocks.iter().map(|block| block.name.as_str()).collect();
    assert_eq!(imported, names("opera-a").iter().map(BlockName::as_str).collect::<Vec<_>>());
    assert!(imports[0].blocks.iter().all(|b| (b.checksum, b.length_bytes, b.generation) == (7, 10, 5)));
    assert_eq!(node.shared.metrics.restored_bytes.get(), 40);
}

/// Guards against restoring one customer's blocks for another customer with the same prompt.
#[actix_rt::test]
async fn blocks_of_another_customer_are_never_used() {
    let node = Node::start(RULES).await;
    list(&node, "opera-a");
    served(&node, "opera-b").await;
    assert!(node.engine.imports.borrow().is_empty());
    let attempts = node.engine.attempts.borrow();
    let named = &attempts[0].1.kv_pieces;
    assert!(names("opera-a").iter().all(|name| !named.contains(&name.as_str().to_owned())));
    assert_eq!(attempts[0].1.cache_salt, "opera-b");
}

/// Guards against a request that fails because its restore failed, and against a block that stays listed after
/// an engine could not verify it.
#[actix_rt::test]
async fn a_failed_or_partial_restore_falls_back_to_prefill() {
    let node = Node::start(RULES).await;
    list(&node, "opera-a");
    served(&node, "opera-a").await;
    assert_eq!(node.shared.metrics.failed_restores.get(), 1);
    node.engine.import_replies.borrow_mut().push_back(Ok(ImportReply { bytes: 10, imported: 1 }));
    served(&node, "opera-a").await;
    assert_eq!(node.shared.metrics.partial_restores.get(), 1);
    let listed = node.shared.directory.listed(&"score-1".into(), &names("opera-a"));
    assert!(!listed.contains(&names("opera-a")[1]));
}

/// Guards against delaying the first token for a transfer that hangs.
#[actix_rt::test]
async fn a_restore_that_hangs_is_cancelled_at_its_deadline() {
    let node = Node::start(RULES).await;
    list(&node, "opera-a");
    tokio::time::pause();
    node.engine.import_delay.set(Duration::from_hours(1));
    let start = Instant::now();
    served(&node, "opera-a").await;
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    let transfer = node.engine.imports.borrow()[0].transfer_id.clone();
    assert!(node.engine.cancelled.borrow().contains(&transfer));
}

/// Guards against a transfer that continues after the caller disconnected.
#[actix_rt::test]
async fn a_restore_is_cancelled_when_its_caller_disconnects() {
    let node = Node::start(RULES).await;
    list(&node, "opera-a");
    node.engine.import_delay.set(Duration::from_hours(1));
    let receiver = node.prompt("opera-a", PROMPT);
    sleep(Duration::from_millis(50)).await;
    drop(receiver);
    sleep(Duration::from_millis(50)).await;
    let transfer = node.engine.imports.borrow()[0].transfer_id.clone();
    assert!(node.engine.cancelled.borrow().contains(&transfer));
    assert_eq!(node.shared.directory.booked_bytes(&"score-1".into()), 0);
    assert!(node.engine.attempts.borrow().is_empty());
}

/// Guards against losing pieces when the engine evicts them, and against keeping them longer than the rules allow.
#[actix_rt::test]
async fn idle_pieces_are_exported_and_freed_after_their_time() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    served(&node, "opera-a").await;
    sleep(Duration::from_secs(3)).await;
    let exported: Vec<String> = node.engine.exports.borrow().iter().flat_map(|e| e.pieces.clone()).collect();
    assert_eq!(exported, names("opera-a").iter().map(|n| n.as_str().to_owned()).collect::<Vec<_>>());
    let listed = || node.shared.directory.listed(&"score-1".into(), &names("opera-a")).len();
    assert_eq!(listed(), 4);
    sleep(Duration::from_secs(62)).await;
    assert_eq!((listed(), node.store.freed.borrow().len()), (0, 0));
    sleep(FREE_DELAY).await;
    assert_eq!(node.store.freed.borrow().len(), 4);
}

/// Guards against freeing a block while an engine may read it, and against a lease that never ends.
#[actix_rt::test]
async fn a_block_is_not_freed_while_a_reader_may_hold_it() {
    tokio::time::pause();
    let directory = std::sync::Arc::new(BlockDirectory::default());
    let name = BlockName::from("a");
    directory.list_own(sealed(&name, 1), Duration::from_secs(1));
    sleep(Duration::from_secs(1) + FREE_DELAY).await;
    let lease = directory.lease(&"score-1".into(), std::slice::from_ref(&name), MAX_LEASE).unwrap();
    // `lease` counts as a use and restarts the block's time, so it is unlisted explicitly.
    directory.unlist(&"score-1".into(), &name, 1);
    assert!(directory.lease(&"score-1".into(), std::slice::from_ref(&name), MAX_LEASE).is_none());
    assert!(directory.expire().is_empty());
    sleep(FREE_DELAY).await;
    assert_eq!(directory.expire(), [sealed(&name, 1)]);
    drop(lease);
    assert!(directory.expire().is_empty());
    assert_eq!(directory.booked_bytes(&"score-1".into()), 0);
}

/// Guards against an old report that removes a newer generation of the same block from the list.
#[actix_rt::test]
async fn a_newer_generation_survives_reports_of_an_older_one() {
    let directory = std::sync::Arc::new(BlockDirectory::default());
    let name = BlockName::from("a");
    directory.apply_report(&[sealed(&name, 2)], &[]);
    directory.apply_report(&[sealed(&name, 1)], &[]);
    directory.apply_report(&[], &[sealed(&name, 1)]);
    let lease = directory.lease(&"score-1".into(), &[name], MAX_LEASE).unwrap();
    assert_eq!(lease.blocks[0].generation, 2);
}

/// Guards against a late-started node that never learns of older blocks, and against reports of unlimited size.
#[actix_rt::test]
async fn reports_repeat_older_blocks_in_turn() {
    tokio::time::pause();
    let (owner, late) = (BlockDirectory::default(), BlockDirectory::default());
    let names: Vec<BlockName> =
        (0..100).map(|index| BlockName::from(format!("{index:03}").as_str())).collect();
    for name in &names {
        owner.list_own(sealed(name, 1), Duration::from_hours(1));
    }
    assert!(owner.report().0.len() < 40);
    sleep(Duration::from_mins(1)).await;
    for _ in 0..26 {
        let (sealed, freed) = owner.report();
        assert!(sealed.len() <= 4);
        late.apply_report(&sealed, &freed);
    }
    assert_eq!(late.listed(&"score-1".into(), &names).len(), 100);
}
