//! Engines and stores that write an answer once more on a connection which polls have left open.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod support {
    pub(crate) mod upstream_requests;
}

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use daisysill_node::{
    engine_client::HttpEngine,
    http,
    upstream_api::{Engine, Store},
};
use daisysill_wire::http_types::{EngineOrder, ExportRequest, ImportRequest};

use support::upstream_requests::engine_request;

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

fn json_answer(body: &str) -> String {
    let head = format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
    format!("HTTP/1.1 200 OK\r\n{head}{body}")
}

/// Answers the first request on each connection with 200 and `body`. Before the answer to each further one it writes the
/// refusal of an earlier request once more. The first `closed` connections are closed without an answer.
fn repeating_refusals(body: &str, closed: usize) -> String {
    let answer = json_answer(body);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten().skip(closed) {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut response = answer.clone();
                while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
                    let _ = stream.write_all(response.as_bytes());
                    response = format!("{REFUSAL}{answer}");
                }
            });
        }
    });
    url
}

const LOAD: &str = r#"{"queue_tokens":0,"running":0,"prefill_tokens_per_s":1,"weight_version":1,"report_age_ms":0,"incarnation":1}"#;

/// Guards against a prompt that is refused as not run although it runs: the refusal of an earlier request, written once more
/// on a connection that a load poll has left open, was taken for its answer.
#[actix_rt::test]
async fn a_prompt_is_sent_on_a_connection_of_its_own() {
    // The first connection fails, so that the poll is repeated on a new one.
    let url = repeating_refusals(LOAD, 1);
    let client = HttpEngine::new(http::client());
    client.load(&url).await.unwrap();
    let result = client.generate(&url, &engine_request(), "").await.map(drop);
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against an order, a transfer or a deletion that counts as refused although it is carried out, or the reverse,
/// because an unexpected answer on a kept connection was taken for its own.
#[actix_rt::test]
async fn calls_with_an_effect_are_sent_on_connections_of_their_own() {
    let order = EngineOrder { fencing: 1, kind: "load_weights".to_owned(), weight_version: 2 };
    let export = ExportRequest { generation: 1, pieces: Vec::new(), store_url: String::new() };
    let import =
        ImportRequest { blocks: Vec::new(), store_url: String::new(), transfer_id: "xfer-1".to_owned() };
    for call in ["order", "export", "import", "cancel", "free"] {
        // One body that all of these calls accept.
        let body = LOAD.replacen('{', r#"{"blocks":[],"imported":0,"bytes":0,"#, 1);
        let url = repeating_refusals(&body, 0);
        let client = HttpEngine::new(http::client());
        // Leaves a connection open, as polls do.
        client.load(&url).await.unwrap();
        for round in 0..2 {
            let result = match call {
                "order" => client.order(&url, &order).await,
                "export" => client.export(&url, &export).await.map(drop),
                "import" => client.import(&url, &import).await.map(drop),
                "cancel" => client.cancel(&url, "att-1").await,
                _ => client.free(&url, "a1", 1).await,
            };
            assert!(result.is_ok(), "{call} {round}: {result:?}");
        }
    }
}

/// Answers each request with a load report that gives its number as `queue_tokens`. On a connection that is used again, the
/// report before it is written once more, `pause` before it.
fn repeating_reports(pause: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let requests = Arc::new(AtomicU64::new(0));
        for mut stream in listener.incoming().flatten() {
            let requests = Arc::clone(&requests);
            // The kernel would otherwise hold a second answer back until the first one is acknowledged.
            stream.set_nodelay(true).unwrap();
            thread::spawn(move || {
                let mut earlier = None;
                while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
                    let number = requests.fetch_add(1, Ordering::SeqCst) + 1;
                    let body = LOAD.replacen(":0", &format!(":{number}"), 1);
                    let answer = json_answer(&body);
                    if let Some(earlier) = earlier.replace(answer.clone()) {
                        let _ = stream.write_all(earlier.as_bytes());
                        thread::sleep(pause);
                    }
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    url
}

/// Guards against polls that fall behind by one poll more with each unexpected answer on their connection.
#[actix_rt::test]
async fn polls_with_repeated_answers_are_one_poll_behind_at_most() {
    for pause_ms in [0, 5] {
        let url = repeating_reports(Duration::from_millis(pause_ms));
        let client = HttpEngine::new(http::client());
        for number in 1..=20 {
            let load = client.load(&url).await.unwrap();
            assert!((number - 1..=number).contains(&load.queue_tokens), "{pause_ms} {number}: {load:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
