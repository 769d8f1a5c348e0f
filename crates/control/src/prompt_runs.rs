//! Parts of prompts under which upstreams crash, as part of the agreed state. Prompts that crash upstreams because of a
//! part that they share are all different, so that none of them is blocked by its own crashes.

use std::collections::{BTreeMap, BTreeSet};

use daisysill_core::crashing_parts::{BrokenRun, CRASHES_TO_BLOCK, CrashedProcess};

use crate::{
    command::{PromptCrash, Reply, ReportPromptRun},
    crashes::suspect_digest,
    state::AgreedState,
};

/// Maximum parts of a report; further ones are ignored.
const MAX_PARTS_OF_REPORT: usize = 32;
/// Maximum suspect parts in the configuration, those under most crashes first.
const MAX_SUSPECT_PARTS: usize = 512;

/// Returns the name by which the configuration knows a part of a prompt among the blocked and suspect requests.
///
/// ```
/// use daisysill_control::prompt_runs::part_name;
/// assert_eq!(part_name(10), "part-000000000000000a");
/// ```
pub fn part_name(part: u64) -> String {
    format!("part-{part:016x}")
}

impl AgreedState {
    pub(crate) fn report_prompt_run(&mut self, report: &ReportPromptRun) -> Reply {
        self.crashing_parts.expire(self.now_ms);
        let parts = &report.parts[..report.parts.len().min(MAX_PARTS_OF_REPORT)];
        match &report.crash {
            Some(crash) => self.crashing_parts.record_crash(parts, &broken_run(crash, self.now_ms)),
            None => self.crashing_parts.record_completion(parts),
        }
        self.update_config();
        Reply::Done
    }

    /// Returns the names of the blocked parts, with the end of each block in log time.
    pub(crate) fn blocked_parts(&self) -> BTreeMap<String, u64> {
        let counts = self.crashing_parts.counts().into_iter();
        let blocked = counts.filter(|(_, count)| *count >= CRASHES_TO_BLOCK);
        blocked
            .filter_map(|(part, _)| Some((part_name(part), self.crashing_parts.expiry_of_ms(part)?)))
            .collect()
    }

    /// Returns the digests of the parts under which upstreams crashed, blocked or not.
    pub(crate) fn suspect_parts(&self) -> BTreeSet<u32> {
        let mut counts: Vec<(u64, u32)> = self.crashing_parts.counts().into_iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts.iter().take(MAX_SUSPECT_PARTS).map(|(part, _)| suspect_digest(&part_name(*part))).collect()
    }
}

fn broken_run(crash: &PromptCrash, now_ms: u64) -> BrokenRun {
    BrokenRun {
        process: CrashedProcess { upstream: crash.upstream.clone(), started_unix_ms: crash.incarnation },
        fingerprint: crash.fingerprint,
        sent_ms: now_ms.saturating_sub(crash.sent_ms_ago),
        broke_ms: now_ms.saturating_sub(crash.broke_ms_ago),
    }
}
