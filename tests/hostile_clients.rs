//! Crowds of misbehaving clients at each entry point of a daemon process.
//!
//! Each test checks only that the process lives, that its resident memory and its
//! open descriptors stay under a bound, and that an ordinary request and the
//! readiness page are answered afterwards. The tests run one at a time.

#[path = "harness/crowd.rs"]
mod crowd;
#[path = "harness/process.rs"]
mod process;

use crowd::{Attack, Sent, check};

/// Number of bytes of a legal body that fits in the buffer for repeated sending.
const SMALL_BODY: usize = 60_000;
/// Number of bytes of the largest legal body.
const LARGE_BODY: usize = crowd::BODY_LIMIT;

/// Returns the head of a request at an entry point, without its end.
fn head(method: &str, entry: &crowd::Entry) -> String {
    format!(
        "{method} {} HTTP/1.1\r\nhost: plans\r\nx-api-key: {}\r\n",
        entry.path, entry.key
    )
}

/// Returns `data` in chunks of `size` bytes, without the last chunk.
fn chunks(data: usize, size: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(data / size).into_bytes()
}

/// Returns a request whose body of `length` bytes stops one byte short.
fn short_body(entry: &crowd::Entry, length: usize) -> Vec<u8> {
    let head = head("POST", entry);
    let mut bytes = format!("{head}content-length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length - 1, b'x');
    bytes
}

/// Guards against buffered bodies without a common bound.
#[test]
fn short_bodies_whole() {
    check("short bodies, whole", |entry| Attack {
        bytes: short_body(entry, SMALL_BODY),
        ..Attack::default()
    });
}

/// Guards against a bound that counts only full buffers.
#[test]
fn short_bodies_pieces() {
    check("short bodies, in pieces", |entry| Attack {
        bytes: short_body(entry, SMALL_BODY),
        sent: Sent::Pieces(1_500),
        ..Attack::default()
    });
}

/// Guards against a bound that relies on a declared length.
#[test]
fn short_bodies_chunked() {
    check("short bodies, in chunks", |entry| {
        let head = head("POST", entry);
        let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        bytes.extend(chunks(SMALL_BODY, 100));
        Attack {
            bytes,
            ..Attack::default()
        }
    });
}

/// Guards against bodies too large to be buffered that fill memory in flight.
#[test]
fn large_short_bodies() {
    check("large short bodies", |entry| Attack {
        bytes: short_body(entry, LARGE_BODY),
        ..Attack::default()
    });
}

/// Guards against reading bodies over the limit of the configuration.
#[test]
fn oversized_bodies() {
    check("oversized bodies", |entry| {
        let mut bytes = short_body(entry, 2 * LARGE_BODY);
        bytes.push(b'x');
        Attack {
            bytes,
            ..Attack::default()
        }
    });
}

/// Guards against buffering chunked bodies over the limit of the configuration.
#[test]
fn oversized_chunks() {
    check("oversized bodies, in chunks", |entry| {
        let head = head("POST", entry);
        let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        bytes.extend(chunks(2 * LARGE_BODY, 1_000));
        Attack {
            bytes,
            ..Attack::default()
        }
    });
}

/// Guards against a `100 Continue` that invites bodies that can't be held.
#[test]
fn expected_bodies() {
    check("bodies with an expectation", |entry| {
        let head = head("POST", entry);
        let fields = format!(
            "expect: 100-continue\r\ncontent-length: {}\r\n\r\n",
            2 * LARGE_BODY
        );
        let mut bytes = (head + &fields).into_bytes();
        bytes.resize(bytes.len() + 2 * LARGE_BODY - 1, b'x');
        Attack {
            bytes,
            ..Attack::default()
        }
    });
}

/// Guards against parsed fields that take many times the size of their head.
#[test]
fn many_fields() {
    check("heads of many fields", |entry| {
        let fields: String = (0..1_000).map(|field| format!("f{field}:1\r\n")).collect();
        let head = head("POST", entry);
        Attack {
            bytes: format!("{head}{fields}content-length: 10\r\n\r\nx").into_bytes(),
            ..Attack::default()
        }
    });
}

/// Guards against heads that are held without a common bound.
#[test]
fn unfinished_heads() {
    check("heads that stop half-way", |entry| {
        let head = head("GET", entry);
        Attack {
            bytes: format!("{head}x-long: {}", "x".repeat(15_000)).into_bytes(),
            ..Attack::default()
        }
    });
}

/// Guards against small answers that pile up behind a client that does not read.
#[test]
fn unread_small_answers() {
    check("small answers that are not read", |entry| Attack {
        bytes: format!("{}\r\n", head("GET", entry))
            .repeat(200)
            .into_bytes(),
        ..Attack::default()
    });
}

/// Guards against large answers that are buffered for a client that does not read.
#[test]
fn unread_large_answers() {
    check("large answers that are not read", |entry| {
        let entry = crowd::Entry {
            path: entry.path.replace("plans", "films"),
            ..entry.clone()
        };
        Attack {
            bytes: format!("{}\r\n", head("GET", &entry))
                .repeat(20)
                .into_bytes(),
            ..Attack::default()
        }
    });
}

/// Guards against clients that send a byte at a time, so that no idle time is
/// exceeded.
#[test]
fn trickled_bodies() {
    check("bodies that trickle", |entry| Attack {
        bytes: short_body(entry, SMALL_BODY),
        sent: Sent::Trickled(SMALL_BODY - 200),
        ..Attack::default()
    });
}

/// Guards against connections without requests that take all descriptors.
#[test]
fn silent_connections() {
    check("connections that send nothing", |_| Attack {
        clients: crowd::CLIENTS * 3 / 2,
        ..Attack::default()
    });
}
