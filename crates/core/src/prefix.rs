//! The holders of a prompt's pieces, looked up once per routing decision and weight version.

use crate::{
    block::BlockName,
    fill::RestoreSource,
    piece_index::{Holder, PieceKey, holds},
    route::{RoutePolicy, RouteRequest},
    view::{ClusterView, StoreView},
};

/// Stores that are evaluated for one upstream.
pub(crate) const MAX_SOURCES: usize = 2;

/// The holders of a prompt's pieces under one weight version.
#[derive(Debug)]
pub(crate) struct Prefix<'a> {
    /// The recorded holders of each piece, sorted by instance; some may be out of date.
    holders: Vec<&'a [Holder]>,
    /// Reachable stores, each with the number of consecutive pieces it holds from every index on.
    stores: Vec<(&'a StoreView, Vec<usize>)>,
    /// The best stores for an upstream with an empty cache.
    sources: Vec<RestoreSource<'a>>,
}

impl<'a> Prefix<'a> {
    /// Looks up every piece; `us_per_token` is the prefill time per token used to compare stores.
    pub(crate) fn new(
        view: &'a ClusterView,
        names: &[BlockName],
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        us_per_token: f64,
    ) -> Self {
        let holders: Vec<&'a [Holder]> = names.iter().map(|name| view.holders(PieceKey::of(name))).collect();
        let stores = view.reachable_stores().map(|(store, holder)| (store, run_lengths(&holders, holder)));
        let stores = stores.filter(|(_, runs)| runs.iter().any(|run| *run > 0)).collect();
        let mut prefix = Self { holders, stores, sources: Vec::new() };
        prefix.sources = prefix.sources_from(0, request, policy, us_per_token);
        prefix
    }

    /// Returns the recorded holders of each piece, first to last.
    pub(crate) fn holders(&self) -> &[&'a [Holder]] {
        &self.holders
    }

    /// Returns at most `MAX_SOURCES` stores for an upstream with an empty cache.
    pub(crate) fn sources(&self) -> &[RestoreSource<'a>] {
        &self.sources
    }

    /// Returns the number of leading pieces that the instance holds in its present epoch.
    pub(crate) fn cached_pieces(&self, holder: Holder) -> usize {
        self.holders.iter().take_while(|holders| holds(holders, holder)).count()
    }

    /// Returns the best stores, at most `MAX_SOURCES`, that hold the piece at index `first`.
    pub(crate) fn sources_from(
        &self,
        first: usize,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        us_per_token: f64,
    ) -> Vec<RestoreSource<'a>> {
        let runs = self.stores.iter().map(|(store, runs)| (*store, runs.get(first).copied().unwrap_or(0)));
        let held = runs.filter(|(_, run)| *run > 0);
        let mut sources: Vec<RestoreSource<'a>> = held
            .map(|(store, run)| RestoreSource::new(store, run, store.zone == *request.zone, policy))
            .collect();
        if sources.len() > MAX_SOURCES {
            let piece_us = policy.piece_tokens as f64 * (us_per_token + policy.recompute_weight_us);
            // Transfer time less the prefill it saves.
            let net_us =
                |s: &RestoreSource<'_>| s.transfer_us(s.held_pieces) - s.held_pieces as f64 * piece_us;
            sources.sort_by(|a, b| net_us(a).total_cmp(&net_us(b)));
            sources.truncate(MAX_SOURCES);
        }
        sources
    }
}

/// Returns for each piece how many pieces from it on `holder` holds without a gap.
fn run_lengths(holders: &[&[Holder]], holder: Holder) -> Vec<usize> {
    let mut runs = vec![0; holders.len()];
    let mut run = 0;
    for (at, piece_holders) in holders.iter().enumerate().rev() {
        run = if holds(piece_holders, holder) { run + 1 } else { 0 };
        runs[at] = run;
    }
    runs
}
