//! What is known of a prompt before it runs.

/// Counts the tokens of a prompt, for the cost of computing it again.
pub(crate) fn count_words(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}

/// Hashes the start of a prompt; requests with the same start share a cache.
pub(crate) fn prefix_hash(prompt: &str) -> u64 {
    const PREFIX_BYTES: usize = 512;
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(start);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
