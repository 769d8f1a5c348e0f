//! What is stored: log entries, hard state, snapshots and write batches.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use daisysill_core::{ids::InstanceId, value_types};

use crate::command::{ClaimOutcome, Command, FinishClaim};

/// Identifies the contents of a data folder; drawn when the folder is first formatted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct DiskId(pub u64);

value_types! {
    /// A position in the log; a later term is higher, whatever the index.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Position {
        /// The term of the entry.
        pub term: u64,
        /// The index of the entry.
        pub index: u64,
    }

    /// The voters with their disks, and the learners.
    #[derive(Default)]
    pub struct VoterSet {
        /// Voters and the disk that each was admitted with.
        pub voters: BTreeMap<InstanceId, DiskId>,
        /// Instances that receive the log without a vote.
        pub learners: BTreeSet<InstanceId>,
    }

    /// What an entry carries.
    pub enum Payload {
        /// A command to the agreed state.
        Command(Command),
        /// A new voter set, in effect from the moment it is appended.
        Voters(VoterSet),
    }

    /// An entry of the log.
    pub struct Entry {
        /// Where it stands.
        pub position: Position,
        /// Log time, stamped by the leader.
        pub time_ms: u64,
        /// What it carries.
        pub payload: Payload,
    }

    /// What a replica must remember besides the log.
    pub struct HardState {
        /// The disk id of the folder.
        pub disk: DiskId,
        /// The highest term seen.
        pub term: u64,
        /// Who got this replica's vote in the term.
        pub voted_for: Option<InstanceId>,
    }

    /// The agreed state up to a position.
    pub struct Snapshot {
        /// The last entry it covers.
        pub position: Position,
        /// The voter set at that position.
        pub voters: VoterSet,
        /// The agreed state, encoded with postcard.
        pub state: Vec<u8>,
    }
}

impl VoterSet {
    /// Returns how many voters form a majority.
    ///
    /// ```
    /// use daisysill_control::entry::{DiskId, VoterSet};
    /// let voters = [("a".into(), DiskId(1)), ("b".into(), DiskId(2))].into();
    /// assert_eq!(VoterSet { voters, ..VoterSet::default() }.majority(), 2);
    /// ```
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `name` votes with the disk `disk`.
    pub fn has_voter(&self, name: &InstanceId, disk: DiskId) -> bool {
        self.voters.get(name) == Some(&disk)
    }

    /// Returns every instance that receives the log.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        self.voters.keys().chain(&self.learners)
    }
}

/// Changes to be written and synced together, in the order of the fields.
#[derive(Clone, Debug)]
pub struct WriteBatch {
    /// Its number.
    pub write: u64,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot to be put in place.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the log does not continue the snapshot and is deleted.
    pub reset_log: bool,
    /// Entries from this index on are removed before the new ones are appended.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Arc<Entry>>,
    /// The commit index known when the batch was formed.
    pub commit_index: u64,
    /// Entries below this index are no longer needed.
    pub first_index: u64,
}

/// What a data folder held when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The hard state; `None` in an empty folder.
    pub hard_state: Option<HardState>,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries of the log, contiguous.
    pub entries: Vec<Arc<Entry>>,
    /// The highest commit index that was stored.
    pub commit_index: u64,
    /// Bytes cut from the end of the log because a write had not been completed.
    pub truncated_bytes: u64,
}

impl Entry {
    /// Returns roughly how many bytes the entry takes in a message.
    pub(crate) fn approx_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 256;
        let variable = match &self.payload {
            Payload::Command(Command::PublishRules(publish)) => {
                publish.files.iter().map(|file| file.name.len() + file.text.len()).sum()
            }
            Payload::Command(Command::FinishClaim(FinishClaim {
                outcome: ClaimOutcome::Answered(answer),
                ..
            })) => answer.body.len(),
            Payload::Command(Command::PublishDocument(document)) => document.body.len(),
            Payload::Command(Command::ReportCrash(report)) => {
                report.fingerprints.iter().map(String::len).sum()
            }
            _ => 0,
        };
        FIXED_BYTES + variable
    }
}
