//! Whether all upstreams of a service have run one software version for some time.
//!
//! Only then may a stream of unknown origin go on: there is no other version at which it can have begun. A stream began
//! before its caller takes it up, at an upstream that was listed by then. So only a reading of the list that began later
//! shows that no upstream of another version had joined.

use std::collections::BTreeMap;

use crate::{
    ids::{ServiceName, SoftwareVersion},
    stream_origins::ORIGIN_LIFETIME_MS,
};

/// Longest time between two readings of the list in which no upstream can come and go unseen.
const MAX_GAP_MS: u64 = 3_000;
/// If the last reading is older than this, the node is cut off and no further one is expected soon.
const MAX_READING_AGE_MS: u64 = 1_500;

/// The software versions that the list showed, by service.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was last listed.
    last_listed_ms: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u64>>,
    /// Since when the list was read without a gap, and when the last reading began.
    read_ms: Option<(u64, u64)>,
}

impl SoftwareHistory {
    /// Records a reading of the list that began at `begun_ms` or later: the service and the software version of each
    /// upstream.
    pub fn record<'a>(
        &mut self,
        begun_ms: u64,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        let (since_ms, last_ms) = match self.read_ms {
            Some((since_ms, last_ms)) if begun_ms.saturating_sub(last_ms) <= MAX_GAP_MS => {
                (since_ms, last_ms.max(begun_ms))
            }
            Some(_) | None => (begun_ms, begun_ms),
        };
        self.read_ms = Some((since_ms, last_ms));
        for (service, software) in listed {
            if !self.last_listed_ms.contains_key(service) {
                self.last_listed_ms.insert(service.clone(), BTreeMap::new());
            }
            let Some(versions) = self.last_listed_ms.get_mut(service) else { continue };
            match versions.get_mut(software) {
                Some(listed_ms) => *listed_ms = begun_ms.max(*listed_ms),
                None => drop(versions.insert(software.clone(), begun_ms)),
            }
        }
        let oldest_ms = last_ms.saturating_sub(ORIGIN_LIFETIME_MS + MAX_READING_AGE_MS);
        for versions in self.last_listed_ms.values_mut() {
            versions.retain(|_, last_ms| *last_ms >= oldest_ms);
        }
    }

    /// Returns the only software version at which a stream of the service can have begun that was asked for at `asked_ms`;
    /// `None` if there are several, or if the list was not read for long enough, or not since then.
    ///
    /// ```
    /// use daisysill_core::software_history::SoftwareHistory;
    /// let mut history = SoftwareHistory::default();
    /// let (lyric, v1) = ("lyric".into(), "v1".into());
    /// for begun_ms in (0..=31_000).step_by(1_000) {
    ///     history.record(begun_ms, [(&lyric, &v1)]);
    /// }
    /// assert_eq!(history.sole_version(30_500, &lyric), Some(&v1));
    /// assert_eq!(history.sole_version(31_500, &lyric), None);
    /// ```
    pub fn sole_version(&self, asked_ms: u64, service: &ServiceName) -> Option<&SoftwareVersion> {
        self.candidate(asked_ms, service).filter(|_| self.is_read_after(asked_ms))
    }

    /// Returns whether the next readings may show that there is only one version at which such a stream can have begun.
    pub fn may_be_sole(&self, asked_ms: u64, service: &ServiceName) -> bool {
        self.candidate(asked_ms, service).is_some()
    }

    /// Returns whether a reading began after `asked_ms`.
    pub fn is_read_after(&self, asked_ms: u64) -> bool {
        self.read_ms.is_some_and(|(_, last_ms)| last_ms > asked_ms)
    }

    /// Returns the only version that was listed, as far as the readings show.
    fn candidate(&self, asked_ms: u64, service: &ServiceName) -> Option<&SoftwareVersion> {
        let (since_ms, last_ms) = self.read_ms?;
        let oldest_ms = asked_ms.saturating_sub(ORIGIN_LIFETIME_MS);
        let is_long_enough = since_ms + ORIGIN_LIFETIME_MS <= asked_ms;
        let is_recent = asked_ms.saturating_sub(last_ms) <= MAX_READING_AGE_MS;
        let versions = self.last_listed_ms.get(service)?;
        let mut recent =
            versions.iter().filter(|(_, listed_ms)| **listed_ms >= oldest_ms).map(|(version, _)| version);
        // Upstreams of which none is listed need not run the same one.
        let first = recent.next().filter(|version| !version.as_str().is_empty())?;
        (is_long_enough && is_recent && recent.next().is_none()).then_some(first)
    }
}
