//! What is reported of upstreams and stores, applied to the table of a node.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use daisysill_core::{block::BlockName, ids::InstanceId};
use daisysill_wire::{
    http_types::{CacheEventKind, CacheEvents, EngineLoad, InstanceState, PlatformInstance, StoreUsage},
    peer::DispatchCount,
};
use tokio::time::Instant;

use crate::{
    upstream_entry::{Entry, LeavingCause},
    upstreams::{Inner, UpstreamTable},
};

impl UpstreamTable {
    /// Takes what another node reported `age` ago.
    pub fn apply_peer_counts(
        &self,
        peer: &InstanceId,
        counts: &BTreeMap<InstanceId, DispatchCount>,
        age: Duration,
    ) {
        let mut inner = self.lock();
        for (upstream, count) in counts {
            let used = inner.live.peer_count(peer, upstream, count, age);
            let metric = if used { &self.metrics.peer_counts } else { &self.metrics.late_peer_counts };
            metric.inc();
        }
    }

    /// Applies what other nodes report of upstreams that refused work because they are leaving.
    pub fn apply_reported_leaving(&self, leaving: &BTreeSet<InstanceId>) {
        self.change_all(|id, entry| {
            let is = leaving.contains(id);
            let was = entry.set_leaving(LeavingCause::RefusedElsewhere, is);
            match (was, is) {
                (_, true) => self.advance(entry, "refused"),
                (true, false) => self.stay(entry),
                (false, false) => {}
            }
        });
    }

    /// Applies the platform's list; returns the instances that are gone.
    pub fn apply_list(&self, instances: Vec<PlatformInstance>) -> Vec<InstanceId> {
        let mut inner = self.lock();
        let Inner { entries, live } = &mut *inner;
        let listed: BTreeSet<InstanceId> =
            instances.iter().map(|i| InstanceId::from(i.id.as_str())).collect();
        let mut gone = Vec::new();
        for (id, entry) in entries.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            self.advance(entry, "removed");
            gone.push(id.clone());
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
            let was_leaving = entry.set_leaving(LeavingCause::Listed, is_leaving);
            entry.listed = instance;
            if is_leaving {
                self.advance(entry, "listed_leaving");
            } else if entry.is_known() {
                self.advance(entry, "listed");
            }
            if was_leaving && !is_leaving {
                self.stay(entry);
            }
        }
        for (id, entry) in entries.iter_mut() {
            self.show(live, id, entry);
        }
        // Also without requests, so that the changes do not pile up.
        self.follow_directory(live);
        gone
    }

    /// Applies the drain marks in force, those that were cleared included.
    pub fn apply_drains(&self, draining: &BTreeSet<InstanceId>) {
        self.change_all(|id, entry| {
            let is = draining.contains(id);
            let was = entry.set_leaving(LeavingCause::Drained, is);
            match (was, is) {
                (false, true) => self.advance(entry, "drain_marked"),
                (true, false) => self.stay(entry),
                _ => {}
            }
        });
    }

    /// Applies a load report that was asked for at `asked`; returns whether the engine restarted.
    pub fn apply_load(&self, id: &InstanceId, load: EngineLoad, asked: Instant) -> bool {
        let mut inner = self.lock();
        let Inner { entries, live } = &mut *inner;
        let Some(entry) = entries.get_mut(id) else { return false };
        let restarted = entry.load.as_ref().is_some_and(|known| known.incarnation != load.incarnation);
        live.report(id, &load, asked);
        entry.load = Some(load);
        if restarted && entry.set_leaving(LeavingCause::RefusedHere, false) {
            // The new process has refused nothing yet.
            self.stay(entry);
        }
        self.advance(entry, "ping_ok");
        self.show(live, id, entry);
        restarted
    }

    /// Applies a store's usage report.
    pub fn apply_usage(&self, id: &InstanceId, usage: StoreUsage) {
        self.change(id, |entry| {
            entry.usage = Some(usage);
            self.advance(entry, "ping_ok");
        });
    }

    /// Applies an engine's cache events; returns the pieces it evicted.
    pub fn apply_cache_events(&self, id: &InstanceId, events: &CacheEvents) -> Vec<BlockName> {
        let mut inner = self.lock();
        let Inner { entries, live } = &mut *inner;
        let Some(entry) = entries.get_mut(id) else { return Vec::new() };
        live.cache_events(id, events, entry.incarnation != events.incarnation);
        live.sweep();
        entry.incarnation = events.incarnation;
        entry.next_event = events.next_seq;
        let evicted = events.events.iter().filter(|event| event.kind == CacheEventKind::Evicted);
        evicted.map(|event| BlockName::from(event.piece.as_str())).collect()
    }
}
