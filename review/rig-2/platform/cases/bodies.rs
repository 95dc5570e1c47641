//! Clients on one machine send bodies of legal size that stop just short of their end,
//! and stay; ordinary clients on another machine send small requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use crate::{
    client::{Ask, HOST, OTHER_KEY, ask},
    fleet::Fleet,
    record::Record,
};

/// Number of clients that do not finish their bodies.
const CROWD: usize = 100;
/// Size of such a body, of which one byte is never sent. 64 MB are allowed.
const BODY: usize = 100_000;
/// Time before the crowd comes, and time for which it stays.
const CALM_MS: u64 = 5_000;
const CROWD_MS: u64 = 25_000;
/// Pause between two requests of the ordinary client.
const PAUSE_MS: u64 = 250;
/// Span in which at least one of the ordinary requests has to be served.
const SPAN_MS: u64 = 5_000;

/// Sends all but the last byte of a request, and waits until the daemon answers or
/// closes the connection.
fn send_short(door: SocketAddr, request: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&door, Duration::from_secs(1))?;
    let head = format!(
        "POST /put/book/x HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: {request}\r\n\
         X-Dogwoodshore-Timeout-Ms: 20000\r\nAuthorization: Bearer {OTHER_KEY}\r\n\
         Content-Length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; BODY - 1])?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.read(&mut [0; 1_024]).map(|_| ())
}

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut fleet = Fleet::start(record, &["book"; 3], Duration::from_millis(20))?;
    let (crowd_door, door) = (fleet.daemons[0].door, fleet.daemons[1].door);
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    let mut crowd: Vec<JoinHandle<()>> = Vec::new();
    let mut ordinary: Vec<JoinHandle<()>> = Vec::new();
    let start = record.now();
    let end = start + CALM_MS + CROWD_MS;
    let mut number = 0;
    while record.now() < end {
        if trouble && crowd.is_empty() && record.now() >= start + CALM_MS {
            record.note(&format!("{CROWD} clients come to machine 1"));
            crowd.extend((0..CROWD).map(|client| {
                let stop = Arc::clone(&stop);
                std::thread::spawn(move || {
                    let mut sent = 0;
                    while !stop.load(Ordering::SeqCst) {
                        sent += 1;
                        let _ = send_short(crowd_door, &format!("crowd-{client}-{sent}"));
                        std::thread::sleep(Duration::from_millis(100));
                    }
                })
            }));
        }
        let (shared, answers) = (record.clone(), Arc::clone(&answers));
        ordinary.push(std::thread::spawn(move || {
            let request = format!("m2-{number:04}");
            let asked = Ask {
                method: "POST",
                path: "/put/book/x",
                request: &request,
                timeout_ms: 4_000,
                body: b"a booking",
            };
            let sent = shared.now();
            let status = ask(&shared, door, &asked).map_or(0, |answer| answer.status);
            answers.lock().unwrap().push((sent, status));
        }));
        number += 1;
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    for client in ordinary {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    if !fleet.daemons.iter_mut().all(|daemon| daemon.is_alive()) {
        return Ok(vec!["a daemon has ended".to_owned()]);
    }
    fleet.note_logs("gate changed");
    let answers = answers.lock().unwrap();
    let crowd_at = start + CALM_MS;
    for (name, from, to) in [("before", start, crowd_at), ("while", crowd_at, end)] {
        let sent = answers.iter().filter(|(at, _)| (from..to).contains(at));
        let (count, served) = sent.fold((0, 0), |(count, served), (_, status)| {
            (count + 1, served + usize::from(*status == 200))
        });
        record.note(&format!(
            "{served} of {count} ordinary requests were served {name} the crowd was there"
        ));
    }
    Ok(super::unserved_spans(&answers, start, end, SPAN_MS))
}
