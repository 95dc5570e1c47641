//! Record of what was sent, answered and run.

use std::{
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Lines with the time since the start; shared by all parts.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.to_owned()));
    }

    /// Sleeps until a time of the record.
    pub fn sleep_until(&self, millis: u64) {
        let now = self.now();
        if millis > now {
            std::thread::sleep(Duration::from_millis(millis - now));
        }
    }

    /// Writes the lines to `record.txt` in a folder.
    pub fn write(&self, folder: &str) -> io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>8.3} s  {line}\n", *at as f64 / 1e3))
            .collect();
        std::fs::write(format!("{folder}/record.txt"), text)
    }
}
