//! The decoders reject random and corrupted bytes with an error, without a panic.

use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkshed_core::{ClockTime, IncarnationId, RevisionNumber};
use skylarkshed_peer::wire::{PeerBody, PeerFrame};
use skylarkshed_peer::{
    decode_gossip, encode_gossip, PeerCodec, PeerError, PeerKey, MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
};
use skylarkshed_policy::{GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState};
use tokio_util::codec::{Decoder, Encoder};

fn fuzz_config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

fn key() -> PeerKey {
    PeerKey::parse(&"0f".repeat(32)).unwrap()
}

fn message(sequence: u64, updates: usize) -> GossipMessage {
    let record = |number: usize| MemberRecord {
        name: format!("vm-{number}").as_str().into(),
        zone: "arima".into(),
        address: "127.0.0.1:7300".parse().unwrap(),
        incarnation: IncarnationId(1_796_000_000_000),
        counter: 1,
        state: MemberState::Suspect,
        suspected_for: ClockTime::from_millis(300),
    };
    GossipMessage {
        kind: GossipKind::Ack {
            subject: "vm-3".into(),
        },
        sequence,
        sender: record(0),
        updates: (1..=updates).map(record).collect(),
        revision: RevisionNumber(4),
        notices: vec![LeavingNotice {
            upstream: "engine-1".into(),
            address: "127.0.0.1:7400".parse().unwrap(),
        }],
    }
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn random_datagrams_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(decode_gossip(&key(), &bytes).is_err());
    }

    #[test]
    fn messages_survive_encoding_and_decoding(sequence in any::<u64>(), updates in 0..7_usize) {
        let message = message(sequence, updates);
        let bytes = encode_gossip(&key(), &message);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(decode_gossip(&key(), &bytes).unwrap(), message);
    }

    #[test]
    fn corrupted_datagrams_are_rejected(position in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let mut bytes = encode_gossip(&key(), &message(7, 3));
        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        prop_assert!(decode_gossip(&key(), &bytes).is_err());
    }

    #[test]
    fn random_streams_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut codec = PeerCodec::new(key());
        let mut source = BytesMut::from(bytes.as_slice());
        // Either more bytes are needed or the frame is rejected.
        while let Ok(Some(_)) = codec.decode(&mut source) {
            prop_assert!(false, "a random frame was accepted");
        }
    }
}

#[test]
fn datagram_signed_with_another_key_is_rejected() {
    let other = PeerKey::parse(&"0e".repeat(32)).unwrap();
    let bytes = encode_gossip(&other, &message(1, 0));
    assert!(matches!(
        decode_gossip(&key(), &bytes),
        Err(PeerError::WrongCode)
    ));
}

#[test]
fn frame_above_the_limit_is_rejected() {
    let mut codec = PeerCodec::new(key());
    let body = Some(PeerBody::Evidence("x".repeat(MAX_FRAME_BYTES + 1)));
    assert!(codec
        .encode(PeerFrame { request: 1, body }, &mut BytesMut::new())
        .is_err());
    let mut length_prefix = BytesMut::from(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes()[..]);
    assert!(codec.decode(&mut length_prefix).is_err());
}
