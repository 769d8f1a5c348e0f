//! Connections that carry no more data, without being closed, while new connections work.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use daisysill_testkit::{caller::send_prompt, deployment::Deployment, deployment_config::DeploymentConfig};

const NODE: &str = "sathorn-1";
const RULES: &str = "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 400\n";
const ONE_ATTEMPT: &str =
    "[service]\nname = lyric-llm\n[deadlines]\nprogress_ms = 400\n[retries]\nmax_attempts = 1\n";

async fn start(engines: usize) -> Deployment {
    let deployment = Deployment::start(DeploymentConfig::with_engines(engines));
    deployment.wait_until_ready().await;
    assert!(deployment.publish(NODE, &[("lyric.ini", RULES)]).await);
    deployment
}

/// Guards against requests that wait on a dead connection, and against treating their healthy engine as failed.
#[actix_rt::test]
async fn a_request_on_a_silent_connection_is_served_over_a_new_one() {
    let deployment = start(1).await;
    // Half a second of prefill, so that the connection goes silent before the first byte.
    let text = "la ".repeat(13_333);
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        deployment.upstream_link(NODE, "lyric-llm-1").silence_existing();
    };
    let started = Instant::now();
    let (outcome, ()) = futures::future::join(send_prompt(&deployment, NODE, &text, 5), silence).await;
    assert!(outcome.matches_expected(&text, 5), "{outcome:?}");
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against a stream that stalls until the caller's deadline.
#[actix_rt::test]
async fn a_stream_that_goes_silent_midway_is_completed() {
    let deployment = start(2).await;
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        for engine in deployment.upstreams.engines.keys() {
            deployment.upstream_link(NODE, engine).silence_existing();
        }
    };
    let (outcome, ()) = futures::future::join(send_prompt(&deployment, NODE, "long", 200), silence).await;
    assert!(outcome.matches_expected("long", 200), "{outcome:?}");
}

/// Guards against plain requests that wait on a dead connection until the caller's deadline.
#[actix_rt::test]
async fn a_plain_request_on_a_silent_connection_is_served_over_a_new_one() {
    let deployment = start(1).await;
    let token = DeploymentConfig::token("opera-a");
    let send_lookup = |number: u64| {
        let url = format!("{}/services/booth-app/running-order/{number}", deployment.caller_url(NODE));
        let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
        let request = client.get(url).bearer_auth(&token);
        async move { request.send().await.unwrap().status().as_u16() }
    };
    assert_eq!(send_lookup(1).await, 200);
    deployment.upstream_link(NODE, "booth-app-1").silence_existing();
    let started = Instant::now();
    assert_eq!(send_lookup(2).await, 200);
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against ending a response because its only engine was silent for a while: before its first token, midway, and
/// with the last permitted attempt.
#[actix_rt::test]
async fn a_request_goes_on_when_its_only_engine_is_silent_for_a_while() {
    let deployment = start(1).await;
    let link = deployment.upstream_link(NODE, "lyric-llm-1");
    // Half a second of prefill, so that the link goes silent before the first token.
    let long = "la ".repeat(13_333);
    for (rules, text) in [(RULES, long.as_str()), (RULES, "midway"), (ONE_ATTEMPT, "last attempt")] {
        assert!(deployment.publish(NODE, &[("lyric.ini", rules)]).await);
        let silence = async {
            actix_rt::time::sleep(Duration::from_millis(150)).await;
            link.set_silent(true);
            actix_rt::time::sleep(Duration::from_millis(1_600)).await;
            link.set_silent(false);
        };
        let (outcome, ()) = futures::future::join(send_prompt(&deployment, NODE, text, 200), silence).await;
        assert!(outcome.matches_expected(text, 200), "{outcome:?}");
        let before_first_token = outcome.first_token > Some(Duration::from_millis(1_500));
        assert_eq!(before_first_token, text == long, "{:?}", outcome.first_token);
        assert!(outcome.total > Duration::from_millis(1_500), "{:?}", outcome.total);
    }
}
