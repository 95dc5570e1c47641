//! What was sent, answered and run, on one clock.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{text}");
    }

    /// Writes a line with its time, to the output too.
    pub fn say(&self, text: &str) {
        let text = format!("{:>7} ms  {text}", self.now());
        println!("{text}");
        self.line(&text);
    }
}
