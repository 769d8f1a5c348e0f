//! The membership table: heartbeats and soft reports of the other nodes, spread by gossip.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::{Heartbeat, HeartbeatEntry, ReportEntry, SoftReport};
use tokio::time::Instant;

use crate::config::ClusterConfig;

/// Maximum bytes of the heartbeat entries and of the soft reports in one message. The budgets are separate, since
/// reports of full size would otherwise displace heartbeats and live nodes would be considered dead. With two
/// exchanges started and two answered per second, both directions together stay under 20 KB/s per node.
const MAX_ENTRY_BYTES: usize = 1_000;
const MAX_REPORT_BYTES: usize = 1_200;
/// Maximum bytes of one node's soft report; above it the lists of blocks are truncated, then all but the leaving
/// upstreams is dropped.
const MAX_OWN_REPORT_BYTES: usize = 1_024;
/// Weight of a report's lag if the partner is in the zone of the node that made the report.
const SAME_ZONE_WEIGHT: u64 = 4;
/// Lag, in versions, of a report whose node has restarted; its version numbers cannot be compared.
const RESTARTED_LAG: u64 = 1_000_000;
/// A node without a new heartbeat for this time is considered dead.
const ALIVE_TIMEOUT_BASE: Duration = Duration::from_secs(3);
/// Added to the timeout for each node, since entries take turns under the byte budget.
const ALIVE_TIMEOUT_PER_NODE: Duration = Duration::from_millis(30);

#[derive(Clone, Debug)]
struct KnownNode {
    entry: HeartbeatEntry,
    last_heard: Instant,
    soft_report: SoftReport,
    /// Incarnation and version of `soft_report`; version 0 is the empty report before the first one.
    soft_report_version: (u64, u64),
    soft_report_at: Instant,
}

/// The state of the exchanges with one partner: which entries and reports the partner is known to have, as
/// (incarnation, sequence) and (incarnation, version).
#[derive(Debug)]
struct Partner {
    /// Sent with each message to the partner.
    own_session: u64,
    /// Last received from the partner; a change means that the partner has lost its state.
    their_session: Option<u64>,
    entries: BTreeMap<InstanceId, (u64, u64)>,
    reports: BTreeMap<InstanceId, (u64, u64)>,
}

#[derive(Debug)]
struct Inner {
    own: HeartbeatEntry,
    own_report: SoftReport,
    known: BTreeMap<InstanceId, KnownNode>,
    partners: BTreeMap<InstanceId, Partner>,
}

/// The other configured nodes, with their last heartbeats and soft reports.
#[derive(Debug)]
pub(crate) struct Members {
    zones: BTreeMap<InstanceId, ZoneName>,
    alive_timeout: Duration,
    inner: Mutex<Inner>,
}

/// The state of another node as known to this one.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: InstanceId,
    pub(crate) zone: ZoneName,
    /// Whether a new heartbeat of it arrived within the alive timeout.
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    /// Whether it holds a replica of the log.
    pub(crate) replica: bool,
    /// Version of the configuration in force on it.
    pub(crate) config_version: ConfigVersion,
    /// When its last new heartbeat arrived, directly or through other nodes.
    pub(crate) last_heard: Option<Instant>,
    /// When a heartbeat last confirmed its soft report.
    pub(crate) soft_report_at: Option<Instant>,
    /// Its last soft report; empty before the first one.
    pub(crate) soft_report: SoftReport,
}

impl Default for Partner {
    fn default() -> Self {
        Self {
            own_session: rand::random(),
            their_session: None,
            entries: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }
}

impl Members {
    /// Creates a table of the configured peers, all without a heartbeat.
    pub(crate) fn new(config: &ClusterConfig, incarnation: u64) -> Self {
        let zones = config.peers.iter().filter(|peer| peer.name != config.name);
        let zones: BTreeMap<_, _> = zones.map(|peer| (peer.name.clone(), peer.zone.clone())).collect();
        let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        let own = HeartbeatEntry {
            name: config.name.clone(),
            incarnation,
            sequence: 0,
            config_version: ConfigVersion(0),
            leaving: false,
            replica: config.data_dir.is_some(),
            report_version: 0,
            held_report_version: 0,
        };
        let inner = Inner {
            own,
            own_report: SoftReport::default(),
            known: BTreeMap::new(),
            partners: BTreeMap::new(),
        };
        Self {
            zones,
            alive_timeout: ALIVE_TIMEOUT_BASE + ALIVE_TIMEOUT_PER_NODE * count,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces this node's soft report, truncated to its maximum size.
    pub(crate) fn set_soft_report(&self, soft_report: SoftReport) {
        let soft_report = truncated(soft_report);
        let mut inner = self.lock();
        if inner.own_report != soft_report {
            inner.own.report_version += 1;
            inner.own.held_report_version += 1;
            inner.own_report = soft_report;
        }
    }

    pub(crate) fn set_leaving(&self) {
        self.lock().own.leaving = true;
    }

    /// Starts a new heartbeat of this node.
    pub(crate) fn advance_heartbeat(&self, config_version: ConfigVersion) {
        let mut inner = self.lock();
        inner.own.sequence += 1;
        inner.own.config_version = config_version;
    }

    /// Returns what `partner` is missing, within the byte budgets: this node's own heartbeat and report, then
    /// those of other nodes, the largest lag first.
    pub(crate) fn heartbeat_for(&self, partner: &InstanceId) -> Heartbeat {
        let mut guard = self.lock();
        let Inner { own, own_report, known, partners } = &mut *guard;
        let state = partners.entry(partner.clone()).or_default();
        let entries = missing_entries(own, known, partner, state);
        for entry in &entries {
            state.entries.insert(entry.name.clone(), (entry.incarnation, entry.sequence));
        }
        let mut reports = Vec::new();
        if state.reports.get(&own.name).is_none_or(|has| *has < (own.incarnation, own.report_version)) {
            reports.push(report_of(&own.name, (own.incarnation, own.report_version), own_report));
        }
        self.add_missing_reports(known, partner, state, &mut reports);
        for report in &reports {
            state.reports.insert(report.name.clone(), (report.incarnation, report.version));
        }
        Heartbeat { from: own.name.clone(), session: state.own_session, entries, reports }
    }

    fn add_missing_reports(
        &self,
        known: &BTreeMap<InstanceId, KnownNode>,
        partner: &InstanceId,
        state: &Partner,
        reports: &mut Vec<ReportEntry>,
    ) {
        let missing = known.iter().filter_map(|(name, known)| {
            let has = state.reports.get(name).copied().unwrap_or_default();
            if name == partner || has >= known.soft_report_version || known.soft_report_version.1 == 0 {
                return None;
            }
            // A report is useful only to a partner that has a heartbeat of the same incarnation.
            state.entries.get(name).filter(|entry| entry.0 == known.soft_report_version.0)?;
            let restarted = has.0 != known.soft_report_version.0;
            let lag = if restarted { RESTARTED_LAG } else { known.soft_report_version.1 - has.1 };
            let same_zone = self.zones.get(name) == self.zones.get(partner);
            let weight = if same_zone { SAME_ZONE_WEIGHT } else { 1 };
            Some((std::cmp::Reverse(lag * weight), name, known))
        });
        let mut missing: Vec<_> = missing.collect();
        missing.sort_by_key(|(order, ..)| *order);
        let mut bytes: usize = reports.iter().map(encoded_bytes).sum();
        for (_, name, known) in missing {
            let report = report_of(name, known.soft_report_version, &known.soft_report);
            bytes += encoded_bytes(&report);
            if bytes > MAX_REPORT_BYTES {
                break;
            }
            reports.push(report);
        }
    }

    /// Discards the exchange state of `partner`, since the last message may not have arrived.
    pub(crate) fn exchange_failed(&self, partner: &InstanceId) {
        self.lock().partners.remove(partner);
    }

    /// Merges the newer entries and reports of a message; entries of unconfigured nodes are ignored.
    pub(crate) fn receive(&self, heartbeat: Heartbeat) {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let partner = inner.partners.entry(heartbeat.from).or_default();
        if partner.their_session != Some(heartbeat.session) {
            partner.their_session = Some(heartbeat.session);
            partner.entries.clear();
            partner.reports.clear();
        }
        for entry in heartbeat.entries {
            if !self.zones.contains_key(&entry.name) {
                continue;
            }
            raise(&mut partner.entries, &entry.name, (entry.incarnation, entry.sequence));
            raise(&mut partner.reports, &entry.name, (entry.incarnation, entry.held_report_version));
            merge_entry(&mut inner.known, entry);
        }
        for report in heartbeat.reports {
            raise(&mut partner.reports, &report.name, (report.incarnation, report.version));
            merge_report(&mut inner.known, report);
        }
    }

    /// Returns the state of every other configured node.
    pub(crate) fn list(&self) -> Vec<Member> {
        let inner = self.lock();
        let member = |(name, zone): (&InstanceId, &ZoneName)| {
            let known = inner.known.get(name);
            Member {
                name: name.clone(),
                zone: zone.clone(),
                alive: known.is_some_and(|known| known.last_heard.elapsed() < self.alive_timeout),
                leaving: known.is_some_and(|known| known.entry.leaving),
                replica: known.is_some_and(|known| known.entry.replica),
                config_version: known.map_or(ConfigVersion(0), |known| known.entry.config_version),
                last_heard: known.map(|known| known.last_heard),
                soft_report_at: known.map(|known| known.soft_report_at),
                soft_report: known.map(|known| known.soft_report.clone()).unwrap_or_default(),
            }
        };
        self.zones.iter().map(member).collect()
    }

    /// Returns whether a new heartbeat of the node arrived within the alive timeout.
    pub(crate) fn is_alive(&self, name: &InstanceId) -> bool {
        self.lock().known.get(name).is_some_and(|known| known.last_heard.elapsed() < self.alive_timeout)
    }
}

fn missing_entries(
    own: &HeartbeatEntry,
    known: &BTreeMap<InstanceId, KnownNode>,
    partner: &InstanceId,
    state: &Partner,
) -> Vec<HeartbeatEntry> {
    let missing = known.iter().filter_map(|(name, known)| {
        let has = state.entries.get(name).copied().unwrap_or_default();
        let newest = (known.entry.incarnation, known.entry.sequence);
        let lag = if has.0 == newest.0 { newest.1 - has.1.min(newest.1) } else { u64::MAX };
        // Leaving nodes first: the others must learn of it within seconds.
        let order = (!known.entry.leaving, std::cmp::Reverse(lag));
        (name != partner && has < newest).then_some((order, known))
    });
    let mut missing: Vec<_> = missing.collect();
    missing.sort_by_key(|(order, _)| *order);
    let mut entries = vec![own.clone()];
    let mut bytes = encoded_bytes(own);
    for (_, known) in missing {
        let has_report = known.soft_report_version.0 == known.entry.incarnation;
        let held_report_version = if has_report { known.soft_report_version.1 } else { 0 };
        let entry = HeartbeatEntry { held_report_version, ..known.entry.clone() };
        bytes += encoded_bytes(&entry);
        if bytes > MAX_ENTRY_BYTES {
            break;
        }
        entries.push(entry);
    }
    entries
}

fn report_of(name: &InstanceId, (incarnation, version): (u64, u64), soft_report: &SoftReport) -> ReportEntry {
    ReportEntry { name: name.clone(), incarnation, version, soft_report: soft_report.clone() }
}

fn raise(map: &mut BTreeMap<InstanceId, (u64, u64)>, name: &InstanceId, value: (u64, u64)) {
    let present = map.entry(name.clone()).or_default();
    *present = value.max(*present);
}

fn merge_entry(known: &mut BTreeMap<InstanceId, KnownNode>, entry: HeartbeatEntry) {
    let now = Instant::now();
    let Some(present) = known.get_mut(&entry.name) else {
        let (soft_report, soft_report_version) = (SoftReport::default(), (entry.incarnation, 0));
        known.insert(
            entry.name.clone(),
            KnownNode { entry, last_heard: now, soft_report, soft_report_version, soft_report_at: now },
        );
        return;
    };
    if (entry.incarnation, entry.sequence) <= (present.entry.incarnation, present.entry.sequence) {
        return;
    }
    if (entry.incarnation, entry.report_version) == present.soft_report_version {
        present.soft_report_at = now;
    }
    present.entry = entry;
    present.last_heard = now;
}

fn merge_report(known: &mut BTreeMap<InstanceId, KnownNode>, report: ReportEntry) {
    let Some(present) = known.get_mut(&report.name) else { return };
    if (report.incarnation, report.version) > present.soft_report_version {
        present.soft_report = report.soft_report;
        present.soft_report_version = (report.incarnation, report.version);
        present.soft_report_at = Instant::now();
    }
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}

fn truncated(mut soft_report: SoftReport) -> SoftReport {
    while encoded_bytes(&soft_report) > MAX_OWN_REPORT_BYTES {
        // Blocks are dropped first, oldest first: a missing block costs time, never correctness.
        let list = if soft_report.sealed_blocks.is_empty() {
            &mut soft_report.unlisted_blocks
        } else {
            &mut soft_report.sealed_blocks
        };
        if list.is_empty() {
            return SoftReport { leaving_upstreams: soft_report.leaving_upstreams, ..SoftReport::default() };
        }
        list.drain(..list.len().div_ceil(2));
    }
    soft_report
}
