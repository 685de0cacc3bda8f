//! Properties of a prompt that are computed before it runs.

/// Estimates the number of tokens of a prompt by its words.
///
/// The estimate gives the cost of repeating the prefill on another engine.
pub(crate) fn estimate_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}

/// Hashes the start of a prompt; requests with the same start can share a KV cache.
pub(crate) fn prefix_hash(prompt: &str) -> u64 {
    const MAX_PREFIX_BYTES: usize = 512;
    let prefix = &prompt.as_bytes()[..prompt.len().min(MAX_PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
