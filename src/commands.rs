//! Implements the commands `check`, `pack`, `digest` and `dump`.

use std::{
    fmt, fs,
    io::{self, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use config::{
    Changes, ConfigTable, DocFault, KeyHasher, Record, TableBuilder, load_records, parse_changes,
    parse_manifest, parse_part, publish_set,
};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, body::Bytes};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, runtime::Runtime};

/// Time limit of `dump` for the response of a daemon.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file cannot be read or written.
    File(PathBuf, io::Error),
    /// Documents have faults; all of them are listed.
    Faults(Vec<DocFault>),
    /// Message with any other reason, and with a remedy where one is known.
    Other(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => {
                write!(
                    f,
                    "{}: {error}; correct the path or its permissions",
                    path.display()
                )
            }
            Self::Faults(faults) => {
                writeln!(f, "faults found: {}", faults.len())?;
                faults.iter().try_for_each(|fault| writeln!(f, "  {fault}"))
            }
            Self::Other(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns an error that consists of a message.
    pub fn other(message: impl fmt::Display) -> Self {
        Self::Other(message.to_string())
    }
}

/// Reads a UTF-8 text file.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::File(path.to_owned(), error))
}

/// Starts a Tokio runtime with the given number of worker threads.
pub fn start_runtime(threads: usize) -> Result<Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(CommandError::other)
}

/// Returns the records of an inventory file and a rules file.
fn load_files(inventory: &Path, rules: &Path) -> Result<Vec<Record>, CommandError> {
    let inventory_text = read_text(inventory)?;
    let rules_text = read_text(rules)?;
    let inventory_name = inventory.display().to_string();
    let rules_name = rules.display().to_string();
    load_records(
        (&inventory_name, &inventory_text),
        (&rules_name, &rules_text),
    )
    .map_err(CommandError::Faults)
}

/// Runs `check INVENTORY RULES`, which reports every fault of the documents.
pub fn check(inventory: &Path, rules: &Path) -> Result<(), CommandError> {
    let records = load_files(inventory, rules)?;
    println!("good: {} records", records.len());
    Ok(())
}

/// Loads the set published before, as its table and its changes.
fn load_published(folder: &Path) -> Result<(ConfigTable, Changes), CommandError> {
    let read = |name: &str| {
        let path = folder.join(name);
        fs::read(&path).map_err(|error| CommandError::File(path, error))
    };
    let manifest = parse_manifest(&read("manifest")?).map_err(CommandError::other)?;
    let changes = parse_changes(&read("changes")?).map_err(CommandError::other)?;
    let mut builder = TableBuilder::new();
    for part in &manifest.parts {
        let bytes = read(&part.name)?;
        for record in parse_part(part, &bytes).map_err(CommandError::other)? {
            builder.put(record).map_err(CommandError::other)?;
        }
    }
    let table = builder.finish(manifest.revision, manifest.state);
    Ok((table.map_err(CommandError::other)?, changes))
}

/// Runs `pack`, which writes the values to publish.
pub fn pack(old: Option<&Path>, new: &Path, out: &Path) -> Result<(), CommandError> {
    let records = load_files(&new.join("inventory.json"), &new.join("rules.json"))?;
    let old = old.map(load_published).transpose()?;
    let old = old.as_ref().map(|(table, changes)| (table, changes));
    let values = publish_set(old, &records).map_err(CommandError::other)?;
    fs::create_dir_all(out).map_err(|error| CommandError::File(out.to_owned(), error))?;
    for value in &values {
        let path = out.join(&value.name);
        fs::write(&path, &value.bytes).map_err(|error| CommandError::File(path, error))?;
        println!("{}\t{} bytes", value.name, value.bytes.len());
    }
    println!("publish in this order; `changes` last");
    Ok(())
}

/// Runs `digest`, which prints the digest of the key on standard input.
pub fn digest(secret_file: &Path) -> Result<(), CommandError> {
    let secret = read_text(secret_file)?;
    let mut key = String::new();
    io::stdin()
        .read_to_string(&mut key)
        .map_err(CommandError::other)?;
    match key.trim() {
        "" => Err(CommandError::other(
            "standard input has no key; pipe the key to this command",
        )),
        key => {
            let hasher = KeyHasher::new(secret.trim().as_bytes());
            println!("{}", hasher.digest(key.as_bytes()));
            Ok(())
        }
    }
}

/// Runs `dump`, which prints the state of a daemon.
pub fn dump(address: SocketAddr) -> Result<(), CommandError> {
    let fetch = async {
        let timed = tokio::time::timeout(DUMP_TIMEOUT, fetch_dump(address)).await;
        timed.unwrap_or_else(|_| {
            Err(CommandError::other(format!(
                "no response from {address} in {} s; check that it is an admin address",
                DUMP_TIMEOUT.as_secs()
            )))
        })
    };
    let text = start_runtime(1)?.block_on(fetch)?;
    print!("{text}");
    Ok(())
}

/// Fetches the dump from the admin address of a daemon.
async fn fetch_dump(address: SocketAddr) -> Result<String, CommandError> {
    let explain = |error: &dyn fmt::Display| {
        CommandError::other(format!(
            "cannot read from {address}: {error}; check `admin` in the settings of that daemon"
        ))
    };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| explain(&error))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| explain(&error))?;
    let driver = tokio::spawn(connection);
    let request = Request::get("/dump")
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| explain(&error))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| explain(&error))?;
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| explain(&error))?;
    drop(sender);
    let _ = driver.await;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}
