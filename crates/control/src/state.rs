//! The agreed state and how commands change it. Deterministic: equal logs give equal states.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use daisysill_core::{
    ids::{ChangeId, ConfigVersion, FencingNumber, InstanceId, ServiceName, WeightVersion},
    rules::{RuleFile, RuleSet},
    value_types,
};

use crate::{
    claims::{ClaimRecord, claim_list},
    command::{
        AcquireLease, ClaimKey, Command, Conflict, PublishDocument, PublishRules, Reply, SetDrain,
        SetTargetVersion, SetWeights,
    },
    crashes::Crashes,
};

/// Change ids remembered, so that a resent change is recognised.
const MAX_CHANGES: usize = 10_000;

value_types! {
    /// What every node follows: everything agreed except claims and leases.
    #[derive(Default)]
    pub struct ConfigView {
        /// The log index of the last change.
        pub version: ConfigVersion,
        /// The version of the rule files: the log index of their publication.
        pub rules_version: ConfigVersion,
        /// The rule files in force.
        pub rules: Vec<RuleFile>,
        /// Upstreams with a drain mark.
        pub draining: BTreeSet<InstanceId>,
        /// The weight version that new requests use, by service.
        pub weights: BTreeMap<ServiceName, WeightVersion>,
        /// Blocked request fingerprints and when the block ends, in log time. An entry goes when its block ends.
        pub blocked: BTreeMap<String, u64>,
        /// Digests of the fingerprints of requests that were part of a crash and may have caused it. A node asks
        /// before it runs one of them.
        pub suspects: BTreeSet<u32>,
        /// The routing document in force.
        pub document: Option<Arc<RoutingDocument>>,
        /// The weight version named last, by model.
        pub target_versions: BTreeMap<String, WeightVersion>,
        /// Log time of the last change: at that time, a block had `blocked[..] - log_time_ms` left.
        pub log_time_ms: u64,
    }

    /// A routing document as its author sent it.
    pub struct RoutingDocument {
        /// The version that its author gave it.
        pub version: u64,
        /// The content.
        pub body: Vec<u8>,
    }

    /// A lease as granted.
    pub struct LeaseRecord {
        /// The holder.
        pub holder: InstanceId,
        /// The number its orders carry.
        pub fencing: FencingNumber,
        /// When it ends, in log time.
        pub expires_ms: u64,
    }

    /// An accepted change, kept so that a resend gets the same reply.
    pub struct AcceptedChange {
        /// Digest of its content.
        pub digest: String,
        /// The version it created.
        pub version: ConfigVersion,
    }

    /// Everything that a majority has agreed on.
    #[derive(Default)]
    pub struct AgreedState {
        /// Index of the last applied entry.
        pub applied_index: u64,
        /// Log time: the leader's clock at the last applied entry; it never goes back.
        pub now_ms: u64,
        /// What every node follows.
        pub config: Arc<ConfigView>,
        /// Claims by key.
        #[serde(with = "claim_list")]
        pub claims: BTreeMap<ClaimKey, ClaimRecord>,
        /// The claims by the time at which they are dropped, in log time.
        pub claim_expiries: BTreeSet<(u64, ClaimKey)>,
        /// Bytes of the stored answers.
        pub stored_response_bytes: u64,
        /// The latest time, in log time, at which the outcome of a claim is due.
        pub last_outcome_due_ms: u64,
        /// Digests of attempts that ended without running their call; a late copy of their claim is refused.
        pub ended_attempts: BTreeSet<[u8; 32]>,
        /// The same attempts, oldest first, and when each is forgotten, in log time.
        pub ended_attempt_order: VecDeque<(u64, [u8; 32])>,
        /// Leases by role.
        pub leases: BTreeMap<String, LeaseRecord>,
        /// Accepted changes by id.
        pub changes: BTreeMap<ChangeId, AcceptedChange>,
        /// The ids of the accepted changes, oldest first.
        pub change_order: VecDeque<ChangeId>,
        /// Crashed upstreams, and the requests blocked for them.
        pub crashes: Crashes,
    }
}

impl AgreedState {
    /// Applies the command of the log entry at `index`, which its leader stamped with `now_ms`.
    ///
    /// ```
    /// use daisysill_control::{command::{Command, Reply, SetDrain}, state::AgreedState};
    /// use daisysill_core::ids::ConfigVersion;
    /// let mut state = AgreedState::default();
    /// let drain = SetDrain { change: "c1".into(), upstream: "lyric-1".into(), draining: true };
    /// let reply = state.apply(1, 10, &Command::SetDrain(drain));
    /// assert_eq!(reply, Reply::Accepted(ConfigVersion(1)));
    /// assert!(state.config.draining.contains(&"lyric-1".into()));
    /// ```
    pub fn apply(&mut self, index: u64, now_ms: u64, command: &Command) -> Reply {
        self.applied_index = index;
        self.now_ms = self.now_ms.max(now_ms);
        self.drop_expired_claims();
        self.drop_ended_attempts();
        self.evaluate_crashes();
        let reply = match command {
            Command::Noop => Reply::Done,
            Command::PublishRules(publish) => self.publish_rules(publish),
            Command::SetDrain(drain) => self.set_drain(drain),
            Command::SetWeights(weights) => self.set_weights(weights),
            Command::AcquireLease(request) => self.acquire_lease(request),
            Command::Claim(claim) => self.claim(claim),
            Command::FinishClaim(finish) => self.finish_claim(finish),
            Command::ReportCrash(report) => self.report_crash(report),
            Command::StartSuspectRun(start) => self.start_suspect_run(start),
            Command::EndSuspectRun(end) => self.end_suspect_run(end),
            Command::PublishDocument(publish) => self.publish_document(publish),
            Command::SetTargetVersion(target) => self.set_target_version(target),
        };
        if self.config.version == ConfigVersion(index) {
            Arc::make_mut(&mut self.config).log_time_ms = self.now_ms;
        }
        reply
    }

    /// Returns whether something changes with log time alone, given the leader's present log time.
    pub(crate) fn needs_log_time(&self, time_ms: u64) -> bool {
        self.now_ms < self.last_outcome_due_ms
            || self.crashes.next_change_ms().is_some_and(|due_ms| due_ms <= time_ms)
    }

    fn publish_rules(&mut self, publish: &PublishRules) -> Reply {
        let digest = content_digest(publish.files.iter().flat_map(|f| [f.name.as_str(), f.text.as_str()]));
        if let Some(reply) = self.resent_reply(&publish.change, &digest) {
            return reply;
        }
        if publish.base != self.config.rules_version {
            return Reply::Conflict(Conflict {
                current: self.config.rules_version,
                difference: difference(&self.config.rules, &publish.files),
            });
        }
        if let Err(errors) = RuleSet::parse(&publish.files) {
            return Reply::RulesInvalid(errors.iter().map(ToString::to_string).collect());
        }
        let version = ConfigVersion(self.applied_index);
        let config = Arc::make_mut(&mut self.config);
        config.rules.clone_from(&publish.files);
        config.rules_version = version;
        self.accept_change(&publish.change, digest)
    }

    /// A document that is not newer is answered like an accepted one: whoever sent it has been overtaken.
    fn publish_document(&mut self, publish: &PublishDocument) -> Reply {
        let held = self.config.document.as_ref().map(|document| document.version);
        if held.is_none_or(|held| publish.version > held) {
            let document = RoutingDocument { version: publish.version, body: publish.body.clone() };
            let config = Arc::make_mut(&mut self.config);
            config.document = Some(Arc::new(document));
            config.version = ConfigVersion(self.applied_index);
        }
        Reply::Done
    }

    fn set_target_version(&mut self, target: &SetTargetVersion) -> Reply {
        let held = self.config.target_versions.get(&target.model).copied();
        if held.is_none_or(|held| target.version > held) {
            let config = Arc::make_mut(&mut self.config);
            config.target_versions.insert(target.model.clone(), target.version);
            config.version = ConfigVersion(self.applied_index);
        }
        Reply::Done
    }

    fn set_drain(&mut self, drain: &SetDrain) -> Reply {
        let digest = content_digest([drain.upstream.as_str(), if drain.draining { "1" } else { "0" }]);
        if let Some(reply) = self.resent_reply(&drain.change, &digest) {
            return reply;
        }
        let config = Arc::make_mut(&mut self.config);
        if drain.draining {
            config.draining.insert(drain.upstream.clone());
        } else {
            config.draining.remove(&drain.upstream);
        }
        self.accept_change(&drain.change, digest)
    }

    fn set_weights(&mut self, weights: &SetWeights) -> Reply {
        let version = weights.version.to_string();
        let digest = content_digest([weights.service.as_str(), &version]);
        if let Some(reply) = self.resent_reply(&weights.change, &digest) {
            return reply;
        }
        let current = self.config.weights.get(&weights.service).copied().unwrap_or_default();
        if weights.base != current {
            let line = format!("{}: weight version {current} is in force", weights.service);
            return Reply::Conflict(Conflict { current: self.config.version, difference: vec![line] });
        }
        let config = Arc::make_mut(&mut self.config);
        config.weights.insert(weights.service.clone(), weights.version);
        self.accept_change(&weights.change, digest)
    }

    fn acquire_lease(&mut self, request: &AcquireLease) -> Reply {
        let held = self.leases.get(&request.role);
        let expires_ms = self.now_ms.saturating_add(request.duration_ms);
        if let Some(lease) = held.filter(|lease| lease.expires_ms > self.now_ms)
            && lease.holder != request.holder
        {
            return Reply::LeaseHeld(lease.holder.clone());
        }
        // A renewal keeps its number; any other grant, also to the same holder after expiry, gets a new one.
        let renewed = held.filter(|l| l.holder == request.holder && l.expires_ms > self.now_ms);
        let fencing = match (renewed, held) {
            (Some(lease), _) => lease.fencing,
            (None, Some(lease)) => lease.fencing.next(),
            (None, None) => FencingNumber(1),
        };
        let lease = LeaseRecord { holder: request.holder.clone(), fencing, expires_ms };
        self.leases.insert(request.role.clone(), lease);
        Reply::LeaseGranted(fencing)
    }

    fn resent_reply(&self, change: &ChangeId, digest: &str) -> Option<Reply> {
        let accepted = self.changes.get(change)?;
        if accepted.digest == digest {
            Some(Reply::Accepted(accepted.version))
        } else {
            Some(Reply::ChangeIdReused)
        }
    }

    fn accept_change(&mut self, change: &ChangeId, digest: String) -> Reply {
        let version = ConfigVersion(self.applied_index);
        Arc::make_mut(&mut self.config).version = version;
        self.changes.insert(change.clone(), AcceptedChange { digest, version });
        self.change_order.push_back(change.clone());
        while self.change_order.len() > MAX_CHANGES
            && let Some(oldest) = self.change_order.pop_front()
        {
            self.changes.remove(&oldest);
        }
        Reply::Accepted(version)
    }
}

fn content_digest<'a>(parts: impl IntoIterator<Item = &'a str>) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// Lists the files that differ between two sets of rule files, with the lines that differ.
fn difference(in_force: &[RuleFile], refused: &[RuleFile]) -> Vec<String> {
    let by_name = |files: &[RuleFile]| -> BTreeMap<String, String> {
        files.iter().map(|file| (file.name.clone(), file.text.clone())).collect()
    };
    let (old, new) = (by_name(in_force), by_name(refused));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut lines = Vec::new();
    for name in names {
        let old_lines: Vec<&str> = old.get(name).map_or("", String::as_str).lines().collect();
        let new_lines: Vec<&str> = new.get(name).map_or("", String::as_str).lines().collect();
        let only_old = old_lines.iter().filter(|line| !new_lines.contains(line));
        lines.extend(only_old.map(|line| format!("{name}: in force: {line}")));
        let only_new = new_lines.iter().filter(|line| !old_lines.contains(line));
        lines.extend(only_new.map(|line| format!("{name}: refused: {line}")));
    }
    lines
}
