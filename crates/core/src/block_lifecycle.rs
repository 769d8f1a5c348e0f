//! The life of the blocks of one store: write, verify, seal, list, lease, unlist, wait, free.
//!
//! A block is readable only while it is listed and leased, and its bytes are freed only after it has been
//! unlisted and every lease has ended, so no reader sees a freed or partly written block.

use std::{collections::BTreeMap, fmt};

use crate::block::{BlockDescriptor, BlockName};

/// Identifies a lease on a block of one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(u64);

/// Where a block is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockState {
    /// Its bytes are being written.
    Writing,
    /// Its length and checksum were read back and match.
    Verified,
    /// Its bytes do not change any more.
    Sealed,
    /// Readers may lease it.
    Listed,
    /// No new lease is given; present ones run out.
    Unlisted,
    /// The store may reuse its bytes.
    Freed,
}

/// Why a step is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockError {
    /// The store knows no such block.
    Unknown,
    /// A generation that is not newer than the last one under this name.
    OldGeneration {
        /// The last generation.
        last: u64,
    },
    /// The name belongs to a generation that is not freed yet.
    InUse {
        /// The generation in use.
        generation: u64,
        /// Its state.
        state: BlockState,
    },
    /// The step concerns another generation than the present one.
    WrongGeneration {
        /// The present generation.
        present: u64,
    },
    /// The step does not follow the block's state.
    WrongState(BlockState),
    /// The bytes that were read back differ from what was to be written.
    Corrupt,
    /// Leases are open.
    Leased {
        /// When the last one ends.
        until_ms: u64,
    },
}

impl fmt::Display for BlockError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("the store knows no such block"),
            Self::OldGeneration { last } => write!(f, "generation is not newer than {last}"),
            Self::InUse { generation, state } => write!(f, "generation {generation} is {state:?}, not freed"),
            Self::WrongGeneration { present } => write!(f, "the present generation is {present}"),
            Self::WrongState(state) => write!(f, "the step does not follow the state {state:?}"),
            Self::Corrupt => f.write_str("length or checksum differ from what was to be written"),
            Self::Leased { until_ms } => write!(f, "leased until {until_ms} ms"),
        }
    }
}

impl std::error::Error for BlockError {}

#[derive(Clone, Debug)]
struct BlockEntry {
    descriptor: BlockDescriptor,
    state: BlockState,
    leases: BTreeMap<LeaseId, u64>,
}

/// The blocks of one store.
#[derive(Clone, Debug, Default)]
pub struct StoreBlocks {
    blocks: BTreeMap<BlockName, BlockEntry>,
    next_lease: u64,
}

impl StoreBlocks {
    /// Begins to write a block; its generation must be newer than any before under the same name.
    pub fn begin(&mut self, descriptor: BlockDescriptor) -> Result<(), BlockError> {
        if let Some(entry) = self.blocks.get(&descriptor.name) {
            let last = entry.descriptor.generation;
            if entry.state != BlockState::Freed {
                return Err(BlockError::InUse { generation: last, state: entry.state });
            }
            if descriptor.generation <= last {
                return Err(BlockError::OldGeneration { last });
            }
        }
        let name = descriptor.name.clone();
        let entry = BlockEntry { descriptor, state: BlockState::Writing, leases: BTreeMap::new() };
        self.blocks.insert(name, entry);
        Ok(())
    }

    /// Compares what the store read back with what was to be written.
    pub fn verify(
        &mut self,
        name: &BlockName,
        generation: u64,
        length_bytes: u64,
        checksum: u32,
    ) -> Result<(), BlockError> {
        let entry = self.entry_in(name, generation, BlockState::Writing)?;
        if (entry.descriptor.length_bytes, entry.descriptor.checksum) != (length_bytes, checksum) {
            return Err(BlockError::Corrupt);
        }
        entry.state = BlockState::Verified;
        Ok(())
    }

    /// Makes a verified block immutable.
    pub fn seal(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Verified)?.state = BlockState::Sealed;
        Ok(())
    }

    /// Offers a sealed block to readers.
    pub fn list(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Sealed)?.state = BlockState::Listed;
        Ok(())
    }

    /// Leases a listed block to a reader, who verifies the returned descriptor.
    ///
    /// `until_ms` is on the clock of the node that keeps this state; the reader stops earlier by its own.
    pub fn lease(
        &mut self,
        name: &BlockName,
        generation: u64,
        until_ms: u64,
    ) -> Result<(LeaseId, BlockDescriptor), BlockError> {
        let id = LeaseId(self.next_lease);
        let entry = self.entry_in(name, generation, BlockState::Listed)?;
        entry.leases.insert(id, until_ms);
        let descriptor = entry.descriptor.clone();
        self.next_lease += 1;
        Ok((id, descriptor))
    }

    /// Ends a lease early.
    pub fn release(&mut self, name: &BlockName, lease: LeaseId) {
        if let Some(entry) = self.blocks.get_mut(name) {
            entry.leases.remove(&lease);
        }
    }

    /// Stops giving leases on a block.
    pub fn unlist(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Listed)?.state = BlockState::Unlisted;
        Ok(())
    }

    /// Gives up a block that was never listed, for instance because it is corrupt.
    pub fn abandon(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        let entry = self.entry(name, generation)?;
        match entry.state {
            BlockState::Writing | BlockState::Verified | BlockState::Sealed => {
                entry.state = BlockState::Freed;
                Ok(())
            }
            state => Err(BlockError::WrongState(state)),
        }
    }

    /// Frees an unlisted block once its leases have ended.
    pub fn free(&mut self, name: &BlockName, generation: u64, now_ms: u64) -> Result<(), BlockError> {
        let entry = self.entry_in(name, generation, BlockState::Unlisted)?;
        entry.leases.retain(|_, until_ms| *until_ms >= now_ms);
        if let Some(until_ms) = entry.leases.values().max() {
            return Err(BlockError::Leased { until_ms: *until_ms });
        }
        entry.state = BlockState::Freed;
        Ok(())
    }

    /// Returns a block's state.
    pub fn state(&self, name: &BlockName) -> Option<BlockState> {
        self.blocks.get(name).map(|entry| entry.state)
    }

    /// Forgets every block, as after the store lost its contents; leases are void then.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    fn entry(&mut self, name: &BlockName, generation: u64) -> Result<&mut BlockEntry, BlockError> {
        let entry = self.blocks.get_mut(name).ok_or(BlockError::Unknown)?;
        let present = entry.descriptor.generation;
        if present == generation { Ok(entry) } else { Err(BlockError::WrongGeneration { present }) }
    }

    fn entry_in(
        &mut self,
        name: &BlockName,
        generation: u64,
        state: BlockState,
    ) -> Result<&mut BlockEntry, BlockError> {
        let entry = self.entry(name, generation)?;
        if entry.state == state { Ok(entry) } else { Err(BlockError::WrongState(entry.state)) }
    }
}
