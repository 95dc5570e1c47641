//! The commands other than `run` and `try`.

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

/// Time that `dump` waits for a daemon.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be read or written.
    File(PathBuf, io::Error),
    /// Faults in documents; all are listed.
    Faults(Vec<DocFault>),
    /// Any other reason, with its remedy.
    Other(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => {
                write!(
                    f,
                    "{}: {error}; correct the path or its rights",
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
    /// An error that is only a message.
    pub fn other(message: impl fmt::Display) -> Self {
        Self::Other(message.to_string())
    }
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|error| CommandError::File(path.to_owned(), error))
}

/// Starts a runtime with that many threads.
pub fn start_runtime(threads: usize) -> Result<Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(CommandError::other)
}

/// Records of an inventory and rules.
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

/// `check`: prints every fault.
pub fn check(inventory: &Path, rules: &Path) -> Result<(), CommandError> {
    let records = load_files(inventory, rules)?;
    println!("good: {} records", records.len());
    Ok(())
}

/// The set published before.
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

/// `pack`: writes the values to publish.
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

/// `digest`: prints the digest of a key.
pub fn digest(secret_file: &Path) -> Result<(), CommandError> {
    let secret = read_text(secret_file)?;
    let mut key = String::new();
    io::stdin()
        .read_to_string(&mut key)
        .map_err(CommandError::other)?;
    match key.trim() {
        "" => Err(CommandError::other("no key on standard input; pipe it in")),
        key => {
            let hasher = KeyHasher::new(secret.trim().as_bytes());
            println!("{}", hasher.digest(key.as_bytes()));
            Ok(())
        }
    }
}

/// `dump`: prints a daemon's state.
pub fn dump(address: SocketAddr) -> Result<(), CommandError> {
    let fetch = async {
        let timed = tokio::time::timeout(DUMP_TIMEOUT, fetch_dump(address)).await;
        timed.unwrap_or_else(|_| {
            Err(CommandError::other(format!(
                "no answer from {address} in {} s; is it a daemon's admin address?",
                DUMP_TIMEOUT.as_secs()
            )))
        })
    };
    let text = start_runtime(1)?.block_on(fetch)?;
    print!("{text}");
    Ok(())
}

/// Fetches the dump of a daemon.
async fn fetch_dump(address: SocketAddr) -> Result<String, CommandError> {
    let explain = |error: &dyn fmt::Display| {
        CommandError::other(format!(
            "can't read from {address}: {error}; check `admin` there"
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
