//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn line(&self, who: &str, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {who:9} {text}", self.now());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line("case", text);
        println!("{:8.3} {text}", self.now());
    }
}
