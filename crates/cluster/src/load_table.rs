//! Work in flight of entry nodes, added up by the control node that they poll.
//!
//! A control node reports the sum for its entry nodes to the leader, and adds what the leader returns for all others.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use daisysill_core::ids::InstanceId;
use daisysill_wire::peer::UpstreamLoad;

use crate::clock::BootInstant;

/// The loads of an entry node that has not reported for this time are discarded.
pub(crate) const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for the sums that control nodes exchange. Shorter, since the entry nodes of a failed control node soon
/// report to another, where they are counted as well.
const SUM_TIMEOUT: Duration = Duration::from_millis(500);
/// Totals are added up again after this time, however many nodes ask for them.
const TOTALS_AGE: Duration = Duration::from_millis(10);

/// Who reported loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporter {
    EntryNode,
    /// A control node, for the entry nodes that poll it.
    ControlNode,
}

#[derive(Debug)]
struct Report {
    at: BootInstant,
    reporter: Reporter,
    loads: Vec<UpstreamLoad>,
}

/// Work in flight by reporting node.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    reports: BTreeMap<InstanceId, Report>,
    /// Loads of the entry nodes that poll other control nodes, from the leader's last reply and its time.
    elsewhere: Option<(BootInstant, Vec<UpstreamLoad>)>,
    /// The totals as last added up, and when.
    totals: Option<(BootInstant, Vec<UpstreamLoad>)>,
}

impl LoadTable {
    /// Records the loads of an entry node.
    pub(crate) fn record_entry_node(&mut self, node: &InstanceId, loads: Vec<UpstreamLoad>) {
        self.record(node, Reporter::EntryNode, loads);
    }

    /// Records the sum of loads that another control node reports.
    pub(crate) fn record_control_node(&mut self, node: &InstanceId, loads: Vec<UpstreamLoad>) {
        self.record(node, Reporter::ControlNode, loads);
    }

    /// Replaces the loads of entry nodes that poll other control nodes: all loads less those that this node reported.
    pub(crate) fn set_elsewhere(&mut self, all: &[UpstreamLoad], reported: &[UpstreamLoad]) {
        let reported: HashMap<u64, &UpstreamLoad> =
            reported.iter().map(|load| (load.upstream, load)).collect();
        let rest = all.iter().map(|load| match reported.get(&load.upstream) {
            Some(own) => subtract(load, own),
            None => *load,
        });
        self.elsewhere = Some((BootInstant::now(), rest.collect()));
    }

    /// Returns the sum of the loads of the entry nodes that poll this node.
    pub(crate) fn own_sum(&mut self) -> Vec<UpstreamLoad> {
        self.discard_outdated();
        let own = self.reports.values().filter(|report| report.reporter == Reporter::EntryNode);
        let mut sum = LoadSum::default();
        for report in own {
            sum.add(report);
        }
        sum.finish()
    }

    /// Returns the total loads of all entry nodes.
    pub(crate) fn totals(&mut self) -> Vec<UpstreamLoad> {
        if let Some((at, totals)) = &self.totals
            && at.elapsed() < TOTALS_AGE
        {
            return totals.clone();
        }
        self.discard_outdated();
        let mut sum = LoadSum::default();
        for report in self.reports.values() {
            sum.add(report);
        }
        for load in self.elsewhere.iter().flat_map(|(_, loads)| loads) {
            sum.add_confirmed(load);
        }
        let totals = sum.finish();
        self.totals = Some((BootInstant::now(), totals.clone()));
        totals
    }

    fn record(&mut self, node: &InstanceId, reporter: Reporter, loads: Vec<UpstreamLoad>) {
        self.reports.insert(node.clone(), Report { at: BootInstant::now(), reporter, loads });
    }

    fn discard_outdated(&mut self) {
        self.reports.retain(|_, report| {
            let timeout = match report.reporter {
                Reporter::EntryNode => LOAD_TIMEOUT,
                Reporter::ControlNode => SUM_TIMEOUT,
            };
            report.at.elapsed() < timeout
        });
        self.elsewhere.take_if(|(at, _)| at.elapsed() >= SUM_TIMEOUT);
    }
}

/// Adds up loads by upstream.
#[derive(Debug, Default)]
struct LoadSum {
    totals: HashMap<u64, UpstreamLoad>,
    /// Zones in which at least one entry node could not reach the upstream.
    unreachable_once: HashMap<u64, u32>,
}

impl LoadSum {
    fn add(&mut self, report: &Report) {
        for load in &report.loads {
            match report.reporter {
                Reporter::EntryNode => self.add_unconfirmed(load),
                Reporter::ControlNode => self.add_confirmed(load),
            }
        }
    }

    /// Adds the load of one entry node. It may have lost a packet, so two of a zone must report an upstream.
    fn add_unconfirmed(&mut self, load: &UpstreamLoad) {
        let mut confirmed = 0;
        if load.unreachable_from != 0 {
            let once = self.unreachable_once.entry(load.upstream).or_default();
            confirmed = *once & load.unreachable_from;
            *once |= load.unreachable_from;
        }
        self.add_confirmed(&UpstreamLoad { unreachable_from: confirmed, ..*load });
    }

    fn add_confirmed(&mut self, load: &UpstreamLoad) {
        let total = self.totals.entry(load.upstream).or_default();
        total.upstream = load.upstream;
        total.requests = total.requests.saturating_add(load.requests);
        total.tokens = total.tokens.saturating_add(load.tokens);
        total.pending_prefill_tokens =
            total.pending_prefill_tokens.saturating_add(load.pending_prefill_tokens);
        total.unreachable_from |= load.unreachable_from;
    }

    fn finish(self) -> Vec<UpstreamLoad> {
        self.totals.into_values().collect()
    }
}

/// Returns `total` without `part`; the zones from which the upstream was unreachable stay.
pub(crate) fn subtract(total: &UpstreamLoad, part: &UpstreamLoad) -> UpstreamLoad {
    UpstreamLoad {
        upstream: total.upstream,
        requests: total.requests.saturating_sub(part.requests),
        tokens: total.tokens.saturating_sub(part.tokens),
        pending_prefill_tokens: total.pending_prefill_tokens.saturating_sub(part.pending_prefill_tokens),
        unreachable_from: total.unreachable_from,
    }
}
