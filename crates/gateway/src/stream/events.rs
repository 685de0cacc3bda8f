//! Cuts an event stream into whole events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The longest event that is waited for; events hold a few hundred bytes.
const MOST_EVENT_BYTES: usize = 256 * 1024;

/// One event, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    pub(crate) id: Option<u64>,
    pub(crate) bytes: Bytes,
}

/// An event that can't be one.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the upstream's event is too long")]
pub(crate) struct EventTooLong;

/// Collects bytes until they hold a whole event.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: BytesMut,
    /// The bytes that hold no end of an event.
    searched: usize,
}

impl EventReader {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub(crate) fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let Some(end) = find_end(&self.buffer[self.searched..]) else {
            // The end may have begun with the last bytes.
            self.searched = self.buffer.len().saturating_sub(3);
            return match self.buffer.len() > MOST_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let bytes = self.buffer.split_to(self.searched + end).freeze();
        self.searched = 0;
        let id = read_id(&bytes);
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Tells whether bytes of an unfinished event are left.
    pub(crate) fn is_amid_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the place after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut line_is_empty = false;
    for (place, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_is_empty => return Some(place + 1),
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
