//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

pub struct Head {
    /// Method, or version in an answer.
    pub method: String,
    /// Target, or status in an answer.
    pub target: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a head; what follows it stays in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Head> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
            let fields = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_owned(), value.trim().to_owned()))
            });
            return Some(Head {
                method,
                target,
                fields: fields.collect(),
            });
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => rest.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Reads a body that has a length or is in chunks.
pub fn read_body(stream: &mut TcpStream, rest: &mut Vec<u8>, head: &Head) -> Option<Vec<u8>> {
    if head
        .field("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            while !rest.windows(2).any(|window| window == b"\r\n") {
                more(stream, rest)?;
            }
            let end = rest.windows(2).position(|window| window == b"\r\n")?;
            let size = String::from_utf8_lossy(&rest[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            rest.drain(..end + 2);
            while rest.len() < size + 2 {
                more(stream, rest)?;
            }
            body.extend_from_slice(&rest[..size]);
            rest.drain(..size + 2);
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length = head.length();
    while rest.len() < length {
        more(stream, rest)?;
    }
    Some(rest.drain(..length).collect())
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16384];
    match stream.read(&mut chunk) {
        Ok(count) if count > 0 => rest.extend_from_slice(&chunk[..count]),
        _ => return None,
    }
    Some(())
}

pub fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        match bytes[index] {
            b'%' if index + 2 < bytes.len() => {
                let code = u8::from_str_radix(&text[index + 1..index + 3], 16);
                decoded.push(code.unwrap_or(b'?'));
                index += 3;
            }
            byte => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
