//! Engines and the platform whose messages are malformed, do not end or arrive byte by byte, over real sockets.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support {
    pub(crate) mod upstream_requests;
}

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use daisysill_node::{
    engine_client::HttpEngine,
    http,
    plain_client::HttpPlainService,
    platform_client::HttpPlatform,
    upstream_api::{AttemptError, AttemptResult, Engine, PlainService, Platform, Store},
};
use futures::StreamExt;
use support::upstream_requests::{engine_request, plain_request};
use tokio::time::{Instant, timeout};

/// Longer than any limit on a poll.
const SOON: Duration = Duration::from_secs(10);
/// Limit on a stream and on a request to a plain service, as the deadline of a request sets it.
const LIMIT: Duration = Duration::from_secs(2);
/// Pause between single bytes.
const STALL: Duration = Duration::from_millis(20);

/// What the stand-in writes in answer to each request.
struct Answer {
    /// Written at once.
    start: Vec<u8>,
    /// Written again and again until the client closes, with `pause` before each.
    rest: Vec<u8>,
    pause: Duration,
}

/// Serves each connection with the same answer; returns the URL and the number of connections that the client closed.
fn serve(answer: Answer) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let closed = Arc::new(AtomicUsize::new(0));
    let (answer, count) = (Arc::new(answer), Arc::clone(&closed));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, count) = (Arc::clone(&answer), Arc::clone(&count));
            thread::spawn(move || {
                write_answer(stream, &answer);
                count.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (url, closed)
}

/// Writes the answer until the client closes the connection.
fn write_answer(mut stream: TcpStream, answer: &Answer) {
    let _ = stream.read(&mut [0; 4_096]);
    if stream.write_all(&answer.start).is_err() || answer.rest.is_empty() {
        return;
    }
    loop {
        thread::sleep(answer.pause);
        if stream.write_all(&answer.rest).is_err() {
            return;
        }
    }
}

fn whole(head: &str, body: &[u8]) -> Answer {
    let head =
        format!("HTTP/1.1 200 OK\r\n{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    Answer { start: [head.as_bytes(), body].concat(), rest: Vec::new(), pause: Duration::ZERO }
}

fn endless(start: &str, rest: &[u8]) -> Answer {
    Answer { start: start.as_bytes().to_vec(), rest: rest.to_vec(), pause: Duration::ZERO }
}

/// Reads the stream of an attempt to its first error.
async fn generate(client: &HttpEngine, url: &str) -> AttemptResult<()> {
    let mut events = client.generate(url, &engine_request(), "").await?;
    while let Some(event) = events.next().await {
        event?;
    }
    Ok(())
}

/// Makes each kind of poll, and returns those that did not fail within `SOON`.
async fn polls_that_do_not_fail(url: &str) -> Vec<&'static str> {
    let client = HttpEngine::new(http::client());
    let platform = HttpPlatform::new(http::client());
    let failed = |result: Result<bool, _>| result.unwrap_or(false);
    let polls = [
        ("load", failed(timeout(SOON, async { client.load(url).await.is_err() }).await)),
        ("cache events", failed(timeout(SOON, async { client.cache_events(url, 0).await.is_err() }).await)),
        ("usage", failed(timeout(SOON, async { client.usage(url).await.is_err() }).await)),
        ("instances", failed(timeout(SOON, async { platform.instances(url).await.is_err() }).await)),
    ];
    polls.into_iter().filter(|(_, failed)| !failed).map(|(poll, _)| poll).collect()
}

/// Guards against a process that ends because a message of an engine, a store or the platform is malformed.
#[actix_rt::test]
async fn malformed_messages_are_errors() {
    let deep = [vec![b'['; 200_000], vec![b']'; 200_000]].concat();
    let nested = [b"{\"instances\":".as_slice(), &deep, b"}"].concat();
    let bodies: [&[u8]; 9] = [
        b"",
        b"{",
        b"null",
        b"[]",
        b"{\"incarnation\": 1e999}",
        b"{\"incarnation\": -1, \"next_seq\": 99999999999999999999999, \"instances\": 7}",
        b"\xff\xfe\x00",
        &deep,
        &nested,
    ];
    for body in bodies {
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
        let (url, _) = serve(whole("content-type: application/json\r\n", body));
        // An odd entry of the list is left out, so a list of such entries is none with an error.
        let sound = if body.len() >= 400_000 { vec!["instances"] } else { Vec::new() };
        assert_eq!(polls_that_do_not_fail(&url).await, sound, "{excerpt:?}");
        let event = [b"data: ".as_slice(), body, b"\n\n"].concat();
        let (url, _) = serve(whole("content-type: text/event-stream\r\n", &event));
        let client = HttpEngine::new(http::client());
        let error = timeout(SOON, generate(&client, &url)).await.unwrap().unwrap_err();
        assert!(matches!(error, AttemptError::Failed(_)), "{excerpt:?}: {error}");
    }
    for head in
        ["HTTP/9.9 200 OK\r\n\r\n", "\0\0\0\0\r\n\r\n", "HTTP/1.1 99999 OK\r\n\r\n", "\u{16}\u{3}\u{1}"]
    {
        let (url, _) = serve(endless(head, b""));
        assert_eq!(polls_that_do_not_fail(&url).await, [""; 0], "{head:?}");
        let client = HttpEngine::new(http::client());
        assert!(timeout(SOON, generate(&client, &url)).await.unwrap().is_err(), "{head:?}");
        let plain = timeout(SOON, HttpPlainService::default().send(&url, &plain_request(), "")).await;
        assert!(plain.unwrap().is_err(), "{head:?}");
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const JSON_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 9000\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against memory that grows without a bound, and against a request that does not end, because bytes without an end
/// arrive in a head or a body.
#[actix_rt::test]
async fn bytes_without_end_end_the_attempt() {
    let line = "x".repeat(8_192);
    let heads = [
        endless("", line.as_bytes()),
        endless(HEAD, format!("x-a: {line}\r\n").as_bytes()),
        endless("HTTP/1.1 200 OK\r\nx-a: ", line.as_bytes()),
    ];
    let bodies = [
        endless(&format!("{HEAD}\r\n"), line.as_bytes()),
        endless(&format!("{HEAD}\r\n"), format!("data: {line}\n").as_bytes()),
        endless(CHUNKED, format!("2000\r\n{line}\r\n").as_bytes()),
        endless("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", line.as_bytes()),
        endless("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n", b"        "),
        endless("HTTP/1.1 500 Failed\r\ncontent-length: 99999999999\r\n\r\n", line.as_bytes()),
        endless("HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n\r\n", line.as_bytes()),
    ];
    for (number, answer) in heads.into_iter().chain(bodies).enumerate() {
        let (url, closed) = serve(answer);
        let client = HttpEngine::new(http::client());
        // The node limits the time of both, and closes their connections then.
        let stream = timeout(LIMIT, generate(&client, &url)).await;
        assert!(!matches!(stream, Ok(Ok(()))), "answer {number}: stream");
        let plain = timeout(LIMIT, HttpPlainService::default().send(&url, &plain_request(), "")).await;
        assert!(!matches!(plain, Ok(Ok(_))), "answer {number}: plain service");
        assert_eq!(polls_that_do_not_fail(&url).await, [""; 0], "answer {number}");
        drop(client);
        let start = Instant::now();
        while closed.load(Ordering::SeqCst) < 6 {
            assert!(start.elapsed() < SOON, "answer {number}: {closed:?} of 6 connections were closed");
            tokio::time::sleep(STALL).await;
        }
    }
}

/// Guards against a poll that does not end, and keeps its upstream from being polled again, because single bytes arrive.
#[actix_rt::test]
async fn polls_of_which_single_bytes_arrive_end() {
    for start in ["", "HTTP/1.1 200 OK\r\nx-a: ", JSON_HEAD] {
        let answer = Answer { start: start.as_bytes().to_vec(), rest: b" ".to_vec(), pause: STALL };
        let (url, _) = serve(answer);
        assert_eq!(polls_that_do_not_fail(&url).await, [""; 0], "{start:?}");
    }
}
