//! Which software version began each recent stream.
//!
//! What two versions write does not fit together, so a stream that breaks off may go on only at the version that began it.

use std::collections::HashMap;

use crate::ids::SoftwareVersion;

/// A stream is remembered for at least this time; callers take up a broken one within the time that they wait for it.
pub const ORIGIN_LIFETIME_MS: u64 = 30_000;
/// Streams remembered for each lifetime; bounds the memory. Further ones are not remembered.
const MAX_STREAMS: usize = 400_000;

/// The software version that brought the first event of each stream.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// The versions that `recent` and `older` refer to by index.
    versions: Vec<SoftwareVersion>,
    recent: HashMap<u64, u16>,
    older: HashMap<u64, u16>,
    recent_since_ms: u64,
}

impl StreamOrigins {
    /// Records that a stream, given by a hash, began at a software version.
    ///
    /// ```
    /// use daisysill_core::stream_origins::{ORIGIN_LIFETIME_MS, StreamOrigins};
    /// let mut origins = StreamOrigins::default();
    /// origins.record(0, 7, &"v1".into());
    /// assert_eq!(origins.find(ORIGIN_LIFETIME_MS, 7), Some(&"v1".into()));
    /// assert_eq!(origins.find(3 * ORIGIN_LIFETIME_MS, 7), None);
    /// ```
    pub fn record(&mut self, now_ms: u64, stream: u64, software: &SoftwareVersion) {
        self.discard_outdated(now_ms);
        let Some(version) = self.index_of(software) else { return };
        if self.recent.len() < MAX_STREAMS {
            self.recent.insert(stream, version);
        }
    }

    /// Returns the software version that began a stream; `None` if it is not known.
    pub fn find(&mut self, now_ms: u64, stream: u64) -> Option<&SoftwareVersion> {
        self.discard_outdated(now_ms);
        let version = self.recent.get(&stream).or_else(|| self.older.get(&stream))?;
        self.versions.get(usize::from(*version))
    }

    /// Drops the older half of the streams after each lifetime.
    fn discard_outdated(&mut self, now_ms: u64) {
        let lifetimes = now_ms.saturating_sub(self.recent_since_ms) / ORIGIN_LIFETIME_MS;
        if lifetimes == 0 {
            return;
        }
        self.older = std::mem::take(&mut self.recent);
        if lifetimes > 1 {
            self.older.clear();
        }
        if self.older.is_empty() {
            self.versions.clear();
        }
        self.recent_since_ms = now_ms;
    }

    /// Returns the index of a version; `None` if there are too many.
    fn index_of(&mut self, software: &SoftwareVersion) -> Option<u16> {
        let known = self.versions.iter().position(|version| version == software);
        let index = known.unwrap_or_else(|| {
            self.versions.push(software.clone());
            self.versions.len() - 1
        });
        u16::try_from(index).ok()
    }
}
