//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    /// One in this many runs of workers is written.
    every: usize,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now(), every: 1 }
    }

    /// Returns a record for many runs of workers, of which one in `every` is written.
    pub fn sampled(&self, every: usize) -> Self {
        self.line(&format!("one in {every} of the runs is written"));
        Self { every, ..self.clone() }
    }

    /// Writes the run with this number, unless it is left out.
    pub fn run(&self, number: usize, text: &str) {
        if number % self.every == 0 {
            self.line(text);
        }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
    }
}
