//! Prefixes of prompts under which upstreams crash: reports what runs show about them, and finds the blocked ones.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use daisysill_control::{
    command::{Command, PromptCrash, ReportPromptRun},
    crashes::suspect_digest,
    prompt_runs::part_name,
};
use daisysill_core::{
    block::{BlockName, BlockScope, piece_names},
    result_code::ResultCode,
};
use tokio::time::{Instant, timeout};

use crate::{crash::FailedAttempt, dispatch::Dispatch, refusal::Refusal, shared::Shared};

/// Number of pieces from which on only prefixes of twice the length before are named, which bounds the reports.
const FULLY_NAMED_PIECES: usize = 16;
/// Limit on committing the report of a run.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the keys of a prompt's prefixes, shortest first. Prompts share a key if they share the prefix and its
/// scope.
///
/// ```
/// use daisysill_core::{block::BlockScope, ids::WeightVersion};
/// use daisysill_node::prompt_runs::part_keys;
/// let (opera, service) = ("opera-a".into(), "lyric-llm".into());
/// let scope = BlockScope { customer: &opera, service: &service, adapter: "", weight_version: WeightVersion(0) };
/// let (one, other) = (part_keys(&scope, "la la le", 3), part_keys(&scope, "la la lu lo", 3));
/// assert_eq!(one, other[..2]);
/// ```
pub fn part_keys(scope: &BlockScope<'_>, prompt: &str, piece_bytes: usize) -> Vec<u64> {
    let is_named = |pieces: &usize| *pieces <= FULLY_NAMED_PIECES || pieces.is_power_of_two();
    let names = piece_names(scope, prompt, piece_bytes);
    let prefixes = (1..).zip(&names).filter(|(pieces, _)| is_named(pieces));
    prefixes.map(|(_, name)| part_key(name)).collect()
}

fn part_key(name: &BlockName) -> u64 {
    let digest = blake3::hash(name.as_str().as_bytes());
    digest.as_bytes().first_chunk().map_or(0, |first| u64::from_le_bytes(*first))
}

/// A block that a request falls under.
pub(crate) enum Block {
    /// The request itself crashed upstreams.
    Request,
    /// Upstreams crashed under prompts with this prefix.
    Prefix(u64),
}

impl Block {
    /// Returns the refusal of the request.
    pub(crate) fn refusal(&self) -> Refusal {
        Refusal::new(
            ResultCode::RequestBlocked,
            match self {
                Self::Request => "the request is blocked because it took down upstreams",
                Self::Prefix(_) => {
                    "the request is blocked because its prompt begins like others that took down upstreams"
                }
            },
        )
    }
}

/// Returns the block of a request: of itself, or of the first of its prompt's prefixes that is blocked.
pub(crate) fn find_block<'a>(
    blocked: &BTreeMap<String, u64>,
    fingerprint: &str,
    parts: impl FnOnce() -> &'a [u64],
    is_blocked: impl Fn(&str) -> bool,
) -> Option<Block> {
    if blocked.is_empty() {
        return None;
    }
    if is_blocked(fingerprint) {
        return Some(Block::Request);
    }
    parts().iter().copied().find(|part| is_blocked(&part_name(*part))).map(Block::Prefix)
}

impl Dispatch {
    /// Reports that the request completed if upstreams crashed under a prefix of its prompt, which this clears. A
    /// request that may have run before clears nothing: its last attempt only generated the rest.
    pub(crate) fn report_completion(&self) {
        let view = Arc::clone(&self.shared.cluster.view().borrow());
        if view.suspects.is_empty() || self.may_have_run {
            return;
        }
        let is_suspect = |part: &u64| view.suspects.contains(&suspect_digest(&part_name(*part)));
        let parts: Vec<u64> = self.parts().iter().copied().filter(is_suspect).collect();
        if parts.is_empty() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        actix_rt::spawn(async move { propose(&shared, ReportPromptRun { parts, crash: None }).await });
    }
}

impl FailedAttempt<'_> {
    /// Reports that the upstream crashed under the prefixes of the prompt; the connection broke at `broke_at`.
    pub(crate) async fn report_prompt(&self, shared: &Shared, broke_at: Instant) {
        if self.parts.is_empty() {
            return;
        }
        log::info!("{} crashed under a prompt with the prefixes {:x?}", self.upstream, self.parts);
        let crash = PromptCrash {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            fingerprint: u64::from(suspect_digest(self.fingerprint)),
            sent_ms_ago: millis(self.sent_at.elapsed()),
            broke_ms_ago: millis(broke_at.elapsed()),
        };
        propose(shared, ReportPromptRun { parts: self.parts.to_vec(), crash: Some(crash) }).await;
    }
}

async fn propose(shared: &Shared, report: ReportPromptRun) {
    match timeout(REPORT_TIMEOUT, shared.proposer.propose(Command::ReportPromptRun(report))).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log::warn!("report on the prefixes of a prompt not committed: {error}"),
        Err(_) => log::warn!("report on the prefixes of a prompt not committed within {REPORT_TIMEOUT:?}"),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
