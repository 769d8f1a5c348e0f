//! Origins of streams in drawn orders of stops and starts of the nodes that keep them, on the paused clock of the runtime.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    cell::RefCell,
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use daisysill_cluster::{OriginReceiver, OriginStore, report_to};
use daisysill_core::{ids::InstanceId, origin_log::ProcessId};
use daisysill_wire::peer::{ReportedOrigin, Spread, StreamOrigin};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep},
};

const CONTROLS: usize = 3;
const ENTRIES: usize = 3;
const SEEDS: u64 = 100;
const PHASES: usize = 12;
/// Time after the last disruption within which all control nodes hold what any node that stayed up held.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time in which an entry node leaves a control node that does not answer.
const SOURCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two stops of a rolling restart.
const ROLL_INTERVAL: Duration = Duration::from_secs(2);
/// Streams older than this need not be known anymore.
const KNOWN_TIME: Duration = Duration::from_secs(25);

/// The stores of the control nodes that run.
type Controls = Arc<Mutex<[Option<Arc<OriginStore>>; CONTROLS]>>;

/// A control node as the others reach it.
struct Control {
    controls: Controls,
    index: usize,
    spread: Spread,
}

impl Control {
    fn store(&self) -> Option<Arc<OriginStore>> {
        self.controls.lock().unwrap()[self.index].clone()
    }
}

impl OriginReceiver for Control {
    async fn report(&self, origins: Vec<ReportedOrigin>) -> Option<ProcessId> {
        let delay = Duration::from_millis(rand::random_range(1..5));
        sleep(delay).await;
        let process = self.store()?.record_reported(origins, self.spread);
        sleep(delay).await;
        // The answer of a process that has ended meanwhile is lost.
        self.store().map(|_| process)
    }
}

fn name(index: usize) -> InstanceId {
    format!("control-{index}").as_str().into()
}

/// Control nodes and entry nodes that report origins.
struct World {
    controls: Controls,
    entries: Vec<Arc<OriginStore>>,
    /// The control node that each entry node turns to.
    sources: RefCell<Vec<usize>>,
    tasks: RefCell<JoinSet<()>>,
    /// Reporters of the control nodes and of the entry nodes.
    reporters: RefCell<BTreeMap<(bool, usize), Vec<AbortHandle>>>,
    /// When each stream began, and the entry node, if its process still runs.
    began: RefCell<BTreeMap<u64, (Instant, Option<usize>)>>,
}

impl World {
    fn start() -> Self {
        let world = Self {
            controls: Controls::default(),
            entries: (0..ENTRIES).map(|_| Arc::default()).collect(),
            sources: RefCell::new(vec![0; ENTRIES]),
            tasks: RefCell::default(),
            reporters: RefCell::default(),
            began: RefCell::default(),
        };
        (0..CONTROLS).for_each(|index| world.start_control(index));
        (0..ENTRIES).for_each(|entry| world.turn_to(entry, entry % CONTROLS));
        world
    }

    fn control(&self, index: usize, spread: Spread) -> Control {
        Control { controls: Arc::clone(&self.controls), index, spread }
    }

    fn report(&self, reporter: (bool, usize), store: &Arc<OriginStore>, control: Control) {
        let store = Arc::clone(store);
        let task = async move { report_to(&store, &name(control.index), &control).await };
        let handle = self.tasks.borrow_mut().spawn(task);
        self.reporters.borrow_mut().entry(reporter).or_default().push(handle);
    }

    fn stop_reporters(&self, reporter: (bool, usize)) {
        let handles = self.reporters.borrow_mut().remove(&reporter).unwrap_or_default();
        handles.iter().for_each(AbortHandle::abort);
    }

    fn start_control(&self, index: usize) {
        let store = Arc::new(OriginStore::default());
        self.controls.lock().unwrap()[index] = Some(Arc::clone(&store));
        for other in (0..CONTROLS).filter(|other| *other != index) {
            self.report((true, index), &store, self.control(other, Spread::None));
        }
    }

    fn stop_control(&self, index: usize) {
        self.controls.lock().unwrap()[index] = None;
        self.stop_reporters((true, index));
    }

    fn turn_to(&self, entry: usize, control: usize) {
        self.stop_reporters((false, entry));
        self.sources.borrow_mut()[entry] = control;
        let control = self.control(control, Spread::ToControlNodes);
        self.report((false, entry), &self.entries[entry], control);
    }

    /// Lets entry nodes whose control node is down turn to another one.
    fn choose_sources(&self) {
        for entry in 0..ENTRIES {
            let source = self.sources.borrow()[entry];
            let running = self.controls.lock().unwrap().clone();
            if running[source].is_none()
                && let Some(next) = running.iter().position(Option::is_some)
            {
                self.turn_to(entry, next);
            }
        }
    }

    async fn pass(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(SOURCE_INTERVAL.min(end - Instant::now())).await;
            self.choose_sources();
        }
    }

    fn begin_streams(&self, random: &mut StdRng) {
        for _ in 0..random.random_range(1..40) {
            let stream = random.random();
            let origin = StreamOrigin { stream, software: format!("v{}", stream % 3).as_str().into() };
            let entry = random.random_range(0..ENTRIES);
            self.entries[entry].record(vec![origin], Spread::ToControlNodes);
            self.began.borrow_mut().insert(stream, (Instant::now(), Some(entry)));
        }
    }

    /// Ends the process of an entry node, with all that it knew, and starts it again.
    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = Arc::default();
        for (_, holder) in self.began.borrow_mut().values_mut() {
            holder.take_if(|holder| *holder == entry);
        }
        let source = self.sources.borrow()[entry];
        self.turn_to(entry, source);
    }

    /// Checks that each running control node knows each recent stream.
    fn check(&self, what: &str) {
        let controls = self.controls.lock().unwrap().clone();
        for (stream, (began, _)) in self.began.borrow().iter() {
            if began.elapsed() > KNOWN_TIME {
                continue;
            }
            for (index, control) in controls.iter().enumerate() {
                let known = control.as_ref().unwrap().find(*stream);
                let expected = format!("v{}", stream % 3).as_str().into();
                assert_eq!(known, Some(expected), "{what}: control node {index}, stream {stream}");
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// Control nodes are restarted one after the other, and entry nodes in between.
    Roll,
    /// All control nodes are killed at one moment, while entry nodes run.
    KillAll,
    /// Two control nodes are down at overlapping times.
    Overlap,
    /// An entry node is killed.
    Entry,
}

async fn disrupt(world: &mut World, random: &mut StdRng, disruption: Disruption) {
    let down = Duration::from_millis(random.random_range(50..900));
    let mut order: Vec<usize> = (0..CONTROLS).collect();
    order.shuffle(random);
    match disruption {
        Disruption::Roll => {
            for index in order {
                world.stop_control(index);
                world.pass(Duration::from_millis(random.random_range(50..400))).await;
                world.start_control(index);
                world.begin_streams(random);
                world.pass(ROLL_INTERVAL).await;
                if random.random_bool(0.3) {
                    world.restart_entry(random.random_range(0..ENTRIES));
                }
            }
        }
        Disruption::KillAll => {
            for index in &order {
                world.stop_control(*index);
            }
            // Only control nodes knew the streams whose entry node has ended.
            world.began.borrow_mut().retain(|_, (_, holder)| holder.is_some());
            for index in order {
                world.pass(down / 3).await;
                world.start_control(index);
            }
        }
        Disruption::Overlap => {
            world.stop_control(order[0]);
            world.pass(down / 2).await;
            world.stop_control(order[1]);
            world.begin_streams(random);
            world.pass(down / 2).await;
            world.start_control(order[0]);
            world.pass(down / 2).await;
            world.start_control(order[1]);
        }
        Disruption::Entry => world.restart_entry(random.random_range(0..ENTRIES)),
    }
}

/// Guards against origins that are told once, so that they are lost with the processes that were told: of all orders in which control
/// nodes and entry nodes end and start anew, as long as a node that holds them stays up for the time of a report.
#[tokio::test(start_paused = true)]
async fn origins_outlive_restarts_in_drawn_orders() {
    let kinds = [Disruption::Roll, Disruption::KillAll, Disruption::Overlap, Disruption::Entry];
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::start();
        for phase in 0..PHASES {
            world.begin_streams(&mut random);
            world.pass(SETTLE_TIME).await;
            let disruption = kinds[random.random_range(0..kinds.len())];
            disrupt(&mut world, &mut random, disruption).await;
            world.pass(SETTLE_TIME).await;
            world.check(&format!("seed {seed}, phase {phase}, {disruption:?}"));
        }
    }
}
