//! Stand-in of a client.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    http::{Head, Wire},
    record::Record,
};

/// What a client asks.
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub request: &'a str,
    pub timeout_ms: u64,
    pub body: &'a [u8],
}

/// Answer to a client.
pub struct Answer {
    pub at: u64,
    pub status: u16,
    pub head: Head,
}

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the ordinary clients' account.
pub const KEY: &str = "review-key-0001";
/// Key of another account, with an allowance of 33 requests a second.
pub const OTHER_KEY: &str = "review-key-0002";

/// Sends a request on a connection of its own and reads the whole answer.
pub fn ask(record: &Record, door: SocketAddr, ask: &Ask<'_>) -> io::Result<Answer> {
    record.note(&format!("client sends {} to {door}", ask.request));
    let result = try_ask(record, door, ask);
    match &result {
        Ok(answer) => record.note(&format!(
            "client gets {} for {}{}",
            answer.status,
            ask.request,
            match answer.head.field("server-leaving").is_some() {
                true => ", Server-Leaving",
                false if answer.head.field("server-limit").is_some() => ", Server-Limit",
                false => "",
            }
        )),
        Err(error) => record.note(&format!("client gets nothing for {}: {error}", ask.request)),
    }
    result
}

fn try_ask(record: &Record, door: SocketAddr, ask: &Ask<'_>) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&door, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(ask.timeout_ms)))?;
    let mut wire = Wire::new(stream);
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: {}\r\n\
         X-Dogwoodshore-Timeout-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        ask.method,
        ask.path,
        ask.request,
        ask.timeout_ms,
        ask.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(ask.body);
    wire.write(&bytes)?;
    let head = wire.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    wire.read_body(&head)?;
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    Ok(Answer {
        at: record.now(),
        status: status.unwrap_or(0),
        head,
    })
}
