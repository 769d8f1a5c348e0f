//! Applies reports of the platform, the upstreams, the stores and the other nodes to the upstream table.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use daisysill_cluster::BootInstant;
use daisysill_core::{block::BlockName, ids::InstanceId};
use daisysill_wire::{
    http_types::{CacheEventKind, CacheEvents, EngineLoad, InstanceState, PlatformInstance, StoreUsage},
    peer::DispatchCount,
};
use tokio::time::Instant;

use crate::{
    upstream_entry::{Entry, LeavingSource},
    upstreams::{Inner, UpstreamTable},
};

impl UpstreamTable {
    /// Applies the dispatch counts that another node reported `age` ago.
    pub fn apply_peer_counts(
        &self,
        peer: &InstanceId,
        counts: &BTreeMap<InstanceId, DispatchCount>,
        age: Duration,
    ) {
        let mut inner = self.lock();
        for (upstream, count) in counts {
            let used = inner.live.record_peer_count(peer, upstream, count, age);
            let metric = if used { &self.metrics.peer_counts } else { &self.metrics.late_peer_counts };
            metric.inc();
        }
    }

    /// Applies the upstreams that refused requests of other nodes because they are leaving; all others no
    /// longer count as refused.
    pub fn apply_reported_leaving(&self, leaving: &BTreeSet<InstanceId>) {
        self.change_all(|id, entry| {
            let is_leaving = leaving.contains(id);
            let was_leaving = entry.set_leaving(LeavingSource::PeerRefusal, is_leaving);
            match (was_leaving, is_leaving) {
                (_, true) => self.apply_event(entry, "refused"),
                (true, false) => self.end_leaving(entry),
                (false, false) => {}
            }
        });
    }

    /// Applies the platform's list; returns the instances that are no longer listed. Their entries remain
    /// until the last dispatch to them ends.
    pub fn apply_list(&self, instances: Vec<PlatformInstance>) -> Vec<InstanceId> {
        let mut inner = self.lock();
        inner.listed_at = Some(BootInstant::now());
        let Inner { entries, live, evacuations, .. } = &mut *inner;
        let listed: BTreeSet<InstanceId> =
            instances.iter().map(|i| InstanceId::from(i.id.as_str())).collect();
        let mut unlisted = Vec::new();
        for (id, entry) in entries.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            self.apply_event(entry, "removed");
            unlisted.push(id.clone());
        }
        entries.retain(|id, entry| {
            let keep = entry.state != "gone" || entry.in_flight > 0;
            if !keep {
                live.remove(id);
            }
            keep
        });
        for instance in instances {
            let id = InstanceId::from(instance.id.as_str());
            let entry = entries.entry(id).or_insert_with(|| Entry::new(instance.clone()));
            let is_leaving = instance.state == InstanceState::Leaving;
            let was_leaving = entry.set_leaving(LeavingSource::PlatformList, is_leaving);
            entry.listed = instance;
            if is_leaving {
                self.apply_event(entry, "listed_leaving");
            } else if entry.is_usable() {
                self.apply_event(entry, "listed");
            }
            if was_leaving && !is_leaving {
                self.end_leaving(entry);
            }
        }
        for (id, entry) in entries.iter_mut() {
            entry.evacuated = evacuations.contains(&entry.listed.availability_zone);
            self.update_view(live, id, entry);
        }
        // Without requests, nothing else removes the changes from the queue.
        self.apply_directory_changes(live);
        unlisted
    }

    /// Applies the drain marks in force; upstreams and zones that are not in `draining` have none.
    pub fn apply_drains(&self, draining: &BTreeSet<InstanceId>) {
        self.apply_evacuations(draining);
        self.change_all(|id, entry| {
            let is_draining = draining.contains(id);
            let was_draining = entry.set_leaving(LeavingSource::DrainMark, is_draining);
            match (was_draining, is_draining) {
                (false, true) => self.apply_event(entry, "drain_marked"),
                (true, false) => self.end_leaving(entry),
                _ => {}
            }
        });
    }

    /// Applies the load report of a poll sent at `polled_at`; returns whether the engine restarted since the
    /// last one.
    pub fn apply_load(&self, id: &InstanceId, load: EngineLoad, polled_at: Instant) -> bool {
        let mut inner = self.lock();
        let Inner { entries, live, .. } = &mut *inner;
        let Some(entry) = entries.get_mut(id) else { return false };
        let restarted = entry.load.as_ref().is_some_and(|known| known.incarnation != load.incarnation);
        live.record_load(id, &load, polled_at);
        entry.load = Some(load);
        if restarted && entry.set_leaving(LeavingSource::OwnRefusal, false) {
            // It was the former process that refused.
            self.end_leaving(entry);
        }
        self.apply_event(entry, "ping_ok");
        self.update_view(live, id, entry);
        restarted
    }

    /// Applies a store's usage report.
    pub fn apply_usage(&self, id: &InstanceId, usage: StoreUsage) {
        self.change(id, |entry| {
            entry.usage = Some(usage);
            self.apply_event(entry, "ping_ok");
        });
    }

    /// Applies cache events of an engine and returns the evicted pieces; the next poll continues after these
    /// events.
    pub fn apply_cache_events(&self, id: &InstanceId, events: &CacheEvents) -> Vec<BlockName> {
        let mut inner = self.lock();
        let Inner { entries, live, .. } = &mut *inner;
        let Some(entry) = entries.get_mut(id) else { return Vec::new() };
        live.apply_cache_events(id, events, entry.incarnation != events.incarnation);
        live.sweep();
        entry.incarnation = events.incarnation;
        entry.next_event = events.next_seq;
        let evicted = events.events.iter().filter(|event| event.kind == CacheEventKind::Evicted);
        evicted.map(|event| BlockName::from(event.piece.as_str())).collect()
    }
}
