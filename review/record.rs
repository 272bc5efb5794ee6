//! The record of a run: one line for each event, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes an event to the record.
    pub fn event(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }

    /// Writes an event to the record and to standard output.
    pub fn note(&self, text: &str) {
        println!("{:8.3} s  {text}", self.now());
        self.event(text);
    }
}
