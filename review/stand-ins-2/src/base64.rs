//! Base64 with padding, in which the store carries the values of rows.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let is_used = index <= chunk.len();
            let digit = (group >> (18 - 6 * index)) & 63;
            text.push(match is_used {
                true => char::from(ALPHABET[digit as usize]),
                false => '=',
            });
        }
    }
    text
}

/// Decodes a text; other characters are skipped.
pub fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|letter| *letter == byte) else {
            continue;
        };
        group = group << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    bytes
}
