//! Many requests at once whose bytes come without end: the memory of the node bounds their sum.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support {
    pub(crate) mod upstream_requests;
}

use std::{
    fs,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use actix_web::{FromRequest, test::TestRequest, web};
use daisysill_core::{memory_budget::MemoryBudget, result_code::ResultCode};
use daisysill_node::{
    caller_api::read_body,
    config::LimitConfig,
    engine_client::HttpEngine,
    http,
    plain_client::HttpPlainService,
    upstream_api::{Engine, PlainService},
};
use futures::{StreamExt, future::join_all};
use support::upstream_requests::{engine_request, plain_request};
use tokio::time::timeout;

const MEMORY_BYTES: usize = 16_000_000;
const REQUESTS: usize = 40;
/// Longer than it takes to send more than an answer may have.
const LIMIT: Duration = Duration::from_secs(20);

/// Starts an upstream that answers each request with `start`, then with `rest` until the connection is closed.
fn serve(start: &'static str, rest: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            thread::spawn(move || flood(stream, start, rest));
        }
    });
    url
}

fn flood(mut stream: TcpStream, start: &str, rest: &str) {
    let rest = rest.repeat(8_192);
    let _ = stream.read(&mut [0; 4_096]);
    let mut sent = stream.write_all(start.as_bytes());
    while sent.is_ok() && !rest.is_empty() {
        sent = stream.write_all(rest.as_bytes());
    }
}

/// Returns the most memory that this process has used at any time, in bytes.
fn peak_memory_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1_024
}

/// Guards against a node that runs out of memory since many answers without end are each within the bound for one, and against
/// sound answers that find no room beside them.
#[actix_rt::test]
async fn answers_without_end_stay_within_the_memory_of_the_node() {
    let memory = MemoryBudget::new(MEMORY_BYTES);
    let plain = HttpPlainService::new(memory.clone());
    let engine = HttpEngine::new(http::client()).with_memory(memory.clone());
    let before = peak_memory_bytes();
    let sound = serve("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ncue", "");
    for start in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-a: ",
    ] {
        let url = serve(start, "x");
        let request = plain_request();
        let floods = join_all((0..REQUESTS).map(|_| timeout(LIMIT, plain.send(&url, &request, ""))));
        let (floods, answer) = tokio::join!(floods, plain.send(&sound, &request, ""));
        assert!(floods.iter().all(|end| matches!(end, Ok(Err(_)))), "{start:?}");
        assert_eq!(answer.unwrap().body.as_ref(), b"cue", "{start:?}");
    }
    let url = serve("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", "x");
    let request = engine_request();
    let floods = join_all((0..REQUESTS).map(|_| async {
        let mut events = timeout(LIMIT, engine.generate(&url, &request, "")).await.unwrap().unwrap();
        timeout(LIMIT, events.next()).await.unwrap().unwrap().unwrap_err()
    }));
    floods.await;
    let grown = peak_memory_bytes() - before;
    println!("grown by {grown} bytes");
    assert!(grown < 5 * MEMORY_BYTES, "grown by {grown} bytes, of which {MEMORY_BYTES} may hold answers");
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against bodies of callers that are each within the bound for one, and against one that is refused as anything else
/// than not run.
#[actix_rt::test]
async fn bodies_of_requests_share_the_memory_of_the_node() {
    let memory = MemoryBudget::new(MEMORY_BYTES);
    let limits = LimitConfig {
        body_bytes: 4_000_000,
        header_timeout_ms: 1_000,
        body_timeout_ms: 1_000,
        in_flight_requests: REQUESTS,
        memory_bytes: MEMORY_BYTES,
    };
    let read = async |length: usize| {
        let (request, mut payload) = TestRequest::default().set_payload(vec![0; length]).to_http_parts();
        let payload = web::Payload::from_request(&request, &mut payload).await.unwrap();
        read_body(payload, &limits, &memory).await
    };
    let mut held = Vec::new();
    let refusal = loop {
        match read(3_000_000).await {
            Ok(body) => held.push(body),
            Err(refusal) => break refusal,
        }
        assert!(held.len() < REQUESTS, "{} bodies were read", held.len());
    };
    assert_eq!((refusal.code, refusal.code.http_status()), (ResultCode::MemoryExhausted, 503));
    assert!(read(1_000).await.is_ok(), "a small one beside them");
    assert!(memory.used_bytes() <= MEMORY_BYTES);
    held.clear();
    assert!(read(3_000_000).await.is_ok(), "once the others have ended");
}
