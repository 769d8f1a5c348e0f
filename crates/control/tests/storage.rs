#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
//! The data folder after crashes, damage and failed writes.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use daisysill_control::{
    DiskId, Input, Output, Position, Replica, ReplicaConfig, Role, Storage, StorageError, VoterSet,
    WriteBatch,
    command::{Command, Reply, SetDrain},
    entry::{Entry, HardState, Payload, Snapshot},
    storage::open,
};

fn entry(index: u64) -> Arc<Entry> {
    let position = Position { term: 1, index };
    Arc::new(Entry { position, time_ms: index, payload: Payload::Command(Command::Noop) })
}

fn batch(indexes: std::ops::RangeInclusive<u64>) -> WriteBatch {
    WriteBatch {
        id: 1,
        hard_state: Some(HardState { disk: DiskId(7), term: 1, voted_for: Some("a".into()) }),
        snapshot: None,
        reset_log: false,
        truncate_from: None,
        entries: indexes.map(entry).collect(),
        commit_index: 0,
        first_index: 1,
    }
}

fn snapshot(index: u64) -> Arc<Snapshot> {
    let position = Position { term: 1, index };
    Arc::new(Snapshot { position, voters: VoterSet::default(), state: vec![1, 2, 3] })
}

fn last_index(folder: &Path) -> u64 {
    open(folder).unwrap().1.entries.last().map_or(0, |entry| entry.position.index)
}

fn log_file(folder: &Path) -> PathBuf {
    folder.join("log-00000000000000000001")
}

/// Guards against a log that cannot be opened after a crash during a write, whatever part was written.
#[test]
fn a_torn_tail_is_truncated_at_any_byte() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.write(&batch(1..=2)).unwrap();
    let synced = fs::read(log_file(folder.path())).unwrap().len();
    storage.write(&batch(3..=4)).unwrap();
    drop(storage);
    let whole = fs::read(log_file(folder.path())).unwrap();
    for length in synced..whole.len() {
        fs::write(log_file(folder.path()), &whole[..length]).unwrap();
        let (mut storage, recovered) = open(folder.path()).unwrap();
        let last = recovered.entries.last().unwrap().position.index;
        assert!((2..=3).contains(&last), "{last} at length {length}");
        storage.write(&batch(last + 1..=5)).unwrap();
        assert_eq!(last_index(folder.path()), 5);
    }
}

/// Guards against a log that cannot be opened because the pages of an unsynced batch reached the disk out of order.
#[test]
fn a_batch_written_out_of_order_is_truncated() {
    let folder = tempfile::tempdir().unwrap();
    open(folder.path()).unwrap().0.write(&batch(1..=1)).unwrap();
    let synced = fs::read(log_file(folder.path())).unwrap().len();
    open(folder.path()).unwrap().0.write(&batch(2..=5)).unwrap();
    let mut bytes = fs::read(log_file(folder.path())).unwrap();
    bytes[synced..synced + 25].fill(0);
    fs::write(log_file(folder.path()), &bytes).unwrap();
    assert_eq!(last_index(folder.path()), 1);
}

/// Guards against damage before the last batch that is treated as a torn tail: synced entries would be lost.
#[test]
fn any_flipped_bit_before_the_last_batch_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.write(&batch(1..=3)).unwrap();
    let synced = fs::read(log_file(folder.path())).unwrap().len();
    storage.write(&batch(4..=4)).unwrap();
    let whole = fs::read(log_file(folder.path())).unwrap();
    for bit in 0..synced * 8 {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        fs::write(log_file(folder.path()), &bytes).unwrap();
        let Err(StorageError::Damaged { path, offset, .. }) = open(folder.path()) else {
            panic!("bit {bit} was not detected");
        };
        assert_eq!(path, log_file(folder.path()));
        assert!(offset <= (bit / 8) as u64);
        assert_eq!(fs::read(log_file(folder.path())).unwrap(), bytes, "a damaged file must not be changed");
    }
}

/// Guards against a damaged hard state or snapshot, or a missing hard state, that is treated as an empty folder.
#[test]
fn damaged_and_missing_files_are_errors() {
    let folder = tempfile::tempdir().unwrap();
    let mut first = batch(1..=3);
    first.snapshot = Some(snapshot(2));
    open(folder.path()).unwrap().0.write(&first).unwrap();
    for name in ["hard-state", "snapshot"] {
        let path = folder.path().join(name);
        let whole = fs::read(&path).unwrap();
        for length in 0..whole.len() {
            fs::write(&path, &whole[..length]).unwrap();
            assert!(
                matches!(open(folder.path()), Err(StorageError::Damaged { .. })),
                "{name} cut to {length}"
            );
        }
        for bit in 0..whole.len() * 8 {
            let mut bytes = whole.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            fs::write(&path, &bytes).unwrap();
            assert!(matches!(open(folder.path()), Err(StorageError::Damaged { .. })), "{name} bit {bit}");
        }
        fs::write(&path, &whole).unwrap();
    }
    fs::remove_file(folder.path().join("hard-state")).unwrap();
    assert!(matches!(open(folder.path()), Err(StorageError::Damaged { .. })), "a missing hard state");
}

/// Guards against entries that reappear after they were replaced or dropped.
#[test]
fn truncation_reset_and_snapshots_survive_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.write(&batch(1..=9)).unwrap();
    storage.write(&WriteBatch { truncate_from: Some(5), ..batch(5..=6) }).unwrap();
    assert_eq!(last_index(folder.path()), 6);
    let installed = WriteBatch { snapshot: Some(snapshot(20)), reset_log: true, ..batch(21..=22) };
    storage.write(&WriteBatch { first_index: 21, ..installed }).unwrap();
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.entries.first().unwrap().position.index, 21);
    assert_eq!(recovered.commit_index, 20);
    assert_eq!(recovered.hard_state.unwrap().disk, DiskId(7));
}

/// Guards against a crash between the installation of a leader's snapshot and the deletion of the older log.
#[test]
fn a_log_that_ends_before_an_installed_snapshot_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.write(&batch(1..=3)).unwrap();
    storage.write(&WriteBatch { entries: Vec::new(), snapshot: Some(snapshot(10)), ..batch(1..=1) }).unwrap();
    let (mut storage, recovered) = open(folder.path()).unwrap();
    assert!(recovered.entries.is_empty());
    storage.write(&batch(11..=11)).unwrap();
    assert_eq!(last_index(folder.path()), 11);
}

/// Guards against a log that grows without bound.
#[test]
fn files_before_a_snapshot_are_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    for start in (1..=200_000).step_by(20_000) {
        storage.write(&batch(start..=start + 19_999)).unwrap();
    }
    let files = || {
        let names = fs::read_dir(folder.path()).unwrap().map(|item| item.unwrap().file_name());
        names.filter(|name| name.to_str().unwrap().starts_with("log-")).count()
    };
    let before = files();
    let last =
        WriteBatch { snapshot: Some(snapshot(200_000)), first_index: 199_000, ..batch(200_001..=200_001) };
    storage.write(&last).unwrap();
    assert!(files() < before, "{} files before, {} after", before, files());
    assert_eq!(last_index(folder.path()), 200_001);
}

/// Guards against a write reported as done after an earlier one failed.
#[test]
fn a_failed_write_fails_all_further_writes() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    fs::create_dir(log_file(folder.path())).unwrap();
    assert!(matches!(storage.write(&batch(1..=1)), Err(StorageError::Io { .. })));
    fs::remove_dir(log_file(folder.path())).unwrap();
    assert!(matches!(storage.write(&batch(1..=1)), Err(StorageError::Failed)));
}

/// Makes a folder refuse the writes of a reopened storage, by folders in place of the files that are written first.
fn set_full(folder: &Path, full: bool) {
    for name in ["disk-check", "hard-state.new"] {
        let path = folder.join(name);
        if full {
            fs::create_dir(path).unwrap();
        } else {
            fs::remove_dir(path).unwrap();
        }
    }
}

/// Guards against a voter that stays halted after its disk has room again, and against entries of the failed write that
/// count as durable because the kernel still shows them.
#[test]
fn a_folder_is_opened_again_once_it_accepts_writes() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.write(&batch(1..=2)).unwrap();
    set_full(folder.path(), true);
    assert!(matches!(storage.write(&batch(3..=3)), Err(StorageError::Io { .. })));
    // The rest of a write that the disk took in part.
    let synced = fs::read(log_file(folder.path())).unwrap();
    let mut torn = synced.clone();
    torn.extend_from_slice(&synced[..synced.len() / 2]);
    fs::write(log_file(folder.path()), torn).unwrap();
    for _ in 0..3 {
        assert!(matches!(storage.reopen(), Err(StorageError::Io { .. })));
        assert!(matches!(storage.write(&batch(3..=3)), Err(StorageError::Failed)));
    }
    set_full(folder.path(), false);
    let recovered = storage.reopen().unwrap();
    assert_eq!(recovered.hard_state.unwrap().disk, DiskId(7));
    assert_eq!(recovered.entries.len(), 2);
    assert_eq!(fs::read(log_file(folder.path())).unwrap(), synced);
    storage.write(&batch(3..=4)).unwrap();
    assert_eq!(last_index(folder.path()), 4);
}

/// Guards against a voter that goes on with another disk, with an empty folder or without entries that it has synced.
#[test]
fn a_folder_that_lost_synced_state_is_not_opened_again() {
    let damages: [fn(&Path); 3] = [
        |folder| fs::write(log_file(folder), b"").unwrap(),
        |folder| fs::remove_file(folder.join("hard-state")).unwrap(),
        |folder| {
            fs::remove_file(folder.join("hard-state")).unwrap();
            fs::remove_file(log_file(folder)).unwrap();
            let (mut other, _) = open(folder).unwrap();
            let hard_state = HardState { disk: DiskId(8), term: 1, voted_for: None };
            other.write(&WriteBatch { hard_state: Some(hard_state), ..batch(1..=2) }).unwrap();
        },
    ];
    for damage in damages {
        let folder = tempfile::tempdir().unwrap();
        let (mut storage, _) = open(folder.path()).unwrap();
        storage.write(&batch(1..=2)).unwrap();
        set_full(folder.path(), true);
        assert!(storage.write(&batch(3..=3)).is_err());
        set_full(folder.path(), false);
        damage(folder.path());
        let error = storage.reopen().unwrap_err();
        assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
        assert!(matches!(storage.write(&batch(3..=3)), Err(StorageError::Failed)));
    }
}

/// Guards against a voter that tries for ever to open a folder whose synced log is gone, for example because an empty disk was
/// mounted in its place, and never says that an operator has to replace it.
#[test]
fn a_folder_without_its_synced_log_is_damaged_when_it_is_opened_again() {
    let losses: [fn(&Path); 2] = [
        |folder| fs::remove_file(log_file(folder)).unwrap(),
        |folder| {
            fs::remove_file(log_file(folder)).unwrap();
            fs::remove_file(folder.join("hard-state")).unwrap();
        },
    ];
    for lose in losses {
        let folder = tempfile::tempdir().unwrap();
        let (mut storage, _) = open(folder.path()).unwrap();
        storage.write(&batch(1..=2)).unwrap();
        set_full(folder.path(), true);
        assert!(storage.write(&batch(3..=3)).is_err());
        set_full(folder.path(), false);
        lose(folder.path());
        let error = storage.reopen().unwrap_err();
        assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
    }
}

fn drain(change: u64) -> Command {
    let change = change.to_string();
    Command::SetDrain(SetDrain { change: change.as_str().into(), upstream: "u".into(), draining: true })
}

/// Runs a single voter on real storage for one input; returns the results of its proposals.
fn drive(
    replica: &mut Replica,
    storage: &mut Storage,
    input: Input,
) -> Vec<Result<Reply, daisysill_control::ProposalFailure>> {
    let mut inputs = vec![input];
    let mut results = Vec::new();
    while let Some(input) = inputs.pop() {
        let mut outputs = Vec::new();
        replica.step(replica.next_timer_ms().min(1_000_000), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Write(batch) => {
                    let batch_id = batch.id;
                    let written = storage.write(&batch).is_ok();
                    inputs.push(if written {
                        Input::BatchSynced { batch_id }
                    } else {
                        Input::BatchFailed { batch_id }
                    });
                }
                Output::Reply { result, .. } => results.push(result),
                Output::Send { .. } | Output::ConfigChanged(_) => {}
            }
        }
    }
    results
}

/// Guards against an acknowledgement after a failed write, and against a restart that loses applied changes.
#[test]
fn a_single_voter_recovers_and_halts_on_a_failed_write() {
    let folder = tempfile::tempdir().unwrap();
    for start in 0..3 {
        let (mut storage, recovered) = open(folder.path()).unwrap();
        let mut config = ReplicaConfig::new("a".into());
        config.snapshot_entries = 50;
        let mut replica = Replica::new(config, recovered, 0, start + 1);
        assert!(replica.state().config.version.0 >= start * 100, "the state went back");
        drive(&mut replica, &mut storage, Input::Tick);
        if start == 0 {
            drive(&mut replica, &mut storage, Input::Bootstrap { voters: vec!["a".into()] });
        }
        for _ in 0..5 {
            drive(&mut replica, &mut storage, Input::Tick);
        }
        for change in 0..100 {
            let command = drain(start * 100 + change);
            let results = drive(&mut replica, &mut storage, Input::Propose { proposal_id: change, command });
            assert!(matches!(results[..], [Ok(Reply::Accepted(_))]), "{results:?}");
        }
        if start == 2 {
            // The temporary file of the snapshot cannot be created, so the batch with the snapshot fails.
            fs::create_dir(folder.path().join("snapshot.new")).unwrap();
            let mut failures = 0;
            for change in 1000..1100 {
                let command = drain(change);
                let results =
                    drive(&mut replica, &mut storage, Input::Propose { proposal_id: change, command });
                if replica.status().role == Role::Halted {
                    failures += usize::from(results.iter().all(Result::is_err));
                }
            }
            assert!(failures > 40, "{failures} proposals failed");
            assert_eq!(replica.status().role, Role::Halted);
        }
    }
}
