//! Encoding and decoding of membership messages as datagrams.

use crate::codec::{PeerError, PeerKey};
use crate::wire::{GossipWire, MemberWire, NoticeWire};
use prost::Message;
use skylarkshed_core::{ClockTime, IncarnationId, RevisionNumber};
use skylarkshed_policy::{GossipKind, GossipMessage, LeavingNotice, MemberRecord, MemberState};

const PING: u32 = 0;
const ACK: u32 = 1;
const PING_REQUEST: u32 = 2;

/// Encodes and signs a message.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, IncarnationId, RevisionNumber};
/// use skylarkshed_peer::{decode_gossip, encode_gossip, PeerKey};
/// use skylarkshed_policy::{GossipKind, GossipMessage, MemberRecord, MemberState};
///
/// let sender = MemberRecord {
///     name: "vm-1".into(),
///     zone: "arima".into(),
///     address: "127.0.0.1:7300".parse().unwrap(),
///     incarnation: IncarnationId(1),
///     counter: 0,
///     state: MemberState::Alive,
///     suspected_for: ClockTime::ZERO,
/// };
/// let message = GossipMessage {
///     kind: GossipKind::Ping,
///     sequence: 1,
///     sender,
///     updates: vec![],
///     revision: RevisionNumber(4),
///     notices: vec![],
/// };
/// let key = PeerKey::parse(&"0f".repeat(32)).unwrap();
/// let bytes = encode_gossip(&key, &message);
/// assert_eq!(decode_gossip(&key, &bytes).unwrap(), message);
/// ```
pub fn encode_gossip(key: &PeerKey, message: &GossipMessage) -> Vec<u8> {
    let (kind, subject) = match &message.kind {
        GossipKind::Ping => (PING, String::new()),
        GossipKind::Ack { subject } => (ACK, subject.to_string()),
        GossipKind::PingRequest { target } => (PING_REQUEST, target.to_string()),
    };
    let wire = GossipWire {
        kind,
        subject,
        sequence: message.sequence,
        sender: Some(member_to_wire(&message.sender)),
        updates: message.updates.iter().map(member_to_wire).collect(),
        revision: message.revision.0,
        notices: message.notices.iter().map(notice_to_wire).collect(),
    };
    key.sign(wire.encode_to_vec())
}

/// Verifies and decodes a message.
///
/// # Errors
///
/// Fails if the authentication code is wrong, the message is malformed or one
/// of its fields has an invalid value.
pub fn decode_gossip(key: &PeerKey, bytes: &[u8]) -> Result<GossipMessage, PeerError> {
    let wire = GossipWire::decode(key.verify_and_unwrap(bytes)?.as_slice())?;
    let kind = match wire.kind {
        PING => GossipKind::Ping,
        ACK => GossipKind::Ack {
            subject: wire.subject.as_str().into(),
        },
        PING_REQUEST => GossipKind::PingRequest {
            target: wire.subject.as_str().into(),
        },
        _ => return Err(PeerError::BadValue("kind")),
    };
    let sender = wire.sender.as_ref().ok_or(PeerError::BadValue("sender"))?;
    Ok(GossipMessage {
        kind,
        sequence: wire.sequence,
        sender: member_from_wire(sender)?,
        updates: wire
            .updates
            .iter()
            .map(member_from_wire)
            .collect::<Result<_, _>>()?,
        revision: RevisionNumber(wire.revision),
        notices: wire
            .notices
            .iter()
            .map(notice_from_wire)
            .collect::<Result<_, _>>()?,
    })
}

fn member_to_wire(record: &MemberRecord) -> MemberWire {
    MemberWire {
        name: record.name.to_string(),
        zone: record.zone.to_string(),
        address: record.address.to_string(),
        incarnation: record.incarnation.0,
        counter: record.counter,
        state: record.state as u32,
        suspected_ms: record.suspected_for.as_millis(),
    }
}

fn member_from_wire(wire: &MemberWire) -> Result<MemberRecord, PeerError> {
    let state = match wire.state {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        3 => MemberState::Left,
        _ => return Err(PeerError::BadValue("state")),
    };
    Ok(MemberRecord {
        name: wire.name.as_str().into(),
        zone: wire.zone.as_str().into(),
        address: wire
            .address
            .parse()
            .map_err(|_| PeerError::BadValue("address"))?,
        incarnation: IncarnationId(wire.incarnation),
        counter: wire.counter,
        state,
        suspected_for: ClockTime::from_millis(wire.suspected_ms),
    })
}

fn notice_to_wire(notice: &LeavingNotice) -> NoticeWire {
    NoticeWire {
        upstream: notice.upstream.to_string(),
        address: notice.address.to_string(),
    }
}

fn notice_from_wire(wire: &NoticeWire) -> Result<LeavingNotice, PeerError> {
    let address = wire
        .address
        .parse()
        .map_err(|_| PeerError::BadValue("address"))?;
    Ok(LeavingNotice {
        upstream: wire.upstream.as_str().into(),
        address,
    })
}
