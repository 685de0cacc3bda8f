//! Runs the membership protocol over UDP.

use crate::counters;
use crate::state::NodeShared;
use skylarkshed_core::ClockTime;
use skylarkshed_peer::{decode_gossip, encode_gossip, PeerError, MAX_DATAGRAM_BYTES};
use skylarkshed_policy::{GossipKind, GossipMessage, MembershipAction};
use std::sync::Arc;
use tokio::net::UdpSocket;

const TICK_INTERVAL: ClockTime = ClockTime::from_millis(50);

/// Sends and receives datagrams until the process exits.
pub(crate) async fn run_membership(shared: Arc<NodeShared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = tokio::time::interval(TICK_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let actions = tokio::select! {
            _ = ticks.tick() => {
                let mut membership = shared.membership.lock().expect("not poisoned");
                membership.on_tick(shared.clock.now())
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((count, _)) => receive(&shared, &buffer[..count]),
                Err(_) => Vec::new(),
            },
        };
        perform(&shared, &socket, actions).await;
    }
}

/// Announces to the other VMs that this one leaves.
pub(crate) async fn send_leave(shared: &Arc<NodeShared>, socket: &UdpSocket) {
    let actions = shared.membership.lock().expect("not poisoned").leave();
    perform(shared, socket, actions).await;
}

fn receive(shared: &Arc<NodeShared>, datagram: &[u8]) -> Vec<MembershipAction> {
    match decode_gossip(&shared.peer_key, datagram) {
        Ok(message) => {
            let now = shared.clock.now();
            shared
                .membership
                .lock()
                .expect("not poisoned")
                .on_message(message, now)
        }
        Err(error) => {
            counters::count_peer_drop(drop_reason(&error));
            Vec::new()
        }
    }
}

/// Returns the reason under which a dropped message is counted.
pub(crate) fn drop_reason(error: &PeerError) -> &'static str {
    match error {
        PeerError::WrongCode => "wrong_code",
        PeerError::Malformed(_) => "malformed",
        PeerError::BadValue(_) => "bad_value",
        _ => "connection",
    }
}

async fn perform(shared: &Arc<NodeShared>, socket: &UdpSocket, actions: Vec<MembershipAction>) {
    for action in actions {
        match action {
            MembershipAction::Send { to, message } => {
                let datagram = encode_gossip(&shared.peer_key, &message);
                counters::count_peer_bytes(message_kind(&message), datagram.len());
                // The protocol tolerates lost datagrams.
                let _ = socket.send_to(&datagram, to).await;
            }
            MembershipAction::Changed(record) => {
                log::info!(
                    vm = record.name.as_str(),
                    state = format!("{:?}", record.state).to_lowercase().as_str(),
                    incarnation = record.incarnation.to_string().as_str();
                    "the membership record of a VM changed"
                );
                shared.update_vm_count();
            }
            MembershipAction::Leaving(notice) => {
                if let Some(state) = shared.registry.find(&notice) {
                    state.mark_leaving(shared.clock.now());
                }
            }
            MembershipAction::RevisionBehind { .. } => shared.outdated.notify_one(),
        }
    }
}

fn message_kind(message: &GossipMessage) -> &'static str {
    match message.kind {
        GossipKind::Ping => "ping",
        GossipKind::Ack { .. } => "ack",
        GossipKind::PingRequest { .. } => "ping_request",
    }
}
