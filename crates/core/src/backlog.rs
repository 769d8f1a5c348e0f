//! Estimates the prefill queue of one upstream between two of its load reports.

use crate::ids::InstanceId;

/// Dispatches kept apart; the oldest are merged, so that the list stays bounded while no report arrives.
const MAX_DISPATCHES: usize = 64;

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the upstream took the report, on this node's clock; the time at which it was polled is a safe value.
    pub at_ms: u64,
    /// Tokens queued for prefill.
    pub queue_tokens: u64,
    /// Prefill speed; 0 counts as 1.
    pub prefill_tokens_per_s: u64,
}

/// Work that another node dispatched to an upstream since the last load report it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// The node that dispatched.
    pub peer: InstanceId,
    /// The time of the load report from which the other node counts.
    pub since_ms: u64,
    /// When the other node took the count.
    pub at_ms: u64,
    /// Prompt tokens dispatched between `since_ms` and `at_ms`.
    pub tokens: u64,
}

/// Inputs of the estimate of an upstream's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadBasis {
    /// The time of the load report; 0 before the first one.
    pub report_at_ms: u64,
    /// Tokens this node dispatched that the report does not cover.
    pub own_tokens: u64,
    /// Tokens other nodes dispatched that the report does not cover.
    pub peer_tokens: u64,
}

impl LoadBasis {
    /// Returns one line for `daisysill explain`.
    ///
    /// ```
    /// use daisysill_core::view::LoadBasis;
    /// let basis = LoadBasis { report_at_ms: 1_000, own_tokens: 300, peer_tokens: 0 };
    /// let line = "load report 250 ms old, 300 tokens dispatched since by this node, 0 by others";
    /// assert_eq!(basis.reason(1_250), line);
    /// ```
    pub fn reason(&self, now_ms: u64) -> String {
        let report = match self.report_at_ms {
            0 => "no load report".to_owned(),
            at_ms => format!("load report {} ms old", now_ms.saturating_sub(at_ms)),
        };
        let Self { own_tokens, peer_tokens, .. } = self;
        format!("{report}, {own_tokens} tokens dispatched since by this node, {peer_tokens} by others")
    }
}

#[derive(Clone, Copy, Debug)]
struct Dispatch {
    at_ms: u64,
    tokens: u64,
}

/// A load report and the dispatches since.
#[derive(Clone, Debug)]
pub(crate) struct Backlog {
    report: LoadReport,
    own: Vec<Dispatch>,
    peers: Vec<PeerLoad>,
}

impl Backlog {
    /// Starts without dispatches.
    pub(crate) fn new(report: LoadReport) -> Self {
        Self { report, own: Vec::new(), peers: Vec::new() }
    }

    /// Replaces the report unless it is older, and drops the dispatches that the new one covers.
    pub(crate) fn record_report(&mut self, report: LoadReport) {
        if report.at_ms < self.report.at_ms {
            return;
        }
        self.report = report;
        self.own.retain(|dispatch| dispatch.at_ms >= report.at_ms);
        self.peers.retain(|load| load.at_ms > report.at_ms);
    }

    /// Adds a dispatch of this node.
    pub(crate) fn record_dispatch(&mut self, at_ms: u64, tokens: u64) {
        if self.own.len() >= MAX_DISPATCHES {
            let oldest = self.own.remove(0);
            self.own[0].tokens += oldest.tokens;
        }
        self.own.push(Dispatch { at_ms, tokens });
    }

    /// Removes a dispatch of this node that was cancelled before it ran.
    pub(crate) fn retract_dispatch(&mut self, at_ms: u64, tokens: u64) {
        if let Some(at) = self.own.iter().position(|d| d.at_ms == at_ms && d.tokens == tokens) {
            self.own.remove(at);
        }
    }

    /// Replaces the load of another node; ignores one that the report covers.
    pub(crate) fn set_peer_load(&mut self, load: PeerLoad) {
        self.peers.retain(|known| known.peer != load.peer);
        if load.tokens > 0 && load.at_ms > self.report.at_ms {
            self.peers.push(load);
        }
    }

    /// Returns the prefill speed, at least 1.
    pub(crate) fn prefill_tokens_per_s(&self) -> u64 {
        self.report.prefill_tokens_per_s.max(1)
    }

    /// Returns the report's time and the tokens dispatched since.
    pub(crate) fn basis(&self) -> LoadBasis {
        LoadBasis {
            report_at_ms: self.report.at_ms,
            own_tokens: self.own.iter().map(|dispatch| dispatch.tokens).sum(),
            peer_tokens: self.peers.iter().map(|load| self.uncovered(load).tokens).sum(),
        }
    }

    /// Returns the queued tokens at the time of the last addition, and that time.
    ///
    /// Work drains at the prefill speed between additions.
    pub(crate) fn queued_tokens(&self) -> (f64, u64) {
        let mut added: Vec<Dispatch> = self.own.clone();
        added.extend(self.peers.iter().map(|load| self.uncovered(load)));
        added.sort_by_key(|dispatch| dispatch.at_ms);
        let speed_per_ms = self.prefill_tokens_per_s() as f64 / 1_000.0;
        let start = (self.report.queue_tokens as f64, self.report.at_ms);
        added.iter().fold(start, |(tokens, at_ms), dispatch| {
            let elapsed_ms = dispatch.at_ms.saturating_sub(at_ms);
            let left = (tokens - elapsed_ms as f64 * speed_per_ms).max(0.0);
            (left + dispatch.tokens as f64, dispatch.at_ms.max(at_ms))
        })
    }

    /// Returns the part of a peer's load that this node's report does not cover yet.
    ///
    /// A peer that counts from an older report includes work that the newer one covers; its dispatches are taken
    /// to be spread evenly over the counted time.
    fn uncovered(&self, load: &PeerLoad) -> Dispatch {
        let counted_ms = load.at_ms.saturating_sub(load.since_ms);
        let uncovered_ms = load.at_ms.saturating_sub(self.report.at_ms);
        let tokens = if load.since_ms >= self.report.at_ms || counted_ms == 0 {
            load.tokens
        } else {
            load.tokens * uncovered_ms / counted_ms
        };
        let at_ms = load.since_ms.max(self.report.at_ms).midpoint(load.at_ms);
        Dispatch { at_ms, tokens }
    }
}
