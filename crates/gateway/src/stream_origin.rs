//! Keeps a stream at the software version that began it, also when its caller takes it up at another node.

use daisysill_core::{ids::SoftwareVersion, result_code::ResultCode, routing::CallKind};
use tokio::time::timeout_at;

use crate::{
    caller_request::{AttemptHistory, CallerRequest, SoftwareRequirement},
    exchange::UpstreamResponse,
    forward::Gateway,
    refusal::Refusal,
    upstreams::Upstream,
};

/// Retry-after of a stream that no upstream can go on with now; upstreams of its version may come back.
const NOT_RESUMABLE_RETRY_MS: u64 = 1_000;

impl Gateway {
    /// Returns the upstreams at which a request may run: for one that takes up a stream, those of the software version that
    /// began it.
    ///
    /// # Errors
    /// Refuses a stream whose origin is unknown, unless it can have begun at one version only.
    pub(crate) async fn software_requirement(
        &self,
        request: &CallerRequest,
        history: &AttemptHistory,
    ) -> Result<SoftwareRequirement, Refusal> {
        if !request.takes_up_stream() {
            return Ok(SoftwareRequirement::Any);
        }
        let first = request.headers.resumes.as_deref();
        // Without the ID no node knows the stream, but a control node may know that there is only one version.
        let stream = request.stream_key(first).unwrap_or_default();
        let question = self.cluster.stream_origin(stream, &request.service);
        let Some(software) = timeout_at(request.deadline, question).await.ok().flatten() else {
            let first = first.unwrap_or("without an ID");
            let reason = format!("no node in reach knows where the stream of request {first} began");
            // The entry node that passed the request on may have sent it to an upstream.
            return Err(if history.may_have_run > 0 {
                Refusal::new(ResultCode::UpstreamFailed, reason)
            } else {
                not_resumable(reason)
            });
        };
        Ok(SoftwareRequirement::Same(Some(software)))
    }

    /// Remembers the software version that begins a stream, here and at the control nodes.
    pub(crate) fn record_stream_origin(&self, request: &CallerRequest, response: &UpstreamResponse) {
        let may_resume = matches!(request.route.kind, CallKind::Stream { resumable: true });
        let stream = request.stream_key(request.headers.request_id.as_deref());
        let software = self.cluster.software_of(&response.in_flight.upstream.entry);
        if let (true, Some(stream), Some(software)) = (may_resume, stream, software) {
            self.cluster.record_stream_origin(stream, software);
        }
    }

    /// Returns whether a request may run at an upstream, by the version of its software.
    pub(crate) fn has_required_software(&self, upstream: &Upstream, history: &AttemptHistory) -> bool {
        match &history.software {
            SoftwareRequirement::Any => true,
            // Two upstreams of which it is unknown need not run the same one.
            SoftwareRequirement::Same(None) => false,
            SoftwareRequirement::Same(software) => self.cluster.software_of(&upstream.entry) == *software,
        }
    }
}

/// Returns the refusal of a stream for which no upstream of its software version accepts requests.
pub(crate) fn version_gone(software: Option<&SoftwareVersion>) -> Refusal {
    let name = software.map_or("unknown", SoftwareVersion::as_str);
    not_resumable(format!("no upstream of the stream's software version takes it: {name}"))
}

fn not_resumable(reason: String) -> Refusal {
    Refusal::not_run(ResultCode::StreamNotResumable, reason, NOT_RESUMABLE_RETRY_MS)
}
