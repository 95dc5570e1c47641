//! Just enough HTTP/1.1 for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head of a request or answer.
pub struct Head {
    /// First line.
    pub first: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter().filter(|(other, _)| other == name);
        fields.next().map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body by `Content-Length`.
    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the stream ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.unread.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let bytes: Vec<u8> = self.unread.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let mut lines = text.lines();
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    fields: fields.collect(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a line without its end.
    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let bytes: Vec<u8> = self.unread.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a number of bytes.
    pub fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..length).collect())
    }

    /// Reads the body that belongs to a head, by its length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_none() {
            return self.read_bytes(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_bytes(size)?);
            self.read_bytes(2)?;
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
