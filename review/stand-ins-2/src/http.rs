//! HTTP/1.1 messages over blocking streams.

use std::io::{self, Read, Write};
use std::net::TcpStream;

const MAX_HEAD_BYTES: usize = 256 * 1024;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A stream with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn fill_some(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the head of a message; none if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&head)));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").contains("chunked") {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
            return Ok(());
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.read_bytes(length)?;
        Ok(())
    }

    /// Reads the next chunk of a chunked body; none at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.read_line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_bytes(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_some()?;
        }
    }

    fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill_some()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a whole message; none if the connection ends before it.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the stream's read timeout; reports whether the peer has closed it.
    pub fn wait_for_close(&mut self) -> bool {
        match self.fill() {
            Ok(count) => count == 0,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        }
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

fn parse_head(head: &[u8]) -> Message {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    }
}
