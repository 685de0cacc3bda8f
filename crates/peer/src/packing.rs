//! Compression of the rows that one VM passes on to others.
//!
//! A relay sends each change to every VM of its zone. A configuration of a thousand
//! routes has hundreds of kilobytes, most of which repeat from route to route, so the
//! relay's link would need seconds to send it to all of them uncompressed.

use crate::codec::PeerError;
use crate::wire::{FeedRowWire, FeedRows};
use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use prost::Message;
use std::io::{Read, Write};

/// The largest size after decompression. It bounds the memory that a malformed
/// message can take; a table of 4,000 upstreams has one megabyte.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Compresses rows.
///
/// # Errors
///
/// Fails if the encoder does.
///
/// # Examples
///
/// ```
/// use skylarkshed_peer::wire::FeedRowWire;
/// use skylarkshed_peer::{pack_rows, unpack_rows};
///
/// let row = FeedRowWire { key: "config".to_owned(), revision: 7, value: Some(vec![1; 4_000]) };
/// let packed = pack_rows(vec![row.clone()]).unwrap();
/// assert!(packed.len() < 200);
/// assert_eq!(unpack_rows(&packed).unwrap(), [row]);
/// ```
pub fn pack_rows(rows: Vec<FeedRowWire>) -> Result<Bytes, PeerError> {
    let encoded = FeedRows { rows }.encode_to_vec();
    // The fastest level: small VMs have an eighth of a core.
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encoded)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses rows.
///
/// # Errors
///
/// Fails if the bytes are malformed or too long after decompression.
pub fn unpack_rows(packed: &[u8]) -> Result<Vec<FeedRowWire>, PeerError> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES + 1);
    decoder.read_to_end(&mut encoded)?;
    if encoded.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(PeerError::BadValue("packed_rows"));
    }
    Ok(FeedRows::decode(encoded.as_slice())?.rows)
}
