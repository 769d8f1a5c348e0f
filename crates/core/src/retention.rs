//! Retention of idle prefixes: which tier holds them, which are exported first, and when they are restored.

use crate::{
    ids::CustomerId,
    num::{US_PER_S, whole},
    rules::RestRules,
};

pub use crate::return_history::ReturnHistory;

/// Period ahead for which the probability of a return is estimated.
const HORIZON_S: u64 = 600;
/// A prefix is exported once idle for the accelerator's time limit divided by this, so that eviction finds a copy.
const EXPORT_AGE_DIVISOR: u64 = 4;
/// Added to the expected time of a restore ahead of an announced return.
const RETURN_MARGIN_S: u64 = 2;

/// The memory that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheTier {
    /// In an engine's accelerator memory only.
    Accelerator,
    /// In a store's memory.
    StoreMemory,
    /// On a store's disk.
    StoreDisk,
}

/// Costs of a restore and of a recomputation for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreCosts {
    /// Bandwidth available to exports and restores; 0 counts as 1.
    pub link_bytes_per_s: u64,
    /// Prefill speed of an engine; 0 counts as 1.
    pub prefill_tokens_per_s: u64,
    /// Microseconds of time to first token that one recomputed token counts for.
    pub recompute_weight_us: u64,
}

/// A cached prefix that is not in use.
#[derive(Clone, Debug)]
pub struct IdlePrefix {
    /// The tier that holds it.
    pub tier: CacheTier,
    /// Seconds since its last use.
    pub idle_s: u64,
    /// Length in tokens.
    pub tokens: u64,
    /// Size of its KV cache.
    pub bytes: u64,
    /// How long earlier contexts of its customer were idle.
    pub history: ReturnHistory,
    /// Seconds until the announced return; `None` if none is announced.
    pub announced_in_s: Option<u64>,
}

/// What to do with a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetentionAction {
    /// Leave it where it is.
    Keep,
    /// Write it from accelerator memory to a store.
    Export,
    /// Move it from the store's memory to its disk.
    MoveToDisk,
    /// Delete it.
    Delete,
    /// Restore it to an engine.
    BringBack,
}

/// The decision on a prefix, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetentionDecision {
    /// What to do with the prefix.
    pub action: RetentionAction,
    /// One line for `daisysill explain`.
    pub reason: String,
}

impl IdlePrefix {
    /// Returns the expected gain of a copy in a store, in microseconds per byte.
    pub fn gain_per_byte(&self, costs: &RestoreCosts) -> f64 {
        self.gain_us(costs) * self.return_probability() / self.bytes.max(1) as f64
    }

    /// Returns the probability that the prefix is used within `HORIZON_S`; 1 if a return is announced.
    pub fn return_probability(&self) -> f64 {
        match self.announced_in_s {
            Some(_) => 1.0,
            None => self.history.return_probability(self.idle_s, HORIZON_S),
        }
    }

    /// Returns what a restore saves over recomputing the prefix; negative if recomputing is cheaper.
    fn gain_us(&self, costs: &RestoreCosts) -> f64 {
        let speed = costs.prefill_tokens_per_s.max(1) as f64;
        let compute_us = self.tokens as f64 / speed * US_PER_S;
        let weight_us = self.tokens as f64 * costs.recompute_weight_us as f64;
        compute_us + weight_us - self.restore_us(costs)
    }

    fn restore_us(&self, costs: &RestoreCosts) -> f64 {
        self.bytes as f64 / costs.link_bytes_per_s.max(1) as f64 * US_PER_S
    }
}

/// Returns whether a customer may announce a return; an empty list in the rule file allows every customer.
pub fn may_announce_return(rules: &RestRules, customer: &CustomerId) -> bool {
    rules.wake_customers.is_empty() || rules.wake_customers.contains(customer)
}

/// Decides what to do with a prefix now, by the time limits of the rules and by its announced return.
pub fn decide(prefix: &IdlePrefix, rules: &RestRules, costs: &RestoreCosts) -> RetentionDecision {
    if prefix.idle_s >= rules.disk_s {
        return decision(
            RetentionAction::Delete,
            prefix,
            &format!("the rule deletes after {} s", rules.disk_s),
        );
    }
    let (action, text) = match prefix.tier {
        CacheTier::Accelerator => in_accelerator(prefix, rules, costs),
        CacheTier::StoreMemory | CacheTier::StoreDisk if restore_is_due(prefix, costs) => {
            (RetentionAction::BringBack, "the announced return is due".to_owned())
        }
        CacheTier::StoreMemory if prefix.idle_s >= rules.memory_s => {
            (RetentionAction::MoveToDisk, format!("the rule keeps it in memory for {} s", rules.memory_s))
        }
        CacheTier::StoreMemory | CacheTier::StoreDisk => {
            (RetentionAction::Keep, "within the rule".to_owned())
        }
    };
    decision(action, prefix, &text)
}

fn in_accelerator(prefix: &IdlePrefix, rules: &RestRules, costs: &RestoreCosts) -> (RetentionAction, String) {
    let export_s = rules.accelerator_s / EXPORT_AGE_DIVISOR;
    if prefix.gain_us(costs) <= 0.0 {
        let overdue = prefix.idle_s >= rules.accelerator_s;
        let action = if overdue { RetentionAction::Delete } else { RetentionAction::Keep };
        return (action, "computing it again is no dearer than a restore".to_owned());
    }
    if prefix.idle_s >= export_s {
        return (
            RetentionAction::Export,
            format!("idle past {export_s} s and dearer to compute than to restore"),
        );
    }
    (RetentionAction::Keep, format!("idle less than {export_s} s"))
}

/// Returns whether a restore has to start now to be ready for an announced return.
fn restore_is_due(prefix: &IdlePrefix, costs: &RestoreCosts) -> bool {
    let restore_s = whole(prefix.restore_us(costs) / US_PER_S).saturating_add(1);
    prefix.announced_in_s.is_some_and(|in_s| in_s <= restore_s + RETURN_MARGIN_S)
}

/// Decides on a restore without an announced return: a stored prefix is restored if that is cheaper than recomputing
/// it and a return is likelier than not.
pub fn decide_early_restore(prefix: &IdlePrefix, costs: &RestoreCosts) -> RetentionDecision {
    let probability = prefix.return_probability();
    let gain_us = prefix.restore_us(costs) * probability;
    let cost_us = prefix.restore_us(costs) * (1.0 - probability);
    let stored = prefix.tier != CacheTier::Accelerator;
    let worth = stored && gain_us > cost_us && prefix.gain_us(costs) > 0.0;
    let action = if worth { RetentionAction::BringBack } else { RetentionAction::Keep };
    decision(action, prefix, "early restore if a return is likelier than not")
}

/// Returns the indices of the prefixes to export before their eviction, highest expected gain per byte first.
pub fn export_order(prefixes: &[IdlePrefix], costs: &RestoreCosts) -> Vec<usize> {
    let values: Vec<f64> = prefixes.iter().map(|prefix| prefix.gain_per_byte(costs)).collect();
    let mut order: Vec<usize> = (0..prefixes.len()).filter(|at| values[*at] > 0.0).collect();
    order.sort_by(|a, b| values[*b].total_cmp(&values[*a]).then(a.cmp(b)));
    order
}

fn decision(action: RetentionAction, prefix: &IdlePrefix, text: &str) -> RetentionDecision {
    let permille = whole(prefix.return_probability() * 1_000.0);
    let reason = format!(
        "{action:?}: {text}; idle {} s, {} tokens, return within {HORIZON_S} s with {permille} per mille",
        prefix.idle_s, prefix.tokens
    );
    RetentionDecision { action, reason }
}
