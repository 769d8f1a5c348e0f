//! Benchmark of the time that decisions take, and simulations of routing with stale load reports and of exports.
//!
//! Run with `cargo run --release -p daisysill-core --example decision_cost`.

#[path = "decision_cost/admission_cost.rs"]
mod admission_cost;
#[path = "decision_cost/placement_cost.rs"]
mod placement_cost;
#[path = "decision_cost/regret.rs"]
mod regret;
#[path = "decision_cost/retention.rs"]
mod retention;
#[path = "decision_cost/route_cost.rs"]
mod route_cost;
#[path = "decision_cost/timing.rs"]
mod timing;

fn main() {
    println!("# decision, case, median us, p99 us, count");
    for upstreams in [24, 440, 4_400] {
        route_cost::print(upstreams);
        placement_cost::print(upstreams);
    }
    for customers in [10, 5_600] {
        admission_cost::print(customers);
    }
    println!(
        "# exported percent of bytes, percent of returning tokens computed again: oldest first, by value"
    );
    retention::print();
    if std::env::args().any(|arg| arg == "--no-regret") {
        return;
    }
    println!(
        "# scenario, report interval ms, method, mean and p95 of (time to first token - best) in ms; 7 deciders"
    );
    regret::print();
}
