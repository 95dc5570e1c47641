//! A crowd of clients that stop half-way, at the door of a daemon or at the path that
//! says ready: whether ordinary clients and the platform are still answered.

use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    client::{Clients, HOST, KEY, NO_CONNECTION, Sent},
    drill::config,
    fleet::{Daemon, Network, Place, ask_ready},
    record::Record,
    server::Server,
    store::Store,
};

const MACHINES: u8 = 3;
const SERVICE: &str = "wuno96b";
/// Ordinary clients of the machine, each with a new connection for each request.
const ORDINARY: usize = 12;
/// The pages' bounds: `stableWindowMs`, and the clients that have to try.
const STABLE_MS: u64 = 3_000;
const TRYING: usize = 7;
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(16);

/// Where the crowd comes.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Entry {
    /// The address of the clients: bodies that stop one byte short of their end.
    Door,
    /// The address of the platform's question: heads that stop half-way.
    Ready,
}

impl Entry {
    fn crowd(self) -> usize {
        match self {
            // The daemon takes 3,000, and 1,024 wait to be taken.
            Self::Door => 4_300,
            Self::Ready => 100,
        }
    }

    /// The crowd that has to come; further ones may not get a connection.
    fn least(self) -> usize {
        match self {
            Self::Door => 3_000,
            Self::Ready => 100,
        }
    }

    fn bytes(self, nth: usize) -> String {
        match self {
            Self::Door => format!(
                "POST /leny950/crowd HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: c{nth:015x}\r\nX-Dogwoodshore-Timeout-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 200\r\n\r\n{}",
                "x".repeat(199)
            ),
            Self::Ready => "GET /ready HTTP/1.1\r\nHost: x\r\nX-Field: half of".to_owned(),
        }
    }
}

/// One question of the platform: when it was asked and answered, and the status.
struct Question {
    asked_ms: u64,
    ended_ms: u64,
    status: Option<u16>,
}

pub fn play(record: &Arc<Record>, folder: &std::path::Path, trouble: bool, entry: Entry) -> i32 {
    let network = Network::find(MACHINES);
    let ports = network.ports;
    let store = Store::start(network.at(0, ports.server));
    store.put("op/config", &config(7, "/leny950/", "unsafe", 1_500));
    let servers: Vec<Arc<Server>> = (1..=MACHINES)
        .map(|machine| {
            let address = network.at(machine, ports.server);
            let id = format!("i-{:08x}", 0x7f3a_9100 + u32::from(machine) * 0x11);
            let work = Duration::from_millis(100);
            Server::start(&id, address, SERVICE, "bud-a", 5, work, &store, record)
        })
        .collect();
    let place = Place {
        network: &network,
        store: store.address,
        folder: folder.to_owned(),
        zones: "{\"bud-a\":\"hu-central\"}",
        slack: 60,
    };
    let mut daemons: Vec<Daemon> = (1..=MACHINES)
        .map(|machine| place.start(machine, "bud-a", SERVICE))
        .collect();
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        record.say("a daemon does not get ready");
        return 2;
    }
    record.say(&format!("{MACHINES} daemons are ready"));
    let (door, ready) = (daemons[0].outbound, daemons[0].ready);
    let stop = Arc::new(AtomicBool::new(false));
    let questions: Arc<Mutex<Vec<Question>>> = Arc::default();
    let platform = ask(record, ready, &questions, &stop);
    let clients = Clients::new(record);
    // Each client tries on a new connection each half second, whatever became of the others.
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|nth| {
            let (own, stop) = (Arc::clone(&clients), Arc::clone(&stop));
            thread::spawn(move || {
                sleep(Duration::from_millis(40 * nth as u64));
                while !stop.load(Ordering::SeqCst) {
                    let own = Arc::clone(&own);
                    thread::spawn(move || {
                        // The number of the client stands in place of the machine's.
                        let (sent, _) = own.ask(nth as u8, door, "/leny950/", None);
                        own.sent.lock().unwrap().push(sent);
                    });
                    sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(8));
    let from = record.now();
    let mut streams = Vec::new();
    if trouble {
        let address = if entry == Entry::Door { door } else { ready };
        streams = gather(address, entry);
        if streams.len() < entry.least() {
            record.say(&format!(
                "only {} connections of the crowd could be opened",
                streams.len()
            ));
            return 2;
        }
        record.say(&format!(
            "a crowd of {} clients has come; each has stopped half-way and stays open",
            streams.len()
        ));
    }
    sleep(STAY);
    let to = record.now();
    let (answered, closed) = end(streams);
    if trouble {
        record.say(&format!(
            "the crowd goes; {answered} of it were answered, {closed} closed without an answer"
        ));
    }
    sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    for thread in ordinary {
        let _ = thread.join();
    }
    let _ = platform.join();
    sleep(Duration::from_secs(7));
    if daemons.iter_mut().any(Daemon::ended) {
        record.say("BROKEN: a daemon has ended by itself");
        return 1;
    }
    drop(servers);
    let sent = clients.sent.lock().unwrap();
    let questions = questions.lock().unwrap();
    judge(record, &sent, &questions, (from, to), entry)
}

/// Asks a daemon once a second whether it is ready, each time on a new connection.
fn ask(
    record: &Arc<Record>,
    address: SocketAddr,
    questions: &Arc<Mutex<Vec<Question>>>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, questions, stop) = (Arc::clone(record), Arc::clone(questions), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let asked_ms = record.now();
            let status = ask_ready(address, Duration::from_secs(1));
            let ended_ms = record.now();
            questions.lock().unwrap().push(Question {
                asked_ms,
                ended_ms,
                status,
            });
            sleep(Duration::from_millis(
                1_000u64.saturating_sub(ended_ms - asked_ms),
            ));
        }
    })
}

/// Opens the crowd's connections and sends what each sends before it stops. Ends when no
/// further connection can be opened.
fn gather(address: SocketAddr, entry: Entry) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let mut failures = 0;
    while streams.len() < entry.crowd() && failures < 3 {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300))
        else {
            failures += 1;
            continue;
        };
        failures = 0;
        let _ = stream.write_all(entry.bytes(streams.len()).as_bytes());
        streams.push(stream);
        if streams.len() % 50 == 0 {
            sleep(Duration::from_millis(10));
        }
    }
    streams
}

/// Closes the crowd, and counts what was answered and what was closed.
fn end(streams: Vec<TcpStream>) -> (usize, usize) {
    let (mut answered, mut closed) = (0, 0);
    for mut stream in streams {
        let _ = stream.set_nonblocking(true);
        match stream.read(&mut [0; 1_024]) {
            Ok(count) if count > 0 => answered += 1,
            Ok(_) => closed += 1,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => closed += 1,
        }
    }
    (answered, closed)
}

fn judge(
    record: &Record,
    sent: &[Sent],
    questions: &[Question],
    (from, to): (u64, u64),
    entry: Entry,
) -> i32 {
    for sent in sent {
        record.line(&format!(
            "sent {} client {} at {} ended {} status {} of {} {}",
            sent.id,
            sent.machine,
            sent.sent_ms,
            sent.ended_ms,
            sent.status,
            sent.server.as_deref().unwrap_or("-"),
            sent.failure
        ));
    }
    for question in questions {
        record.line(&format!(
            "question at {} ended {} status {}",
            question.asked_ms,
            question.ended_ms,
            question
                .status
                .map_or("none".to_owned(), |status| status.to_string())
        ));
    }
    let share = |from: u64, to: u64| {
        let inside = sent
            .iter()
            .filter(|sent| (from..to).contains(&sent.sent_ms));
        let served = inside.clone().filter(|sent| sent.status == 200).count();
        format!("{served} of {}", inside.count())
    };
    record.say(&format!(
        "ordinary requests served: {} before, {} in this time, {} after",
        share(0, from),
        share(from, to),
        share(to, u64::MAX)
    ));
    let unready = questions
        .iter()
        .filter(|question| question.status.is_none());
    let unready = unready.filter(|question| (from..to).contains(&question.asked_ms));
    record.say(&format!(
        "questions for readiness without an answer in this time: {}",
        unready.count()
    ));
    let broken = match entry {
        Entry::Door => no_connection_taken(record, sent, questions),
        Entry::Ready => no_answer(record, questions),
    };
    match broken {
        false => {
            record.say("HELD");
            0
        }
        true => 1,
    }
}

/// RECOVER: for `stableWindowMs` no new connection was taken, while seven clients or
/// more tried and the machine said that it was ready. A connection is taken if it is
/// established within the second that clients allow.
fn no_connection_taken(record: &Record, sent: &[Sent], questions: &[Question]) -> bool {
    let failed = |sent: &&Sent| sent.failure == NO_CONNECTION;
    // A request is sent once its connection is established; without one, `sent_ms` is the
    // time of the try.
    let mut taken: Vec<u64> = sent
        .iter()
        .filter(|sent| !failed(sent))
        .map(|sent| sent.sent_ms)
        .collect();
    taken.sort_unstable();
    let mut broken = false;
    for pair in taken.windows(2) {
        let window = pair[0]..pair[1];
        if window.end - window.start < STABLE_MS {
            continue;
        }
        let tries: Vec<&Sent> = (sent.iter().filter(failed))
            .filter(|sent| window.contains(&sent.sent_ms) && sent.ended_ms <= window.end + 1_000)
            .collect();
        let trying: HashSet<u8> = tries.iter().map(|sent| sent.machine).collect();
        let asked = questions
            .iter()
            .filter(|question| window.contains(&question.asked_ms));
        let ready = asked
            .clone()
            .filter(|question| question.status == Some(200))
            .count();
        let asked = asked.count();
        record.say(&format!(
            "no new connection was taken from {} to {} ms, while {} clients tried {} times; /ready was 200 in {ready} of {asked} questions",
            window.start, window.end, trying.len(), tries.len()
        ));
        broken |= trying.len() >= TRYING && ready == asked && asked > 0;
    }
    if broken {
        record.say("BROKEN: RECOVER, a machine that says it is ready takes no new connection");
    }
    broken
}

/// The process hangs: for `stableWindowMs` it gives no answer to the platform's question.
/// Duty: the daemon isn't ready for an eighth of the time.
fn no_answer(record: &Record, questions: &[Question]) -> bool {
    let (mut first, mut hangs) = (None, false);
    for question in questions {
        if question.status.is_some() {
            first = None;
            continue;
        }
        let first = *first.get_or_insert(question.asked_ms);
        if question.ended_ms - first >= STABLE_MS && !hangs {
            record.say(&format!("no answer to the questions since {first} ms"));
            hangs = true;
        }
    }
    let unready = questions
        .iter()
        .filter(|question| question.status != Some(200))
        .count();
    record.say(&format!(
        "{unready} of {} questions did not get a 200",
        questions.len()
    ));
    let broken = hangs && unready * 8 > questions.len();
    if broken {
        record.say("BROKEN: Duty, the daemon hangs at its ready path and isn't ready for over an eighth of the time");
    }
    broken
}
