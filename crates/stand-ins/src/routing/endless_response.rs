//! Responses that a fake upstream sends until the client closes the connection.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The minimum size of one write.
const WRITE_BYTES: usize = 16 * 1024;
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The part of a response that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessResponse {
    /// Bytes that are not HTTP.
    Garbage,
    /// Empty lines before the status line.
    EmptyLines,
    /// Informational responses (103) before the final one.
    Informational,
    /// The value of a header.
    HeaderValue,
    /// Header lines.
    HeaderLines,
    /// Bytes after the end of a body that has a content length.
    AfterBody,
    /// A body without a content length.
    UndelimitedBody,
    /// The body of a client error (404) without a content length.
    ClientError,
    /// The chunks of a body.
    Chunks,
    /// Chunks of one byte.
    TinyChunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailer after a chunked body.
    Trailer,
    /// One event of an event stream.
    Event,
    /// The comment lines of one event.
    CommentLines,
    /// Comments, each followed by a blank line.
    CommentBlocks,
    /// The blank lines of an event stream.
    BlankLines,
}

impl EndlessResponse {
    /// Sends the response until the client closes the connection; `signed` are the headers
    /// of a signed response.
    pub(super) async fn send(self, stream: &mut TcpStream, signed: &str) -> std::io::Result<()> {
        stream.write_all(self.opening(signed).as_bytes()).await?;
        let text = self.repeated_text();
        let bytes = text.repeat(WRITE_BYTES.div_ceil(text.len())).into_bytes();
        loop {
            stream.write_all(&bytes).await?;
        }
    }

    /// Returns what comes before the part without an end.
    fn opening(self, signed: &str) -> String {
        let rest = match self {
            Self::Garbage | Self::EmptyLines | Self::Informational => return String::new(),
            Self::HeaderValue => "X-Long: ".to_owned(),
            Self::HeaderLines => String::new(),
            Self::AfterBody => "Content-Length: 6\r\n\r\nanswer".to_owned(),
            Self::UndelimitedBody | Self::ClientError => "\r\n".to_owned(),
            Self::Chunks | Self::TinyChunks => CHUNKED.to_owned(),
            Self::ChunkExtension => format!("{CHUNKED}1;"),
            Self::Trailer => format!("{CHUNKED}6\r\nanswer\r\n0\r\nX-Long: "),
            Self::Event => format!("{EVENT_STREAM}{}", chunk("id: 1\n")),
            Self::CommentLines | Self::CommentBlocks | Self::BlankLines => EVENT_STREAM.to_owned(),
        };
        let status = match self {
            Self::ClientError => "404 Not Found",
            _ => "200 OK",
        };
        format!("HTTP/1.1 {status}\r\n{signed}{rest}")
    }

    fn repeated_text(self) -> String {
        match self {
            Self::EmptyLines => "\r\n".to_owned(),
            Self::Informational => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            Self::HeaderLines => "X-More: x\r\n".to_owned(),
            Self::Chunks => chunk(&"x".repeat(1_024)),
            Self::TinyChunks => chunk("x"),
            Self::Event => chunk("data: more\n"),
            Self::CommentLines => chunk(":\n"),
            Self::CommentBlocks => chunk(":\n\n"),
            Self::BlankLines => chunk("\n"),
            Self::Garbage
            | Self::HeaderValue
            | Self::AfterBody
            | Self::UndelimitedBody
            | Self::ClientError
            | Self::ChunkExtension
            | Self::Trailer => "x".to_owned(),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
