//! Clients send half a head to the address that says ready, and stay.

use std::{io::Write, net::TcpStream, time::Duration};

use crate::{
    client::{Ask, ask},
    fleet::Fleet,
    record::Record,
};

/// Number of clients that do not finish their heads.
const CROWD: usize = 100;
/// Time for which the platform waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut fleet = Fleet::start(record, &["book", "book"], Duration::from_millis(20))?;
    let mut crowd = Vec::new();
    let ready = fleet.daemons[0].ready;
    let mut misses = 0;
    let mut longest = 0;
    for second in 0..25 {
        if trouble && second >= 3 {
            while crowd.len() < CROWD {
                let mut stream = TcpStream::connect(ready).map_err(|error| error.to_string())?;
                let head = format!("GET /ready HTTP/1.1\r\nHost: {ready}\r\n");
                let _ = stream.write_all(head.as_bytes());
                crowd.push(stream);
            }
        }
        let status = fleet.daemons[0].ask_ready(ANSWER_LIMIT);
        record.note(&format!("the platform asks daemon 1 for ready: {status:?}"));
        misses = match status {
            Some(200) => 0,
            _ => misses + 1,
        };
        longest = longest.max(misses);
        let request = format!("m1-{second:04}");
        let asked = Ask {
            method: "POST",
            path: "/put/book/x",
            request: &request,
            timeout_ms: 5_000,
            body: b"a booking",
        };
        let _ = ask(record, fleet.daemons[0].door, &asked);
        std::thread::sleep(Duration::from_millis(700));
    }
    if !fleet.daemons[0].is_alive() {
        return Ok(vec!["daemon 1 has ended".to_owned()]);
    }
    Ok(match longest {
        0..=1 => Vec::new(),
        count => vec![format!(
            "daemon 1 gave no answer to {count} questions in a row whether it is ready"
        )],
    })
}
