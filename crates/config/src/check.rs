//! Checks of single records and of complete sets of records.

use ids::FastSet;

use crate::{ConfigError, Record, TableBuilder};

/// Maximum number of slots of one backend server; more are not plausible.
const MAX_SLOTS: u32 = 10_000;
/// Maximum burst of a client account, in requests.
const MAX_BURST: u64 = 100_000_000;
/// Maximum deadline of a service, in milliseconds.
const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Maximum time for which a backend server is cold after a start, in milliseconds.
const MAX_COLD_MS: u32 = 3_600_000;

/// Whether a path, if given, is valid in the request line of an HTTP request.
fn is_path(path: &Option<Box<str>>) -> bool {
    let valid =
        |path: &str| path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
    path.as_deref().is_none_or(valid)
}

/// Checks the fields of one record, without its references to others.
///
/// # Errors
///
/// Returns [`ConfigError::Record`] if a table would refuse the record.
pub fn check_record(record: &Record) -> Result<(), ConfigError> {
    let message = match record {
        Record::Server(server) if server.slots.get() == 0 || server.slots.get() > MAX_SLOTS => {
            format!("slots must be 1 to {MAX_SLOTS}")
        }
        Record::Server(server) if server.connections < server.slots.get() => {
            "connections must be at least the number of slots".to_owned()
        }
        Record::Server(server) if server.address.port() == 0 => {
            "address must have a port other than 0".to_owned()
        }
        Record::Vm(vm) if vm.address.port() == 0 => {
            "address must have a port other than 0".to_owned()
        }
        Record::Service(service) if service.floor.get() > 100 => {
            "floor must be 0 to 100, in percent of the pool's slots".to_owned()
        }
        Record::Service(service) if service.retry_budget.get() > 100 => {
            "retry_budget must be 0 to 100, in percent of recent requests".to_owned()
        }
        Record::Service(service)
            if service.deadline_ms == 0 || service.deadline_ms > MAX_DEADLINE_MS =>
        {
            format!("deadline_ms must be 1 to {MAX_DEADLINE_MS}")
        }
        Record::Service(service) if !is_path(&service.health_path) => {
            "health_path must be a path that starts with `/`, without spaces".to_owned()
        }
        Record::Service(service) if !is_path(&service.load_path) => {
            "load_path must be a path that starts with `/`, without spaces".to_owned()
        }
        Record::Service(service)
            if service
                .cold
                .is_some_and(|cold| cold.after_start_ms > MAX_COLD_MS) =>
        {
            format!("cold.after_start_ms must be 0 to {MAX_COLD_MS}")
        }
        Record::Service(service) if service.cold.is_some_and(|cold| cold.rate.as_f64() <= 0.0) => {
            "cold.rate must be above 0; remove `cold` for a service without it".to_owned()
        }
        Record::Route(route) if !route.prefix.starts_with('/') => {
            "prefix must start with `/`".to_owned()
        }
        Record::Route(route)
            if route.host.is_empty() || route.host.chars().any(char::is_uppercase) =>
        {
            "host must be a lower-case name without port, or `*`".to_owned()
        }
        Record::Route(route)
            if !route.terms.split.is_empty()
                && route.terms.split.iter().all(|share| share.weight == 0) =>
        {
            "split must give at least one service a weight of 1 or more".to_owned()
        }
        Record::Route(route) if route.terms.timeout_ms == Some(0) => {
            "timeout_ms must be at least 1".to_owned()
        }
        Record::Route(route) if route.terms.max_attempts == Some(0) => {
            "max_attempts must be at least 1".to_owned()
        }
        Record::Account(account) if account.rate.as_f64() == 0.0 => {
            "rate must be at least 1 request per second; remove its keys to block an account"
                .to_owned()
        }
        Record::Account(account)
            if account.burst < ids::TokenAmount::ONE
                || account.burst > ids::TokenAmount::whole(MAX_BURST) =>
        {
            format!("burst must be 1 to {MAX_BURST} requests")
        }
        Record::Account(account) if account.weight.get() == 0 => {
            "weight must be at least 1".to_owned()
        }
        _ => return Ok(()),
    };
    Err(ConfigError::Record {
        record: record.id().to_string(),
        message,
    })
}

/// Checks a complete set of records: the fields of each record, unique
/// identities and references between records.
///
/// Returns each fault with the index of its record in `records`.
pub fn check_records(records: &[Record]) -> Vec<(usize, ConfigError)> {
    let mut faults = Vec::new();
    let mut seen = FastSet::default();
    let mut builder = TableBuilder::new();
    for (index, record) in records.iter().enumerate() {
        if !seen.insert(record.id()) {
            faults.push((
                index,
                ConfigError::Record {
                    record: record.id().to_string(),
                    message: "stands twice; remove one or rename it".to_owned(),
                },
            ));
        }
        if let Err(error) = check_record(record) {
            faults.push((index, error));
        }
        // A faulty record is added as well; otherwise each record that refers
        // to it would be reported too.
        builder.put_unchecked(record.clone());
    }
    for (index, record) in records.iter().enumerate() {
        if let Err(error) = builder.check_references(record) {
            faults.push((index, error));
        }
    }
    faults
}
