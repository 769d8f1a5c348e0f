//! How the HTTP clients for plain services and engines classify requests without a sound response.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    cell::Cell,
    io::{Read, Write},
    net::TcpListener,
    rc::Rc,
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use actix_web::{http::Uri, web::Bytes};
use daisysill_node::{
    engine_client::HttpEngine,
    http,
    plain_client::HttpPlainService,
    upstream_api::{AttemptError, Engine, PlainRequest, PlainService, SendChecks},
};
use daisysill_wire::http_types::EngineRequest;
use futures::StreamExt;
use socket2::SockRef;
use tokio::time::Instant;

/// Accepts one connection, reads once, closes it, and sends the number of bytes read to the receiver.
fn closing_upstream() -> (String, Receiver<usize>) {
    responding_upstream("")
}

/// Accepts one connection, reads once, writes `response`, closes it, and sends the number of bytes read.
fn responding_upstream(response: &'static str) -> (String, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4_096];
        let read = stream.read(&mut buffer).unwrap_or(0);
        let _ = stream.write_all(response.as_bytes());
        sender.send(read).unwrap();
    });
    (url, receiver)
}

fn request() -> PlainRequest {
    PlainRequest {
        method: "POST".to_owned(),
        path: "/cues/7/fire".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"go"),
    }
}

/// Guards against `not_run` for a request whose bytes arrived: the HTTP client reports the closed connection as
/// a connect error.
#[actix_rt::test]
async fn a_request_on_a_connection_closed_after_sending_may_have_run() {
    let service = HttpPlainService::default();
    let (url, bytes) = closing_upstream();
    let error = service.send(&url, &request(), "").await.unwrap_err();
    assert!(bytes.recv().unwrap() > 0);
    assert!(!error.is_not_run(), "{error}");

    let (url, bytes) = closing_upstream();
    let deadline = Instant::now() + Duration::from_secs(2);
    let error = service.send_before(&url, &request(), "", deadline).await.unwrap_err();
    assert!(bytes.recv().unwrap() > 0);
    assert!(!error.is_not_run(), "{error}");
}

/// Guards against `not_run` for a request of which only a part was written: an upstream may run what it has received.
#[actix_rt::test]
async fn a_partly_written_request_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        // Gives the client time to fill the buffers of the connection.
        thread::sleep(Duration::from_millis(50));
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let request = PlainRequest { body: Bytes::from(vec![0; 64 << 20]), ..request() };
    let error = HttpPlainService::default().send(&url, &request, "").await.unwrap_err();
    assert!(matches!(error, AttemptError::Failed(_)), "{error:?}");
}

/// Guards against a part of an answer without a length that counts as whole, because its upstream reset the connection while the
/// upload was still being written.
#[actix_rt::test]
async fn an_answer_that_is_reset_during_the_upload_is_an_error() {
    for delay_ms in [0, 1, 5, 30] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\na part");
            thread::sleep(Duration::from_millis(delay_ms));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        });
        let request = PlainRequest { body: Bytes::from(vec![0; 64 << 20]), ..request() };
        let error = HttpPlainService::default().send(&url, &request, "").await.unwrap_err();
        assert!(matches!(error, AttemptError::Failed(_)), "{delay_ms} ms: {error:?}");
    }
}

/// Guards against a first byte after the dispatch deadline, which passes while the connection is opened.
#[actix_rt::test]
async fn no_byte_is_sent_after_the_dispatch_deadline() {
    let service = HttpPlainService::default();
    let (url, bytes) = closing_upstream();
    let error = service.send_before(&url, &request(), "", Instant::now()).await.unwrap_err();
    assert_eq!(error, AttemptError::TooLate);
    assert_eq!(bytes.recv().unwrap(), 0);
}

/// Guards against a late first byte from a process that was suspended while connecting.
#[actix_rt::test]
async fn a_process_suspended_while_connecting_sends_nothing() {
    let service = HttpPlainService::default();
    let (url, bytes) = closing_upstream();
    let (request, deadline) = (request(), Instant::now() + Duration::from_millis(100));
    let mut sending = service.send_before(&url, &request, "", deadline);
    assert!(futures::poll!(&mut sending).is_pending());
    // Blocks the only thread, as a suspension of the process would.
    thread::sleep(Duration::from_millis(200));
    assert_eq!(sending.await.unwrap_err(), AttemptError::TooLate);
    assert_eq!(bytes.recv().unwrap(), 0);
}

/// Guards against a request that reaches a zone whose evacuation began while the connection was opened.
#[actix_rt::test]
async fn no_byte_is_sent_to_a_zone_that_was_evacuated_while_connecting() {
    let service = HttpPlainService::default();
    let (url, bytes) = closing_upstream();
    let (request, evacuated) = (request(), Cell::new(false));
    let may_send = || !evacuated.get();
    let mut sending =
        service.send_checked(&url, &request, "", SendChecks { deadline: None, may_send: &may_send });
    assert!(futures::poll!(&mut sending).is_pending());
    evacuated.set(true);
    let error = sending.await.unwrap_err();
    assert!(error.is_not_run(), "{error}");
    assert_eq!(bytes.recv().unwrap(), 0);
}

/// Guards against the same for a prompt.
#[actix_rt::test]
async fn no_prompt_is_sent_to_a_zone_that_was_evacuated_while_connecting() {
    let (url, bytes) = closing_upstream();
    let evacuated = Rc::new(Cell::new(false));
    let (gate_evacuated, expected) = (evacuated.clone(), format!("{url}/v1/completions"));
    let gate = move |uri: &Uri| {
        assert_eq!(uri.to_string(), expected);
        !gate_evacuated.get()
    };
    let client = HttpEngine::new(http::client()).with_gate(Rc::new(gate));
    let request = engine_request();
    let mut sending = client.generate(&url, &request, "");
    assert!(futures::poll!(&mut sending).is_pending());
    evacuated.set(true);
    let error = sending.await.map(drop).unwrap_err();
    assert!(error.is_not_run(), "{error}");
    assert_eq!(bytes.recv().unwrap(), 0);
}

/// Guards against `may_have_run` for a request whose connection was refused.
#[actix_rt::test]
async fn a_request_with_a_refused_connection_did_not_run() {
    let service = HttpPlainService::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let deadline = Instant::now() + Duration::from_secs(2);
    let error = service.send_before(&url, &request(), "", deadline).await.unwrap_err();
    assert!(error.is_not_run(), "{error}");
}

/// Guards against a request that ran and whose caller is told that it did not: a service that itself calls a node may pass on
/// the header with which that node refused its call.
#[actix_rt::test]
async fn the_result_code_of_an_upstream_is_not_passed_on() {
    let (url, _bytes) = responding_upstream(
        "HTTP/1.1 503 Busy\r\nX-Daisysill-Result-Code: 1304\r\nx-other: 1\r\ncontent-length: 0\r\n\r\n",
    );
    let response = HttpPlainService::default().send(&url, &request(), "").await.unwrap();
    let names: Vec<&str> = response.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["x-other"]);
}

/// Guards against a truncated response that is returned as complete because the connection ended early.
#[actix_rt::test]
async fn a_truncated_response_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
    let cases = [
        ("content-length: 4\r\n\r\ncue7", Some("cue7")),
        ("content-length: 5\r\n\r\ncue7", None),
        ("transfer-encoding: chunked\r\n\r\n4\r\ncue7\r\n0\r\n\r\n", Some("cue7")),
        ("transfer-encoding: chunked\r\n\r\n4\r\ncue7\r\n", None),
        ("\r\ncue7", Some("cue7")),
    ];
    for (rest, expected) in cases {
        let (url, _bytes) = responding_upstream(String::leak(format!("{HEAD}{rest}")));
        let result = HttpPlainService::default().send(&url, &request(), "").await;
        assert_eq!(result.ok().map(|response| response.body), expected.map(Bytes::from), "{rest:?}");
    }
}

/// Guards against events that were broken off inside one and are returned as complete, because the framing of the body
/// ended in order.
#[actix_rt::test]
async fn events_that_end_inside_an_event_are_an_error() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream; charset=utf-8\r\n";
    for (events, is_whole) in [("id: 1\ndata: a\n\n", true), ("id: 1\ndata: a\n\nid: 2\nda", false)] {
        let length = events.len();
        let framings = [
            format!("content-length: {length}\r\n\r\n{events}"),
            format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{events}\r\n0\r\n\r\n"),
            format!("\r\n{events}"),
        ];
        for rest in framings {
            let (url, _bytes) = responding_upstream(String::leak(format!("{HEAD}{rest}")));
            let result = HttpPlainService::default().send(&url, &request(), "").await;
            assert_eq!(result.is_ok(), is_whole, "{rest:?}: {result:?}");
        }
    }
}

/// Guards against an answer without a length whose connection was reset, and that is returned as complete.
#[actix_rt::test]
async fn a_reset_answer_without_a_length_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\ncue");
        // Gives the bytes time to arrive before the reset.
        thread::sleep(Duration::from_millis(50));
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let result = HttpPlainService::default().send(&url, &request(), "").await;
    assert!(result.is_err(), "{result:?}");
}

/// Writes `first` in response to the first request on each connection, and `later` to each further one.
fn serve_connections(first: String, later: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (first, later) = (first.clone(), later.clone());
            thread::spawn(move || {
                let mut response = first;
                while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
                    let _ = stream.write_all(response.as_bytes());
                    response.clone_from(&later);
                }
            });
        }
    });
    url
}

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Guards against a refusal that is written once more after an answer, and is taken for the answer to the next request.
#[actix_rt::test]
async fn a_refusal_after_an_answer_is_no_answer_to_the_next_request() {
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ncue7";
    let url = serve_connections(format!("{good}{REFUSAL}"), format!("{REFUSAL}{good}"));
    for _ in 0..3 {
        let response = HttpPlainService::default().send(&url, &request(), "").await.unwrap();
        assert_eq!((response.status, response.body.as_ref()), (200, b"cue7".as_slice()));
    }
}

fn engine_request() -> EngineRequest {
    EngineRequest {
        attempt_id: "att-2".to_owned(),
        model: "m".to_owned(),
        adapter: None,
        prompt: "la".to_owned(),
        max_tokens: 8,
        priority: 0,
        cache_salt: "s".to_owned(),
        kv_pieces: Vec::new(),
        resume_from_token: 1,
        resume_text: Some("la".to_owned()),
        weight_version: 1,
    }
}

/// Guards against a stream that goes on with the text of an error, or ends as complete, because the engine at which it resumes
/// answered with something else than events.
#[actix_rt::test]
async fn an_answer_without_events_is_no_rest_of_a_stream() {
    let json = "{\"error\":\"not loaded\"}\n\n";
    let answers = [
        format!("200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{json}", json.len()),
        "200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n".to_owned(),
        "200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 18\r\n\r\ndata: not loaded\n\n"
            .to_owned(),
        "204 No Content\r\n\r\n".to_owned(),
        "500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed".to_owned(),
    ];
    for answer in answers {
        let url = serve_connections(format!("HTTP/1.1 {answer}"), REFUSAL.to_owned());
        let client = HttpEngine::new(http::client());
        let failed = match client.generate(&url, &engine_request(), "").await {
            Ok(mut events) => matches!(events.next().await, Some(Err(AttemptError::Failed(_)))),
            Err(error) => matches!(error, AttemptError::Failed(_)),
        };
        assert!(failed, "{answer:?}");
    }
}

/// Accepts one connection, reads once, writes `response`, and closes or resets the connection.
fn breaking_upstream(response: String, resets: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(response.as_bytes());
        if resets {
            // Gives the bytes time to arrive.
            thread::sleep(Duration::from_millis(2));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    url
}

/// Guards against a head that breaks off, after each of its bytes, and is returned as an answer with an empty or short body,
/// or as one of a request that has not run.
#[actix_rt::test]
async fn a_head_that_breaks_off_is_no_answer() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    ];
    let client = HttpEngine::new(http::client());
    for (head, resets) in heads.iter().flat_map(|head| [(head, false), (head, true)]) {
        for sent in 0..head.len() {
            let start = &head[..sent];
            let url = breaking_upstream(start.to_owned(), resets);
            let plain = HttpPlainService::default().send(&url, &request(), "").await.unwrap_err();
            assert!(!plain.is_not_run(), "{start:?}: {plain}");
            let url = breaking_upstream(start.to_owned(), resets);
            let engine = match client.generate(&url, &engine_request(), "").await {
                Ok(mut events) => events.next().await.unwrap().unwrap_err(),
                Err(error) => error,
            };
            assert!(!engine.is_not_run(), "{start:?}: {engine}");
        }
    }
}

/// Guards against an answer without a length that ends with its head, and that is returned as one with an empty body.
#[actix_rt::test]
async fn an_answer_without_a_length_and_a_body_is_an_error() {
    for start in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"] {
        for resets in [false, true] {
            let url = breaking_upstream(start.to_owned(), resets);
            let result = HttpPlainService::default().send(&url, &request(), "").await;
            assert!(result.is_err(), "{start:?}: {result:?}");
        }
    }
    for whole in ["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"] {
        let url = breaking_upstream(whole.to_owned(), false);
        assert!(
            HttpPlainService::default().send(&url, &request(), "").await.unwrap().body.is_empty(),
            "{whole:?}"
        );
    }
}

/// Guards against a process that ends because an upstream asks for a pause longer than can be counted in milliseconds.
#[test]
fn a_pause_of_any_length_is_read() {
    let longest = u64::MAX.to_string();
    let error = http::classify_error(503, |name| (name != "x-leaving").then_some(longest.as_str()));
    let AttemptError::Refused { retry_after_ms, .. } = error else { panic!("{error:?}") };
    assert_eq!(retry_after_ms, Some(u64::MAX));
}
