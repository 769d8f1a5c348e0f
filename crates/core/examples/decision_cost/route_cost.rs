//! Time that routing decisions and view updates take.

use std::collections::BTreeMap;

use daisysill_core::{
    block::BlockName,
    ids::{InstanceId, ServiceName, WeightVersion, ZoneName},
    route::{NEAR_TIE_FACTOR, RoutePolicy, RouteRequest, choose},
    view::{ClusterView, LoadReport, PeerLoad, StoreView, UpstreamState, UpstreamView},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::timing::print_times;

const ZONES: usize = 5;
const STORES: usize = 8;
const PIECES: usize = 40;
const SHARED_PIECES: usize = 3;
const PIECE_TOKENS: u64 = 2_000;
const VERSION: WeightVersion = WeightVersion(1);

fn zone(at: usize) -> ZoneName {
    ZoneName::from(format!("zone-{}", at % ZONES))
}

fn upstream(at: usize) -> InstanceId {
    InstanceId::from(format!("worker-{at}"))
}

fn store(at: usize) -> InstanceId {
    InstanceId::from(format!("store-{at}"))
}

/// Returns the piece names of a prompt; if `shared`, all prompts have the first `SHARED_PIECES` in common.
fn names(prompt: usize, shared: bool) -> Vec<BlockName> {
    let name = |piece: usize| {
        let owner = if shared && piece < SHARED_PIECES { usize::MAX } else { prompt };
        let digest = (owner as u64 ^ 0x9e37_79b9).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let digest = (digest ^ piece as u64).wrapping_mul(0xd6e8_feb8_6659_fd93);
        BlockName::from(format!("{:016x}{piece:016x}", digest ^ (digest >> 32)).as_str())
    };
    (0..PIECES).map(name).collect()
}

fn build(upstreams: usize, prompts: usize, shared: bool, rng: &mut StdRng) -> ClusterView {
    let mut view = ClusterView::default();
    for at in 0..upstreams {
        view.put_upstream(UpstreamView {
            id: upstream(at),
            service: "lyric-llm".into(),
            zone: zone(at),
            state: UpstreamState::Live,
            weight_version: VERSION,
        });
        let queue_tokens = rng.random_range(0..20_000);
        let prefill_tokens_per_s = rng.random_range(8_000..12_000);
        view.record_report(&upstream(at), LoadReport { at_ms: 1_000, queue_tokens, prefill_tokens_per_s });
    }
    for at in 0..STORES {
        view.put_store(StoreView {
            id: store(at),
            zone: zone(at),
            reachable: true,
            link_bytes_per_s: 1_000_000_000,
            booked_bytes: rng.random_range(0..500_000_000),
        });
    }
    for prompt in 0..prompts {
        let names = names(prompt, shared);
        for _ in 0..2 {
            let holder = upstream(rng.random_range(0..upstreams));
            hold(&mut view, &holder, &names);
        }
        let holder = store(rng.random_range(0..STORES));
        hold(&mut view, &holder, &names);
    }
    if shared {
        let names = names(0, true);
        for at in 0..upstreams {
            hold(&mut view, &upstream(at), &names[..SHARED_PIECES]);
        }
    }
    view
}

fn hold(view: &mut ClusterView, holder: &InstanceId, names: &[BlockName]) {
    for name in names {
        view.record_piece(holder, name);
    }
}

/// Prints the times for a number of candidate upstreams.
pub(crate) fn print(upstreams: usize) {
    let prompts = upstreams.clamp(500, 5_000);
    for shared in [false, true] {
        let mut rng = StdRng::seed_from_u64(7);
        let view = build(upstreams, prompts, shared, &mut rng);
        let prefix = if shared { "shared prefix" } else { "no shared prefix" };
        print_route(&view, &format!("{upstreams} candidates {PIECES} pieces {prefix}"), prompts, shared);
        if !shared {
            print_updates(view, upstreams, prompts);
        }
    }
}

fn print_route(view: &ClusterView, case: &str, prompts: usize, shared: bool) {
    let (service, own_zone) = (ServiceName::from("lyric-llm"), zone(0));
    let requests: Vec<BTreeMap<WeightVersion, Vec<BlockName>>> =
        (0..500).map(|at| BTreeMap::from([(VERSION, names(at % (prompts + 50), shared))])).collect();
    let policy = RoutePolicy {
        piece_tokens: PIECE_TOKENS,
        piece_bytes: 50_000_000,
        recompute_weight_us: 10.0,
        cross_zone_us: 1_000.0,
        prefill_during_restore: true,
        near_tie_factor: NEAR_TIE_FACTOR,
    };
    let mut rng = StdRng::seed_from_u64(11);
    print_times("route", case, 5_000, |at| {
        let request = RouteRequest {
            service: &service,
            zone: &own_zone,
            pieces: &requests[at % requests.len()],
            prompt_tokens: PIECES as u64 * PIECE_TOKENS + 300,
            pinned_version: None,
            excluded: &[],
            now_ms: 1_200,
        };
        choose(view, &request, &policy, rng.random())
    });
}

fn print_updates(mut view: ClusterView, upstreams: usize, prompts: usize) {
    let ids: Vec<InstanceId> = (0..upstreams).map(upstream).collect();
    let mut rng = StdRng::seed_from_u64(13);
    for snapshots in [false, true] {
        let case = format!("{upstreams} upstreams, snapshot in use {snapshots}");
        let mut kept = snapshots.then(|| view.clone());
        print_times("view load report", &case, 20_000, |at| {
            let id = &ids[rng.random_range(0..upstreams)];
            let report =
                LoadReport { at_ms: 1_000 + at as u64, queue_tokens: 7, prefill_tokens_per_s: 9_000 };
            view.record_report(id, report);
            kept = snapshots.then(|| view.clone());
        });
        print_times("view own dispatch", &case, 20_000, |at| {
            view.record_dispatch(&ids[rng.random_range(0..upstreams)], 30_000 + at as u64, 4_000);
            kept = snapshots.then(|| view.clone());
        });
        print_times("view peer load", &case, 20_000, |at| {
            let at_ms = 60_000 + at as u64;
            let load = PeerLoad { peer: "node-1".into(), since_ms: at_ms - 500, at_ms, tokens: 9_000 };
            view.record_peer_load(&ids[rng.random_range(0..upstreams)], load);
            kept = snapshots.then(|| view.clone());
        });
        let names: Vec<BlockName> = (0..500).flat_map(|at| names(prompts + at, false)).collect();
        print_times("view piece event", &case, 20_000, |at| {
            view.record_piece(&ids[rng.random_range(0..upstreams)], &names[at]);
            kept = snapshots.then(|| view.clone());
        });
        drop(kept);
    }
}
