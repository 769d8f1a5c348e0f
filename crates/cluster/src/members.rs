//! What this node knows of the others: a table of entries that nodes pass on to each other.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use daisysill_core::ids::{ConfigVersion, InstanceId, ZoneName};
use daisysill_wire::peer::{Heartbeat, MemberEntry, SoftReport};
use tokio::time::Instant;

use crate::config::ClusterConfig;

/// Bytes of the entries of one heartbeat at most. With two exchanges started and two answered a second, and
/// both directions counted, this keeps a node under half of the target of 28 KB/s.
const HEARTBEAT_BYTES: usize = 1_500;
/// Bytes of one node's soft report at most; above it the lists of blocks are left out, then the whole.
const SOFT_REPORT_BYTES: usize = 1_024;
/// A node is alive if a new heartbeat of it was seen in this time in a small cluster.
const ALIVE_BASE: Duration = Duration::from_secs(3);
/// Added per node of the cluster, since entries take turns under the byte budget.
const ALIVE_PER_NODE: Duration = Duration::from_millis(30);

#[derive(Clone, Debug)]
struct Known {
    entry: MemberEntry,
    soft: SoftReport,
    soft_at: Instant,
    heard: Instant,
}

/// What a partner of this node is known to have: incarnation, beat and soft version of each entry.
#[derive(Debug)]
struct Partner {
    /// Sent with each heartbeat.
    own_session: u64,
    /// Last received from the partner.
    their_session: Option<u64>,
    sent: BTreeMap<InstanceId, (u64, u64, u64)>,
}

#[derive(Debug)]
struct Inner {
    own: MemberEntry,
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
    pub(crate) soft: SoftReport,
}

impl Default for Partner {
    fn default() -> Self {
        Self { own_session: rand::random(), their_session: None, sent: BTreeMap::new() }
    }
}

impl Members {
    /// Starts with nothing heard from the configured peers.
    pub(crate) fn new(config: &ClusterConfig, incarnation: u64) -> Self {
        let zones = config.peers.iter().filter(|peer| peer.name != config.name);
        let zones: BTreeMap<_, _> = zones.map(|peer| (peer.name.clone(), peer.zone.clone())).collect();
        let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        let own = MemberEntry {
            name: config.name.clone(),
            zone: config.zone.clone(),
            incarnation,
            beat: 0,
            config_version: ConfigVersion(0),
            leaving: false,
            replica: config.data_dir.is_some(),
            soft_version: 0,
            soft: None,
        };
        let inner =
            Inner { own, own_soft: SoftReport::default(), known: BTreeMap::new(), partners: BTreeMap::new() };
        Self { zones, alive_after: ALIVE_BASE + ALIVE_PER_NODE * count, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces this node's soft report.
    pub(crate) fn set_soft(&self, soft: SoftReport) {
        let soft = limited(soft);
        let mut inner = self.lock();
        if inner.own_soft != soft {
            inner.own.soft_version += 1;
            inner.own_soft = soft;
        }
    }

    /// Marks this node as shutting down.
    pub(crate) fn set_leaving(&self) {
        self.lock().own.leaving = true;
    }

    /// Counts a heartbeat of this node.
    pub(crate) fn beat(&self, config_version: ConfigVersion) {
        let mut inner = self.lock();
        inner.own.beat += 1;
        inner.own.config_version = config_version;
    }

    /// Returns what `partner` lacks, within the byte budget: this node's own entry, then the entries it
    /// has waited for longest.
    pub(crate) fn heartbeat_for(&self, partner: &InstanceId) -> Heartbeat {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let state = inner.partners.entry(partner.clone()).or_default();
        let mut entries = vec![with_soft(&inner.own, &inner.own_soft, state)];
        let mut bytes = encoded_bytes(&entries[0]);
        let lacking = inner.known.values().filter(|known| {
            let sent = state.sent.get(&known.entry.name);
            known.entry.name != *partner
                && sent.is_none_or(|sent| *sent < (known.entry.incarnation, known.entry.beat, 0))
        });
        let mut lacking: Vec<&Known> = lacking.collect();
        lacking.sort_by_key(|known| {
            let sent = state.sent.get(&known.entry.name);
            let behind = sent.map_or(u64::MAX, |sent| known.entry.beat.saturating_sub(sent.1));
            // A node that leaves goes first: the others must learn of it within seconds.
            (!known.entry.leaving, std::cmp::Reverse(behind))
        });
        for known in lacking {
            let entry = with_soft(&known.entry, &known.soft, state);
            bytes += encoded_bytes(&entry);
            if bytes > HEARTBEAT_BYTES {
                break;
            }
            entries.push(entry);
        }
        for entry in &entries {
            state.sent.insert(entry.name.clone(), (entry.incarnation, entry.beat, entry.soft_version));
        }
        Heartbeat { from: inner.own.name.clone(), session: state.own_session, entries }
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
            partner.sent.clear();
        }
        for entry in heartbeat.entries {
            if !self.zones.contains_key(&entry.name) {
                continue;
            }
            let newest = (entry.incarnation, entry.beat, entry.soft_version);
            let sent = partner.sent.entry(entry.name.clone()).or_default();
            *sent = newest.max(*sent);
            merge(&mut inner.known, entry);
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
                leaving: known.is_some_and(|known| known.entry.leaving),
                replica: known.is_some_and(|known| known.entry.replica),
                config_version: known.map_or(ConfigVersion(0), |known| known.entry.config_version),
                heard: known.map(|known| known.heard),
                soft_at: known.map(|known| known.soft_at),
                soft: known.map(|known| known.soft.clone()).unwrap_or_default(),
            }
        };
        self.zones.iter().map(member).collect()
    }

    /// Returns whether new heartbeats of a node arrive.
    pub(crate) fn is_alive(&self, name: &InstanceId) -> bool {
        self.lock().known.get(name).is_some_and(|known| known.heard.elapsed() < self.alive_after)
    }
}

fn merge(known: &mut BTreeMap<InstanceId, Known>, mut entry: MemberEntry) {
    let now = Instant::now();
    let soft = entry.soft.take();
    let Some(present) = known.get_mut(&entry.name) else {
        let name = entry.name.clone();
        let soft = soft.unwrap_or_default();
        known.insert(name, Known { entry, soft, soft_at: now, heard: now });
        return;
    };
    let older = (entry.incarnation, entry.beat) <= (present.entry.incarnation, present.entry.beat);
    if older {
        return;
    }
    let soft_changed =
        (entry.incarnation, entry.soft_version) != (present.entry.incarnation, present.entry.soft_version);
    if let Some(soft) = soft {
        present.soft = soft;
        present.soft_at = now;
    } else if !soft_changed {
        present.soft_at = now;
    } else {
        // The report itself comes with a later heartbeat; until then the old version number stays.
        entry.soft_version = present.entry.soft_version;
    }
    present.entry = entry;
    present.heard = now;
}

fn with_soft(entry: &MemberEntry, soft: &SoftReport, partner: &Partner) -> MemberEntry {
    let sent = partner.sent.get(&entry.name);
    let has = sent.is_some_and(|sent| sent.0 == entry.incarnation && sent.2 >= entry.soft_version);
    MemberEntry { soft: (!has).then(|| soft.clone()), ..entry.clone() }
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}

fn limited(mut soft: SoftReport) -> SoftReport {
    while encoded_bytes(&soft) > SOFT_REPORT_BYTES {
        // Blocks first, oldest first: a lost one costs time, never correctness.
        let list =
            if soft.sealed_blocks.is_empty() { &mut soft.freed_blocks } else { &mut soft.sealed_blocks };
        if list.is_empty() {
            return SoftReport { leaving_upstreams: soft.leaving_upstreams, ..SoftReport::default() };
        }
        list.drain(..list.len().div_ceil(2));
    }
    soft
}
