//! Bound of the interim answers (RFC 9110, 15.2) to one request.
//!
//! The HTTP library skips interim answers for as long as there are some to read, and
//! would give no other task a turn meanwhile.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use hyper::{Request, ext::on_informational};

/// Maximum number of interim answers to one request.
const MAX_INTERIM: u32 = 64;

/// Number of interim answers to the latest request on a connection.
#[derive(Clone, Debug, Default)]
pub struct InterimCount(Arc<AtomicU32>);

impl InterimCount {
    /// Counts the interim answers to `request` from now on.
    pub fn count_for<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Checks whether more may be read.
    ///
    /// # Errors
    ///
    /// Returns an error if there were too many interim answers.
    pub fn check(&self) -> io::Result<()> {
        match self.0.load(Ordering::Relaxed) {
            0..=MAX_INTERIM => Ok(()),
            count => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{count} interim answers to one request"),
            )),
        }
    }
}
