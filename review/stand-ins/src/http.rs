//! Reads and writes HTTP/1.1 messages.

use std::io::{self, BufRead, Write};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the start line and the headers; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    match read_line(reader)? {
        Some(start) if !start.is_empty() => message.start = start,
        _ => return Ok(None),
    }
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let header = (name.trim().to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(chunk)
}

/// Reads the body that follows a head.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(())
}

/// Reads a whole request or response; none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length; `headers` are whole lines.
pub fn write_response(
    writer: &mut impl Write,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    writer.write_all(&message)?;
    writer.flush()
}
