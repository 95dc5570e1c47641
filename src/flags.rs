//! Defines and parses the command line: each command and flag, with its help.

use std::{fmt, net::SocketAddr, path::PathBuf, time::Duration};

use getopts::{Matches, Options};

/// Command of the command line, with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run a daemon.
    Run {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check a settings file.
    CheckSettings {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check an inventory and rules before they are published.
    Check {
        /// File with the inventory.
        inventory: PathBuf,
        /// File with the rules.
        rules: PathBuf,
    },
    /// Write the values to publish.
    Pack {
        /// Folder with the set published before.
        old: Option<PathBuf>,
        /// Folder with `inventory.json` and `rules.json`.
        new: PathBuf,
        /// Folder to which the values are written.
        out: PathBuf,
    },
    /// Print a daemon's state.
    Dump {
        /// Admin address of the daemon.
        address: SocketAddr,
    },
    /// Print the digest of a key read from standard input.
    Digest {
        /// File with the fleet secret.
        secret_file: PathBuf,
    },
    /// Run a small fleet with stubs of the platform and the backend servers.
    Try {
        /// Duration of the traffic.
        time: Duration,
    },
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Fault of the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageError(String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; see `dogwoodshore --help`", self.0)
    }
}

impl std::error::Error for UsageError {}

/// Help of the commands, without the flags.
const COMMANDS: &str = "\
Usage: dogwoodshore COMMAND [ARGUMENTS]

A proxy fleet for backend servers that fail gray.

Commands:
    run SETTINGS            run the daemon of this VM
    check SETTINGS          check the settings of a daemon
    check INVENTORY RULES   check what would be published; print every fault
    pack [OLD] NEW OUT      make the values to publish: NEW holds inventory.json
                            and rules.json, OLD the set published before, OUT
                            takes parts, manifest and changes
    dump ADDRESS            print the state of the daemon with that admin address
    digest SECRET_FILE      print the digest of a caller's key, read from
                            standard input
    try                     run stand-ins, a small fleet and a little traffic
                            on loopback, and say what came of it

Exit codes:
    0   done
    1   the work failed, or faults were found
    2   the command line can't be understood";

/// Returns the flags of all commands.
fn flag_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt(
        "t",
        "time",
        "with `try`: seconds of traffic, 1 to 600 (default 3)",
        "SECONDS",
    );
    options
}

/// Returns the text of `--help`.
pub fn help_text() -> String {
    flag_options().usage(COMMANDS)
}

/// Parses the arguments of the command line, without the name of the program.
///
/// # Errors
///
/// Returns a [`UsageError`] with the fault.
pub fn parse_args(args: &[String]) -> Result<Command, UsageError> {
    let matches = flag_options()
        .parse(args)
        .map_err(|error| UsageError(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let command = match words.as_slice() {
        [] => return Err(UsageError("no command given".to_owned())),
        ["run", settings] => Command::Run {
            settings: settings.into(),
        },
        ["check", settings] => Command::CheckSettings {
            settings: settings.into(),
        },
        ["check", inventory, rules] => Command::Check {
            inventory: inventory.into(),
            rules: rules.into(),
        },
        ["pack", new, out] => Command::Pack {
            old: None,
            new: new.into(),
            out: out.into(),
        },
        ["pack", old, new, out] => Command::Pack {
            old: Some(old.into()),
            new: new.into(),
            out: out.into(),
        },
        ["dump", address] => Command::Dump {
            address: parse_address(address)?,
        },
        ["digest", secret_file] => Command::Digest {
            secret_file: secret_file.into(),
        },
        ["try"] => Command::Try {
            time: parse_time(&matches)?,
        },
        [
            name @ ("run" | "check" | "pack" | "dump" | "digest" | "try"),
            ..,
        ] => {
            return Err(UsageError(format!(
                "`{name}` has too few or too many arguments"
            )));
        }
        [name, ..] => return Err(UsageError(format!("`{name}` is not a command"))),
    };
    match command {
        Command::Try { .. } => Ok(command),
        _ if matches.opt_present("time") => {
            Err(UsageError("`--time` is valid with `try` only".to_owned()))
        }
        command => Ok(command),
    }
}

/// Parses an address.
fn parse_address(text: &str) -> Result<SocketAddr, UsageError> {
    text.parse()
        .map_err(|_| UsageError(format!("`{text}` is not an address such as 127.0.0.1:6000")))
}

/// Parses the value of `--time`.
fn parse_time(matches: &Matches) -> Result<Duration, UsageError> {
    const DEFAULT_SECONDS: u64 = 3;
    const MAX_SECONDS: u64 = 600;
    let seconds = match matches.opt_str("time") {
        None => Some(DEFAULT_SECONDS),
        Some(text) => text.parse().ok(),
    };
    match seconds {
        Some(seconds @ 1..=MAX_SECONDS) => Ok(Duration::from_secs(seconds)),
        _ => Err(UsageError(format!(
            "`--time` takes 1 to {MAX_SECONDS} seconds"
        ))),
    }
}
