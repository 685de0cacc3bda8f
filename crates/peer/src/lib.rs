//! The protocol between VMs: authenticated frames over TCP and datagrams over UDP.
//!
//! Messages are Protocol Buffers by `prost`; frames are length-delimited by
//! `tokio-util`. Each frame and each datagram carries a BLAKE3 authentication code
//! that is keyed with the shared peer key. A datagram with a wrong code is
//! dropped; a connection is closed when a frame with a wrong code arrives on it.

mod codec;
mod connection;
mod gossip;
mod packing;
pub mod wire;

pub use codec::{PeerCodec, PeerError, PeerKey, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use connection::{serve_peers, PeerClient, PeerHandler};
pub use gossip::{decode_gossip, encode_gossip};
pub use packing::{pack_rows, unpack_rows};
