//! The cases.

mod bodies;
mod crowd;
mod leaving;
mod readers;
mod ready;
mod unread;

use crate::record::Record;

/// Runs a case. Returns how the rule was broken; nothing if it held.
pub fn run(case: &str, record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "bodies" => bodies::run(record, trouble),
        "crowd" => crowd::run(record, trouble),
        "leaving" => leaving::run(record, trouble),
        "readers" => readers::run(record, trouble),
        "unread" => unread::run(record, trouble),
        "ready" => ready::run(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns the spans of `length` ms in which requests were sent and none was served.
/// `answers` holds when each request was sent, and its status.
fn unserved_spans(answers: &[(u64, u16)], start: u64, end: u64, length: u64) -> Vec<String> {
    const STEP_MS: u64 = 250;
    let mut spans = Vec::new();
    let mut at = start;
    while at + length <= end {
        let sent = answers
            .iter()
            .filter(|(sent, _)| (at..at + length).contains(sent));
        let statuses: Vec<u16> = sent.map(|(_, status)| *status).collect();
        if statuses.is_empty() || statuses.contains(&200) {
            at += STEP_MS;
            continue;
        }
        spans.push(format!(
            "of {} ordinary requests that were sent from {:.1} s to {:.1} s none was served",
            statuses.len(),
            at as f64 / 1e3,
            (at + length) as f64 / 1e3
        ));
        at += length;
    }
    spans
}
