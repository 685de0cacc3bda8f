//! The protocol between VMs: authenticated frames over TCP and datagrams.
//!
//! Messages are Protocol Buffers by `prost`; frames are length-delimited by
//! `tokio-util`. Each carries a BLAKE3 code keyed with the peers' key; a frame
//! or datagram whose code is wrong is dropped.

mod codec;
mod connection;
mod gossip;
pub mod wire;

pub use codec::{PeerCodec, PeerError, PeerKey, DATAGRAM_LIMIT, FRAME_LIMIT};
pub use connection::{serve_peers, PeerClient, PeerHandler};
pub use gossip::{decode_gossip, encode_gossip};
