//! Engines that refuse a request while another one, which has it, is silent.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::Duration;

use support::{Node, Step, collect_response};
use tokio::time::{Instant, sleep};

mod support;

const RULES: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 1000\n[retries]\nmax_attempts = 3\n";
/// A stream that stays silent after its first token.
const STALLED: &[Step] = &[Step::Token(0, None), Step::Silence(Duration::from_mins(10))];

/// Returns how often each engine was asked until the deadline, 30 s after the request, while the first one that was asked
/// is silent and the others play `refusal`.
async fn asked(refusal: &[Step]) -> Vec<(String, usize)> {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    let mut scripts = vec![STALLED];
    scripts.resize(200, refusal);
    node.script(&scripts);
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 ".to_owned(), Some(1402)));
    let attempts = node.engine.attempts.borrow();
    let times_asked = |url: &str| attempts[1..].iter().filter(|(asked, _)| asked == url).count();
    ["http://lyric-1", "http://lyric-2"].map(|url| (url.to_owned(), times_asked(url))).to_vec()
}

/// Guards against asking full engines for one request at each check of a silent one, which grows with the deadline and costs
/// them work while they are overloaded.
#[actix_rt::test]
async fn engines_that_refuse_a_request_are_asked_again_less_and_less_often() {
    for (engine, times) in asked(&[Step::Refuse]).await {
        assert!((2..=5).contains(&times), "{engine} was asked {times} times");
    }
}

/// Guards against asking an engine again before the end of the pause that it asked for.
#[actix_rt::test]
async fn an_engine_that_asks_for_a_pause_is_not_asked_before_its_end() {
    for (engine, times) in asked(&[Step::RefuseFor(60_000)]).await {
        assert!(times <= 1, "{engine} was asked {times} times");
    }
}

/// Guards against an engine that is asked without a pause because it asks for none.
#[actix_rt::test]
async fn an_engine_that_asks_for_no_pause_gets_one() {
    for (engine, times) in asked(&[Step::RefuseFor(0)]).await {
        assert!((2..=5).contains(&times), "{engine} was asked {times} times");
    }
}

/// Guards against waiting for a silent engine after the end of the pause that another one asked for.
#[actix_rt::test]
async fn an_engine_takes_over_after_its_pause() {
    let node = Node::start(RULES).await;
    tokio::time::pause();
    node.script(&[STALLED, &[Step::RefuseFor(8_000)], &[Step::RefuseFor(8_000)], &[Step::Finish(1)]]);
    let start = Instant::now();
    assert_eq!(collect_response(node.prompt("opera-a", "la la")).await, ("t0 t1 ".to_owned(), None));
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_secs(8) && elapsed < Duration::from_secs(12), "{elapsed:?}");
    sleep(Duration::from_millis(50)).await;
}
