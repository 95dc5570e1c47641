//! Runs the cases of the second review.
//!
//! `rig CASE FOLDER` starts daemons as separate processes, with stand-ins of the store,
//! of backend servers and of clients, and writes `record.txt` into the folder. The exit
//! code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the case runs without its disruption.
//!
//! Only the standard library is used.

mod cases;
mod client;
mod daemon;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new();
    record.note(&format!("case {case}, disruption: {trouble}"));
    let outcome = cases::run(&case, &record, trouble);
    let code = match &outcome {
        Ok(broken) if broken.is_empty() => {
            record.note("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                record.note(&format!("BROKEN: {line}"));
            }
            record.note("the rule was broken");
            1
        }
        Err(cause) => {
            record.note(&format!("the case could not run: {cause}"));
            2
        }
    };
    if let Err(error) = record.write(&folder) {
        eprintln!("can't write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
