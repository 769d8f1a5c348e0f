//! Upstreams that leave (P7) and nodes that are stopped as planned, one after the other, under load (P8).

use std::time::{Duration, Instant};

use daisysill_testkit::{deployment::Deployment, deployment_config::DeploymentConfig};

use crate::support::{ask_as, check_answer, check_runs, config, fire_at, publish_cue_rules, start_with};

/// Guards against a planned stop that cuts a stream or a claimed call, or refuses one before the balancer knows.
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
        let asked = (0..30).map(|number| {
            let (deployment, node, text) = (&deployment, &node, text(number));
            async move {
                // The last of them come in the balancer's notice time.
                actix_rt::time::sleep(Duration::from_millis(number * 18)).await;
                (ask_as(deployment, node, "opera-1", &text).await, text)
            }
        });
        let url = format!("{}/services/booth-app/cues/7/fire", deployment.caller_url(&node));
        let fired = (0..5).map(|number| fire_at(url.clone(), text(number), text(number)));
        let asked = futures::future::join_all(asked);
        let fired = futures::future::join_all(fired);
        let (answers, told, ()) = futures::future::join3(asked, fired, stopping).await;
        for (outcome, text) in &answers {
            check_answer(outcome, text, &[1]);
        }
        assert!(told.iter().all(|told| told.status == 200), "{node}: {told:?}");
        check_runs(&deployment, &told);
        assert_eq!(deployment.wait_for_end(&node, Duration::from_secs(20)).await, Some(0));
        deployment.start_node(&node);
        deployment.wait_until_live().await;
    }
}

/// Promise P7.
const NOTICE: Duration = Duration::from_secs(3);

/// Who says that an engine leaves.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Listed,
    Drained,
    Refuses,
}

/// Guards against new work for an engine that leaves, whoever says so, on any node: also on one that has had no
/// request since and knows of a refusal only from the others.
#[actix_rt::test]
async fn an_engine_that_leaves_gets_no_new_work_from_any_node() {
    let deployment = start_with(config(4, 3, 4)).await;
    let names = deployment.node_names();
    deployment.platform.set_lag(Duration::from_secs(1));
    for (index, cause) in [Cause::Listed, Cause::Drained, Cause::Refuses].into_iter().enumerate() {
        let id = format!("lyric-llm-{}", index + 1);
        let engine = &deployment.upstreams.engines[&id];
        ask_until(&deployment, &names, Instant::now() + Duration::from_millis(500)).await;
        assert!(engine.completed() > 0, "{id} gets no work before it leaves");
        let left = Instant::now();
        match cause {
            Cause::Listed => deployment.platform.set_leaving(&id),
            Cause::Drained => {
                let output = deployment.environment.cli(deployment.node(&names[1]), &["drain", &id]);
                assert!(output.status.success(), "{output:?}");
            }
            Cause::Refuses => engine.leave(),
        }
        ask_until(&deployment, &names[..3], left + NOTICE).await;
        let refused = engine.records().refusals;
        ask_until(&deployment, &names[3..], left + NOTICE + Duration::from_millis(700)).await;
        ask_until(&deployment, &names, left + NOTICE + Duration::from_millis(1_200)).await;
        let late = engine.records().runs.iter().filter(|run| run.started_at > left + NOTICE).count();
        assert_eq!((late, engine.records().refusals), (0, refused), "{cause:?}");
    }
}

/// Keeps asking through nodes in turn, many at a time, so that every engine in service gets work.
async fn ask_until(deployment: &Deployment, nodes: &[String], end: Instant) {
    while Instant::now() < end {
        let asked = nodes.iter().cycle().take(16).enumerate().map(|(number, node)| async move {
            let text = format!("question {number}");
            (ask_as(deployment, node, "opera-1", &text).await, text)
        });
        for (outcome, text) in futures::future::join_all(asked).await {
            check_answer(&outcome, &text, &[1]);
        }
    }
}
