//! Simulation of the tokens that returning prompts recompute, by the order in which prefixes were exported.

use daisysill_core::retention::{CacheTier, IdlePrefix, RestoreCosts, ReturnHistory, export_order};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const PREFIXES: usize = 300;
const DRAWS: u64 = 200;
const BYTES_PER_TOKEN: u64 = 2_500;
const RETURN_WITHIN_S: u64 = 600;
const COSTS: RestoreCosts =
    RestoreCosts { link_bytes_per_s: 100_000_000, prefill_tokens_per_s: 10_000, recompute_weight_us: 50 };

/// Return behaviour of one kind of prefix.
#[derive(Clone, Copy)]
struct Kind {
    /// Contexts return after half to twice this time.
    typical_s: u64,
    /// Percent of prefixes that never return.
    lost_percent: u64,
}

const KINDS: &[Kind] = &[
    Kind { typical_s: 120, lost_percent: 20 },
    Kind { typical_s: 900, lost_percent: 30 },
    Kind { typical_s: 7_200, lost_percent: 10 },
    Kind { typical_s: 300, lost_percent: 95 },
];

impl Kind {
    /// Returns the time until a return, `None` for a prefix that never returns.
    fn draw(self, rng: &mut StdRng) -> Option<u64> {
        let return_after_s = rng.random_range(self.typical_s / 2..self.typical_s * 2);
        (rng.random_range(0..100) >= self.lost_percent).then_some(return_after_s)
    }

    /// Returns a history of 50 random returns.
    fn history(self, rng: &mut StdRng) -> ReturnHistory {
        let mut history = ReturnHistory::default();
        for _ in 0..50 {
            match self.draw(rng) {
                Some(return_after_s) => history.record_return(return_after_s),
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
            let (prefixes, returns) = random_prefixes(&histories, &mut rng);
            let mut oldest: Vec<usize> = (0..prefixes.len()).collect();
            oldest.sort_by_key(|at| u64::MAX - prefixes[*at].idle_s);
            returning += recomputed(&[], &prefixes, &returns, 0);
            by_age += recomputed(&oldest, &prefixes, &returns, export_percent);
            by_value += recomputed(&export_order(&prefixes, &COSTS), &prefixes, &returns, export_percent);
        }
        let percent = |tokens: u64| tokens as f64 * 100.0 / returning as f64;
        println!("{export_percent}, {:.1}, {:.1}", percent(by_age), percent(by_value));
    }
}

/// Generates prefixes that have not returned yet, and whether each returns within `RETURN_WITHIN_S`.
fn random_prefixes(histories: &[ReturnHistory], rng: &mut StdRng) -> (Vec<IdlePrefix>, Vec<bool>) {
    let (mut prefixes, mut returns) = (Vec::new(), Vec::new());
    while prefixes.len() < PREFIXES {
        let kind = rng.random_range(0..KINDS.len());
        let idle_s = rng.random_range(10..1_200);
        let return_after_s = KINDS[kind].draw(rng);
        if return_after_s.is_some_and(|return_after_s| return_after_s <= idle_s) {
            continue;
        }
        let tokens = rng.random_range(2_000..80_000);
        prefixes.push(IdlePrefix {
            tier: CacheTier::Accelerator,
            idle_s,
            tokens,
            bytes: tokens * BYTES_PER_TOKEN,
            history: histories[kind].clone(),
            announced_in_s: None,
        });
        returns.push(return_after_s.is_some_and(|return_after_s| return_after_s <= idle_s + RETURN_WITHIN_S));
    }
    (prefixes, returns)
}

/// Returns the tokens of returning prefixes that exports in the given order do not cover.
fn recomputed(order: &[usize], prefixes: &[IdlePrefix], returns: &[bool], export_percent: u64) -> u64 {
    let mut bytes_left = prefixes.iter().map(|prefix| prefix.bytes).sum::<u64>() * export_percent / 100;
    let mut exported = vec![false; prefixes.len()];
    for at in order {
        if prefixes[*at].bytes > bytes_left {
            break;
        }
        bytes_left -= prefixes[*at].bytes;
        exported[*at] = true;
    }
    let not_exported = (0..prefixes.len()).filter(|at| returns[*at] && !exported[*at]);
    not_exported.map(|at| prefixes[at].tokens).sum()
}
