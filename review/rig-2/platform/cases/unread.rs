//! A crowd of clients sends requests ahead on its connections and does not read the
//! answers. Without the disruption, the same clients send one request after the other
//! and read each answer.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    time::Duration,
};

use crate::{
    client::{Ask, HOST, KEY, ask},
    fleet::Fleet,
    http::Wire,
    record::Record,
};

/// Memory of the machine, as of most machines of the grown sites.
const MEMORY_MB: u32 = 160;
/// Number of backend servers, and of slots of each.
const SERVERS: usize = 5;
const SLOTS: u32 = 10;
/// Number of clients, and of requests that each sends on its connection.
const CROWD: usize = 200;
const REQUESTS: usize = 12;
/// Size of an answer.
const ANSWER: u64 = 540_000;
/// Time for which the crowd stays.
const CROWD_MS: u64 = 20_000;

/// Returns a request of a client.
fn request_of(client: usize, number: usize) -> String {
    format!(
        "GET /get/book/x HTTP/1.1\r\nHost: {HOST}\r\n\
         X-Dogwoodshore-Request-Id: crowd-{client}-{number}\r\n\
         X-Dogwoodshore-Timeout-Ms: 20000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    )
}

/// Opens a connection and sends all requests of a client, whose answers are not read.
fn send_ahead(door: SocketAddr, client: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&door, Duration::from_millis(500)).ok()?;
    for number in 0..REQUESTS {
        stream
            .write_all(request_of(client, number).as_bytes())
            .ok()?;
    }
    Some(stream)
}

/// Sends the requests of a client one after the other, and reads each answer.
fn send_in_turn(door: SocketAddr, client: usize) -> std::io::Result<()> {
    let mut wire = Wire::new(TcpStream::connect(door)?);
    for number in 0..REQUESTS {
        wire.write(request_of(client, number).as_bytes())?;
        let Some(head) = wire.read_head()? else {
            return Ok(());
        };
        wire.read_body(&head)?;
    }
    Ok(())
}

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let work = Duration::from_millis(5);
    let services = ["book"; SERVERS];
    let mut fleet = Fleet::start_with_memory(record, &services, work, MEMORY_MB, SLOTS)?;
    for server in &fleet.servers {
        server.answer_bytes.store(ANSWER, Ordering::SeqCst);
    }
    let door = fleet.daemons[0].door;
    let start = record.now();
    // Connections that stay open and are not read.
    let mut crowd: Vec<TcpStream> = Vec::new();
    let mut opened = 0;
    let mut peak = 0;
    let mut number = 0;
    while record.now() < start + CROWD_MS {
        if opened < CROWD {
            let clients = opened..opened + 20;
            opened = clients.end;
            match trouble {
                true => crowd.extend(clients.filter_map(|client| send_ahead(door, client))),
                false => clients.for_each(|client| {
                    std::thread::spawn(move || send_in_turn(door, client));
                }),
            }
        }
        let request = format!("m1-{number:04}");
        let asked = Ask {
            method: "GET",
            path: "/get/book/x",
            request: &request,
            timeout_ms: 2_000,
            body: b"",
        };
        number += 1;
        if number % 10 == 0 {
            let _ = ask(record, door, &asked);
        }
        if !fleet.daemons[0].is_alive() {
            return Ok(vec!["daemon 1 has ended".to_owned()]);
        }
        if number % 5 == 0 {
            let (resident, unread) = (fleet.daemons[0].memory(), fleet.daemons[0].unread_bytes());
            record.note(&format!(
                "{opened} clients; daemon 1 has {resident} bytes resident, {unread} received and not read"
            ));
            peak = peak.max(resident + unread);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let memory = u64::from(MEMORY_MB) << 20;
    Ok(match peak > memory {
        true => vec![format!(
            "daemon 1 took {peak} bytes on a machine of {memory}"
        )],
        false => Vec::new(),
    })
}
