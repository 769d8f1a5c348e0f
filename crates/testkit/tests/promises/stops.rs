//! Leaving upstreams (P7) and planned stops of all nodes, one after the other, under load (P8).

use std::time::{Duration, Instant};

use daisysill_testkit::{deployment::Deployment, deployment_config::DeploymentConfig};

use crate::support::{
    check_response, check_runs, config, fire_cue_at, publish_cue_rules, send_prompt_as, start_with,
};

/// Guards against a planned stop that cuts a stream or a claimed request, or refuses one within the balancer's notice
/// time.
#[actix_rt::test]
async fn a_planned_stop_of_each_node_in_turn_cuts_no_request() {
    let mut config: DeploymentConfig = config(4, 3, 4);
    config.engine.token_ms = 40;
    config.extra_node_settings = "balancer_notice_ms = 500\n".to_owned();
    let mut deployment = start_with(config).await;
    publish_cue_rules(&deployment).await;
    for plain in deployment.upstreams.plain.values() {
        plain.set_delay_ms(800);
    }
    for node in deployment.node_names() {
        let stopping = async {
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            deployment.node(&node).signal("TERM");
        };
        let text = |number: u64| format!("{node} {number}");
        let prompts = (0..30).map(|number| {
            let (deployment, node, text) = (&deployment, &node, text(number));
            async move {
                // The last of them arrive within the balancer's notice time.
                actix_rt::time::sleep(Duration::from_millis(number * 18)).await;
                (send_prompt_as(deployment, node, "opera-1", &text).await, text)
            }
        });
        let url = format!("{}/services/booth-app/cues/7/fire", deployment.caller_url(&node));
        let cues = (0..5).map(|number| fire_cue_at(url.clone(), text(number), text(number)));
        let prompts = futures::future::join_all(prompts);
        let cues = futures::future::join_all(cues);
        let (outcomes, responses, ()) = futures::future::join3(prompts, cues, stopping).await;
        for (outcome, text) in &outcomes {
            check_response(outcome, text, &[1]);
        }
        assert!(responses.iter().all(|response| response.status == 200), "{node}: {responses:?}");
        check_runs(&deployment, &responses);
        assert_eq!(deployment.wait_for_end(&node, Duration::from_secs(20)).await, Some(0));
        deployment.start_node(&node);
        deployment.wait_until_live().await;
    }
}

/// Time after which a leaving engine gets no new work (P7).
const NOTICE: Duration = Duration::from_secs(3);

/// What marks an engine as leaving: the platform's list, an operator's drain or its own refusals.
#[derive(Clone, Copy, Debug)]
enum LeavingSource {
    Listed,
    Drained,
    Refused,
}

/// Guards against new work for a leaving engine from any node, whatever the source: also from a node that has served
/// no request since and knows of a refusal only from the others.
#[actix_rt::test]
async fn a_leaving_engine_gets_no_new_work_from_any_node() {
    let deployment = start_with(config(4, 3, 4)).await;
    let names = deployment.node_names();
    deployment.platform.set_lag(Duration::from_secs(1));
    for (index, source) in
        [LeavingSource::Listed, LeavingSource::Drained, LeavingSource::Refused].into_iter().enumerate()
    {
        let id = format!("lyric-llm-{}", index + 1);
        let engine = &deployment.upstreams.engines[&id];
        send_prompts_until(&deployment, &names, Instant::now() + Duration::from_millis(500)).await;
        assert!(engine.completed() > 0, "{id} gets no work before it leaves");
        let left_at = Instant::now();
        match source {
            LeavingSource::Listed => deployment.platform.set_leaving(&id),
            LeavingSource::Drained => {
                let output = deployment.environment.cli(deployment.node(&names[1]), &["drain", &id]);
                assert!(output.status.success(), "{output:?}");
            }
            LeavingSource::Refused => engine.leave(),
        }
        send_prompts_until(&deployment, &names[..3], left_at + NOTICE).await;
        let refused = engine.records().refusals;
        send_prompts_until(&deployment, &names[3..], left_at + NOTICE + Duration::from_millis(700)).await;
        send_prompts_until(&deployment, &names, left_at + NOTICE + Duration::from_millis(1_200)).await;
        let late = engine.records().runs.iter().filter(|run| run.started_at > left_at + NOTICE).count();
        assert_eq!((late, engine.records().refusals), (0, refused), "{source:?}");
    }
}

/// Sends prompts through nodes in turn, many at a time, so that every engine in service gets work.
async fn send_prompts_until(deployment: &Deployment, nodes: &[String], deadline: Instant) {
    while Instant::now() < deadline {
        let prompts = nodes.iter().cycle().take(16).enumerate().map(|(number, node)| async move {
            let text = format!("question {number}");
            (send_prompt_as(deployment, node, "opera-1", &text).await, text)
        });
        for (outcome, text) in futures::future::join_all(prompts).await {
            check_response(&outcome, &text, &[1]);
        }
    }
}
