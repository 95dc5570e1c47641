//! A crowd of clients sends bodies of legal size that stop just short of their end, and
//! stays.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use crate::{
    client::{Ask, HOST, KEY, ask},
    fleet::Fleet,
    record::Record,
};

/// Number of clients in the crowd; a machine of 512 MB has 8,192 descriptors.
const CROWD: usize = 4_000;
/// Number of threads that run the crowd.
const THREADS: usize = 20;
/// Size of a body, of which one byte is never sent.
const BODY: usize = 1_000;
/// Time before the crowd comes, and time for which it stays.
const CALM_MS: u64 = 5_000;
const CROWD_MS: u64 = 35_000;
/// Pause between two requests of the ordinary client.
const PAUSE_MS: u64 = 500;
/// Span in which at least one of the ordinary requests has to be answered.
const SPAN_MS: u64 = 5_000;

/// Opens a connection and sends all but the last byte of a request.
fn open(door: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&door, Duration::from_millis(300)).ok()?;
    let limit = Some(Duration::from_millis(300));
    stream.set_write_timeout(limit).ok()?;
    let head = format!(
        "POST /put/book/x HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: crowd\r\n\
         X-Dogwoodshore-Timeout-Ms: 20000\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {BODY}\r\n\r\n{}",
        "x".repeat(BODY - 1)
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Whether the daemon has closed a connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 512];
    match stream.read(&mut bytes) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Keeps a part of the crowd's connections open until `stop` is set.
fn run_part(door: SocketAddr, stop: &AtomicBool, open_count: &AtomicUsize) {
    let mut clients: Vec<Option<TcpStream>> = (0..CROWD / THREADS).map(|_| None).collect();
    while !stop.load(Ordering::SeqCst) {
        for client in &mut clients {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            if client.as_mut().is_some_and(is_closed) {
                *client = None;
                open_count.fetch_sub(1, Ordering::SeqCst);
            }
            if client.is_none() {
                *client = open(door);
                open_count.fetch_add(usize::from(client.is_some()), Ordering::SeqCst);
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut fleet = Fleet::start(record, &["book"; 3], Duration::from_millis(20))?;
    let door = fleet.daemons[0].door;
    let stop = Arc::new(AtomicBool::new(false));
    let open_count = Arc::new(AtomicUsize::new(0));
    let answers: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    let mut crowd: Vec<JoinHandle<()>> = Vec::new();
    let mut ordinary: Vec<JoinHandle<()>> = Vec::new();
    let start = record.now();
    let end = start + CALM_MS + CROWD_MS;
    let mut number = 0;
    while record.now() < end {
        if trouble && crowd.is_empty() && record.now() >= start + CALM_MS {
            record.note(&format!("{CROWD} clients come"));
            crowd.extend((0..THREADS).map(|_| {
                let (stop, open_count) = (Arc::clone(&stop), Arc::clone(&open_count));
                std::thread::spawn(move || run_part(door, &stop, &open_count))
            }));
        }
        let (shared, answers) = (record.clone(), Arc::clone(&answers));
        ordinary.push(std::thread::spawn(move || {
            let request = format!("m1-{number:04}");
            let asked = Ask {
                method: "GET",
                path: "/get/book/x",
                request: &request,
                timeout_ms: 4_000,
                body: b"",
            };
            let sent = shared.now();
            let status = ask(&shared, door, &asked).map_or(0, |answer| answer.status);
            answers.lock().unwrap().push((sent, status));
        }));
        number += 1;
        if number % 4 == 0 {
            let count = open_count.load(Ordering::SeqCst);
            record.note(&format!("the crowd has {count} connections"));
        }
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    for client in ordinary {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    for part in crowd {
        let _ = part.join();
    }
    if !fleet.daemons[0].is_alive() {
        return Ok(vec!["daemon 1 has ended".to_owned()]);
    }
    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.note(&format!(
        "{served} of {} ordinary requests were served",
        answers.len()
    ));
    Ok(super::unserved_spans(&answers, start, end, SPAN_MS))
}
