//! The log: one JSON object a line, written by a thread of its own.
//!
//! A line never waits for its reader: beyond a bounded queue lines are dropped
//! and counted, and the count is told with the next line that is written.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fern::Dispatch;
use log::{
    LevelFilter, Record,
    kv::{self, VisitSource},
};
use serde_json::{Map, Value};
use serve::{LogLevel, LogSettings, LogTarget};

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(50);
/// Time that the end of a process waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// The writer of this process.
static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// The queue towards the writing thread.
struct LogWriter {
    lines: Mutex<Option<SyncSender<String>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    dropped: Arc<AtomicU64>,
}

/// Starts the log. A second start in one process does nothing.
pub fn start(settings: &LogSettings) {
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let target = settings.target;
    WRITER.get_or_init(|| LogWriter::start(target));
    let output = fern::Output::call(|record| {
        if let Some(writer) = WRITER.get() {
            writer.write(record.args().to_string());
        }
    });
    let dispatch = Dispatch::new()
        .format(|out, message, record| {
            let text = message.to_string();
            out.finish(format_args!("{}", line_of(&text, record)));
        })
        .level(level)
        .chain(output);
    let _ = dispatch.apply();
}

/// Writes what is left, at the end of the process.
pub fn finish() {
    if let Some(writer) = WRITER.get() {
        writer.finish();
    }
}

/// A record as one JSON object: time, level, part, its own fields, text.
fn line_of(message: &str, record: &Record<'_>) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |time| time.as_millis() as u64);
    let (part, text) = message.split_once(": ").unwrap_or(("", message));
    let mut fields = Map::new();
    fields.insert("ms".to_owned(), millis.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("part".to_owned(), part.into());
    fields.insert("text".to_owned(), text.into());
    let mut collector = FieldCollector(&mut fields);
    let _ = record.key_values().visit(&mut collector);
    Value::Object(fields).to_string()
}

/// Collects the fields of a record.
struct FieldCollector<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => number.into(),
            (None, Some(number)) => number.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl LogWriter {
    /// Starts the writing thread.
    fn start(target: LogTarget) -> Self {
        let (sender, lines) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let thread =
            std::thread::Builder::new()
                .name("log".to_owned())
                .spawn(move || match target {
                    LogTarget::Stderr => write_lines(&lines, io::stderr(), &counter),
                    LogTarget::Stdout => write_lines(&lines, io::stdout(), &counter),
                });
        Self {
            lines: Mutex::new(Some(sender)),
            thread: Mutex::new(thread.ok()),
            dropped,
        }
    }

    /// Queues a line, or counts it as dropped.
    fn write(&self, line: String) {
        let lines = self
            .lines
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let sent = lines.as_ref().map(|sender| sender.try_send(line));
        if !matches!(sent, Some(Ok(()))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes the queue and waits a short while for its end.
    fn finish(&self) {
        let lines = self.lines.lock().map(|mut lines| lines.take());
        drop(lines);
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        let Some(thread) = thread else {
            return;
        };
        let end = std::time::Instant::now() + FLUSH_LIMIT;
        while !thread.is_finished() && std::time::Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Writes lines until the queue is closed, several at a time.
fn write_lines(lines: &Receiver<String>, mut out: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.push('\n');
        let closed = gather(lines, &mut text);
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!(
                "{{\"level\":\"WARN\",\"part\":\"log\",\"dropped\":{lost}}}\n"
            ));
        }
        // Nobody is left to tell of a log that can't be written.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if closed {
            return;
        }
    }
}

/// Takes what comes within a moment; true if the queue is closed.
fn gather(lines: &Receiver<String>, text: &mut String) -> bool {
    std::thread::sleep(GATHER);
    loop {
        match lines.recv_timeout(Duration::ZERO) {
            Ok(line) => {
                text.push_str(&line);
                text.push('\n');
            }
            Err(RecvTimeoutError::Timeout) => return false,
            Err(RecvTimeoutError::Disconnected) => return true,
        }
    }
}
