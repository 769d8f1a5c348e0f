//! Planned stops of voters whose successors hold the log, with losses and joins in drawn orders, on the paused clock of the runtime.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use daisysill_control::{Handover, Input, ReplicaStatus, Role, VoterChange};
use daisysill_core::{
    ids::InstanceId,
    voters::{Membership, should_request_join},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

use crate::sim::{Sim, TARGET_VOTERS};

const VOTERS: [&str; 3] = ["a", "b", "c"];
const SUCCESSORS: [&str; 4] = ["s1", "s2", "s3", "s4"];
const SEEDS: u64 = 200;
/// Step of the simulated clock.
const STEP_MS: u64 = 10;
/// Interval of the membership checks while nothing is to stop, and else.
const CHECK_MS: u64 = 250;
const LEAVING_CHECK_MS: u64 = 20;
/// Time for which successors run before the first stop.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);
/// Stops, losses and joins begin within this time.
const EVENTS_MS: u64 = 3_000;
/// Time that a process has to stop.
const GRACE_TIME: Duration = Duration::from_secs(6);
/// Time after the last event in which there must be a leader.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// A cluster whose time passes with the runtime's clock.
struct World {
    sim: RefCell<Sim>,
    is_over: Cell<bool>,
    /// Stops that used up their time.
    late_stops: RefCell<Vec<String>>,
}

impl World {
    fn status(&self, name: &str) -> Option<ReplicaStatus> {
        Some(self.sim.borrow().nodes.get(&name.into())?.replica.as_ref()?.status())
    }

    /// Lets time pass, and does what each node does at a check of the membership.
    async fn run(self: Rc<Self>) {
        let mut next_check_ms = 0;
        while !self.is_over.get() {
            sleep(Duration::from_millis(STEP_MS)).await;
            let mut sim = self.sim.borrow_mut();
            sim.run_without_faults(STEP_MS);
            if sim.now_ms >= next_check_ms {
                let has_leaving = check_membership(&mut sim);
                next_check_ms = sim.now_ms + if has_leaving { LEAVING_CHECK_MS } else { CHECK_MS };
            }
        }
    }

    /// Stops a node as planned: it goes on until its vote is handed over, or its time is over.
    async fn stop(self: Rc<Self>, name: &'static str, at: Instant) {
        tokio::time::sleep_until(at).await;
        self.sim.borrow_mut().step(&name.into(), Input::Leave);
        let begun = Instant::now();
        loop {
            sleep(Duration::from_millis(STEP_MS)).await;
            let Some(status) = self.status(name) else { return };
            if status.handover == Handover::Ended {
                break;
            }
            if begun.elapsed() >= GRACE_TIME {
                self.late_stops.borrow_mut().push(format!("{name}: {status:?}"));
                break;
            }
        }
        self.sim.borrow_mut().crash(&name.into());
    }

    async fn lose(self: Rc<Self>, name: &'static str, at: Instant) {
        tokio::time::sleep_until(at).await;
        self.sim.borrow_mut().crash(&name.into());
    }

    async fn join(self: Rc<Self>, name: &'static str, at: Instant) {
        tokio::time::sleep_until(at).await;
        self.sim.borrow_mut().add(name);
    }

    /// Starts a node again that was stopped, if it has ended.
    async fn restart(self: Rc<Self>, name: &'static str, at: Instant) {
        tokio::time::sleep_until(at).await;
        if self.status(name).is_none() {
            self.sim.borrow_mut().start(&name.into());
        }
    }

    /// Returns whether a leader accepts a change.
    async fn accepts_change(&self, change: &str) -> bool {
        let Some(leader) = self.sim.borrow().leader() else { return false };
        let proposal_id = self.sim.borrow_mut().propose_drain(&leader, change);
        sleep(Duration::from_millis(500)).await;
        self.sim.borrow().replies.get(&proposal_id).is_some_and(Result::is_ok)
    }
}

/// Does what each node does at a check of the membership; returns whether a node is to stop.
fn check_membership(sim: &mut Sim) -> bool {
    let names: Vec<InstanceId> = sim.nodes.keys().cloned().collect();
    let mut has_leaving = false;
    for name in names {
        let Some(status) = sim.nodes[&name].replica.as_ref().map(daisysill_control::Replica::status) else {
            continue;
        };
        has_leaving |= status.has_leaving();
        let join = |own| {
            let is_due = should_request_join(own, status.leader_silent_ms);
            is_due.then(|| VoterChange::AddLearner(name.clone()))
        };
        let change = match status.role {
            Role::Leader => status.due_change(&name, TARGET_VOTERS),
            _ if status.handover != Handover::NotRequested => None,
            Role::Learner if status.voters.learners.contains(&name) => join(Membership::Learner),
            Role::Learner => join(Membership::Outside),
            Role::Follower | Role::Candidate => join(Membership::Voter),
            Role::Halted => None,
        };
        if let (Some(change), Some(leader)) = (change, sim.leader()) {
            sim.change_voters(&leader, change);
        }
    }
    has_leaving
}

/// What happens in one run, in ms from the time at which the successors hold the log.
#[derive(Debug)]
struct Plan {
    /// Learners that hold the log, at least one for each stop.
    successors: usize,
    stops: Vec<(&'static str, u64)>,
    /// The loss of one further node.
    loss: Option<(&'static str, u64)>,
    /// A node that is new, and a stopped one that starts again.
    join: Option<(&'static str, u64)>,
    restart: Option<(&'static str, u64)>,
}

impl Plan {
    fn draw(random: &mut StdRng) -> Self {
        let mut voters = VOTERS;
        voters.shuffle(random);
        let stopping = random.random_range(1..=VOTERS.len());
        let at_one_moment = random.random_bool(0.3);
        let first_ms = random.random_range(0..EVENTS_MS);
        let mut stop_at = || if at_one_moment { first_ms } else { random.random_range(0..EVENTS_MS) };
        let stops: Vec<_> = voters[..stopping].iter().map(|name| (*name, stop_at())).collect();
        let spare = usize::from(random.random_bool(0.3));
        let successors = stopping + spare;
        let lost: Vec<&str> = voters[stopping..].iter().chain(&SUCCESSORS[..successors]).copied().collect();
        // A lost learner leaves fewer successors than stops: then a voter that ends is away, as without a successor.
        let lost = lost[random.random_range(0..lost.len())];
        let may_be_lost = !SUCCESSORS.contains(&lost) || spare > 0;
        let loss_ms = random.random_range(0..EVENTS_MS + 2_000);
        let loss_ms = if may_be_lost { loss_ms } else { EVENTS_MS + 1_000 };
        let (new, may_join) = (SUCCESSORS[SUCCESSORS.len() - 1], successors < SUCCESSORS.len());
        let join = (may_join && random.random_bool(0.3)).then(|| (new, random.random_range(0..EVENTS_MS)));
        let restart = random.random_bool(0.3).then(|| (stops[0].0, EVENTS_MS + 500));
        Self { successors, loss: random.random_bool(0.5).then_some((lost, loss_ms)), join, restart, stops }
    }

    /// Returns the stop of one voter and, a second later, the loss of another.
    fn stop_and_loss(stopped: &'static str, lost: &'static str) -> Self {
        Self {
            successors: 1,
            stops: vec![(stopped, 0)],
            loss: Some((lost, 1_000)),
            join: None,
            restart: None,
        }
    }

    /// Returns the stops of several voters, each `gap_ms` after the one before.
    fn stops(names: &[&'static str], gap_ms: u64) -> Self {
        let stops = names.iter().zip(0..).map(|(name, number)| (*name, number * gap_ms)).collect();
        Self { successors: names.len(), stops, loss: None, join: None, restart: None }
    }
}

/// Runs a plan; returns what went wrong.
async fn run(plan: &Plan, seed: u64) -> Result<(), String> {
    let mut sim = Sim::new(&VOTERS, seed);
    sim.bootstrap(&VOTERS);
    for name in &SUCCESSORS[..plan.successors] {
        sim.add(name);
    }
    let (sim, late_stops) = (RefCell::new(sim), RefCell::default());
    let world = Rc::new(World { sim, is_over: Cell::new(false), late_stops });
    let running = spawn_local(Rc::clone(&world).run());
    sleep(CATCH_UP_TIME).await;
    let accepted = world.accepts_change("before").await;
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut events = Vec::new();
    for (name, ms) in &plan.stops {
        events.push(spawn_local(Rc::clone(&world).stop(name, at(*ms))));
    }
    if let Some((name, ms)) = plan.loss {
        events.push(spawn_local(Rc::clone(&world).lose(name, at(ms))));
    }
    if let Some((name, ms)) = plan.join {
        events.push(spawn_local(Rc::clone(&world).join(name, at(ms))));
    }
    if let Some((name, ms)) = plan.restart {
        events.push(spawn_local(Rc::clone(&world).restart(name, at(ms))));
    }
    for event in events {
        event.await.unwrap();
    }
    sleep(RECOVERY_TIME).await;
    let recovered = world.accepts_change("after").await;
    world.is_over.set(true);
    running.await.unwrap();
    let late = world.late_stops.borrow();
    if !accepted {
        return Err("no change was accepted before the stops".to_owned());
    }
    if !recovered {
        let all = VOTERS.iter().chain(&SUCCESSORS).filter_map(|name| Some((*name, world.status(name)?)));
        let voters: Vec<_> = all.map(|(name, status)| (name, status.role, status.voters)).collect();
        return Err(format!("no majority is left: {voters:?}"));
    }
    if late.is_empty() { Ok(()) } else { Err(format!("stops used up their time: {late:?}")) }
}

async fn check(plans: impl IntoIterator<Item = (u64, Plan)>) {
    LocalSet::new()
        .run_until(async {
            for (seed, plan) in plans {
                if let Err(failure) = run(&plan, seed).await {
                    panic!("seed {seed}, {plan:?}: {failure}");
                }
            }
        })
        .await;
}

/// Guards against planned stops after which no majority is left for good, though other nodes hold the whole log: of two or all
/// voters, one after the other or at one moment, the leader among them.
#[tokio::test(start_paused = true)]
async fn planned_stops_leave_a_majority() {
    let mut plans = Vec::new();
    for gap_ms in [0, 10, 300, 1_000, 2_500] {
        for seed in 0..5 {
            plans.extend([["a", "b"], ["b", "c"], ["c", "a"]].map(|pair| (seed, Plan::stops(&pair, gap_ms))));
            plans.push((seed, Plan::stops(&["a", "b", "c"], gap_ms)));
        }
    }
    check(plans).await;
}

/// Guards against a planned stop that leaves no majority if another voter is lost without notice a second later.
#[tokio::test(start_paused = true)]
async fn a_loss_after_a_planned_stop_leaves_a_majority() {
    let pairs = VOTERS.iter().flat_map(|stopped| VOTERS.iter().map(move |lost| (*stopped, *lost)));
    let pairs = pairs.filter(|(stopped, lost)| stopped != lost);
    check(
        pairs.flat_map(|(stopped, lost)| (0..5).map(move |seed| (seed, Plan::stop_and_loss(stopped, lost)))),
    )
    .await;
}

/// Guards against the same in any order and overlap of stops, a loss, a join, and a stopped node that starts again.
#[tokio::test(start_paused = true)]
async fn stops_losses_and_joins_in_drawn_orders_leave_a_majority() {
    check((0..SEEDS).map(|seed| (seed, Plan::draw(&mut StdRng::seed_from_u64(seed))))).await;
}

/// Guards against a planned stop that waits although nobody can take the vote over, also where there are fewer voters than the
/// target.
#[test]
fn a_voter_without_a_successor_stops_at_once() {
    for voters in [&VOTERS[..1], &VOTERS[..2], &VOTERS[..3]] {
        for name in voters {
            let mut sim = Sim::new(voters, 1);
            sim.bootstrap(voters);
            sim.step(&(*name).into(), Input::Leave);
            let status = sim.nodes[&(*name).into()].replica.as_ref().unwrap().status();
            assert_eq!(status.handover, Handover::Ended, "{name} of {voters:?}: {status:?}");
        }
    }
}
