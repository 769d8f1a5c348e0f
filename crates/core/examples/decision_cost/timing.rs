//! Timing of individual calls.

use std::{hint::black_box, time::Instant};

/// Times `count` calls of `run` one by one and prints the median and the 99th percentile in microseconds.
pub(crate) fn print_times<T>(decision: &str, case: &str, count: usize, mut run: impl FnMut(usize) -> T) {
    let mut nanos: Vec<u128> = (0..count)
        .map(|at| {
            let start = Instant::now();
            black_box(run(at));
            start.elapsed().as_nanos()
        })
        .collect();
    nanos.sort_unstable();
    let micros = |at: usize| nanos[at] as f64 / 1_000.0;
    println!("{decision}, {case}, {:.2}, {:.2}, {count}", micros(count / 2), micros(count * 99 / 100));
}
