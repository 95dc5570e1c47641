//! Socket options by which a connection fails when its peer is gone.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first TCP keepalive probe, and the interval between
/// probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 3;
/// Maximum time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets socket options by which a connection fails when its peer no longer
/// responds. While a request waits for its answer, nothing else detects that.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    detect_dead_caller(stream, KEEPALIVE_INTERVAL)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets socket options by which a connection fails when its peer no longer
/// answers the probes that are sent each `interval` while it is idle.
///
/// It sets no user timeout: that would also end the connection of a peer that is
/// alive and reads slowly.
pub fn detect_dead_caller(stream: &TcpStream, interval: Duration) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)
}
