//! The record of a case: what was sent, answered and run, in the order in which it was seen.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start of the case; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Replaces the record at a path.
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record cannot be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:>7} ms  {text}").expect("the record cannot be written");
    }
}
