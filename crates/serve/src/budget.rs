//! The memory and the descriptors that clients may take.
//!
//! A counter without I/O. What a client can fill is charged to a [`ByteAccount`]
//! before it is held; what does not fit is refused or its connection is closed.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::settings::Budgets;

/// Share of the machine's memory that clients may take, as a divisor. The rest is
/// for the tables, the code and the system.
const MEMORY_DIVISOR: usize = 2;
/// Bytes of a connection that has not received anything: 600 took 13.0 MB.
pub const CONNECTION_BYTES: usize = 21_000;
/// Bytes of the HTTP library's buffers of a connection that has been used: 600
/// connections with small requests took 22.5 MB, 16 KB each more than unused ones.
pub const CONNECTION_BUFFER_BYTES: usize = 16_000;
/// Bytes of a request in flight beside its head and its body: its tasks, and its
/// entries in queues. An estimate: 9,600 requests sent ahead took 100 MB.
pub const REQUEST_BYTES: usize = 10_000;
/// Bytes of the HTTP library's buffer while a body is read.
pub const BODY_BUFFER_BYTES: usize = 16_384;
/// Bytes that are held for a client which sends requests ahead: those that are not
/// passed on yet, and the HTTP library's buffer.
pub const AHEAD_BUFFER_BYTES: usize = 32_768;
/// Bytes that the HTTP library holds for a client that does not take its answer:
/// its buffer, and one piece of a body beyond it.
pub const WRITE_BUFFER_BYTES: usize = 32_768;
/// Bytes of one parsed header field beside its name and its value: its entry in the
/// map, twice since the map doubles, and its index.
const FIELD_BYTES: usize = 220;
/// Charges up to this size may use the reserve, so that ordinary requests are
/// served while large ones fill the rest.
const SMALL_BYTES: usize = 16_384;
/// Share of an account that is kept for small charges, as a divisor.
const RESERVE_DIVISOR: usize = 8;
/// Share of an account that is not used for requests that run ahead and their
/// answers, as a divisor.
const SPARE_DIVISOR: usize = 4;
/// Maximum number of connections from peers.
const MAX_PEER_CONNECTIONS: usize = 100_000;
/// Share of the descriptors that is kept for files, as a divisor.
const FILES_DIVISOR: usize = 20;

/// Counts the bytes that clients hold.
#[derive(Debug)]
pub struct ByteAccount {
    limit: usize,
    used: AtomicUsize,
}

/// File in which the system reports its memory.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Returns the memory of the machine in megabytes as the settings have it; 0 if
/// clients are not to be bounded, or the memory is not known.
pub fn memory_mb(budgets: &Budgets) -> usize {
    match budgets.memory_mb {
        0 if budgets.detect_memory => read_memory_mb(),
        memory_mb => memory_mb,
    }
}

/// Reads the memory of the machine in megabytes; 0 if that fails, so that the daemon
/// starts without a bound.
fn read_memory_mb() -> usize {
    match std::fs::read_to_string(MEMORY_FILE).map(|text| parse_memory_mb(&text)) {
        Ok(Some(memory_mb)) => memory_mb,
        Ok(None) => {
            log::warn!("serve: {MEMORY_FILE} has no total, so clients are not bounded by it.");
            0
        }
        Err(error) => {
            log::warn!("serve: can't read {MEMORY_FILE}, clients are not bounded by it: {error}.");
            0
        }
    }
}

/// Returns the total memory in megabytes that `text` reports in kibibytes.
pub fn parse_memory_mb(text: &str) -> Option<usize> {
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kibibytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes.saturating_mul(1_024) / 1_000_000)
}

impl Default for ByteAccount {
    /// Creates an account without a bound.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ByteAccount {
    /// Creates the account of a machine with so many megabytes of memory; without a
    /// bound if 0.
    pub fn of_machine(memory_mb: usize) -> Arc<Self> {
        Arc::new(Self::new(match memory_mb {
            0 => usize::MAX,
            _ => memory_mb.saturating_mul(1_000_000) / MEMORY_DIVISOR,
        }))
    }

    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether the account has a bound.
    pub fn is_bounded(&self) -> bool {
        self.limit < usize::MAX
    }

    /// Whether there is room for what is done only to answer sooner.
    pub fn has_spare(&self) -> bool {
        self.used() < self.limit - self.limit / SPARE_DIVISOR
    }

    /// Whether idle connections have to be closed to make room for new ones.
    pub fn is_crowded(&self) -> bool {
        self.used() > self.limit - self.limit / RESERVE_DIVISOR
    }

    /// Counts bytes that are held already.
    pub fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that are no longer held.
    pub fn remove(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns a charge of no bytes, which can grow.
    pub fn open(self: &Arc<Self>) -> ByteCharge {
        ByteCharge {
            account: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Takes `bytes` for a charge that then has `total`. Returns whether they fit.
    fn take(&self, bytes: usize, total: usize) -> bool {
        let limit = match total {
            ..=SMALL_BYTES => self.limit,
            _ => self.limit - self.limit / RESERVE_DIVISOR,
        };
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|used| *used <= limit)
            });
        taken.is_ok()
    }
}

/// Bytes that are charged to an account until this is dropped.
#[derive(Debug)]
pub struct ByteCharge {
    account: Arc<ByteAccount>,
    bytes: usize,
}

impl ByteCharge {
    /// Charges further bytes. Returns whether they fit; if not, nothing changes.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.bytes.saturating_add(bytes);
        let fits = self.account.take(bytes, total);
        if fits {
            self.bytes = total;
        }
        fits
    }

    /// Charges bytes that are held already, even if they don't fit.
    pub fn force(&mut self, bytes: usize) {
        self.account.add(bytes);
        self.bytes += bytes;
    }

    /// Whether no bytes are charged.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Gives all bytes back.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.account.remove(bytes);
    }
}

impl Drop for ByteCharge {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Returns the bytes that a request in flight takes with parsed header fields.
pub fn request_bytes(headers: &hyper::HeaderMap) -> usize {
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len());
    REQUEST_BYTES + fields.sum::<usize>()
}

/// Returns the maximum number of connections from peers: three quarters of the
/// descriptors that are left beside files, callers and operators; the last quarter
/// is for connections that the daemon opens.
pub fn peer_connections(budgets: &Budgets, operators: usize) -> usize {
    let descriptors = budgets.descriptors;
    if descriptors == 0 {
        return MAX_PEER_CONNECTIONS;
    }
    let sockets = descriptors - descriptors / FILES_DIVISOR;
    let rest = sockets.saturating_sub(budgets.connections + operators);
    (rest * 3 / 4).clamp(1, MAX_PEER_CONNECTIONS)
}

#[cfg(test)]
mod tests;
