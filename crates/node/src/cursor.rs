//! Cursors: where a caller stands in an answer, bound to its request.

use skylarkshed_core::{AttemptNumber, GenerationId, UpstreamName, VersionName};
use skylarkshed_peer::PeerKey;
use std::fmt::Write;

const SEPARATOR: char = '~';
const FIELDS: usize = 6;

/// Where a caller stands in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerCursor {
    pub(crate) generation: GenerationId,
    pub(crate) version: VersionName,
    pub(crate) upstream: UpstreamName,
    pub(crate) attempt: AttemptNumber,
    /// The place of the first token that the caller does not hold.
    pub(crate) next_index: u32,
}

/// Signs the cursors of one request.
#[derive(Clone)]
pub(crate) struct CursorSigner {
    key: PeerKey,
    request: [u8; 32],
}

impl CursorSigner {
    /// Binds cursors to a request: its customer, service, prompt and length.
    pub(crate) fn new(key: PeerKey, request: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in request {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        CursorSigner {
            key,
            request: *hasher.finalize().as_bytes(),
        }
    }

    /// Writes a cursor with its code.
    pub(crate) fn write(&self, cursor: &AnswerCursor) -> String {
        let mut text = format!(
            "{}~{}~{}~{}~{}",
            cursor.generation, cursor.version, cursor.upstream, cursor.attempt, cursor.next_index
        );
        let code = self.code(&text);
        text.push(SEPARATOR);
        for byte in code {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Reads a cursor; none if it is malformed or belongs to another request.
    pub(crate) fn read(&self, text: &str) -> Option<AnswerCursor> {
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let [generation, version, upstream, attempt, next_index, code] =
            <[&str; FIELDS]>::try_from(fields).ok()?;
        let signed = &text[..text.len() - code.len() - SEPARATOR.len_utf8()];
        let code = decode_hex(code)?;
        if !self.key.verify(&self.signed_text(signed), &code) {
            return None;
        }
        Some(AnswerCursor {
            generation: generation.parse().ok()?,
            version: version.into(),
            upstream: upstream.into(),
            attempt: AttemptNumber(attempt.parse().ok()?),
            next_index: next_index.parse().ok()?,
        })
    }

    fn code(&self, text: &str) -> [u8; 16] {
        self.key.authentication_code(&self.signed_text(text))
    }

    fn signed_text(&self, text: &str) -> Vec<u8> {
        let mut signed = Vec::with_capacity(self.request.len() + text.len());
        signed.extend_from_slice(&self.request);
        signed.extend_from_slice(text.as_bytes());
        signed
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|place| u8::from_str_radix(&text[place..place + 2], 16).ok())
        .collect()
}
