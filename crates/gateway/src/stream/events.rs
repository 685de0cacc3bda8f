//! Splits an event stream into events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The maximum size of an event; usual ones have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    pub(crate) id: Option<u64>,
    pub(crate) bytes: Bytes,
}

/// The error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the upstream's event is too long")]
pub(crate) struct EventTooLong;

/// Buffers bytes until they contain a complete event.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: BytesMut,
    /// The number of bytes already searched for the end of an event.
    searched_bytes: usize,
}

impl EventParser {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if any.
    pub(crate) fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let Some(end) = find_end(&self.buffer[self.searched_bytes..]) else {
            // The last bytes may be the start of the event's end.
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let bytes = self.buffer.split_to(self.searched_bytes + end).freeze();
        self.searched_bytes = 0;
        let id = read_id(&bytes);
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Reports whether bytes of an incomplete event are buffered.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
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
