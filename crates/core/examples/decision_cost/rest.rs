//! Simulation of the tokens that returning prompts recompute, by the order in which contexts were exported.

use daisysill_core::retention::{CacheTier, IdlePrefix, RestoreCosts, ReturnHistory, export_order};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CONTEXTS: usize = 300;
const DRAWS: u64 = 200;
const BYTES_PER_TOKEN: u64 = 2_500;
const RETURN_WITHIN_S: u64 = 600;
const COSTS: RestoreCosts =
    RestoreCosts { link_bytes_per_s: 100_000_000, prefill_tokens_per_s: 10_000, recompute_weight_us: 50 };

/// Return behaviour of one kind of context.
#[derive(Clone, Copy)]
struct Kind {
    /// Contexts return after half to twice this time.
    typical_s: u64,
    /// Percent of contexts that never return.
    lost_percent: u64,
}

const KINDS: &[Kind] = &[
    Kind { typical_s: 120, lost_percent: 20 },
    Kind { typical_s: 900, lost_percent: 30 },
    Kind { typical_s: 7_200, lost_percent: 10 },
    Kind { typical_s: 300, lost_percent: 95 },
];

impl Kind {
    fn draw(self, rng: &mut StdRng) -> Option<u64> {
        let rest_s = rng.random_range(self.typical_s / 2..self.typical_s * 2);
        (rng.random_range(0..100) >= self.lost_percent).then_some(rest_s)
    }

    fn history(self, rng: &mut StdRng) -> ReturnHistory {
        let mut history = ReturnHistory::default();
        for _ in 0..50 {
            match self.draw(rng) {
                Some(rest_s) => history.record_return(rest_s),
                None => history.record_deletion(),
            }
        }
        history
    }
}

/// Prints the percentage of returning tokens that were not exported if the link can carry part of all bytes.
pub(crate) fn print() {
    for export_percent in [10, 25, 50] {
        let (mut by_age, mut by_value, mut returning) = (0, 0, 0);
        for seed in 0..DRAWS {
            let mut rng = StdRng::seed_from_u64(seed);
            let histories: Vec<ReturnHistory> = KINDS.iter().map(|kind| kind.history(&mut rng)).collect();
            let (contexts, returns) = draw(&histories, &mut rng);
            let mut oldest: Vec<usize> = (0..contexts.len()).collect();
            oldest.sort_by_key(|at| u64::MAX - contexts[*at].idle_s);
            returning += recomputed(&[], &contexts, &returns, 0);
            by_age += recomputed(&oldest, &contexts, &returns, export_percent);
            by_value += recomputed(&export_order(&contexts, &COSTS), &contexts, &returns, export_percent);
        }
        let percent = |tokens: u64| tokens as f64 * 100.0 / returning as f64;
        println!("{export_percent}, {:.1}, {:.1}", percent(by_age), percent(by_value));
    }
}

/// Generates contexts that have not returned yet, and whether each returns within `RETURN_WITHIN_S`.
fn draw(histories: &[ReturnHistory], rng: &mut StdRng) -> (Vec<IdlePrefix>, Vec<bool>) {
    let (mut contexts, mut returns) = (Vec::new(), Vec::new());
    while contexts.len() < CONTEXTS {
        let kind = rng.random_range(0..KINDS.len());
        let idle_s = rng.random_range(10..1_200);
        let rest_s = KINDS[kind].draw(rng);
        if rest_s.is_some_and(|rest_s| rest_s <= idle_s) {
            continue;
        }
        let tokens = rng.random_range(2_000..80_000);
        contexts.push(IdlePrefix {
            tier: CacheTier::Accelerator,
            idle_s,
            tokens,
            bytes: tokens * BYTES_PER_TOKEN,
            history: histories[kind].clone(),
            announced_in_s: None,
        });
        returns.push(rest_s.is_some_and(|rest_s| rest_s <= idle_s + RETURN_WITHIN_S));
    }
    (contexts, returns)
}

/// Returns the tokens of returning contexts that exports in the given order do not cover.
fn recomputed(order: &[usize], contexts: &[IdlePrefix], returns: &[bool], export_percent: u64) -> u64 {
    let mut bytes_left = contexts.iter().map(|context| context.bytes).sum::<u64>() * export_percent / 100;
    let mut exported = vec![false; contexts.len()];
    for at in order {
        if contexts[*at].bytes > bytes_left {
            break;
        }
        bytes_left -= contexts[*at].bytes;
        exported[*at] = true;
    }
    let not_exported = (0..contexts.len()).filter(|at| returns[*at] && !exported[*at]);
    not_exported.map(|at| contexts[at].tokens).sum()
}
