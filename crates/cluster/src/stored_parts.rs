//! The catalog of stored prompt parts: maintained by the leader, followed by control nodes, which pass it on, and by
//! entry nodes.
//!
//! Each change has a number, so that a follower receives only what it misses. A new leader continues the catalog that
//! it followed, and its followers then need no complete copy.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use daisysill_wire::peer::{StoredPart, StoredPartsUpdate};

use crate::clock::BootInstant;

/// Maximum number of changes retained for incremental updates.
const MAX_RECENT_CHANGES: usize = 8_192;
/// A follower passes its copy on for this time after its own last update. Part of the margin between withdrawing a
/// part and freeing it.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(500);
/// The maintainer hands the catalog out for this time after its last publication: it may have been suspended since,
/// while another node took over.
const MAX_UNPUBLISHED_AGE: Duration = Duration::from_secs(1);
/// A copy older than this is not continued by a new leader, since entry nodes do not use such a copy either.
const MAX_CONTINUED_AGE: Duration = Duration::from_secs(5);

/// A change of the catalog: the hash of a part, and `None` if it must no longer be fetched.
pub(crate) type StoredPartChange = (u64, Option<StoredPart>);

/// A state of the catalog: the source that numbers its changes, and the number of the last one.
pub(crate) type CatalogPosition = (String, u64);

/// Parts that changed between two numbers.
#[derive(Debug)]
struct ChangedParts {
    after: u64,
    parts: Vec<u64>,
}

/// The catalog, or a copy of it.
#[derive(Debug, Default)]
pub(crate) struct StoredParts {
    /// Empty before the first update.
    source: String,
    number: u64,
    /// The position of an earlier source at which this one continued.
    continues: Option<CatalogPosition>,
    parts: HashMap<u64, StoredPart>,
    /// Oldest first, without a gap up to `number`.
    recent: VecDeque<ChangedParts>,
    recent_len: usize,
    /// Whether this node maintains the catalog.
    is_maintained: bool,
    /// When a copy was last known to be current, or when the maintainer last published.
    updated_at: Option<BootInstant>,
    /// A reading of a store's clock in ms, and a time not before it.
    clock: Option<(u64, BootInstant)>,
}

impl StoredParts {
    /// Starts to maintain the catalog under the name `source`. A recent copy of the previous maintainer's catalog is
    /// continued.
    pub(crate) fn open(&mut self, source: String) {
        let is_recent = self.updated_at.is_some_and(|at| at.elapsed() < MAX_CONTINUED_AGE);
        if self.is_maintained || !is_recent {
            *self = Self { source, ..Self::default() };
        } else {
            self.continues = Some(self.position());
            self.source = source;
        }
        self.is_maintained = true;
        self.updated_at = Some(BootInstant::now());
    }

    /// Stops maintaining the catalog; what it holds is from then on a copy.
    pub(crate) fn close(&mut self) {
        self.is_maintained = false;
    }

    /// Publishes changes. `clock` is a reading of a store's clock in ms and a time not before it.
    pub(crate) fn publish(&mut self, changes: Vec<StoredPartChange>, clock: Option<(u64, BootInstant)>) {
        if !self.is_maintained {
            return;
        }
        let mut parts = Vec::with_capacity(changes.len());
        for (part, stored) in changes {
            let before = match stored {
                Some(stored) => self.parts.insert(part, stored),
                None => self.parts.remove(&part),
            };
            if before != stored {
                parts.push(part);
            }
        }
        self.advance(self.number + parts.len() as u64, parts);
        self.clock = clock.or(self.clock);
        self.updated_at = Some(BootInstant::now());
    }

    /// Publishes the complete content of one store, identified by its tag.
    pub(crate) fn publish_store(&mut self, store: u32, content: Vec<StoredPart>) {
        let listed: HashSet<u64> = content.iter().map(|stored| stored.part).collect();
        let held = self.parts.values().filter(|stored| stored.store == store);
        let missing = held.filter(|stored| !listed.contains(&stored.part)).map(|stored| (stored.part, None));
        let mut changes: Vec<StoredPartChange> = missing.collect();
        changes.extend(content.into_iter().map(|stored| (stored.part, Some(stored))));
        self.publish(changes, None);
    }

    /// Returns the changes after a position; `None` if this node has no current catalog, or an older one than the
    /// follower.
    pub(crate) fn changes_since(&self, position: &CatalogPosition) -> Option<StoredPartsUpdate> {
        let max_age = if self.is_maintained { MAX_UNPUBLISHED_AGE } else { MAX_RELAYED_AGE };
        let is_current = self.updated_at.is_some_and(|at| at.elapsed() < max_age);
        let clock_ms = clock_now(self.clock.filter(|_| is_current)?);
        if position.0 == self.source && position.1 > self.number {
            // The follower has changes that have not reached this copy yet.
            return None;
        }
        let mut update = StoredPartsUpdate {
            source: self.source.clone(),
            number: self.number,
            clock_ms,
            ..StoredPartsUpdate::default()
        };
        let Some(changed) = self.changed_since(position) else {
            update.is_full = true;
            update.added = self.parts.values().copied().collect();
            return Some(update);
        };
        for part in changed {
            match self.parts.get(&part) {
                Some(stored) => update.added.push(*stored),
                None => update.removed.push(part),
            }
        }
        Some(update)
    }

    /// Applies the response to a poll that was sent at `requested_at` with the position `requested_after`.
    pub(crate) fn apply(
        &mut self,
        update: &StoredPartsUpdate,
        requested_after: &CatalogPosition,
        requested_at: BootInstant,
    ) {
        if self.is_maintained {
            return;
        }
        if update.is_full {
            self.parts.clear();
            self.recent.clear();
            self.recent_len = 0;
            self.continues = None;
            self.source.clone_from(&update.source);
            self.number = update.number;
        } else if *requested_after != self.position() {
            return;
        } else if self.source != update.source {
            self.continues = Some(self.position());
            self.source.clone_from(&update.source);
        }
        self.parts.extend(update.added.iter().map(|stored| (stored.part, *stored)));
        for part in &update.removed {
            self.parts.remove(part);
        }
        let added = update.added.iter().map(|stored| stored.part);
        self.advance(update.number, added.chain(update.removed.iter().copied()).collect());
        self.updated_at = Some(requested_at);
        self.clock = Some((update.clock_ms, BootInstant::now()));
    }

    /// Returns the position of this catalog.
    pub(crate) fn position(&self) -> CatalogPosition {
        (self.source.clone(), self.number)
    }

    /// Returns a part, if the catalog was current within `limit`.
    pub(crate) fn find(&self, part: u64, limit: Duration) -> Option<StoredPart> {
        self.updated_at.filter(|at| at.elapsed() < limit)?;
        self.parts.get(&part).copied()
    }

    /// Returns a lower bound of the clock of upstreams and stores, in ms; `None` until it is known.
    pub(crate) fn clock_ms(&self) -> Option<u64> {
        self.clock.map(clock_now)
    }

    /// Returns the parts that changed after a position; `None` if that is not known.
    fn changed_since(&self, (source, number): &CatalogPosition) -> Option<HashSet<u64>> {
        let is_predecessor = |(earlier, last): &CatalogPosition| earlier == source && number <= last;
        if self.source != *source && !self.continues.as_ref().is_some_and(is_predecessor) {
            return None;
        }
        let oldest = self.recent.front().map_or(self.number, |changed| changed.after);
        if *number < oldest || *number > self.number {
            return None;
        }
        // The first of these may begin before `number`; its parts are then sent as they are now, which is harmless.
        let first = self.recent.partition_point(|changed| changed.after <= *number).saturating_sub(1);
        if *number == self.number {
            return Some(HashSet::new());
        }
        Some(self.recent.range(first..).flat_map(|changed| changed.parts.iter().copied()).collect())
    }

    /// Moves on to `number`, to which `parts` have changed.
    fn advance(&mut self, number: u64, parts: Vec<u64>) {
        if number == self.number {
            return;
        }
        self.recent_len += parts.len();
        self.recent.push_back(ChangedParts { after: self.number, parts });
        self.number = number;
        while self.recent_len > MAX_RECENT_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_len -= oldest.parts.len();
        }
    }
}

fn clock_now((clock_ms, at): (u64, BootInstant)) -> u64 {
    clock_ms.saturating_add(u64::try_from(at.elapsed().as_millis()).unwrap_or(0))
}
