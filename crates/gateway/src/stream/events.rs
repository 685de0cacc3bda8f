//! Splits an event stream into events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The maximum size of an event; usual ones have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The maximum number of pieces in which an event arrives. Each piece costs processor time,
/// however short it is.
const MAX_EVENT_PIECES: u32 = 16 * 1024;

/// One event, including the comments before it and the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    pub(crate) id: Option<u64>,
    pub(crate) bytes: Bytes,
}

/// The error for an event that exceeds the maximum size or number of pieces.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the upstream's event is too long")]
pub(crate) struct EventTooLong;

/// Buffers bytes until they contain a complete event.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: BytesMut,
    /// Where the event begins after blocks of comments, which are forwarded with it.
    event_start: usize,
    /// The number of bytes already searched for the end of an event.
    searched_bytes: usize,
    /// The number of pieces that have arrived since the last event.
    pieces: u32,
}

impl EventParser {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.pieces += 1;
    }

    /// Returns the next complete event, if any. Comments are none: a stalled engine may
    /// send them without an end.
    pub(crate) fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        while let Some(length) = find_end(&self.buffer[self.searched_bytes..]) {
            let end = self.searched_bytes + length;
            if has_field(&self.buffer[self.event_start..end]) {
                let bytes = self.buffer.split_to(end).freeze();
                (self.event_start, self.searched_bytes) = (0, 0);
                self.pieces = 0;
                let id = read_id(&bytes);
                return Ok(Some(StreamEvent { id, bytes }));
            }
            (self.event_start, self.searched_bytes) = (end, end);
        }
        if self.buffer.len() > MAX_EVENT_BYTES || self.pieces > MAX_EVENT_PIECES {
            return Err(EventTooLong);
        }
        // The last bytes may belong to the blank line that ends the event.
        self.searched_bytes = self.event_start.max(self.buffer.len().saturating_sub(3));
        Ok(None)
    }

    /// Reports whether bytes of an incomplete event are buffered.
    pub(crate) fn has_partial_event(&self) -> bool {
        has_field(&self.buffer[self.event_start..])
    }
}

/// Reports whether there is a line that is neither empty nor a comment.
fn has_field(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

/// Returns the index after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut line_is_empty = false;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_is_empty => return Some(index + 1),
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => line_is_empty = false,
        }
    }
    None
}

fn read_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
