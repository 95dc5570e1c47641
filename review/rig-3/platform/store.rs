//! Stand-in of the platform's store: HTTP/1.1, one revision counter, watches, and drills.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Head};

/// The platform's `historyS`.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Clone)]
struct Event {
    at: Instant,
    key: String,
    revision: u64,
    /// JSON of the event.
    text: String,
}

#[derive(Clone, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Revision after which the history is complete.
    complete_after: u64,
}

struct Inner {
    data: Data,
    era: u64,
    down: bool,
    connections: Vec<TcpStream>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    pub address: SocketAddr,
}

/// Copy of the store, from which it can come back.
pub struct Copy(Data);

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().unwrap();
        let data = Data {
            revision: 100,
            complete_after: 100,
            ..Data::default()
        };
        let store = Arc::new(Self {
            inner: Mutex::new(Inner {
                data,
                era: 0,
                down: false,
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
            address,
        });
        let own = Arc::clone(&store);
        thread::spawn(move || own.accept(listener));
        store
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let mut listener = Some(listener);
        loop {
            let down = self.inner.lock().unwrap().down;
            match (&listener, down) {
                (Some(_), true) => listener = None,
                (None, false) => {
                    if let Ok(bound) = TcpListener::bind(self.address) {
                        bound.set_nonblocking(true).unwrap();
                        listener = Some(bound);
                    }
                }
                _ => {}
            }
            while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                let mut inner = self.inner.lock().unwrap();
                if inner.down {
                    break;
                }
                inner.connections.push(stream.try_clone().unwrap());
                let own = Arc::clone(&self);
                thread::spawn(move || own.serve(stream));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(head) = http::read_head(&mut stream, &mut rest) {
            let Some((status, body, era)) = self.answer(&head) else {
                break;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a call; nothing while the store is away.
    fn answer(&self, head: &Head) -> Option<(u16, String, u64)> {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let field = |name: &str| {
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| http::decode_query(value))
            })
        };
        let mut inner = self.inner.lock().unwrap();
        if inner.down {
            return None;
        }
        let prefix = field("prefix").unwrap_or_default();
        match path {
            "/kv-key" => {
                let key = field("key").unwrap_or_default();
                let at = inner.data.revision;
                let found = inner
                    .data
                    .items
                    .get(&key)
                    .map(|item| item_json(&key, item, Some(at)));
                Some(match found {
                    Some(text) => (200, text, inner.era),
                    None => (404, "{}".to_owned(), inner.era),
                })
            }
            "/kv-range" => {
                let after = field("after");
                let items = inner.data.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let items: Vec<String> = items
                    .map(|(key, item)| item_json(key, item, None))
                    .collect();
                let at = inner.data.revision;
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"at\":{at}}}",
                    items.join(",")
                );
                Some((200, text, inner.era))
            }
            "/kv-watch" => {
                let after: u64 = field("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = field("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let era = inner.era;
                loop {
                    if inner.down || inner.era != era {
                        return None;
                    }
                    let now = Instant::now();
                    while inner
                        .data
                        .history
                        .first()
                        .is_some_and(|event| now - event.at > HISTORY)
                    {
                        let event = inner.data.history.remove(0);
                        inner.data.complete_after = event.revision;
                    }
                    if after > inner.data.revision || after < inner.data.complete_after {
                        return Some((410, "{}".to_owned(), era));
                    }
                    let events: Vec<String> = (inner.data.history.iter())
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(|event| event.text.clone())
                        .collect();
                    if !events.is_empty() || now >= end {
                        let at = inner.data.revision;
                        let text = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                        return Some((200, text, era));
                    }
                    inner = self.changed.wait_timeout(inner, end - now).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned(), inner.era)),
        }
    }

    /// Writes an item, and returns the store's revision at the ack, or nothing while the
    /// store is away. An item that is the same stays as it is.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut inner = self.inner.lock().unwrap();
        if inner.down {
            return None;
        }
        let data = &mut inner.data;
        let known = data.items.get(key);
        if known.is_some_and(|item| without_sequence(&item.value) == without_sequence(value)) {
            return Some(data.revision);
        }
        data.revision += 1;
        let created = known.map_or(data.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: data.revision,
            created,
        };
        let event = Event {
            at: Instant::now(),
            key: key.to_owned(),
            revision: data.revision,
            text: item_json(key, &item, None),
        };
        data.items.insert(key.to_owned(), item);
        data.history.push(event);
        self.changed.notify_all();
        Some(inner.data.revision)
    }

    pub fn remove(&self, key: &str) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.down {
            return false;
        }
        let data = &mut inner.data;
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.push(Event {
                at: Instant::now(),
                key: key.to_owned(),
                revision,
                text: format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
            });
            self.changed.notify_all();
        }
        true
    }

    pub fn copy(&self) -> Copy {
        Copy(self.inner.lock().unwrap().data.clone())
    }

    /// Goes away: no listener, and all connections are closed.
    pub fn go_away(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.down = true;
        for stream in inner.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: Copy) {
        let mut inner = self.inner.lock().unwrap();
        inner.data = copy.0;
        inner.era += 1;
        inner.down = false;
        self.changed.notify_all();
    }
}

/// The text of an entry without its `sequence`, which alone is no change.
fn without_sequence(text: &str) -> String {
    match text.find("\"sequence\":") {
        Some(start) => {
            let end = text[start..]
                .find(',')
                .map_or(text.len(), |end| start + end);
            format!("{}{}", &text[..start], &text[end..])
        }
        None => text.to_owned(),
    }
}

fn item_json(key: &str, item: &Item, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdAt\":{},\"lease\":0{at}}}",
        base64(item.value.as_bytes()),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
