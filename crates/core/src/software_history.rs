//! Whether all upstreams of a service have run one software version for some time.
//!
//! Only then may a stream of unknown origin go on: there is no other version at which it can have begun.

use std::collections::BTreeMap;

use crate::{
    ids::{ServiceName, SoftwareVersion},
    stream_origins::ORIGIN_LIFETIME_MS,
};

/// Longest time between two readings of the list in which no upstream can come and go unseen.
const MAX_GAP_MS: u64 = 3_000;
/// A version is the only one if the last reading is no older than this; a node that is cut off does not see new ones.
const MAX_READING_AGE_MS: u64 = 1_500;

/// The software versions that the list showed, by service.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was last listed.
    last_listed_ms: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u64>>,
    /// Since when the list was read without a gap, and the last reading.
    read_ms: Option<(u64, u64)>,
}

impl SoftwareHistory {
    /// Records a reading of the list: the service and the software version of each upstream.
    pub fn record<'a>(
        &mut self,
        now_ms: u64,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        let since_ms = match self.read_ms {
            Some((since_ms, last_ms)) if now_ms.saturating_sub(last_ms) <= MAX_GAP_MS => since_ms,
            Some(_) | None => now_ms,
        };
        self.read_ms = Some((since_ms, now_ms));
        for (service, software) in listed {
            if !self.last_listed_ms.contains_key(service) {
                self.last_listed_ms.insert(service.clone(), BTreeMap::new());
            }
            let Some(versions) = self.last_listed_ms.get_mut(service) else { continue };
            match versions.get_mut(software) {
                Some(last_ms) => *last_ms = now_ms,
                None => drop(versions.insert(software.clone(), now_ms)),
            }
        }
        let oldest_ms = now_ms.saturating_sub(ORIGIN_LIFETIME_MS);
        for versions in self.last_listed_ms.values_mut() {
            versions.retain(|_, last_ms| *last_ms >= oldest_ms);
        }
    }

    /// Returns the only software version at which a stream of the service can have begun; `None` if there are several,
    /// or if the list was not read for long enough to know.
    ///
    /// ```
    /// use daisysill_core::software_history::SoftwareHistory;
    /// let mut history = SoftwareHistory::default();
    /// let (lyric, v1) = ("lyric".into(), "v1".into());
    /// for now_ms in (0..=30_000).step_by(1_000) {
    ///     history.record(now_ms, [(&lyric, &v1)]);
    /// }
    /// assert_eq!(history.sole_version(29_000, &lyric), None);
    /// assert_eq!(history.sole_version(30_000, &lyric), Some(&v1));
    /// ```
    pub fn sole_version(&self, now_ms: u64, service: &ServiceName) -> Option<&SoftwareVersion> {
        let (since_ms, last_ms) = self.read_ms?;
        let is_recent = now_ms.saturating_sub(last_ms) <= MAX_READING_AGE_MS;
        let is_long_enough = now_ms.saturating_sub(since_ms) >= ORIGIN_LIFETIME_MS;
        let versions = self.last_listed_ms.get(service)?;
        versions.keys().next().filter(|_| is_recent && is_long_enough && versions.len() == 1)
    }
}
