//! Entry point of `dogwoodshore`: parses the command line and runs the command.

mod commands;
mod flags;
mod logs;
mod run;
mod stop_limit;
mod trial;

use std::process::ExitCode;

use flags::Command;

/// Exit code for an invalid command line.
const USAGE_EXIT: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = match flags::parse_args(&args) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("dogwoodshore: {error}");
            return ExitCode::from(USAGE_EXIT);
        }
    };
    let result = run_command(command);
    logs::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dogwoodshore: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs `command` to its end.
fn run_command(command: Command) -> Result<(), commands::CommandError> {
    match command {
        Command::Run { settings } => run::run(&settings),
        Command::CheckSettings { settings } => run::check(&settings),
        Command::Check { inventory, rules } => commands::check(&inventory, &rules),
        Command::Pack { old, new, out } => commands::pack(old.as_deref(), &new, &out),
        Command::Dump { address } => commands::dump(address),
        Command::Digest { secret_file } => commands::digest(&secret_file),
        Command::Try { time } => trial::run(time),
        Command::Help => {
            println!("{}", flags::help_text());
            Ok(())
        }
        Command::Version => {
            println!("dogwoodshore {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
