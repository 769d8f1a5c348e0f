//! A machine of the core is lost right after the whole system has started for the first time, and is replaced by an empty one at another
//! address. The operator sends the first config until it is confirmed.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    names::PUT_CONFIG,
    nodes::{Nodes, has_trouble},
    record::Record,
};

/// Time after the start at which the machine is lost.
const LOST_AFTER: Duration = Duration::from_millis(100);
/// Time after which the empty machine comes (`replace_core`, x = 2).
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const PLAY_TIME: Duration = Duration::from_secs(30);

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"a.example\",\"path_prefix\":\"/look/\",\"kind\":\"safe\",\
     \"timeout_ms\":3000,\"goal_ms\":300,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1,\"public\":false,\
     \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":100,\
     \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"house\",\"api_keys\":[\"key1\"],\"priority\":1}]}";

/// Plays the case; returns the exit code.
pub fn run(folder: &Path) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let mut nodes = Nodes::start(2, &record);
    let start = Instant::now();
    if has_trouble() {
        thread::sleep(LOST_AFTER);
        let lost = nodes.control.pop();
        record.line(&format!("{} is gone for good", lost.as_ref().map_or("", |node| &node.name)));
        drop(lost);
        thread::sleep(REPLACED_AFTER);
        nodes.add_control(4, &record);
    }
    let mut last = String::new();
    while start.elapsed() < PLAY_TIME {
        for node in &nodes.control {
            let answer = http::call(node.control(), "POST", PUT_CONFIG, "", CONFIG);
            let text = match &answer {
                Ok(answer) => format!("{} answers {} to the first config", node.name, answer.status()),
                Err(error) => {
                    format!("{} does not answer to the first config: {:?}", node.name, error.kind())
                }
            };
            if text != last {
                record.line(&text);
                last = text;
            }
            if answer.is_ok_and(|answer| answer.status() == 200) {
                record.line("the first config is confirmed");
                return 0;
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line("BROKEN (Acks): no control node confirmed the first config, though a majority of the core ran and was connected");
    1
}
