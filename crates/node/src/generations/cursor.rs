//! Signed cursors with which a caller resumes an answer; each is bound to its request.

use skylarkshed_core::{AttemptNumber, GenerationId, UpstreamName, VersionName};
use skylarkshed_peer::PeerKey;
use std::fmt::Write;

const SEPARATOR: char = '~';
const FIELD_COUNT: usize = 6;

/// A caller's position in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerCursor {
    pub(crate) generation: GenerationId,
    pub(crate) version: VersionName,
    pub(crate) upstream: UpstreamName,
    pub(crate) attempt: AttemptNumber,
    /// The index of the first token that the caller has not received.
    pub(crate) next_index: u32,
}

/// Signs and verifies the cursors of one request.
#[derive(Clone)]
pub(crate) struct CursorSigner {
    key: PeerKey,
    request_hash: [u8; 32],
}

impl CursorSigner {
    /// Binds cursors to the fields of a request: customer, service, prompt and `max_tokens`.
    pub(crate) fn new(key: PeerKey, fields: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        CursorSigner {
            key,
            request_hash: *hasher.finalize().as_bytes(),
        }
    }

    /// Encodes a cursor, followed by its authentication code.
    pub(crate) fn encode(&self, cursor: &AnswerCursor) -> String {
        let mut text = format!(
            "{}~{}~{}~{}~{}",
            cursor.generation, cursor.version, cursor.upstream, cursor.attempt, cursor.next_index
        );
        let code = self.authentication_code(&text);
        text.push(SEPARATOR);
        for byte in code {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Decodes a cursor; returns `None` if it is malformed or belongs to another request.
    pub(crate) fn decode(&self, text: &str) -> Option<AnswerCursor> {
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let [generation, version, upstream, attempt, next_index, code] =
            <[&str; FIELD_COUNT]>::try_from(fields).ok()?;
        let cursor_text = &text[..text.len() - code.len() - SEPARATOR.len_utf8()];
        let code = decode_hex(code)?;
        if !self.key.verify(&self.signed_bytes(cursor_text), &code) {
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

    fn authentication_code(&self, text: &str) -> [u8; 16] {
        self.key.authentication_code(&self.signed_bytes(text))
    }

    fn signed_bytes(&self, text: &str) -> Vec<u8> {
        let mut signed = Vec::with_capacity(self.request_hash.len() + text.len());
        signed.extend_from_slice(&self.request_hash);
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
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
