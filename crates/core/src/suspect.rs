//! Finds and blocks requests that crash upstreams. Part of the replicated state: every change is deterministic.
//!
//! A crash is caused by one of the requests that were running, its suspects, or by something else. A request that
//! later runs to its end is cleared. Suspects that the crashes cannot tell apart run alone before any is blocked.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Unexplained crashes of a request from which on it may be blocked.
const CRASHES_TO_BLOCK: usize = 2;
/// Upstreams that one request may crash.
const MAX_LOST_UPSTREAMS: usize = 3;
/// Crashes kept; the oldest are dropped, which bounds the replicated state.
const MAX_CRASHES: usize = 256;
/// Blocks kept; the one that expires first is dropped.
const MAX_BLOCKS: usize = 1_024;
/// Probability, in per mille, that a crash has a cause other than a request.
const OUTSIDE_CAUSE_PERMILLE: u64 = 100;

string_ids! {
    /// Digest of what a request asks for, equal for every resend.
    Fingerprint;
}

value_types! {
    /// A crash of an upstream, as one node saw it.
    pub struct CrashReport {
        /// The upstream that crashed.
        pub upstream: InstanceId,
        /// The incarnation that crashed; several nodes may report the same crash.
        pub incarnation: u64,
        /// The requests running on it, as far as the node knows.
        pub running: BTreeSet<Fingerprint>,
    }

    /// A blocked request.
    pub struct BlockedRequest {
        /// When the block ends, in log time.
        pub until_ms: u64,
        /// One line for `daisysill explain`.
        pub reason: String,
    }

    /// How a request may run.
    pub enum Permission {
        /// Without a restriction.
        Run,
        /// Only on an upstream that runs none of `from`, so that another crash tells them apart.
        RunApart {
            /// The other suspects of its crash.
            from: BTreeSet<Fingerprint>,
        },
        /// Only on an upstream that runs nothing else, and one at a time.
        RunAlone,
        /// Not now: with its other runs it could crash too many upstreams.
        Wait,
        /// Not until its block expires.
        Blocked {
            /// When the block ends, in log time.
            until_ms: u64,
        },
    }

    /// A permission with its reason.
    pub struct SuspectDecision {
        /// The permission.
        pub permission: Permission,
        /// One line for `daisysill explain`.
        pub reason: String,
    }

    #[derive(PartialOrd, Ord)]
    struct CrashId {
        upstream: InstanceId,
        incarnation: u64,
    }

    struct Crash {
        running: BTreeSet<Fingerprint>,
        at_ms: u64,
    }
}

/// Crashes, cleared requests and blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTable {
    /// Serialized as pairs, since JSON has no maps with structured keys.
    #[serde(with = "crash_pairs")]
    crashes: BTreeMap<CrashId, Crash>,
    /// Requests that ran to their end, with the time; only those that were part of a crash are kept.
    cleared: BTreeMap<Fingerprint, u64>,
    blocks: BTreeMap<Fingerprint, BlockedRequest>,
}

mod crash_pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Crash, CrashId};

    pub(super) fn serialize<S: Serializer>(
        crashes: &BTreeMap<CrashId, Crash>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        crashes.iter().collect::<Vec<_>>().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<CrashId, Crash>, D::Error> {
        Ok(Vec::<(CrashId, Crash)>::deserialize(deserializer)?.into_iter().collect())
    }
}

impl SuspectTable {
    /// Records a crash; returns the requests that it newly blocks, for `block_ms`.
    ///
    /// ```
    /// use daisysill_core::suspect::{CrashReport, Permission, SuspectTable};
    /// let mut table = SuspectTable::default();
    /// for upstream in ["lyric-1", "lyric-2"] {
    ///     let running = ["request-a".into()].into();
    ///     table.record_crash(&CrashReport { upstream: upstream.into(), incarnation: 1, running }, 0, 60_000);
    /// }
    /// let permission = table.permission(&"request-a".into(), 0, 1).permission;
    /// assert_eq!(permission, Permission::Blocked { until_ms: 60_000 });
    /// ```
    pub fn record_crash(&mut self, report: &CrashReport, at_ms: u64, block_ms: u64) -> Vec<Fingerprint> {
        let id = CrashId { upstream: report.upstream.clone(), incarnation: report.incarnation };
        let empty = Crash { running: BTreeSet::new(), at_ms };
        let crash = self.crashes.entry(id).or_insert(empty);
        crash.running.extend(report.running.iter().cloned());
        self.drop_oldest_crash();
        let involved: Vec<Fingerprint> = report.running.iter().cloned().collect();
        let blocked: Vec<Fingerprint> =
            involved.into_iter().filter(|f| self.try_block(f, at_ms, block_ms)).collect();
        self.drop_excess_blocks();
        blocked
    }

    /// Records that a request ran to its end, which clears it of every crash so far.
    ///
    /// Returns the requests that are newly blocked because no other suspect of their crashes is left.
    pub fn record_finish(
        &mut self,
        fingerprint: &Fingerprint,
        at_ms: u64,
        block_ms: u64,
    ) -> Vec<Fingerprint> {
        let shared = self.crashes.values().filter(|crash| crash.running.contains(fingerprint));
        let mut others: BTreeSet<Fingerprint> = shared.flat_map(|crash| crash.running.clone()).collect();
        if !others.remove(fingerprint) {
            return Vec::new();
        }
        self.cleared.insert(fingerprint.clone(), at_ms);
        others.into_iter().filter(|other| self.try_block(other, at_ms, block_ms)).collect()
    }

    /// Removes expired blocks and the crashes that their requests were part of.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: Vec<Fingerprint> =
            self.blocks.iter().filter(|(_, b)| b.until_ms <= now_ms).map(|(f, _)| f.clone()).collect();
        for fingerprint in expired {
            self.blocks.remove(&fingerprint);
            self.crashes.retain(|_, crash| !crash.running.contains(&fingerprint));
        }
        let crashes = &self.crashes;
        self.cleared.retain(|f, _| crashes.values().any(|crash| crash.running.contains(f)));
    }

    /// Returns how a request may run; `running` counts its runs in progress on all nodes.
    pub fn permission(&self, fingerprint: &Fingerprint, now_ms: u64, running: usize) -> SuspectDecision {
        if let Some(block) = self.blocks.get(fingerprint).filter(|block| block.until_ms > now_ms) {
            let permission = Permission::Blocked { until_ms: block.until_ms };
            return SuspectDecision { permission, reason: block.reason.clone() };
        }
        let crashes = self.unexplained_crashes(fingerprint).len();
        let permille = self.cause_permille(fingerprint);
        let permission = match crashes {
            0 => Permission::Run,
            _ if running > 0 && crashes + running >= MAX_LOST_UPSTREAMS => Permission::Wait,
            1 => self.run_apart(fingerprint),
            _ if running > 0 => Permission::Wait,
            _ => Permission::RunAlone,
        };
        let reason = format!(
            "{crashes} crashes not explained otherwise, cause of one with {permille} per mille, {running} \
             runs in progress"
        );
        SuspectDecision { permission, reason }
    }

    /// Returns the probability, in per mille, that a request caused at least one of its unexplained crashes.
    ///
    /// Each crash weights its suspects by the number of crashes they were part of: one request in two crashes is a
    /// better explanation of both than two requests in one each.
    pub fn cause_permille(&self, fingerprint: &Fingerprint) -> u64 {
        let crashes = self.unexplained_crashes(fingerprint);
        let caused_none = crashes.iter().fold(1_000, |caused_none, crash| {
            let suspects = self.suspects_of(crash);
            let weight: u64 = suspects.iter().map(|suspect| self.weight(suspect)).sum();
            let caused = (1_000 - OUTSIDE_CAUSE_PERMILLE) * self.weight(fingerprint) / weight.max(1);
            caused_none * (1_000 - caused) / 1_000
        });
        1_000 - caused_none
    }

    /// Returns the requests that may have caused an unexplained crash and are not blocked, those of the latest crash
    /// first.
    pub fn suspects(&self) -> Vec<Fingerprint> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at_ms));
        let mut suspects = Vec::new();
        let mut seen = BTreeSet::new();
        for fingerprint in crashes.into_iter().flat_map(|crash| self.suspects_of(crash)) {
            let is_open =
                !self.blocks.contains_key(&fingerprint) && !self.unexplained_crashes(&fingerprint).is_empty();
            if is_open && seen.insert(fingerprint.clone()) {
                suspects.push(fingerprint);
            }
        }
        suspects
    }

    /// Iterates over the blocked requests.
    pub fn blocked_requests(&self) -> impl Iterator<Item = (&Fingerprint, &BlockedRequest)> {
        self.blocks.iter()
    }

    fn weight(&self, fingerprint: &Fingerprint) -> u64 {
        let crashes = u32::try_from(self.unexplained_crashes(fingerprint).len()).unwrap_or(u32::MAX);
        10_u64.saturating_pow(crashes.min(6))
    }

    /// Blocks a request if its crashes have no other explanation or are too many; returns whether it did.
    fn try_block(&mut self, fingerprint: &Fingerprint, at_ms: u64, block_ms: u64) -> bool {
        if self.blocks.get(fingerprint).is_some_and(|block| block.until_ms > at_ms) {
            return false;
        }
        let crashes = self.unexplained_crashes(fingerprint);
        let count = crashes.len();
        if count < CRASHES_TO_BLOCK {
            return false;
        }
        let only_suspect = crashes.iter().any(|crash| self.suspects_of(crash).len() == 1);
        let others = self.common_suspects(fingerprint, &crashes);
        if !only_suspect && !others.is_empty() && count < MAX_LOST_UPSTREAMS {
            return false;
        }
        let reason = format!(
            "blocked: {count} upstreams crashed while it ran, {} others were part of all of these crashes",
            others.len()
        );
        self.blocks.insert(fingerprint.clone(), BlockedRequest { until_ms: at_ms + block_ms, reason });
        true
    }

    /// Returns the suspects other than `fingerprint` that were part of each of `crashes`.
    fn common_suspects(&self, fingerprint: &Fingerprint, crashes: &[&Crash]) -> BTreeSet<Fingerprint> {
        let mut others = crashes.first().map_or_else(BTreeSet::new, |crash| self.suspects_of(crash));
        others.remove(fingerprint);
        others.retain(|other| crashes.iter().all(|crash| crash.running.contains(other)));
        others
    }

    fn run_apart(&self, fingerprint: &Fingerprint) -> Permission {
        let crashes = self.unexplained_crashes(fingerprint);
        let mut from: BTreeSet<Fingerprint> = crashes.iter().flat_map(|c| self.suspects_of(c)).collect();
        from.remove(fingerprint);
        if from.is_empty() { Permission::RunAlone } else { Permission::RunApart { from } }
    }

    /// Returns the crashes that a request may have caused: it was running, was not cleared since, and no other
    /// request that was running is blocked.
    fn unexplained_crashes(&self, fingerprint: &Fingerprint) -> Vec<&Crash> {
        let cleared_ms = self.cleared.get(fingerprint);
        let part = self.crashes.values().filter(|crash| crash.running.contains(fingerprint));
        let open = part.filter(|crash| cleared_ms.is_none_or(|cleared| crash.at_ms > *cleared));
        open.filter(|crash| !self.is_explained(crash, fingerprint)).collect()
    }

    fn is_explained(&self, crash: &Crash, except: &Fingerprint) -> bool {
        crash.running.iter().any(|f| f != except && self.blocks.contains_key(f))
    }

    /// Returns the requests that were running at a crash and are not cleared of it.
    fn suspects_of(&self, crash: &Crash) -> BTreeSet<Fingerprint> {
        let is_open = |f: &&Fingerprint| self.cleared.get(*f).is_none_or(|cleared| crash.at_ms > *cleared);
        crash.running.iter().filter(is_open).cloned().collect()
    }

    fn drop_oldest_crash(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at_ms);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            self.crashes.remove(&id);
        }
    }

    fn drop_excess_blocks(&mut self) {
        while self.blocks.len() > MAX_BLOCKS {
            let first = self.blocks.iter().min_by_key(|(_, block)| block.until_ms);
            let Some(fingerprint) = first.map(|(f, _)| f.clone()) else { return };
            self.blocks.remove(&fingerprint);
        }
    }
}
