//! Keeps the blocks in the store, for the case that all VMs are restarted.

use super::probe_turn;
use crate::gateway_state::GatewayState;
use crate::platform_api::{RoutingStore, StoreError};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::PartBlock;
use std::sync::Arc;

/// How long a VM that got its tables from another VM waits for the blocks from it before it
/// reads the store; VMs that start together wait for different times.
const RESTORE_DELAY_MS: std::ops::RangeInclusive<u64> = 1_200..=2_200;
/// The pause after each round, also of failed calls.
const ROUND_PAUSE: ClockTime = ClockTime::from_millis(500);
/// How long other VMs wait for the VM that should store a block.
const TAKEOVER_DELAY_MS: std::ops::RangeInclusive<u64> = 2_000..=6_000;

/// Restores the blocks once, then stores those that the store lacks, until the process
/// ends.
pub(crate) async fn keep_blocks<S: RoutingStore>(state: Arc<GatewayState>, store: S) {
    restore(&state, &store).await;
    let mut changed = state.quarantine.changed.subscribe();
    loop {
        let unstored = unstored_blocks(&state);
        if unstored.is_empty() {
            // The state owns the sender.
            let _ = changed.changed().await;
            continue;
        }
        for block in unstored {
            store_block(&state, &store, block).await;
        }
        tokio::time::sleep(ROUND_PAUSE.to_duration()).await;
    }
}

async fn restore<S: RoutingStore>(state: &GatewayState, store: &S) {
    let delay = ClockTime::from_millis(rand::random_range(RESTORE_DELAY_MS));
    tokio::select! {
        () = tokio::time::sleep(delay.to_duration()) => {}
        () = state.quarantine.restoring.notified() => {}
    }
    while !state.quarantine.is_restored() {
        match store.read_blocks().await {
            Ok(blocks) => {
                let now = state.quarantine.clock.now();
                let count = blocks.len();
                let mut quarantine = state.quarantine.lock();
                for block in blocks {
                    // The time of the last end is not stored; a probe waits as after one.
                    quarantine.merge(block, ClockTime::ZERO, true, now);
                }
                drop(quarantine);
                state.quarantine.mark_restored();
                state.quarantine.note_change();
                log::info!(blocks = count; "blocks of prompt parts read from the store");
            }
            Err(error) => {
                log_error(&error);
                tokio::time::sleep(ROUND_PAUSE.to_duration()).await;
            }
        }
    }
}

fn unstored_blocks(state: &GatewayState) -> Vec<PartBlock> {
    let quarantine = &state.quarantine;
    let blocks = quarantine.lock().blocks(quarantine.clock.now());
    let unstored = blocks.into_iter().filter(|(_, _, is_stored)| !is_stored);
    unstored.map(|(block, _, _)| block).collect()
}

/// Stores a block, unless another VM has done so after a while.
async fn store_block<S: RoutingStore>(state: &Arc<GatewayState>, store: &S, block: PartBlock) {
    if probe_turn(&state.settings.name, &state.roster.vms(), &block) > 0 {
        let delay_ms = rand::random_range(TAKEOVER_DELAY_MS);
        tokio::time::sleep(ClockTime::from_millis(delay_ms).to_duration()).await;
        if !unstored_blocks(state).contains(&block) {
            return;
        }
    }
    match store.write_block(&block).await {
        Ok(()) => {
            state.quarantine.lock().mark_stored(&block);
            super::exchange::notify_of_blocks(state);
        }
        Err(error) => log_error(&error),
    }
}

fn log_error(error: &StoreError) {
    log::info!(reason = error.label(); "can't keep the blocks of prompt parts in the store: {error}");
}
