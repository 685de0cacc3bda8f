//! Graceful shutdown: the process exits after its requests have finished.

use crate::calls::minted_call;
use crate::peers::membership_task::send_leave;
use crate::state::NodeShared;
use skylarkshed_core::ClockTime;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::net::UdpSocket;

const CHECK_INTERVAL: ClockTime = ClockTime::from_millis(50);

/// Fails the readiness check, then refuses new requests, then waits for those in progress.
pub(crate) async fn drain(shared: Arc<NodeShared>, socket: Arc<UdpSocket>) {
    log::info!("draining: the readiness check fails from now on");
    shared.is_draining.store(true, Ordering::Relaxed);
    tokio::time::sleep(shared.settings.limits.drain_grace.to_duration()).await;
    shared.is_refusing.store(true, Ordering::Relaxed);
    while shared.admission.in_progress() > 0 {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
    }
    minted_call::persist_used_keys(&shared).await;
    send_leave(&shared, &socket).await;
    log::info!("drained: all requests are finished");
}
