//! Rules that change while requests are in progress on kept connections.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use daisysill_testkit::{
    caller::{PromptRequest, prompt},
    deployment::Deployment,
    deployment_config::DeploymentConfig,
};

const NODE: &str = "sathorn-1";
const TOKEN: &str = "opera-a-token";
const CALLERS_OF_EACH_KIND: usize = 10;
const CHANGES: u64 = 60;
const CHANGES_TIMEOUT: Duration = Duration::from_mins(1);
const MAX_TOKENS: u32 = 100;
const DEADLINE: Duration = Duration::from_secs(10);

/// Returns rules that differ from those before in deadlines, attempts, shares, and the calls that run at most once.
fn changing_rules(number: u64) -> [(&'static str, String); 2] {
    let lyric = format!(
        "[service]\nname = lyric-llm\n[deadlines]\nrequest_ms = {}\nprogress_ms = {}\n[retries]\nmax_attempts = {}\n\
         [shares]\nopera-a = {}\n",
        [20_000, 12_000][usize::from(number % 2 == 1)],
        [3_000, 500][usize::from(number % 2 == 1)],
        1 + number % 3,
        1 + number % 5,
    );
    let extra = if number.is_multiple_of(2) { "" } else { ", PUT /scenes/*" };
    let booth = format!(
        "[service]\nname = booth-app\n[never_twice]\ncalls = POST /cues/*/fire{extra}\nkeep_s = {}\n",
        3_600 + number
    );
    [("lyric.ini", lyric), ("booth.ini", booth)]
}

/// What all callers share.
struct Load {
    url: String,
    running: Cell<bool>,
    served: Cell<usize>,
    failures: RefCell<Vec<String>>,
}

impl Load {
    fn record(&self, is_served: bool, description: impl FnOnce() -> String) {
        if is_served {
            self.served.set(self.served.get() + 1);
        } else {
            self.failures.borrow_mut().push(description());
        }
    }

    async fn send_prompts(&self, caller: usize) {
        let client = Client::default();
        let mut number = 0;
        while self.running.get() {
            number += 1;
            let text = format!("scene {caller} {number}");
            let request = PromptRequest {
                url: &self.url,
                token: TOKEN,
                model: "lyric-llm",
                prompt: &text,
                max_tokens: MAX_TOKENS,
                deadline: DEADLINE,
            };
            let outcome = prompt(&client, &request).await;
            self.record(outcome.matches_expected(&text, MAX_TOKENS), || format!("{text}: {outcome:?}"));
        }
    }

    async fn send_lookups(&self, caller: usize) {
        let client = Client::builder().timeout(DEADLINE).finish();
        while self.running.get() {
            let url = format!("{}/services/booth-app/running-order/{caller}", self.url);
            let result = client.get(url).bearer_auth(TOKEN).send().await;
            let status = result.map(|response| response.status().as_u16());
            self.record(matches!(status, Ok(200)), || format!("lookup {caller}: {status:?}"));
        }
    }

    /// Returns the cues that it sent, with whether they were served; the others were refused as not run.
    async fn send_cues(&self, caller: usize) -> Vec<(String, bool)> {
        let client = Client::builder().timeout(DEADLINE).finish();
        let mut sent = Vec::new();
        while self.running.get() {
            let cue = format!("cue {caller} {}", sent.len());
            let request = client.post(format!("{}/services/booth-app/cues/7/fire", self.url));
            let request = request.bearer_auth(TOKEN).insert_header(("idempotency-key", cue.as_str()));
            let result = request.send_body(cue.clone()).await.map(|response| {
                let code = response.headers().get("x-daisysill-result-code");
                (response.status().as_u16(), code.map(|code| code.as_bytes().to_vec()))
            });
            let is_served = matches!(result, Ok((200, _)));
            // Without a majority in time, a cue is not sent.
            let is_refused = matches!(&result, Ok((503, Some(code))) if code == b"1304");
            if !is_refused {
                self.record(is_served, || format!("{cue}: {result:?}"));
            }
            sent.push((cue, is_served));
        }
        sent
    }
}

/// Guards against requests without an answer, streams that are cut, and calls that run twice, while the rules of their
/// services change.
#[actix_rt::test]
async fn requests_beside_rule_changes_are_served() {
    let deployment = Deployment::start(DeploymentConfig::with_engines(2));
    deployment.wait_until_ready().await;
    assert!(deployment.publish(NODE, &changing_rules(0)).await);
    let load = Rc::new(Load {
        url: deployment.caller_url(NODE),
        running: Cell::new(true),
        served: Cell::new(0),
        failures: RefCell::default(),
    });
    let (mut callers, mut cue_callers) = (Vec::new(), Vec::new());
    for caller in 0..CALLERS_OF_EACH_KIND {
        let (prompts, lookups, cues) = (Rc::clone(&load), Rc::clone(&load), Rc::clone(&load));
        callers.push(actix_rt::spawn(async move { prompts.send_prompts(caller).await }));
        callers.push(actix_rt::spawn(async move { lookups.send_lookups(caller).await }));
        cue_callers.push(actix_rt::spawn(async move { cues.send_cues(caller).await }));
    }
    let start = Instant::now();
    for number in 1..=CHANGES {
        while !deployment.publish(NODE, &changing_rules(number)).await {
            assert!(start.elapsed() < CHANGES_TIMEOUT, "change {number}");
        }
    }
    println!("{CHANGES} changes in {:?}, {} requests served", start.elapsed(), load.served.get());
    load.running.set(false);
    for caller in callers {
        caller.await.unwrap();
    }
    let mut cues = Vec::new();
    for caller in cue_callers {
        cues.extend(caller.await.unwrap());
    }
    let failures = load.failures.take();
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
    let refused = cues.iter().filter(|(_, is_served)| !is_served).count();
    assert!(refused * 10 < cues.len(), "{refused} of {} cues refused", cues.len());
    for (cue, is_served) in cues {
        let runs = deployment.upstreams.plain["booth-app-1"].runs(&cue);
        assert_eq!(runs, u64::from(is_served), "{cue}");
    }
    assert!(load.served.get() > CALLERS_OF_EACH_KIND * 10, "{} requests served", load.served.get());
}
