//! Claims of non-idempotent requests, as part of the agreed state: at most one attempt sends a claimed request, and
//! resends get its stored response.

use daisysill_core::{
    ids::{AttemptId, InstanceId},
    value_types,
};

use crate::{
    command::{Claim, ClaimKey, ClaimOutcome, ClaimState, FinishClaim, Reply, StoredResponse},
    state::AgreedState,
};

/// Maximum claims retained; each may hold a stored response.
pub const MAX_CLAIMS: usize = 200_000;
/// Maximum bytes of stored responses, so that a replica fits into the memory of a small instance.
pub const MAX_RESPONSE_BYTES: u64 = 32 * 1024 * 1024;
/// Maximum expired claims dropped while one entry is applied, so that no entry takes long. More than one, so that
/// claims are dropped faster than they are created.
pub const MAX_DROPPED_CLAIMS: usize = 8;
/// Time for which an attempt that ended without running its request is remembered, so that a late copy of its claim is
/// refused. A proposal is retried for 5 s; the rest covers copies delayed by a suspended process.
pub const ENDED_ATTEMPT_MS: u64 = 600_000;
/// Maximum ended attempts remembered. A copy of a claim that arrives after its attempt was dropped holds the key until
/// the claim expires; it never causes a send.
const MAX_ENDED_ATTEMPTS: usize = 16_384;

value_types! {
    /// A claim in the agreed state.
    pub struct ClaimRecord {
        /// Digest of method, path and body.
        pub body_digest: String,
        /// The attempt that may send the request.
        pub attempt: AttemptId,
        /// The instance of that attempt.
        pub holder: InstanceId,
        /// Last recorded state; `state_at` adds the outcome timeout.
        pub state: ClaimState,
        /// Log time from which a missing outcome counts as unknown.
        pub outcome_due_ms: u64,
        /// Expiry in log time.
        pub expires_ms: u64,
    }
}

impl ClaimRecord {
    /// Returns the state at a log time; a claim without an outcome becomes `Unknown` once it is due.
    pub fn state_at(&self, now_ms: u64) -> ClaimState {
        if self.state == ClaimState::InProgress && now_ms >= self.outcome_due_ms {
            return ClaimState::Unknown;
        }
        self.state.clone()
    }

    fn is_in_progress(&self, now_ms: u64) -> bool {
        self.state == ClaimState::InProgress && now_ms < self.outcome_due_ms
    }
}

/// Serializes the claims as a list of pairs, since their keys are not strings.
pub(crate) mod claim_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{ClaimKey, ClaimRecord};

    pub(crate) fn serialize<S: Serializer>(
        claims: &BTreeMap<ClaimKey, ClaimRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        claims.iter().collect::<Vec<_>>().serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<ClaimKey, ClaimRecord>, D::Error> {
        Vec::<(ClaimKey, ClaimRecord)>::deserialize(deserializer).map(|pairs| pairs.into_iter().collect())
    }
}

impl AgreedState {
    pub(crate) fn claim(&mut self, claim: &Claim) -> Reply {
        let now_ms = self.now_ms;
        let existing = self.claims.get(&claim.key).filter(|record| record.expires_ms > now_ms);
        if let Some(record) = existing {
            return match () {
                () if record.body_digest != claim.body_digest => Reply::KeyReused,
                // The claim itself was resent after a lost reply.
                () if record.attempt == claim.attempt && record.is_in_progress(now_ms) => Reply::Claimed,
                () => Reply::ClaimExists(record.state_at(now_ms)),
            };
        }
        if self.ended_attempts.contains(&attempt_digest(&claim.key, &claim.attempt)) {
            return Reply::AttemptEnded;
        }
        // An expired claim of the key that is not dropped yet is replaced.
        self.remove_claim(&claim.key);
        if self.claims.len() >= MAX_CLAIMS || self.stored_response_bytes >= MAX_RESPONSE_BYTES {
            return Reply::ClaimsFull;
        }
        let outcome_due_ms = now_ms.saturating_add(claim.outcome_timeout_ms);
        // A claim dropped while its request may still be sent would let the request run twice.
        let expires_ms = now_ms.saturating_add(claim.retention_ms).max(outcome_due_ms);
        self.last_outcome_due_ms = self.last_outcome_due_ms.max(outcome_due_ms);
        let record = ClaimRecord {
            body_digest: claim.body_digest.clone(),
            attempt: claim.attempt.clone(),
            holder: claim.holder.clone(),
            state: ClaimState::InProgress,
            outcome_due_ms,
            expires_ms,
        };
        self.claim_expiries.insert((expires_ms, claim.key.clone()));
        self.claims.insert(claim.key.clone(), record);
        Reply::Claimed
    }

    pub(crate) fn finish_claim(&mut self, finish: &FinishClaim) -> Reply {
        if finish.outcome == ClaimOutcome::NotRun {
            // Even without a claim: a copy of it may be committed after this entry.
            self.record_ended_attempt(attempt_digest(&finish.key, &finish.attempt));
        }
        let Some(record) = self.claims.get_mut(&finish.key) else { return Reply::Done };
        if record.attempt != finish.attempt || record.state != ClaimState::InProgress {
            return Reply::Done;
        }
        match &finish.outcome {
            ClaimOutcome::Answered(response)
                if self.stored_response_bytes + response_bytes(response) > MAX_RESPONSE_BYTES =>
            {
                // The request ran and must not run again, but its response cannot be stored.
                record.state = ClaimState::Unknown;
                return Reply::ClaimsFull;
            }
            ClaimOutcome::Answered(response) => {
                self.stored_response_bytes += response_bytes(response);
                record.state = ClaimState::Answered(response.clone());
            }
            ClaimOutcome::Unknown => record.state = ClaimState::Unknown,
            ClaimOutcome::NotRun => {
                self.remove_claim(&finish.key);
            }
        }
        Reply::Done
    }

    /// Drops expired claims, at most [`MAX_DROPPED_CLAIMS`].
    pub(crate) fn drop_expired_claims(&mut self) {
        for _ in 0..MAX_DROPPED_CLAIMS {
            let Some((_, key)) = self.claim_expiries.first().filter(|(until, _)| *until <= self.now_ms)
            else {
                return;
            };
            let key = key.clone();
            self.remove_claim(&key);
        }
    }

    fn remove_claim(&mut self, key: &ClaimKey) {
        let Some(record) = self.claims.remove(key) else { return };
        self.claim_expiries.remove(&(record.expires_ms, key.clone()));
        if let ClaimState::Answered(response) = &record.state {
            self.stored_response_bytes -= response_bytes(response);
        }
    }

    fn record_ended_attempt(&mut self, attempt: [u8; 32]) {
        if !self.ended_attempts.insert(attempt) {
            return;
        }
        self.ended_attempt_order.push_back((self.now_ms.saturating_add(ENDED_ATTEMPT_MS), attempt));
        if self.ended_attempt_order.len() > MAX_ENDED_ATTEMPTS {
            self.drop_oldest_attempt();
        }
    }

    /// Drops expired records of ended attempts, at most [`MAX_DROPPED_CLAIMS`].
    pub(crate) fn drop_ended_attempts(&mut self) {
        for _ in 0..MAX_DROPPED_CLAIMS {
            if self.ended_attempt_order.front().is_none_or(|(until_ms, _)| *until_ms > self.now_ms) {
                return;
            }
            self.drop_oldest_attempt();
        }
    }

    fn drop_oldest_attempt(&mut self) {
        if let Some((_, attempt)) = self.ended_attempt_order.pop_front() {
            self.ended_attempts.remove(&attempt);
        }
    }
}

/// Returns a digest of an attempt and its key; its size does not depend on the length of the key.
fn attempt_digest(key: &ClaimKey, attempt: &AttemptId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [key.customer.as_str(), key.service.as_str(), &key.key, attempt.as_str()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().into()
}

/// Returns the bytes that a stored response counts for: content type, body and a fixed overhead.
fn response_bytes(response: &StoredResponse) -> u64 {
    const FIXED_BYTES: usize = 64;
    (FIXED_BYTES + response.content_type.len() + response.body.len()) as u64
}
