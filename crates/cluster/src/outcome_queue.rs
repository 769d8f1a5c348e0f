//! What runs of requests showed about the parts of their prompts, on its way to the leader.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisysill_core::crashing_parts::{BrokenRun, CrashedProcess};
use daisysill_wire::peer::{BrokenPrompt, PromptOutcome, UpstreamCrash};

use crate::clock::BootInstant;

/// Maximum number of outcomes queued for the next report.
const MAX_QUEUED: usize = 1_024;

/// The outcome of a run, with its times on this node's clock.
#[derive(Clone, Debug)]
pub(crate) struct TimedOutcome {
    parts: Vec<u64>,
    broken: Option<TimedBreak>,
}

#[derive(Clone, Debug)]
struct TimedBreak {
    crash: UpstreamCrash,
    sent_at: BootInstant,
    broke_at: BootInstant,
}

impl TimedOutcome {
    /// A request with this fingerprint or these parts completed.
    pub(crate) fn completed(keys: Vec<u64>) -> Self {
        Self { parts: keys, broken: None }
    }

    /// A request with these parts broke when its upstream crashed.
    pub(crate) fn broken(
        parts: Vec<u64>,
        crash: UpstreamCrash,
        sent_at: BootInstant,
        broke_at: BootInstant,
    ) -> Self {
        Self { parts, broken: Some(TimedBreak { crash, sent_at, broke_at }) }
    }

    /// Decodes an outcome that another node reports now.
    pub(crate) fn received(outcome: PromptOutcome) -> Self {
        let now = BootInstant::now();
        let before = |ms_ago: u64| now.checked_sub(Duration::from_millis(ms_ago)).unwrap_or(now);
        let broken = outcome.broken.map(|broken| TimedBreak {
            crash: broken.crash,
            sent_at: before(broken.sent_ms_ago),
            broke_at: before(broken.broke_ms_ago),
        });
        Self { parts: outcome.parts, broken }
    }

    /// Encodes the outcome to be reported now.
    fn to_message(&self) -> PromptOutcome {
        let broken = self.broken.as_ref().map(|broken| BrokenPrompt {
            crash: broken.crash.clone(),
            sent_ms_ago: millis(broken.sent_at.elapsed()),
            broke_ms_ago: millis(broken.broke_at.elapsed()),
        });
        PromptOutcome { parts: self.parts.clone(), broken }
    }

    /// Returns the hashes of the parts.
    pub(crate) fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// Returns the broken run, with times in milliseconds since `start`; `None` if the request completed.
    pub(crate) fn broken_run(&self, start: BootInstant) -> Option<BrokenRun> {
        let broken = self.broken.as_ref()?;
        let UpstreamCrash { fingerprint, upstream, started_unix_ms } = broken.crash.clone();
        Some(BrokenRun {
            process: CrashedProcess { upstream, started_unix_ms },
            fingerprint,
            sent_ms: millis(broken.sent_at.since(start)),
            broke_ms: millis(broken.broke_at.since(start)),
        })
    }
}

/// Outcomes to be reported, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutcomeQueue(Arc<Mutex<Vec<TimedOutcome>>>);

impl OutcomeQueue {
    /// Queues outcomes; drops the latest if the queue is full.
    pub(crate) fn add(&self, outcomes: impl IntoIterator<Item = TimedOutcome>) {
        let mut waiting = self.lock();
        let room = MAX_QUEUED.saturating_sub(waiting.len());
        waiting.extend(outcomes.into_iter().take(room));
    }

    /// Returns whether there is something to report.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Takes all outcomes, as values and as the message that reports them now.
    pub(crate) fn take(&self) -> (Vec<TimedOutcome>, Vec<PromptOutcome>) {
        let outcomes = std::mem::take(&mut *self.lock());
        let message = outcomes.iter().map(TimedOutcome::to_message).collect();
        (outcomes, message)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedOutcome>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
