//! Base64 with padding, as the store's rows use it.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes a text; other letters are skipped.
pub fn decode(text: &str) -> Vec<u8> {
    let letters = text.bytes();
    let values = letters.filter_map(|letter| LETTERS.iter().position(|known| *known == letter));
    let values: Vec<u32> = values.map(|value| value as u32).collect();
    let mut bytes = Vec::new();
    for group in values.chunks(4) {
        let bits = (0..4).fold(0, |bits, index| {
            bits << 6 | group.get(index).copied().unwrap_or(0)
        });
        let group_bytes = bits.to_be_bytes();
        bytes.extend_from_slice(&group_bytes[1..group.len().max(1)]);
    }
    bytes
}
