//! The replicated state machine: the state that the voters agree on, and how commands change it. Deterministic: equal
//! logs give equal states.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use daisysill_core::{
    crashing_parts::CrashingParts,
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

/// Maximum accepted changes remembered to recognise resends; the oldest are dropped.
const MAX_CHANGES: usize = 10_000;
/// Time for which the time of a target version is kept after another version has replaced it. Far longer than a rollout.
const REPLACED_TARGET_MS: u64 = 600_000;

value_types! {
    /// The configuration that every node follows; the part of the agreed state that is sent to all nodes.
    #[derive(Default)]
    pub struct ConfigView {
        /// Log index of the last change.
        pub version: ConfigVersion,
        /// Log index at which the rule files were published.
        pub rules_version: ConfigVersion,
        /// Rule files in force.
        pub rules: Vec<RuleFile>,
        /// Upstreams marked as draining, known or not.
        pub draining: BTreeSet<InstanceId>,
        /// Weight version for new requests, by service.
        pub weights: BTreeMap<ServiceName, WeightVersion>,
        /// Fingerprints of blocked requests, with the end of the block in log time. Entries are removed when they
        /// expire.
        pub blocked: BTreeMap<String, u64>,
        /// Digests of the fingerprints of suspect requests. A node asks for permission before it runs one.
        pub suspects: BTreeSet<u32>,
        /// Routing document in force; `None` before the first.
        pub document: Option<Arc<RoutingDocument>>,
        /// Target weight version, by model.
        pub target_versions: BTreeMap<String, WeightVersion>,
        /// Log time of the last change, from which the rest of a block is computed: `blocked[..] - log_time_ms`.
        pub log_time_ms: u64,
    }

    /// A routing document; its content is opaque to the agreed state.
    pub struct RoutingDocument {
        /// Version assigned by the author.
        pub version: u64,
        /// Content as received.
        pub body: Vec<u8>,
    }

    /// The last granted lease of a control role, expired or not.
    pub struct LeaseRecord {
        /// Holder of the lease.
        pub holder: InstanceId,
        /// Fencing number that the holder's orders carry.
        pub fencing: FencingNumber,
        /// Expiry in log time.
        pub expires_ms: u64,
    }

    /// An accepted change, kept so that a resend gets the same reply.
    pub struct AcceptedChange {
        /// Digest of the content; tells a resend from a reused id.
        pub digest: String,
        /// Configuration version that the change created.
        pub version: ConfigVersion,
    }

    /// The state of the replicated state machine.
    #[derive(Default)]
    pub struct AgreedState {
        /// Index of the last applied log entry.
        pub applied_index: u64,
        /// Log time: the highest time stamped on an applied entry; it never goes back.
        pub now_ms: u64,
        /// Configuration that every node follows.
        pub config: Arc<ConfigView>,
        /// Claims by key, including expired ones not dropped yet.
        #[serde(with = "claim_list")]
        pub claims: BTreeMap<ClaimKey, ClaimRecord>,
        /// Claims ordered by expiry, in log time.
        pub claim_expiries: BTreeSet<(u64, ClaimKey)>,
        /// Total bytes of the stored responses.
        pub stored_response_bytes: u64,
        /// Log time by which every outcome is due; log time must advance until then.
        pub last_outcome_due_ms: u64,
        /// Digests of attempts that ended without running their request; a late copy of their claim is refused.
        pub ended_attempts: BTreeSet<[u8; 32]>,
        /// The same attempts, oldest first, with their expiry in log time.
        pub ended_attempt_order: VecDeque<(u64, [u8; 32])>,
        /// Leases by control role.
        pub leases: BTreeMap<String, LeaseRecord>,
        /// Recent accepted changes by id.
        pub changes: BTreeMap<ChangeId, AcceptedChange>,
        /// Ids of the accepted changes, oldest first.
        pub change_order: VecDeque<ChangeId>,
        /// Crashes of upstreams, and suspect and blocked requests.
        pub crashes: Crashes,
        /// Crashes by part of the prompt.
        pub crashing_parts: CrashingParts,
        /// Log time at which each target version was set, by model; without those that were replaced long ago.
        pub target_times_ms: BTreeMap<String, BTreeMap<WeightVersion, u64>>,
    }
}

impl AgreedState {
    /// Decodes the state of a snapshot. In one of an earlier build the last field is missing, or the last two; they are
    /// empty then.
    ///
    /// # Errors
    /// Fails if the bytes are no encoded state.
    ///
    /// ```
    /// use daisysill_control::state::AgreedState;
    /// # fn main() -> Result<(), postcard::Error> {
    /// let bytes = postcard::to_stdvec(&AgreedState::default())?;
    /// assert_eq!(AgreedState::decode(&bytes)?, AgreedState::default());
    /// # Ok(())
    /// # }
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let no_times = postcard::to_stdvec(&BTreeMap::<String, BTreeMap<WeightVersion, u64>>::new())?;
        let no_crashes = postcard::to_stdvec(&CrashingParts::default())?;
        let decode_with = |missing: &[&[u8]]| postcard::from_bytes(&[bytes, &missing.concat()].concat());
        decode_with(&[])
            .or_else(|_| decode_with(&[&no_times]))
            .or_else(|_| decode_with(&[&no_crashes, &no_times]))
    }

    /// Returns the target versions that were set, each with its model and the time from that change to the last applied
    /// entry, in ms of log time. A version set before these times were recorded counts from the beginning of the log.
    ///
    /// ```
    /// use daisysill_control::{command::{Command, SetTargetVersion}, state::AgreedState};
    /// use daisysill_core::ids::WeightVersion;
    /// let mut state = AgreedState::default();
    /// let set = |version| {
    ///     Command::SetTargetVersion(SetTargetVersion { model: "m".to_owned(), version: WeightVersion(version) })
    /// };
    /// state.apply(1, 500, &set(2));
    /// state.apply(2, 800, &set(3));
    /// let ages: Vec<_> = state.target_ages_ms().collect();
    /// assert_eq!(ages, [("m", WeightVersion(2), 300), ("m", WeightVersion(3), 0)]);
    /// ```
    pub fn target_ages_ms(&self) -> impl Iterator<Item = (&str, WeightVersion, u64)> {
        let timed = self.target_times_ms.iter().flat_map(|(model, times)| {
            times.iter().map(move |(version, set_ms)| (model.as_str(), *version, *set_ms))
        });
        let untimed = self.config.target_versions.iter();
        let untimed = untimed.filter(|(model, _)| !self.target_times_ms.contains_key(*model));
        let all = timed.chain(untimed.map(|(model, version)| (model.as_str(), *version, 0)));
        all.map(|(model, version, set_ms)| (model, version, self.now_ms.saturating_sub(set_ms)))
    }

    /// Applies the command of the log entry at `index`; `now_ms` is the log time stamped on it.
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
            Command::ReportPromptRun(report) => self.report_prompt_run(report),
        };
        if self.config.version == ConfigVersion(index) {
            Arc::make_mut(&mut self.config).log_time_ms = self.now_ms;
        }
        reply
    }

    /// Returns whether the state changes with log time alone: an outcome is not due yet, or at `time_ms` a crash has
    /// to be evaluated or a block ends.
    pub(crate) fn needs_log_time(&self, time_ms: u64) -> bool {
        self.now_ms < self.last_outcome_due_ms
            || self.next_crash_change_ms().is_some_and(|due_ms| due_ms <= time_ms)
    }

    /// Returns whether a crash has to be evaluated or a block ends after `from_ms`, and at `to_ms` at the latest.
    pub(crate) fn changes_between(&self, from_ms: u64, to_ms: u64) -> bool {
        self.next_crash_change_ms().is_some_and(|due_ms| from_ms < due_ms && due_ms <= to_ms)
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

    /// Accepts a document that is not newer without effect, so that resends and late copies get the same reply.
    fn publish_document(&mut self, publish: &PublishDocument) -> Reply {
        let present = self.config.document.as_ref().map(|document| document.version);
        if present.is_none_or(|present| publish.version > present) {
            let document = RoutingDocument { version: publish.version, body: publish.body.clone() };
            let config = Arc::make_mut(&mut self.config);
            config.document = Some(Arc::new(document));
            config.version = ConfigVersion(self.applied_index);
        }
        Reply::Done
    }

    fn set_target_version(&mut self, target: &SetTargetVersion) -> Reply {
        let present = self.config.target_versions.get(&target.model).copied();
        if present.is_none_or(|present| target.version > present) {
            let config = Arc::make_mut(&mut self.config);
            config.target_versions.insert(target.model.clone(), target.version);
            config.version = ConfigVersion(self.applied_index);
            let times = self.target_times_ms.entry(target.model.clone()).or_default();
            times.insert(target.version, self.now_ms);
            drop_replaced(times, self.now_ms);
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
        let previous = self.leases.get(&request.role);
        let expires_ms = self.now_ms.saturating_add(request.duration_ms);
        if let Some(lease) = previous.filter(|lease| lease.expires_ms > self.now_ms)
            && lease.holder != request.holder
        {
            return Reply::LeaseHeld(lease.holder.clone());
        }
        // A renewal keeps its fencing number; any other grant, even to the same holder after expiry, gets a new one.
        let renewed = previous.filter(|l| l.holder == request.holder && l.expires_ms > self.now_ms);
        let fencing = match (renewed, previous) {
            (Some(lease), _) => lease.fencing,
            (None, Some(lease)) => lease.fencing.next(),
            (None, None) => FencingNumber(1),
        };
        let lease = LeaseRecord { holder: request.holder.clone(), fencing, expires_ms };
        self.leases.insert(request.role.clone(), lease);
        Reply::LeaseGranted(fencing)
    }

    /// Returns the reply to a change whose id is known: the first reply, or an error if the content differs.
    fn resent_reply(&self, change: &ChangeId, digest: &str) -> Option<Reply> {
        let accepted = self.changes.get(change)?;
        if accepted.digest == digest {
            Some(Reply::Accepted(accepted.version))
        } else {
            Some(Reply::ChangeIdReused)
        }
    }

    /// Records a change that has just been applied, as a new configuration version.
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

/// Drops target versions that were replaced long ago: engines still older than those are judged by the next one.
fn drop_replaced(times_ms: &mut BTreeMap<WeightVersion, u64>, now_ms: u64) {
    while let Some((_, replaced_ms)) = times_ms.iter().nth(1)
        && now_ms.saturating_sub(*replaced_ms) > REPLACED_TARGET_MS
    {
        times_ms.pop_first();
    }
}

/// Hashes the parts with their lengths, so that moving a boundary changes the digest.
fn content_digest<'a>(parts: impl IntoIterator<Item = &'a str>) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// Returns the lines that only one of the two sets of rule files has, each with its file's name.
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
