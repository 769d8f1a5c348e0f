//! Commands that change the agreed state, and the replies to them.

use daisysill_core::{
    ids::{
        AttemptId, ChangeId, ConfigVersion, CustomerId, FencingNumber, InstanceId, ServiceName, WeightVersion,
    },
    rules::RuleFile,
    value_types,
};

use crate::api::VoterRefusal;

value_types! {
    /// A change to the agreed state.
    pub enum Command {
        /// Nothing; a new leader commits one to learn its commit position.
        Noop,
        /// Puts a set of rule files in force.
        PublishRules(PublishRules),
        /// Marks an upstream as draining or clears the mark.
        SetDrain(SetDrain),
        /// Sets the weight version that new requests of a service use.
        SetWeights(SetWeights),
        /// Takes or renews the lease of a control role.
        AcquireLease(AcquireLease),
        /// Claims a call that may not be repeated.
        Claim(Claim),
        /// Records the outcome of a claimed call.
        FinishClaim(FinishClaim),
        /// Reports that an upstream crashed while it ran requests.
        ReportCrash(ReportCrash),
        /// Asks to run a request that was part of a crash.
        StartSuspectRun(StartSuspectRun),
        /// Reports that such a run has ended.
        EndSuspectRun(EndSuspectRun),
        /// Puts a routing document in force unless one of the same or a higher version is.
        PublishDocument(PublishDocument),
        /// Names the weight version that a model is to be served with, unless a higher one was named.
        SetTargetVersion(SetTargetVersion),
    }

    /// Puts a set of rule files in force.
    pub struct PublishRules {
        /// Identifies the change when it is resent.
        pub change: ChangeId,
        /// The version the operator saw.
        pub base: ConfigVersion,
        /// The whole set of files.
        pub files: Vec<RuleFile>,
    }

    /// Puts a routing document in force.
    pub struct PublishDocument {
        /// The version that its author gave it; the highest is in force.
        pub version: u64,
        /// The document as its author sent it, already checked.
        pub body: Vec<u8>,
    }

    /// Names the weight version that a model is to be served with.
    pub struct SetTargetVersion {
        /// The model.
        pub model: String,
        /// The version.
        pub version: WeightVersion,
    }

    /// Marks an upstream as draining or clears the mark.
    pub struct SetDrain {
        /// Identifies the change when it is resent.
        pub change: ChangeId,
        /// The upstream.
        pub upstream: InstanceId,
        /// Whether it drains.
        pub draining: bool,
    }

    /// Sets the weight version that new requests of a service use.
    pub struct SetWeights {
        /// Identifies the change when it is resent.
        pub change: ChangeId,
        /// The version the operator saw in force.
        pub base: WeightVersion,
        /// The model service.
        pub service: ServiceName,
        /// The new version.
        pub version: WeightVersion,
    }

    /// Takes or renews the lease of a control role.
    pub struct AcquireLease {
        /// The role, for example `weights`.
        pub role: String,
        /// The instance that asks.
        pub holder: InstanceId,
        /// How long the lease lasts from its commit.
        pub duration_ms: u64,
    }

    /// What identifies a call that may not be repeated.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ClaimKey {
        /// The customer.
        pub customer: CustomerId,
        /// The service.
        pub service: ServiceName,
        /// The caller's idempotency key.
        pub key: String,
    }

    /// Claims a call that may not be repeated.
    pub struct Claim {
        /// What identifies the call.
        pub key: ClaimKey,
        /// Digest of method, path and body.
        pub body_digest: String,
        /// The attempt that asks; only it may send.
        pub attempt: AttemptId,
        /// The instance that asks.
        pub holder: InstanceId,
        /// Time after its commit in which the outcome is due; past it, the outcome counts as unknown.
        pub outcome_timeout_ms: u64,
        /// How long the claim is kept, and at least until its outcome is due.
        pub retention_ms: u64,
    }

    /// Records the outcome of a claimed call.
    pub struct FinishClaim {
        /// What identifies the call.
        pub key: ClaimKey,
        /// The attempt that held the claim.
        pub attempt: AttemptId,
        /// What became of it.
        pub outcome: ClaimOutcome,
    }

    /// What became of a claimed call.
    pub enum ClaimOutcome {
        /// It ran; resends get this answer.
        Answered(StoredResponse),
        /// No byte was sent, or the upstream refused it before executing it; a resend may claim anew.
        NotRun,
        /// It was sent and its outcome is unknown; it is never sent again.
        Unknown,
    }

    /// The answer of a call, kept for resends.
    pub struct StoredResponse {
        /// The HTTP status.
        pub status: u16,
        /// The value of the content type header.
        pub content_type: String,
        /// The body.
        pub body: Vec<u8>,
    }

    /// Reports that an upstream crashed while it ran requests.
    pub struct ReportCrash {
        /// The upstream.
        pub upstream: InstanceId,
        /// Distinguishes successive crashes of one upstream.
        pub incarnation: u64,
        /// Fingerprints of the requests that it was running.
        pub fingerprints: Vec<String>,
        /// How long a blocked fingerprint stays blocked.
        pub block_ms: u64,
    }

    /// Asks to run a request that was part of a crash.
    pub struct StartSuspectRun {
        /// The attempt that asks.
        pub attempt: AttemptId,
        /// The request's fingerprint.
        pub fingerprint: String,
        /// Where it would run.
        pub upstream: InstanceId,
        /// Time after which the run counts as ended if nobody reports its end.
        pub limit_ms: u64,
    }

    /// Reports that the run of a request that was part of a crash has ended.
    pub struct EndSuspectRun {
        /// The attempt that ran it.
        pub attempt: AttemptId,
        /// Whether the upstream completed the request, which clears it of the crashes so far.
        pub finished: bool,
        /// How long a request is blocked that is now the only one left to explain its crashes.
        pub block_ms: u64,
    }

    /// Why a request that was part of a crash must not run as asked.
    pub enum RunRefusal {
        /// Another request that was part of a crash runs at that upstream, and one of the two was part of two: a third
        /// crash could not tell them apart.
        UpstreamTaken,
        /// A run of the same request is in progress, or reports of its latest crash are still arriving.
        Wait,
        /// The request is blocked.
        Blocked,
    }

    /// The reply to a command.
    pub enum Reply {
        /// Done; nothing to tell.
        Done,
        /// The change is in force as of this version. A resent change gets the version of its first arrival.
        Accepted(ConfigVersion),
        /// Another change was accepted on the same base.
        Conflict(Conflict),
        /// The change id was used with other content.
        ChangeIdReused,
        /// The rule files have errors; one line each.
        RulesInvalid(Vec<String>),
        /// The lease was granted or renewed with this number.
        LeaseGranted(FencingNumber),
        /// The lease belongs to another holder.
        LeaseHeld(InstanceId),
        /// The claim was granted to the attempt that asked.
        Claimed,
        /// The call was claimed before.
        ClaimExists(ClaimState),
        /// The key was used with another body.
        KeyReused,
        /// The table of claims is full.
        ClaimsFull,
        /// The attempt ended without running its call before this copy of its claim arrived.
        AttemptEnded,
        /// The request that was part of a crash may run.
        RunPermitted,
        /// The request that was part of a crash must not run as asked.
        RunRefused(RunRefusal),
        /// The voters cannot be changed in this way now.
        VotersRefused(VoterRefusal),
    }

    /// Why a change was refused, and what is in force instead.
    pub struct Conflict {
        /// The version in force.
        pub current: ConfigVersion,
        /// The difference between the refused change and what is in force, one line each.
        pub difference: Vec<String>,
    }

    /// The state of a claim.
    pub enum ClaimState {
        /// Held by an attempt whose outcome is not due yet.
        InProgress,
        /// Finished with an answer.
        Answered(StoredResponse),
        /// The outcome is unknown.
        Unknown,
    }
}
