//! What a routing decision prepares once for each weight version: who holds which pieces of the prompt.

use crate::{
    block::BlockName,
    fill::Source,
    piece_index::{Holder, PieceKey, holds},
    route::{RoutePolicy, RouteRequest},
    view::{ClusterView, StoreView},
};

/// Stores that are weighed for one upstream.
pub(crate) const MAX_SOURCES: usize = 2;

/// The holders of a prompt's pieces under one weight version.
#[derive(Debug)]
pub(crate) struct Prefix<'a> {
    /// The recorded holders of each piece, sorted by slot.
    holders: Vec<&'a [Holder]>,
    /// Stores with the run of pieces each holds from every index on.
    stores: Vec<(&'a StoreView, Vec<usize>)>,
    /// The stores as an upstream with an empty cache sees them.
    sources: Vec<Source<'a>>,
}

impl<'a> Prefix<'a> {
    /// Looks up every piece once; `us_per_token` is the prefill time by which stores are compared.
    pub(crate) fn new(
        view: &'a ClusterView,
        names: &[BlockName],
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        us_per_token: f64,
    ) -> Self {
        let holders: Vec<&'a [Holder]> = names.iter().map(|name| view.holders(PieceKey::of(name))).collect();
        let stores = view.reachable_stores().map(|(store, holder)| (store, runs(&holders, holder)));
        let stores = stores.filter(|(_, runs)| runs.iter().any(|run| *run > 0)).collect();
        let mut prefix = Self { holders, stores, sources: Vec::new() };
        prefix.sources = prefix.sources_from(0, request, policy, us_per_token);
        prefix
    }

    /// Returns the recorded holders of each piece, first to last.
    pub(crate) fn holders(&self) -> &[&'a [Holder]] {
        &self.holders
    }

    /// Returns the best stores for an upstream with an empty cache.
    pub(crate) fn sources(&self) -> &[Source<'a>] {
        &self.sources
    }

    /// Returns the number of leading pieces that an upstream holds.
    pub(crate) fn cached_pieces(&self, holder: Holder) -> usize {
        self.holders.iter().take_while(|holders| holds(holders, holder)).count()
    }

    /// Returns the best stores that hold the piece at `first` and those after it.
    pub(crate) fn sources_from(
        &self,
        first: usize,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        us_per_token: f64,
    ) -> Vec<Source<'a>> {
        let runs = self.stores.iter().map(|(store, runs)| (*store, runs.get(first).copied().unwrap_or(0)));
        let held = runs.filter(|(_, run)| *run > 0);
        let mut sources: Vec<Source<'a>> =
            held.map(|(store, run)| Source::new(store, run, store.zone == *request.zone, policy)).collect();
        if sources.len() > MAX_SOURCES {
            let piece_us = policy.piece_tokens as f64 * (us_per_token + policy.recompute_weight_us);
            let net = |s: &Source<'_>| s.transfer_us(s.held_pieces) - s.held_pieces as f64 * piece_us;
            sources.sort_by(|a, b| net(a).total_cmp(&net(b)));
            sources.truncate(MAX_SOURCES);
        }
        sources
    }
}

fn runs(holders: &[&[Holder]], holder: Holder) -> Vec<usize> {
    let mut runs = vec![0; holders.len()];
    let mut run = 0;
    for (at, held_by) in holders.iter().enumerate().rev() {
        run = if holds(held_by, holder) { run + 1 } else { 0 };
        runs[at] = run;
    }
    runs
}
