//! Stored and transmitted values keep their encoding, so that a node reads the data folder and the peer messages of
//! an earlier build. The codec is positional: a field or variant that changes its place is read as another one. The
//! files in `encoded/` hold the bytes that commit 5960756 wrote, in hexadecimal.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fmt::Debug;

use daisysill_control::{
    VoterChange,
    command::{
        AcquireLease, Claim, ClaimKey, ClaimOutcome, Command, EndSuspectRun, FinishClaim, PromptCrash,
        PublishDocument, PublishRules, Reply, ReportCrash, ReportPromptRun, SetDrain, SetTargetVersion,
        SetWeights, StartSuspectRun, StoredResponse,
    },
    entry::{DiskId, Entry, HardState, Payload, Position, Snapshot, VoterSet},
    state::{AgreedState, RoutingDocument},
};
use daisysill_core::{
    block::BlockDescriptor,
    ids::{ConfigVersion, WeightVersion},
    origin_log::ProcessId,
    place_queue::{PlaceCandidate, PlaceEnd},
    rules::RuleFile,
};
use daisysill_wire::peer::{
    BlockLocation, ColdReply, ColdUpstream, ConfigDelta, ConfigUpdate, ControlNode, DispatchCount,
    EntryNodesQuestion, FollowReply, ForwardError, Heartbeat, HeartbeatEntry, HeldReply, ObserveReply,
    ObserveRequest, PeerRequest, PeerResponse, PermitGrant, PermitGrants, PermitRequest, PermitRequests,
    PlaceAnswer, PlaceRelease, PlaceRequest, PublishedUpstreams, RelayReply, RelayReport, ReportEntry,
    ReportedOrigin, SoftReport, Spread, StoredPart, StoredPartsUpdate, StreamOrigin, TargetAge,
    UpstreamCrash, UpstreamEntry, UpstreamLoad, UpstreamSoftware, UpstreamStart,
};
use serde::{Serialize, de::DeserializeOwned};

fn hex<T: Serialize>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).unwrap();
    bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 15])
        .filter_map(|digit| char::from_digit(digit.into(), 16))
        .collect()
}

fn bytes(recorded: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&recorded[at..at + 2], 16).unwrap();
    (0..recorded.len()).step_by(2).map(byte).collect()
}

fn read<T: DeserializeOwned>(recorded: &str) -> T {
    postcard::from_bytes(&bytes(recorded)).unwrap()
}

/// Fails if `value` is encoded otherwise than in `recorded`, or if the recorded bytes are read as another value.
fn assert_encoded<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, recorded: &str) {
    let recorded = recorded.trim_end();
    assert_eq!(hex(value), recorded, "the encoding of {value:?} has changed");
    assert_eq!(&read::<T>(recorded), value);
}

/// Same as [`assert_encoded`] for messages that cannot be compared themselves.
fn assert_message_encoded<T: Serialize + DeserializeOwned>(message: &T, recorded: &str) {
    let recorded = recorded.trim_end();
    assert_eq!(hex(message), recorded);
    assert_eq!(hex(&read::<T>(recorded)), recorded);
}

fn claim_key() -> ClaimKey {
    ClaimKey { customer: "opera".into(), service: "booth".into(), key: "cue-7".to_owned() }
}

fn claim(attempt: &str) -> Claim {
    Claim {
        key: claim_key(),
        body_digest: "d1".to_owned(),
        attempt: attempt.into(),
        holder: "n1".into(),
        outcome_timeout_ms: 31,
        retention_ms: 32,
    }
}

fn response() -> StoredResponse {
    StoredResponse { status: 201, content_type: "text/plain".to_owned(), body: b"fired".to_vec() }
}

/// One command of each kind, each field with a value of its own.
fn commands() -> Vec<Command> {
    let rules = vec![RuleFile { name: "booth.ini".to_owned(), text: "[service]\nname = booth\n".to_owned() }];
    vec![
        Command::Noop,
        Command::PublishRules(PublishRules { change: "c1".into(), base: ConfigVersion(0), files: rules }),
        Command::SetDrain(SetDrain { change: "c2".into(), upstream: "u1".into(), draining: true }),
        Command::SetWeights(SetWeights {
            change: "c3".into(),
            base: WeightVersion(0),
            service: "lyric".into(),
            version: WeightVersion(4),
        }),
        Command::AcquireLease(AcquireLease {
            role: "weights".to_owned(),
            holder: "n2".into(),
            duration_ms: 21,
        }),
        Command::Claim(claim("a1")),
        Command::FinishClaim(FinishClaim {
            key: claim_key(),
            attempt: "a1".into(),
            outcome: ClaimOutcome::Answered(response()),
        }),
        Command::FinishClaim(FinishClaim {
            key: ClaimKey { key: "cue-8".to_owned(), ..claim_key() },
            attempt: "a2".into(),
            outcome: ClaimOutcome::NotRun,
        }),
        Command::ReportCrash(ReportCrash {
            upstream: "u2".into(),
            incarnation: 41,
            fingerprints: vec!["f1".to_owned(), "f2".to_owned()],
            block_ms: 42,
        }),
        Command::StartSuspectRun(StartSuspectRun {
            attempt: "a3".into(),
            fingerprint: "f3".to_owned(),
            upstream: "u3".into(),
            limit_ms: 51,
        }),
        Command::EndSuspectRun(EndSuspectRun { attempt: "a4".into(), finished: true, block_ms: 52 }),
        Command::PublishDocument(PublishDocument { version: 61, body: b"{}".to_vec() }),
        Command::SetTargetVersion(SetTargetVersion { model: "m".to_owned(), version: WeightVersion(62) }),
    ]
}

fn voters() -> VoterSet {
    VoterSet {
        voters: [("n1".into(), DiskId(7)), ("n2".into(), DiskId(8))].into(),
        learners: ["n3".into()].into(),
    }
}

/// The state after every command: an answered claim, an ended attempt, a pending crash and a suspect run.
fn state() -> AgreedState {
    let mut state = AgreedState::default();
    for (index, command) in (1..).zip(commands()) {
        state.apply(index, 100 + index, &command);
    }
    state
}

/// A completed request, and one that was broken by a crash.
fn prompt_runs() -> Vec<Command> {
    let crash = PromptCrash {
        upstream: "u4".into(),
        incarnation: 74,
        fingerprint: 75,
        sent_ms_ago: 77,
        broke_ms_ago: 76,
    };
    vec![
        Command::ReportPromptRun(ReportPromptRun { parts: vec![71], crash: None }),
        Command::ReportPromptRun(ReportPromptRun { parts: vec![72, 73], crash: Some(crash) }),
    ]
}

/// Guards against reports on parts of prompts that a later build reads wrongly.
#[test]
fn reports_on_parts_of_prompts_keep_their_encoding() {
    let mut state = AgreedState::default();
    for (index, command) in (1..).zip(prompt_runs()) {
        state.apply(index, 100 + index, &command);
    }
    assert_encoded(&prompt_runs(), include_str!("encoded/prompt_runs.hex"));
    assert_encoded(&state.crashing_parts, include_str!("encoded/crashing_parts.hex"));
    assert_eq!(AgreedState::decode(&bytes(&hex(&state))).unwrap(), state);
}

/// Guards against a log, vote or snapshot of an earlier build that is read wrongly, or not at all.
#[test]
fn stored_values_keep_their_encoding() {
    let entry = |(index, command)| Entry {
        position: Position { term: 3, index },
        time_ms: 1_000 + index,
        payload: Payload::Command(command),
    };
    let mut entries: Vec<Entry> = (1..).zip(commands()).map(entry).collect();
    entries.push(Entry {
        position: Position { term: 4, index: 90 },
        time_ms: 2_000,
        payload: Payload::Voters(voters()),
    });
    assert_encoded(&entries, include_str!("encoded/entries.hex"));
    let hard_state = HardState { disk: DiskId(9), term: 5, voted_for: Some("n2".into()) };
    assert_encoded(&hard_state, include_str!("encoded/hard_state.hex"));
    // Written before the state recorded crashes by part of the prompt and the times of target versions, now its last
    // fields. The build in between recorded the former.
    let earlier = include_str!("encoded/state.hex").trim_end();
    let with_crashes = format!("{earlier}0000");
    let mut without_times = state();
    without_times.target_times_ms.clear();
    assert_eq!(AgreedState::decode(&bytes(earlier)).unwrap(), without_times);
    assert_eq!(AgreedState::decode(&bytes(&with_crashes)).unwrap(), without_times);
    assert_eq!(AgreedState::decode(&bytes(&hex(&state()))).unwrap(), state());
    // Version 62 of the model "m", set at log time 113, that of the last command.
    assert_encoded(&state().target_times_ms, "01016d013e71");
    assert_eq!(hex(&state()), with_crashes + "01016d013e71");
    let snapshot =
        Snapshot { position: Position { term: 6, index: 91 }, voters: voters(), state: vec![1, 2] };
    assert_encoded(&snapshot, include_str!("encoded/snapshot.hex"));
}

fn heartbeat() -> Heartbeat {
    let block = BlockLocation {
        store: "s1".into(),
        block: BlockDescriptor { name: "b1".into(), length_bytes: 11, checksum: 12, generation: 13 },
    };
    let soft_report = SoftReport {
        dispatched: [("u1".into(), DispatchCount { tokens: 14, window_ms: 15 })].into(),
        booked_bytes: [("s1".into(), 16)].into(),
        leaving_upstreams: vec!["u2".into()],
        sealed_blocks: vec![block],
        unlisted_blocks: vec![],
    };
    let entry = HeartbeatEntry {
        name: "n2".into(),
        incarnation: 17,
        sequence: 18,
        config_version: ConfigVersion(19),
        leaving: true,
        replica: false,
        report_version: 20,
        held_report_version: 21,
    };
    let report = ReportEntry { name: "n3".into(), incarnation: 22, version: 23, soft_report };
    Heartbeat { from: "n1".into(), session: 24, entries: vec![entry], reports: vec![report] }
}

fn load() -> UpstreamLoad {
    UpstreamLoad { upstream: 31, requests: 32, tokens: 33, pending_prefill_tokens: 34, unreachable_from: 35 }
}

fn observe_request() -> ObserveRequest {
    let crash = UpstreamCrash { fingerprint: 41, upstream: "u4".into(), started_unix_ms: 42 };
    ObserveRequest {
        node: "n4".into(),
        config_after: ConfigVersion(43),
        published_after: ("n1/1".to_owned(), 44),
        stored_after: ("n1/2".to_owned(), 45),
        loads: vec![load()],
        used_parts: vec![46],
        crashes: vec![crash],
    }
}

fn delta() -> ConfigDelta {
    ConfigDelta {
        base: ConfigVersion(51),
        version: ConfigVersion(52),
        rules_version: ConfigVersion(53),
        rule_names: vec!["booth.ini".to_owned()],
        rules: vec![],
        draining: Some(["u5".into()].into()),
        weights: Some([("lyric".into(), WeightVersion(54))].into()),
        document: Some(RoutingDocument { version: 55, body: b"{}".to_vec() }.into()),
        target_versions: Some([("m".to_owned(), WeightVersion(56))].into()),
        blocked: [("f1".to_owned(), 57)].into(),
        unblocked: vec!["f2".to_owned()],
        suspected: vec![58],
        cleared: vec![59],
        log_time_ms: 60,
    }
}

fn published_upstreams() -> PublishedUpstreams {
    let entry = UpstreamEntry {
        id: "u6".into(),
        started_unix_ms: 61,
        service: "lyric".into(),
        address: "127.0.0.1:62".parse().unwrap(),
        zone: "z1".into(),
        slots: 63,
        draining: true,
        loading: false,
        models: [("m".to_owned(), WeightVersion(64))].into(),
    };
    PublishedUpstreams {
        source: "n1/1".to_owned(),
        number: 65,
        upstreams: vec![entry],
        entry_nodes: 66,
        crash_counts: [(67, 68)].into(),
    }
}

fn observe_reply() -> ObserveReply {
    let stored = StoredPartsUpdate {
        source: "n1/2".to_owned(),
        number: 71,
        is_full: true,
        added: vec![StoredPart { part: 72, store: 73, tokens: 74 }],
        removed: vec![75],
        clock_ms: 76,
    };
    ObserveReply {
        update: ConfigUpdate::Delta(Box::new(delta())),
        age_ms: Some(77),
        leader: Some("n1".into()),
        voters: vec!["n1".into(), "n2".into()],
        published_upstreams: Some(published_upstreams().into()),
        published_age_ms: Some(78),
        loads: vec![load()],
        stored: Some(stored),
    }
}

/// Guards against a peer of an earlier build whose messages are read wrongly, or that cannot read those of this one.
#[test]
fn peer_messages_keep_their_encoding() {
    let requests = vec![
        PeerRequest::Replicate { messages: vec![vec![1, 2], vec![3]] },
        PeerRequest::Propose { command: Command::Claim(claim("a1")) },
        PeerRequest::ChangeVoters { change: VoterChange::Promote("n3".into()) },
        PeerRequest::Follow { after: ConfigVersion(81), wait_ms: 82 },
        PeerRequest::Observe { request: observe_request(), wait_ms: 83 },
        PeerRequest::LeaderStopped { term: 84, campaign: true },
        PeerRequest::Heartbeat { heartbeat: heartbeat() },
    ];
    assert_message_encoded(&requests, include_str!("encoded/requests.hex"));
    let follow = |update| FollowReply { update, age_ms: Some(85), leader: Some("n1".into()) };
    let responses = vec![
        PeerResponse::Replicate(()),
        PeerResponse::Propose(Ok(Reply::Accepted(ConfigVersion(86)))),
        PeerResponse::Propose(Err(ForwardError::Uncertain)),
        PeerResponse::ChangeVoters(Err(ForwardError::NotLeader(Some("n2".into())))),
        PeerResponse::Follow(follow(ConfigUpdate::Unchanged(ConfigVersion(87)))),
        PeerResponse::Follow(follow(ConfigUpdate::Snapshot(Box::new(state().config.as_ref().clone())))),
        PeerResponse::Follow(follow(ConfigUpdate::Deferred(ConfigVersion(88)))),
        PeerResponse::Observe(observe_reply()),
        PeerResponse::Heartbeat(heartbeat()),
    ];
    assert_message_encoded(&responses, include_str!("encoded/responses.hex"));
}

/// The same for messages between control nodes, which later builds added.
#[test]
fn relay_messages_keep_their_encoding() {
    let report =
        RelayReport { zone: "z1".into(), entry_nodes: 91, loads: vec![load()], used_parts: vec![92, 93] };
    let requests = vec![PeerRequest::Relay { report }, PeerRequest::ControlNodes {}];
    assert_message_encoded(&requests, include_str!("encoded/relay_requests.hex"));
    let node = ControlNode { name: "n1".into(), zone: "z2".into() };
    let reply = RelayReply { is_leader: true, loads: vec![load()], control_nodes: vec![node.clone()] };
    let responses = vec![PeerResponse::Relay(reply), PeerResponse::ControlNodes(vec![node])];
    assert_message_encoded(&responses, include_str!("encoded/relay_responses.hex"));
}

/// The same for messages about software versions, which later builds added.
#[test]
fn software_messages_keep_their_encoding() {
    let start = UpstreamStart { id: "u7".into(), started_unix_ms: 94 };
    let origin = StreamOrigin { stream: 95, software: "v1.1".into() };
    let requests = vec![
        PeerRequest::SoftwareOf { upstreams: vec![start.clone()] },
        PeerRequest::StreamOrigins { origins: vec![origin], spread: Spread::ToControlNodes },
        PeerRequest::StreamOrigin { stream: 96, service: "lyric".into(), spread: Spread::None },
    ];
    assert_message_encoded(&requests, include_str!("encoded/software_requests.hex"));
    let software = UpstreamSoftware { start, software: "v1.1".into() };
    let responses = vec![
        PeerResponse::SoftwareOf(vec![software]),
        PeerResponse::StreamOrigins(()),
        PeerResponse::StreamOrigin(Some("v1.1".into())),
    ];
    assert_message_encoded(&responses, include_str!("encoded/software_responses.hex"));
}

/// The same for messages about the ages of target versions, which later builds added.
#[test]
fn target_messages_keep_their_encoding() {
    let requests = vec![PeerRequest::TargetAges {}];
    assert_message_encoded(&requests, include_str!("encoded/target_requests.hex"));
    let age = TargetAge { model: "m".to_owned(), version: WeightVersion(97), age_ms: 98 };
    let responses = vec![PeerResponse::TargetAges(vec![age])];
    assert_message_encoded(&responses, include_str!("encoded/target_responses.hex"));
}

#[test]
fn questions_for_entry_nodes_keep_their_encoding() {
    let question = EntryNodesQuestion { node: "n1".into(), is_cut_off: true, spread: Spread::ToControlNodes };
    let request = PeerRequest::EntryNodes { question };
    assert_message_encoded(&request, include_str!("encoded/entry_nodes_request.hex"));
    let response = PeerResponse::EntryNodes(vec!["n2".into()]);
    assert_message_encoded(&response, include_str!("encoded/entry_nodes_response.hex"));
}

#[test]
fn questions_for_cold_upstreams_keep_their_encoding() {
    let start = UpstreamStart { id: "u8".into(), started_unix_ms: 101 };
    let request = PeerRequest::ColdUpstreams { upstreams: vec![start.clone()] };
    assert_message_encoded(&request, include_str!("encoded/cold_upstreams_request.hex"));
    let cold = vec![ColdUpstream { start: start.clone(), left_ms: 102 }];
    let answer = ColdReply { age_ms: Some(103), cold, unread: vec![start] };
    let response = PeerResponse::ColdUpstreams(answer);
    assert_message_encoded(&response, include_str!("encoded/cold_upstreams_response.hex"));
}

/// The same for requests for permits, which later builds added.
#[test]
fn requests_for_permits_keep_their_encoding() {
    let start = UpstreamStart { id: "u9".into(), started_unix_ms: 104 };
    let upstreams = vec![PermitRequest { start, granted_per_1000_s: 105, wanted: 106 }];
    let request = PeerRequest::GrantPermits { requests: PermitRequests { number: 107, upstreams } };
    assert_message_encoded(&request, include_str!("encoded/grant_permits_request.hex"));
    let upstreams = vec![PermitGrant { permits: 108, retry_ms: 109 }];
    let response = PeerResponse::GrantPermits(PermitGrants { number: 110, upstreams });
    assert_message_encoded(&response, include_str!("encoded/grant_permits_response.hex"));
}

/// The same for reports of origins that name the process of the receiver, which later builds added.
#[test]
fn reports_of_origins_keep_their_encoding() {
    let origin = StreamOrigin { stream: 112, software: "v1".into() };
    let origins = vec![ReportedOrigin { origin, age_ms: 113 }];
    let request = PeerRequest::ReportOrigins { origins, spread: Spread::None };
    assert_message_encoded(&request, include_str!("encoded/report_origins_request.hex"));
    let response = PeerResponse::ReportOrigins(ProcessId(114));
    assert_message_encoded(&response, include_str!("encoded/report_origins_response.hex"));
}

/// The same for polls whose response tells how long they were held, which later builds added.
#[test]
fn polls_of_the_configuration_keep_their_encoding() {
    let request = PeerRequest::PollConfig { after: ConfigVersion(115), wait_ms: 116 };
    assert_message_encoded(&request, include_str!("encoded/poll_config_request.hex"));
    let update = ConfigUpdate::Unchanged(ConfigVersion(117));
    let reply = FollowReply { update, age_ms: Some(118), leader: Some("n1".into()) };
    let response = PeerResponse::PollConfig(HeldReply { reply, held_ms: 119 });
    assert_message_encoded(&response, include_str!("encoded/poll_config_response.hex"));
}

/// The same for the names of entry nodes, which later builds added.
#[test]
fn names_of_entry_nodes_keep_their_encoding() {
    let request = PeerRequest::NameEntryNodes { nodes: vec!["e1".into(), "e2".into()] };
    assert_message_encoded(&request, include_str!("encoded/name_entry_nodes_request.hex"));
    let response = PeerResponse::NameEntryNodes(());
    assert_message_encoded(&response, include_str!("encoded/name_entry_nodes_response.hex"));
}

/// The same for messages about places, which later builds added.
#[test]
fn messages_about_places_keep_their_encoding() {
    let request = PlaceRequest {
        service: "s1".into(),
        candidates: vec![PlaceCandidate { upstream: 104, slots: 105 }],
        max_wait_ms: 106,
        goal_ms: 107,
        deadline_ms: 108,
        urgency: 9,
    };
    let release = PlaceRelease { service: "s1".into(), place: 109, end: PlaceEnd::Rejected };
    let requests =
        vec![PeerRequest::AcquirePlace { request }, PeerRequest::ReleasePlaces { releases: vec![release] }];
    assert_message_encoded(&requests, include_str!("encoded/place_requests.hex"));
    let answers = [
        PlaceAnswer::Granted { place: 110, upstream: 111 },
        PlaceAnswer::Refused { retry_after_ms: 112 },
        PlaceAnswer::NotLeader,
        PlaceAnswer::Overloaded,
    ];
    let mut responses: Vec<PeerResponse> = answers.into_iter().map(PeerResponse::AcquirePlace).collect();
    responses.push(PeerResponse::ReleasePlaces(()));
    assert_message_encoded(&responses, include_str!("encoded/place_responses.hex"));
}
