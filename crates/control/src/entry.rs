//! Data that a replica stores: log entries, hard state, snapshots and write batches.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use daisysill_core::{ids::InstanceId, value_types};

use crate::command::{ClaimOutcome, Command, FinishClaim};

/// Identifies the contents of a data folder. Chosen at random when the folder is first formatted, so that a lost or
/// replaced folder does not count as the one that a voter was admitted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct DiskId(pub u64);

value_types! {
    /// A position in the log, ordered by term, then by index.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Position {
        /// Term in which the entry was appended.
        pub term: u64,
        /// Index in the log; the first entry has 1, and 0 precedes it.
        pub index: u64,
    }

    /// Members of the cluster: voters with their disks, and learners.
    #[derive(Default)]
    pub struct VoterSet {
        /// Voters, with the disk that each was admitted with; a voter with another disk does not count.
        pub voters: BTreeMap<InstanceId, DiskId>,
        /// Instances that receive the log without a vote.
        pub learners: BTreeSet<InstanceId>,
    }

    /// Content of a log entry.
    pub enum Payload {
        /// A command for the agreed state.
        Command(Command),
        /// A new voter set. As in Raft, it takes effect when it is appended, not when it is committed.
        Voters(VoterSet),
    }

    /// A log entry.
    pub struct Entry {
        /// Term and index.
        pub position: Position,
        /// Log time, stamped by the leader when it appends the entry.
        pub time_ms: u64,
        /// A command or a voter set.
        pub payload: Payload,
    }

    /// What must be durable besides the log before a replica votes.
    pub struct HardState {
        /// Id of the data folder.
        pub disk: DiskId,
        /// Highest term seen.
        pub term: u64,
        /// Candidate that got this replica's vote in the term.
        pub voted_for: Option<InstanceId>,
    }

    /// The agreed state at a log position.
    pub struct Snapshot {
        /// Last entry that the snapshot covers.
        pub position: Position,
        /// Voter set at that position.
        pub voters: VoterSet,
        /// The agreed state, encoded with postcard.
        pub state: Vec<u8>,
    }
}

impl VoterSet {
    /// Returns the number of voters in a majority.
    ///
    /// ```
    /// use daisysill_control::entry::{DiskId, VoterSet};
    /// let voters = [("a".into(), DiskId(1)), ("b".into(), DiskId(2))].into();
    /// assert_eq!(VoterSet { voters, ..VoterSet::default() }.majority(), 2);
    /// ```
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a majority of the voters is in `granted`, each with the disk that it was admitted with.
    pub(crate) fn has_majority(&self, granted: &BTreeMap<InstanceId, DiskId>) -> bool {
        granted.iter().filter(|(name, disk)| self.has_voter(name, **disk)).count() >= self.majority()
    }

    /// Returns whether `name` is a voter that was admitted with `disk`.
    pub fn has_voter(&self, name: &InstanceId, disk: DiskId) -> bool {
        self.voters.get(name) == Some(&disk)
    }

    /// Returns the voters and the learners.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        self.voters.keys().chain(&self.learners)
    }
}

/// Changes that are written and synced together, in the order of the fields.
#[derive(Clone, Debug)]
pub struct WriteBatch {
    /// Increases with each batch; reported back with its result.
    pub id: u64,
    /// New hard state; `None` if unchanged.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the previous one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the stored log is deleted because it does not lead up to the snapshot.
    pub reset_log: bool,
    /// Index from which entries are removed before `entries` are appended.
    pub truncate_from: Option<u64>,
    /// Entries to append, contiguous.
    pub entries: Vec<Arc<Entry>>,
    /// Commit index when the batch was formed.
    pub commit_index: u64,
    /// First index still needed; older entries may be deleted together with a new snapshot.
    pub first_index: u64,
}

/// Contents of a data folder when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// `None` in an empty folder.
    pub hard_state: Option<HardState>,
    /// The stored snapshot, if any.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The stored log entries, contiguous.
    pub entries: Vec<Arc<Entry>>,
    /// Highest stored commit index.
    pub commit_index: u64,
    /// Bytes removed from the end of the log because a write was interrupted.
    pub truncated_bytes: u64,
}

impl Entry {
    /// Estimates the encoded size in bytes, without encoding the entry.
    pub(crate) fn approx_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 256;
        let variable = match &self.payload {
            Payload::Command(Command::PublishRules(publish)) => {
                publish.files.iter().map(|file| file.name.len() + file.text.len()).sum()
            }
            Payload::Command(Command::FinishClaim(FinishClaim {
                outcome: ClaimOutcome::Answered(response),
                ..
            })) => response.body.len(),
            Payload::Command(Command::PublishDocument(document)) => document.body.len(),
            Payload::Command(Command::ReportCrash(report)) => {
                report.fingerprints.iter().map(String::len).sum()
            }
            _ => 0,
        };
        FIXED_BYTES + variable
    }
}
