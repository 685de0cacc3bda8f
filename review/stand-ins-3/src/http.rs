//! HTTP/1.1 messages, for stand-ins and clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a parameter of the target's query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(known, _)| *known == name);
        values
            .next()
            .map_or(String::new(), |(_, value)| value.to_owned())
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut request = read_head(reader)?;
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body)?;
    request.is_complete = true;
    Ok(request)
}

/// Reads a response. A connection that fails within the body leaves it incomplete.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut response = read_head(reader)?;
    let coding = response.header("transfer-encoding").unwrap_or("");
    if coding.eq_ignore_ascii_case("chunked") {
        response.is_complete = read_chunks(reader, &mut response.body).is_ok();
        return Ok(response);
    }
    let length = response
        .header("content-length")
        .and_then(|text| text.parse::<u64>().ok());
    match length {
        Some(length) => {
            let read = reader.take(length).read_to_end(&mut response.body);
            response.is_complete = read.is_ok() && response.body.len() as u64 == length;
        }
        None => response.is_complete = reader.read_to_end(&mut response.body).is_ok(),
    }
    Ok(response)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = u64::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let read = reader.take(size).read_to_end(body)?;
        if read as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends a request on a new connection and reads its response.
pub fn send(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    read_response(&mut BufReader::new(stream))
}

/// Waits until a GET request of a path gets this status.
pub fn wait_for_status(address: SocketAddr, path: &str, status: u16, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    while Instant::now() < deadline {
        let response = send(address, &request, Duration::from_secs(1));
        if response.is_ok_and(|response| response.status() == status) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
