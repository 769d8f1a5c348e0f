//! What this node knows of the others: a table of entries that nodes pass on to each other.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::{Heartbeat, HeartbeatEntry, ReportEntry, SoftReport};
use tokio::time::Instant;

use crate::config::ClusterConfig;

/// Bytes of the heartbeats and of the soft reports in one message at most. They have separate budgets, since
/// reports of full size would otherwise crowd out the heartbeats and live nodes be taken for dead. With two
/// exchanges started and two answered a second, and both directions counted, a node stays under 20 KB/s.
const BEAT_BYTES: usize = 1_000;
const REPORT_BYTES: usize = 1_200;
/// Bytes of one node's soft report at most; above it the lists of blocks are left out, then the whole.
const SOFT_REPORT_BYTES: usize = 1_024;
/// How much sooner a report goes to a partner in the zone of the node that made it.
const OWN_ZONE_WEIGHT: u64 = 4;
/// Versions that a report of a restarted node counts as behind, whatever its number.
const RESTARTED_BEHIND: u64 = 1_000_000;
/// A node is alive if a new heartbeat of it was seen in this time in a small cluster.
const ALIVE_BASE: Duration = Duration::from_secs(3);
/// Added per node of the cluster, since entries take turns under the byte budget.
const ALIVE_PER_NODE: Duration = Duration::from_millis(30);

#[derive(Clone, Debug)]
struct Known {
    beat: HeartbeatEntry,
    heard: Instant,
    soft_report: SoftReport,
    /// Incarnation and version of `soft_report`.
    soft_version: (u64, u64),
    soft_at: Instant,
}

/// What a partner of this node is known to have, as incarnation and count or version.
#[derive(Debug)]
struct Partner {
    /// Sent with each heartbeat.
    own_session: u64,
    /// Last received from the partner.
    their_session: Option<u64>,
    beats: BTreeMap<InstanceId, (u64, u64)>,
    reports: BTreeMap<InstanceId, (u64, u64)>,
}

#[derive(Debug)]
struct Inner {
    own: HeartbeatEntry,
    own_soft: SoftReport,
    known: BTreeMap<InstanceId, Known>,
    partners: BTreeMap<InstanceId, Partner>,
}

/// The table of members.
#[derive(Debug)]
pub(crate) struct Members {
    zones: BTreeMap<InstanceId, ZoneName>,
    alive_after: Duration,
    inner: Mutex<Inner>,
}

/// A member as this node knows it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The node.
    pub(crate) name: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
    /// Whether new heartbeats of it arrive.
    pub(crate) alive: bool,
    /// Whether it is shutting down.
    pub(crate) leaving: bool,
    /// Whether it holds a replica of the log.
    pub(crate) replica: bool,
    /// The configuration version it follows.
    pub(crate) config_version: ConfigVersion,
    /// When a new heartbeat of it was seen last.
    pub(crate) heard: Option<Instant>,
    /// When a heartbeat last confirmed its soft report.
    pub(crate) soft_at: Option<Instant>,
    /// What it has in flight.
    pub(crate) soft_report: SoftReport,
}

impl Default for Partner {
    fn default() -> Self {
        Self {
            own_session: rand::random(),
            their_session: None,
            beats: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }
}

impl Members {
    /// Starts with nothing heard from the configured peers.
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
        let inner =
            Inner { own, own_soft: SoftReport::default(), known: BTreeMap::new(), partners: BTreeMap::new() };
        Self { zones, alive_after: ALIVE_BASE + ALIVE_PER_NODE * count, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces this node's soft report.
    pub(crate) fn set_soft_report(&self, soft_report: SoftReport) {
        let soft_report = limited(soft_report);
        let mut inner = self.lock();
        if inner.own_soft != soft_report {
            inner.own.report_version += 1;
            inner.own.held_report_version += 1;
            inner.own_soft = soft_report;
        }
    }

    /// Marks this node as shutting down.
    pub(crate) fn set_leaving(&self) {
        self.lock().own.leaving = true;
    }

    /// Counts a heartbeat of this node.
    pub(crate) fn beat(&self, config_version: ConfigVersion) {
        let mut inner = self.lock();
        inner.own.sequence += 1;
        inner.own.config_version = config_version;
    }

    /// Returns what `partner` lacks, within the byte budgets: this node's own heartbeat and report, then what
    /// the partner has waited for longest.
    pub(crate) fn heartbeat_for(&self, partner: &InstanceId) -> Heartbeat {
        let mut guard = self.lock();
        let Inner { own, own_soft, known, partners } = &mut *guard;
        let state = partners.entry(partner.clone()).or_default();
        let beats = lacking_beats(own, known, partner, state);
        for beat in &beats {
            state.beats.insert(beat.name.clone(), (beat.incarnation, beat.sequence));
        }
        let mut reports = Vec::new();
        if state.reports.get(&own.name).is_none_or(|has| *has < (own.incarnation, own.report_version)) {
            reports.push(report_of(&own.name, (own.incarnation, own.report_version), own_soft));
        }
        self.add_lacking_reports(known, partner, state, &mut reports);
        for report in &reports {
            state.reports.insert(report.name.clone(), (report.incarnation, report.version));
        }
        Heartbeat { from: own.name.clone(), session: state.own_session, entries: beats, reports }
    }

    fn add_lacking_reports(
        &self,
        known: &BTreeMap<InstanceId, Known>,
        partner: &InstanceId,
        state: &Partner,
        reports: &mut Vec<ReportEntry>,
    ) {
        let lacking = known.iter().filter_map(|(name, known)| {
            let has = state.reports.get(name).copied().unwrap_or_default();
            if name == partner || has >= known.soft_version || known.soft_version.1 == 0 {
                return None;
            }
            // A report is of use only to a partner that has a heartbeat of the same incarnation.
            state.beats.get(name).filter(|beat| beat.0 == known.soft_version.0)?;
            let restarted = has.0 != known.soft_version.0;
            let behind = if restarted { RESTARTED_BEHIND } else { known.soft_version.1 - has.1 };
            let same_zone = self.zones.get(name) == self.zones.get(partner);
            let weight = if same_zone { OWN_ZONE_WEIGHT } else { 1 };
            Some((std::cmp::Reverse(behind * weight), name, known))
        });
        let mut lacking: Vec<_> = lacking.collect();
        lacking.sort_by_key(|(order, ..)| *order);
        let mut bytes: usize = reports.iter().map(encoded_bytes).sum();
        for (_, name, known) in lacking {
            let report = report_of(name, known.soft_version, &known.soft_report);
            bytes += encoded_bytes(&report);
            if bytes > REPORT_BYTES {
                break;
            }
            reports.push(report);
        }
    }

    /// Forgets what was sent to `partner`, since the last heartbeat may not have arrived.
    pub(crate) fn exchange_failed(&self, partner: &InstanceId) {
        self.lock().partners.remove(partner);
    }

    /// Takes over what is newer in a heartbeat.
    pub(crate) fn receive(&self, heartbeat: Heartbeat) {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let partner = inner.partners.entry(heartbeat.from).or_default();
        if partner.their_session != Some(heartbeat.session) {
            partner.their_session = Some(heartbeat.session);
            partner.beats.clear();
            partner.reports.clear();
        }
        for beat in heartbeat.entries {
            if !self.zones.contains_key(&beat.name) {
                continue;
            }
            raise(&mut partner.beats, &beat.name, (beat.incarnation, beat.sequence));
            raise(&mut partner.reports, &beat.name, (beat.incarnation, beat.held_report_version));
            merge_beat(&mut inner.known, beat);
        }
        for report in heartbeat.reports {
            raise(&mut partner.reports, &report.name, (report.incarnation, report.version));
            merge_report(&mut inner.known, report);
        }
    }

    /// Returns what is known of every other configured node.
    pub(crate) fn list(&self) -> Vec<Member> {
        let inner = self.lock();
        let member = |(name, zone): (&InstanceId, &ZoneName)| {
            let known = inner.known.get(name);
            Member {
                name: name.clone(),
                zone: zone.clone(),
                alive: known.is_some_and(|known| known.heard.elapsed() < self.alive_after),
                leaving: known.is_some_and(|known| known.beat.leaving),
                replica: known.is_some_and(|known| known.beat.replica),
                config_version: known.map_or(ConfigVersion(0), |known| known.beat.config_version),
                heard: known.map(|known| known.heard),
                soft_at: known.map(|known| known.soft_at),
                soft_report: known.map(|known| known.soft_report.clone()).unwrap_or_default(),
            }
        };
        self.zones.iter().map(member).collect()
    }

    /// Returns whether new heartbeats of a node arrive.
    pub(crate) fn is_alive(&self, name: &InstanceId) -> bool {
        self.lock().known.get(name).is_some_and(|known| known.heard.elapsed() < self.alive_after)
    }
}

fn lacking_beats(
    own: &HeartbeatEntry,
    known: &BTreeMap<InstanceId, Known>,
    partner: &InstanceId,
    state: &Partner,
) -> Vec<HeartbeatEntry> {
    let lacking = known.iter().filter_map(|(name, known)| {
        let has = state.beats.get(name).copied().unwrap_or_default();
        let newest = (known.beat.incarnation, known.beat.sequence);
        let behind = if has.0 == newest.0 { newest.1 - has.1.min(newest.1) } else { u64::MAX };
        // A node that leaves goes first: the others must learn of it within seconds.
        let order = (!known.beat.leaving, std::cmp::Reverse(behind));
        (name != partner && has < newest).then_some((order, known))
    });
    let mut lacking: Vec<_> = lacking.collect();
    lacking.sort_by_key(|(order, _)| *order);
    let mut beats = vec![own.clone()];
    let mut bytes = encoded_bytes(own);
    for (_, known) in lacking {
        let has_report = known.soft_version.0 == known.beat.incarnation;
        let held_report_version = if has_report { known.soft_version.1 } else { 0 };
        let beat = HeartbeatEntry { held_report_version, ..known.beat.clone() };
        bytes += encoded_bytes(&beat);
        if bytes > BEAT_BYTES {
            break;
        }
        beats.push(beat);
    }
    beats
}

fn report_of(name: &InstanceId, (incarnation, version): (u64, u64), soft_report: &SoftReport) -> ReportEntry {
    ReportEntry { name: name.clone(), incarnation, version, soft_report: soft_report.clone() }
}

fn raise(map: &mut BTreeMap<InstanceId, (u64, u64)>, name: &InstanceId, value: (u64, u64)) {
    let present = map.entry(name.clone()).or_default();
    *present = value.max(*present);
}

fn merge_beat(known: &mut BTreeMap<InstanceId, Known>, beat: HeartbeatEntry) {
    let now = Instant::now();
    let Some(present) = known.get_mut(&beat.name) else {
        let (soft_report, soft_version) = (SoftReport::default(), (beat.incarnation, 0));
        known.insert(beat.name.clone(), Known { beat, heard: now, soft_report, soft_version, soft_at: now });
        return;
    };
    if (beat.incarnation, beat.sequence) <= (present.beat.incarnation, present.beat.sequence) {
        return;
    }
    if (beat.incarnation, beat.report_version) == present.soft_version {
        present.soft_at = now;
    }
    present.beat = beat;
    present.heard = now;
}

fn merge_report(known: &mut BTreeMap<InstanceId, Known>, report: ReportEntry) {
    let Some(present) = known.get_mut(&report.name) else { return };
    if (report.incarnation, report.version) > present.soft_version {
        present.soft_report = report.soft_report;
        present.soft_version = (report.incarnation, report.version);
        present.soft_at = Instant::now();
    }
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}

fn limited(mut soft_report: SoftReport) -> SoftReport {
    while encoded_bytes(&soft_report) > SOFT_REPORT_BYTES {
        // Blocks first, oldest first: a lost one costs time, never correctness.
        let list = if soft_report.sealed_blocks.is_empty() {
            &mut soft_report.freed_blocks
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
