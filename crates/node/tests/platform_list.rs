//! The platform's list of instances with odd entries, as other writers may leave.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use daisysill_node::{http, platform_client::HttpPlatform, upstream_api::Platform};

/// Serves a body in response to every request; returns the URL.
fn serve(body: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
                 Connection: close\r\n\r\n"
            );
            let _ = stream.read(&mut [0; 2_048]);
            let _ = stream.write_all(&[head.as_bytes(), &body].concat());
        }
    });
    url
}

/// Returns an entry with one more field, or one replaced.
fn entry(id: &str, name: &str, value: &str) -> String {
    let quoted_id = format!("\"{id}\"");
    let mut fields = vec![
        ("id", quoted_id.as_str()),
        ("service", "\"cues\""),
        ("kind", "\"plain\""),
        ("availability_zone", "\"z1\""),
        ("url", "\"http://10.0.0.1:8080\""),
        ("state", "\"live\""),
    ];
    fields.retain(|(known, _)| *known != name);
    fields.push((name, value));
    let fields: Vec<String> = fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

/// Guards against a list that is not followed any more because of one odd entry, and against an entry that names no instance and
/// is polled: with an empty ID it kept the list from being read.
#[actix_rt::test]
async fn odd_entry_leaves_the_others_listed() {
    let deep = "[".repeat(1_000) + &"]".repeat(1_000);
    let entries = [
        deep.clone(),
        "1e999".to_owned(),
        entry("i-odd", "id", "\"\""),
        entry("i-odd", "id", "7"),
        entry("i-odd", "service", &deep),
        entry("i-odd", "availability_zone", "\"\\ud800\""),
        entry("i-odd", "kind", "\"oven\""),
        entry("i-odd", "state", "1e999"),
        entry("i-odd", "url", "\"http://10.0.0.1:70000\""),
        entry("i-odd", "url", "\"http://10.0.0.1:0\""),
        entry("i-odd", "url", "\"10.0.0.1\""),
        entry("i-odd", "url", "\"http://a b/\""),
    ];
    let mut entries: Vec<Vec<u8>> = entries.into_iter().map(String::into_bytes).collect();
    entries.push(b"{\"id\":\"i-\xff\"}".to_vec());
    let mut wrong = Vec::new();
    for odd in entries {
        let (first, last) =
            (entry("i-a", "weight", &deep), entry("i-b", "url", "\"http://[::1]:8080/base\""));
        let body = [b"{\"instances\":[", first.as_bytes(), b",", &odd, b",", last.as_bytes(), b"]}"].concat();
        let list = HttpPlatform::new(http::client()).instances(&serve(body)).await;
        let ids = list.map(|list| list.instances.into_iter().map(|instance| instance.id).collect::<Vec<_>>());
        if ids != Ok(vec!["i-a".to_owned(), "i-b".to_owned()]) {
            wrong.push((String::from_utf8_lossy(&odd[..odd.len().min(60)]).into_owned(), ids));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
