//! Lifecycle of the blocks in one store: write, verify, seal, list, lease, unlist, wait for leases, free.
//!
//! A block is readable only while it is listed and leased, and its bytes are freed only after it has been
//! unlisted and every lease has ended, so no reader sees a freed or partly written block.

use std::{collections::BTreeMap, fmt};

use crate::block::{BlockDescriptor, BlockName};

/// Identifies a lease on a block of one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(u64);

/// Lifecycle state of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockState {
    /// Its bytes are being written.
    Writing,
    /// Its length and checksum were read back and match.
    Verified,
    /// Its bytes are immutable.
    Sealed,
    /// Readers can lease it.
    Listed,
    /// No new lease is granted; present ones may still be in use.
    Unlisted,
    /// The store may reuse its bytes.
    Freed,
}

/// Reason why a transition is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockError {
    /// The block is not known.
    Unknown,
    /// The generation is not newer than the last one under this name.
    OldGeneration {
        /// The last generation under the name.
        last: u64,
    },
    /// Another generation under this name has not been freed.
    InUse {
        /// The generation in use.
        generation: u64,
        /// The state of that generation.
        state: BlockState,
    },
    /// The request names a generation other than the present one.
    WrongGeneration {
        /// The generation now under the name.
        present: u64,
    },
    /// The transition is not allowed in the block's state.
    WrongState(BlockState),
    /// Length or checksum read back differ from the descriptor.
    Corrupt,
    /// Unexpired leases remain.
    Leased {
        /// When the last one expires, on the clock of the node that keeps this state.
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

/// The lifecycle of all blocks in one store.
#[derive(Clone, Debug, Default)]
pub struct StoreBlocks {
    blocks: BTreeMap<BlockName, BlockEntry>,
    next_lease: u64,
}

impl StoreBlocks {
    /// Starts writing a block.
    ///
    /// # Errors
    /// Fails unless every earlier generation under the name is freed and older than this one.
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

    /// Checks the length and checksum that the store read back against the descriptor.
    ///
    /// # Errors
    /// Fails with `Corrupt` if they differ, and if the block is not being written.
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

    /// Marks a verified block as immutable.
    pub fn seal(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Verified)?.state = BlockState::Sealed;
        Ok(())
    }

    /// Makes a sealed block available to readers.
    pub fn list(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Sealed)?.state = BlockState::Listed;
        Ok(())
    }

    /// Leases a listed block to a reader, who verifies the returned descriptor.
    ///
    /// `until_ms` is on the clock of the node that keeps this state. By its own clock, the reader stops earlier.
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

    /// Ends a lease before it expires; an unknown lease is ignored.
    pub fn release(&mut self, name: &BlockName, lease: LeaseId) {
        if let Some(entry) = self.blocks.get_mut(name) {
            entry.leases.remove(&lease);
        }
    }

    /// Stops granting leases on a listed block.
    pub fn unlist(&mut self, name: &BlockName, generation: u64) -> Result<(), BlockError> {
        self.entry_in(name, generation, BlockState::Listed)?.state = BlockState::Unlisted;
        Ok(())
    }

    /// Frees a block that was never listed, for instance because it is corrupt.
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

    /// Frees an unlisted block.
    ///
    /// # Errors
    /// Fails with `Leased` while an unexpired lease remains, and if the block is not unlisted.
    pub fn free(&mut self, name: &BlockName, generation: u64, now_ms: u64) -> Result<(), BlockError> {
        let entry = self.entry_in(name, generation, BlockState::Unlisted)?;
        entry.leases.retain(|_, until_ms| *until_ms >= now_ms);
        if let Some(until_ms) = entry.leases.values().max() {
            return Err(BlockError::Leased { until_ms: *until_ms });
        }
        entry.state = BlockState::Freed;
        Ok(())
    }

    /// Returns a block's state, `None` if it is unknown.
    pub fn state(&self, name: &BlockName) -> Option<BlockState> {
        self.blocks.get(name).map(|entry| entry.state)
    }

    /// Removes all blocks after the store lost its contents, which voids their leases.
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
