//! Writes the log, one JSON object per line, on a separate thread.
//!
//! Logging never blocks the caller. While the bounded queue is full, lines are
//! dropped and counted; the count is written after the next lines.

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

/// Maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// Time during which lines are collected before they are written together.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Time limit for writing the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Log writer of this process.
static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Queue of lines to the thread that writes them.
struct LogWriter {
    /// Sender of the queue; `None` once the queue is closed.
    lines: Mutex<Option<SyncSender<String>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    /// Number of lines dropped since the count was last written.
    dropped: Arc<AtomicU64>,
}

/// Starts the log; has no effect if the log of this process is already started.
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
            out.finish(format_args!("{}", format_line(&text, record)));
        })
        .level(level)
        .chain(output);
    let _ = dispatch.apply();
}

/// Writes the remaining lines at the end of the process, within a time limit.
pub fn finish() {
    if let Some(writer) = WRITER.get() {
        writer.finish();
    }
}

/// Returns a record as a JSON object with its time, level, part, text and fields.
fn format_line(message: &str, record: &Record<'_>) -> String {
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

/// Collects the structured fields of a record.
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
    /// Starts the thread that writes the lines.
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

    /// Queues a line, or counts it as dropped if the queue is full or closed.
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

    /// Closes the queue and waits up to [`FLUSH_TIMEOUT`] for the last lines.
    fn finish(&self) {
        let lines = self.lines.lock().map(|mut lines| lines.take());
        drop(lines);
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        let Some(thread) = thread else {
            return;
        };
        let end = std::time::Instant::now() + FLUSH_TIMEOUT;
        while !thread.is_finished() && std::time::Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Writes lines in batches until the queue is closed.
fn write_lines(lines: &Receiver<String>, mut out: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.push('\n');
        let closed = collect_batch(lines, &mut text);
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!(
                "{{\"level\":\"WARN\",\"part\":\"log\",\"dropped\":{lost}}}\n"
            ));
        }
        // There is no other place to report that the log cannot be written.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if closed {
            return;
        }
    }
}

/// Appends the lines that arrive within [`BATCH_TIME`]; returns whether the
/// queue is closed.
fn collect_batch(lines: &Receiver<String>, text: &mut String) -> bool {
    std::thread::sleep(BATCH_TIME);
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
