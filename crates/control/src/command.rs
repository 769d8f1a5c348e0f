//! Commands that change the agreed state, and the replies to them. Both are encoded by position with postcard.

use daisysill_core::{
    ids::{
        AttemptId, ChangeId, ConfigVersion, CustomerId, FencingNumber, InstanceId, ServiceName, WeightVersion,
    },
    rules::RuleFile,
    value_types,
};

use crate::api::VoterRefusal;

value_types! {
    /// A change to the agreed state, committed as a log entry.
    pub enum Command {
        /// No operation. A new leader appends one, since only an entry of its own term commits earlier ones; later ones
        /// advance log time.
        Noop,
        /// Replaces the rule files in force.
        PublishRules(PublishRules),
        /// Marks an upstream as draining, or clears the mark.
        SetDrain(SetDrain),
        /// Sets the weight version for new requests of a service.
        SetWeights(SetWeights),
        /// Acquires or renews the lease of a control role.
        AcquireLease(AcquireLease),
        /// Claims a non-idempotent request, so that only one attempt sends it.
        Claim(Claim),
        /// Records the outcome of a claimed request.
        FinishClaim(FinishClaim),
        /// Reports the requests that an upstream was running when it crashed.
        ReportCrash(ReportCrash),
        /// Asks for permission to run a suspect request.
        StartSuspectRun(StartSuspectRun),
        /// Reports that the run of a suspect request has ended.
        EndSuspectRun(EndSuspectRun),
        /// Replaces the routing document, unless the one in force has the same or a higher version.
        PublishDocument(PublishDocument),
        /// Sets the target weight version of a model, unless it is the same or higher already.
        SetTargetVersion(SetTargetVersion),
        /// Reports what a run showed about the parts of its prompt.
        ReportPromptRun(ReportPromptRun),
    }

    /// Replaces the rule files in force.
    pub struct PublishRules {
        /// Makes a resend idempotent.
        pub change: ChangeId,
        /// The rules version that the change is based on; any other in force is a conflict.
        pub base: ConfigVersion,
        /// All rule files; a file that is missing here is removed.
        pub files: Vec<RuleFile>,
    }

    /// Replaces the routing document.
    pub struct PublishDocument {
        /// Version assigned by the author; the highest is in force.
        pub version: u64,
        /// The document as received. It was validated before the proposal and is not parsed here.
        pub body: Vec<u8>,
    }

    /// Sets the target weight version of a model.
    pub struct SetTargetVersion {
        /// Model name.
        pub model: String,
        /// New target version; ignored unless higher than the present one.
        pub version: WeightVersion,
    }

    /// Marks an upstream as draining, or clears the mark.
    pub struct SetDrain {
        /// Makes a resend idempotent.
        pub change: ChangeId,
        /// The upstream; it need not be known.
        pub upstream: InstanceId,
        /// `true` sets the mark, `false` clears it.
        pub draining: bool,
    }

    /// Sets the weight version for new requests of a service.
    pub struct SetWeights {
        /// Makes a resend idempotent.
        pub change: ChangeId,
        /// The version that the change is based on, 0 if none was set; any other in force is a conflict.
        pub base: WeightVersion,
        /// Model service.
        pub service: ServiceName,
        /// New version; may be lower than the present one.
        pub version: WeightVersion,
    }

    /// Acquires or renews the lease of a control role.
    pub struct AcquireLease {
        /// Name of the role, for example `weights`.
        pub role: String,
        /// The requesting instance.
        pub holder: InstanceId,
        /// Duration of the lease in log time, from the time stamped on its entry.
        pub duration_ms: u64,
    }

    /// Identifies a non-idempotent request.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimKey {
        /// Customer that the caller acts for.
        pub customer: CustomerId,
        /// Requested service.
        pub service: ServiceName,
        /// Idempotency key given by the caller; unique for a customer and service.
        pub key: String,
    }

    /// Claims a non-idempotent request.
    pub struct Claim {
        /// The claimed request.
        pub key: ClaimKey,
        /// Digest of method, path and body; tells a resend from a reused key.
        pub body_digest: String,
        /// The requesting attempt; only it may send the request.
        pub attempt: AttemptId,
        /// The requesting instance.
        pub holder: InstanceId,
        /// Duration in log time after which a missing outcome counts as unknown.
        pub outcome_timeout_ms: u64,
        /// Duration in log time for which the claim is retained; at least until its outcome is due.
        pub retention_ms: u64,
    }

    /// Records the outcome of a claimed request.
    pub struct FinishClaim {
        /// The claimed request.
        pub key: ClaimKey,
        /// The attempt that holds the claim; an outcome from any other is ignored.
        pub attempt: AttemptId,
        /// Result of the attempt.
        pub outcome: ClaimOutcome,
    }

    /// Outcome of a claimed request.
    pub enum ClaimOutcome {
        /// The request ran; resends get this response.
        Answered(StoredResponse),
        /// No byte was sent, or the upstream refused the request before running it; a resend may claim again.
        NotRun,
        /// The request was sent and its result is unknown; it is not sent again while the claim is retained.
        Unknown,
    }

    /// HTTP response of a claimed request, kept for resends.
    pub struct StoredResponse {
        /// Status code.
        pub status: u16,
        /// Value of the `content-type` header; empty if it was absent.
        pub content_type: String,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// Reports the requests that an upstream was running when it crashed.
    pub struct ReportCrash {
        /// The crashed upstream.
        pub upstream: InstanceId,
        /// Incarnation that crashed; reports of the same one are merged.
        pub incarnation: u64,
        /// Fingerprints of the running requests, as far as the reporting node knows them.
        pub fingerprints: Vec<String>,
        /// How long a request is blocked as the cause, in log time from the first report.
        pub block_ms: u64,
    }

    /// Reports what a run showed about the parts of its prompt.
    pub struct ReportPromptRun {
        /// Keys of the parts, in the order in which the prompt has them; equal for equal parts of the same customer.
        pub parts: Vec<u64>,
        /// The crash that broke the run; `None` if the request completed, which clears its parts.
        pub crash: Option<PromptCrash>,
    }

    /// A crash of an upstream during a run.
    pub struct PromptCrash {
        /// The crashed upstream.
        pub upstream: InstanceId,
        /// Incarnation that crashed.
        pub incarnation: u64,
        /// Equal for identical requests.
        pub fingerprint: u64,
        /// Time from the start of the run until the report.
        pub sent_ms_ago: u64,
        /// Time from the break of the connection until the report.
        pub broke_ms_ago: u64,
    }

    /// Asks for permission to run a suspect request.
    pub struct StartSuspectRun {
        /// Identifies the run; a resend for a run in progress is permitted again.
        pub attempt: AttemptId,
        /// Fingerprint of the request.
        pub fingerprint: String,
        /// The upstream chosen for the run.
        pub upstream: InstanceId,
        /// Duration in log time after which the run counts as ended without a report.
        pub limit_ms: u64,
    }

    /// Reports that the run of a suspect request has ended.
    pub struct EndSuspectRun {
        /// The attempt that the run was permitted to.
        pub attempt: AttemptId,
        /// Whether the upstream completed the request, which clears it of the crashes before the run.
        pub finished: bool,
        /// How long another request is blocked that becomes the only possible cause of its crashes.
        pub block_ms: u64,
    }

    /// Why a suspect request must not run now or at the chosen upstream.
    pub enum RunRefusal {
        /// Another suspect request runs at that upstream, and one of the two was part of two crashes: a third crash
        /// could not tell them apart.
        UpstreamTaken,
        /// A run of the same request is in progress, its crashes are still being reported, or too many runs are in
        /// progress.
        Wait,
        /// The request is blocked as the cause of crashes.
        Blocked,
    }

    /// The reply to a command.
    pub enum Reply {
        /// Applied, without a result.
        Done,
        /// The change took effect in this version. A resend gets the version of the first copy.
        Accepted(ConfigVersion),
        /// Another change was accepted on the same base version.
        Conflict(Conflict),
        /// The change id was used with other content.
        ChangeIdReused,
        /// The rule files have errors, one line each.
        RulesInvalid(Vec<String>),
        /// The lease was granted or renewed with this fencing number.
        LeaseGranted(FencingNumber),
        /// This instance holds the lease.
        LeaseHeld(InstanceId),
        /// The claim was granted to the requesting attempt.
        Claimed,
        /// The request was claimed before.
        ClaimExists(ClaimState),
        /// The idempotency key was used with another method, path or body.
        KeyReused,
        /// A limit is reached: on the number of claims or on the bytes of stored responses.
        ClaimsFull,
        /// The attempt ended without running its request before this copy of its claim arrived.
        AttemptEnded,
        /// The suspect request may run.
        RunPermitted,
        /// The suspect request must not run.
        RunRefused(RunRefusal),
        /// The change of the voter set is not possible now.
        VotersRefused(VoterRefusal),
    }

    /// Why a change was refused, and what is in force instead.
    pub struct Conflict {
        /// Version in force, of the rules or, for weights, of the whole configuration.
        pub current: ConfigVersion,
        /// Differences between the refused change and what is in force, one line each.
        pub difference: Vec<String>,
    }

    /// State of a claim, as reported to a resend.
    pub enum ClaimState {
        /// Held by an attempt whose outcome is not due yet.
        InProgress,
        /// Finished with a stored response.
        Answered(StoredResponse),
        /// The request may have run; its outcome is unknown.
        Unknown,
    }
}
