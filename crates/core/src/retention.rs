//! Context that has gone quiet: where it rests, what is exported first, and when it is brought back.

use crate::{
    ids::CustomerId,
    num::{US_PER_S, whole},
    rules::RestRules,
};

pub use crate::return_history::ReturnHistory;

/// Seconds ahead for which a return is weighed.
const HORIZON_S: u64 = 600;
/// Part of the accelerator's age limit after which a prefix is exported, so that eviction finds a copy.
const EXPORT_AGE_DIVISOR: u64 = 4;
/// Seconds added to the time a restore is expected to take before an announced return.
const RETURN_MARGIN_S: u64 = 2;

/// Where a prefix rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheTier {
    /// In an engine's accelerator memory only.
    Accelerator,
    /// In a store's memory.
    StoreMemory,
    /// On a store's disk.
    StoreDisk,
}

/// The costs of a service's pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreCosts {
    /// Bytes per second that exports and restores get.
    pub link_bytes_per_s: u64,
    /// Prefill speed of an engine.
    pub prefill_tokens_per_s: u64,
    /// Microseconds of time to first token that one recomputed token counts for.
    pub recompute_weight_us: u64,
}

/// A prefix that has gone quiet.
#[derive(Clone, Debug)]
pub struct IdlePrefix {
    /// Where it rests.
    pub tier: CacheTier,
    /// Seconds since its last use.
    pub idle_s: u64,
    /// Its tokens.
    pub tokens: u64,
    /// Its bytes.
    pub bytes: u64,
    /// How long its customer's earlier contexts rested.
    pub history: ReturnHistory,
    /// Seconds until an announced return.
    pub announced_in_s: Option<u64>,
}

/// What to do with a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetentionAction {
    /// Leave it.
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

/// An action with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetentionDecision {
    /// The action.
    pub action: RetentionAction,
    /// One line for `daisysill explain`.
    pub reason: String,
}

impl IdlePrefix {
    /// Returns the expected gain of having the prefix in a store, in microseconds for each byte stored.
    pub fn value(&self, costs: &RestoreCosts) -> f64 {
        self.gain_us(costs) * self.return_probability() / self.bytes.max(1) as f64
    }

    /// Returns how likely the prefix is used within the horizon.
    pub fn return_probability(&self) -> f64 {
        match self.announced_in_s {
            Some(_) => 1.0,
            None => self.history.return_probability(self.idle_s, HORIZON_S),
        }
    }

    /// Returns what a restore saves against computing the prefix again; negative if it saves nothing.
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

/// Decides what to do with a prefix now.
pub fn decide(context: &IdlePrefix, rules: &RestRules, costs: &RestoreCosts) -> RetentionDecision {
    if context.idle_s >= rules.disk_s {
        return decision(
            RetentionAction::Delete,
            context,
            &format!("the rule deletes after {} s", rules.disk_s),
        );
    }
    let (action, text) = match context.tier {
        CacheTier::Accelerator => in_accelerator(context, rules, costs),
        CacheTier::StoreMemory | CacheTier::StoreDisk if returns_soon(context, costs) => {
            (RetentionAction::BringBack, "the announced return is due".to_owned())
        }
        CacheTier::StoreMemory if context.idle_s >= rules.memory_s => {
            (RetentionAction::MoveToDisk, format!("the rule keeps it in memory for {} s", rules.memory_s))
        }
        CacheTier::StoreMemory | CacheTier::StoreDisk => {
            (RetentionAction::Keep, "within the rule".to_owned())
        }
    };
    decision(action, context, &text)
}

fn in_accelerator(
    context: &IdlePrefix,
    rules: &RestRules,
    costs: &RestoreCosts,
) -> (RetentionAction, String) {
    let export_s = rules.accelerator_s / EXPORT_AGE_DIVISOR;
    if context.gain_us(costs) <= 0.0 {
        let overdue = context.idle_s >= rules.accelerator_s;
        let action = if overdue { RetentionAction::Delete } else { RetentionAction::Keep };
        return (action, "computing it again is no dearer than a restore".to_owned());
    }
    if context.idle_s >= export_s {
        return (
            RetentionAction::Export,
            format!("idle past {export_s} s and dearer to compute than to restore"),
        );
    }
    (RetentionAction::Keep, format!("idle less than {export_s} s"))
}

/// Returns whether a restore has to start now to be ready for an announced return.
fn returns_soon(context: &IdlePrefix, costs: &RestoreCosts) -> bool {
    let restore_s = whole(context.restore_us(costs) / US_PER_S).saturating_add(1);
    context.announced_in_s.is_some_and(|in_s| in_s <= restore_s + RETURN_MARGIN_S)
}

/// Decides on an early restore without an announcement: the expected gain must exceed the link time it takes.
pub fn decide_early_restore(context: &IdlePrefix, costs: &RestoreCosts) -> RetentionDecision {
    let likelihood = context.return_probability();
    let gain_us = context.restore_us(costs) * likelihood;
    let cost_us = context.restore_us(costs) * (1.0 - likelihood);
    let stored = context.tier != CacheTier::Accelerator;
    let worth = stored && gain_us > cost_us && context.gain_us(costs) > 0.0;
    let action = if worth { RetentionAction::BringBack } else { RetentionAction::Keep };
    decision(action, context, "early restore if a return is likelier than not")
}

/// Orders prefixes for export before eviction takes them: highest expected gain for each byte first.
pub fn export_order(contexts: &[IdlePrefix], costs: &RestoreCosts) -> Vec<usize> {
    let values: Vec<f64> = contexts.iter().map(|context| context.value(costs)).collect();
    let mut order: Vec<usize> = (0..contexts.len()).filter(|at| values[*at] > 0.0).collect();
    order.sort_by(|a, b| values[*b].total_cmp(&values[*a]).then(a.cmp(b)));
    order
}

fn decision(action: RetentionAction, context: &IdlePrefix, text: &str) -> RetentionDecision {
    let permille = whole(context.return_probability() * 1_000.0);
    let reason = format!(
        "{action:?}: {text}; idle {} s, {} tokens, return within {HORIZON_S} s with {permille} per mille",
        context.idle_s, context.tokens
    );
    RetentionDecision { action, reason }
}
