//! Stand-in of the platform's store, as the protocol page describes it.
//!
//! Each daemon has an address of its own, so that the store can turn single machines
//! away while it serves the others.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{http::Wire, record::Record};

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Changes: revision, key, and the value unless it was removed.
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
    revision: u64,
    /// Daemons of which every second call is turned away, with the number of their calls
    /// since then.
    rejected: BTreeMap<usize, u64>,
    /// Times of the watches of each daemon.
    watches: BTreeMap<usize, Vec<Instant>>,
}

#[derive(Clone)]
pub struct Store {
    record: Record,
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let contents = Contents {
            revision: 10,
            ..Contents::default()
        };
        Self {
            record: record.clone(),
            contents: Arc::new(Mutex::new(contents)),
            changed: Arc::default(),
        }
    }

    /// Starts to serve one daemon, and returns the address for it.
    pub fn serve(&self, daemon: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let _ = store.serve_connection(daemon, stream);
                });
            }
        });
        Ok(address)
    }

    /// Writes an item, as the operator and the backend servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let (revision, value) = (contents.revision, value.as_bytes().to_vec());
        let change = (revision, key.to_owned(), Some(value.clone()));
        contents.changes.push(change);
        contents.items.insert(key.to_owned(), (revision, value));
        self.changed.notify_all();
        self.record.note(&format!("store: {key} is written"));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.remove(key);
        contents.changes.push((revision, key.to_owned(), None));
        self.changed.notify_all();
        self.record.note(&format!("store: {key} is removed"));
    }

    /// Turns away every second call of some daemons from now on.
    pub fn reject(&self, daemons: &[usize]) {
        let rejected = daemons.iter().map(|daemon| (*daemon, 0));
        self.contents.lock().unwrap().rejected = rejected.collect();
        self.record.note(&format!(
            "store: turns away every second call of {daemons:?}"
        ));
    }

    /// Returns the daemons that have kept a watch open within the last two seconds.
    pub fn readers(&self, daemons: usize) -> Vec<usize> {
        let contents = self.contents.lock().unwrap();
        let recent = |daemon: &usize| {
            let times = contents.watches.get(daemon).into_iter().flatten();
            let span = Duration::from_secs(2);
            times.filter(|time| time.elapsed() < span).count() >= 2
        };
        (1..=daemons).filter(recent).collect()
    }

    /// Counts a call, and returns whether it is turned away.
    fn turns_away(&self, contents: &mut Contents, daemon: usize) -> bool {
        let Some(calls) = contents.rejected.get_mut(&daemon) else {
            return false;
        };
        *calls += 1;
        let turned_away = *calls % 2 == 1;
        if turned_away {
            self.record.note(&format!("store: 429 for daemon {daemon}"));
        }
        turned_away
    }

    fn serve_connection(&self, daemon: usize, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        while let Some(head) = wire.read_head()? {
            let target = head.first.split(' ').nth(1).unwrap_or("/").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, body) = match path {
                "/kv-range" => self.range(daemon, query),
                "/kv-watch" => self.watch(daemon, query),
                _ => ("404 Not Found", String::from("{}")),
            };
            let fields = "Content-Type: application/json\r\n";
            wire.answer(status, fields, body.as_bytes())?;
        }
        Ok(())
    }

    /// Answers a read of items. The stand-in never has more than a page.
    fn range(&self, daemon: usize, query: &str) -> (&'static str, String) {
        let mut contents = self.contents.lock().unwrap();
        if self.turns_away(&mut contents, daemon) {
            return ("429 Too Many Requests", String::from("{}"));
        }
        let (prefix, after) = (value_of(query, "prefix"), value_of(query, "after"));
        let items = contents.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"hasMore":false,"at":{}}}"#,
            items.join(","),
            contents.revision
        );
        ("200 OK", body)
    }

    /// Answers a watch as soon as there is a change, or when its time is over.
    fn watch(&self, daemon: usize, query: &str) -> (&'static str, String) {
        let number = |name| value_of(query, name).parse::<u64>().unwrap_or(0);
        let (after, wait) = (number("after"), number("waitMs"));
        let prefix = value_of(query, "prefix");
        let end = Instant::now() + Duration::from_millis(wait);
        let mut contents = self.contents.lock().unwrap();
        if self.turns_away(&mut contents, daemon) {
            return ("429 Too Many Requests", String::from("{}"));
        }
        if wait > 0 {
            let times = contents.watches.entry(daemon).or_default();
            times.push(Instant::now());
        }
        loop {
            let newer = contents.changes.iter();
            let newer = newer.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(at, key, value)| item(key, *at, value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = contents.revision;
                let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                return ("200 OK", body);
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

/// Returns an item, or the event of a removal.
fn item(key: &str, revision: u64, value: Option<&Vec<u8>>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"createdAt":{revision},"lease":0}}"#,
            base64(value)
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

/// Returns the decoded value of a field of a query, or an empty text.
fn value_of(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(other, _)| *other == name);
    let text = values.next().map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes as base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..three.len()].copy_from_slice(three);
        let number = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for place in 0..4 {
            let digit = number >> (18 - 6 * place) & 63;
            match place <= three.len() {
                true => text.push(DIGITS[digit as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
