//! A generation in progress, whose tokens a test can wait for.

use crate::fixture::wait_for_tokens;
use skylarkshed_bench::{Fleet, GenerationClient, GenerationResult, GenerationSpec};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinHandle;

/// A test fails if its generation takes longer than this time.
const GENERATION_TIMEOUT: Duration = Duration::from_secs(60);

/// A generation in progress.
pub struct RunningGeneration {
    /// The task that reads the generation.
    pub task: JoinHandle<GenerationResult>,
    /// Receives the number of tokens after each one.
    pub progress: UnboundedReceiver<usize>,
}

impl RunningGeneration {
    /// Requests a generation from a VM.
    pub fn start(fleet: &Fleet, vm: usize, spec: &GenerationSpec) -> Self {
        let (sender, progress) = unbounded_channel();
        let (vm, spec) = (fleet.vms[vm].caller_address, spec.clone());
        let task = tokio::spawn(async move {
            let on_progress = move |count| {
                let _ = sender.send(count);
            };
            GenerationClient::default()
                .generate_with_progress(vm, &spec, None, None, on_progress)
                .await
        });
        RunningGeneration { task, progress }
    }

    /// Waits until this many tokens have arrived.
    ///
    /// # Panics
    ///
    /// Panics if they do not arrive in time.
    pub async fn wait_for_tokens(&mut self, count: usize) {
        assert!(
            wait_for_tokens(&mut self.progress, count).await,
            "the generation did not reach {count} tokens in time"
        );
    }

    /// Waits for the end of the generation.
    ///
    /// # Panics
    ///
    /// Panics if it does not end in time.
    pub async fn wait_for_end(self) -> GenerationResult {
        let ended = tokio::time::timeout(GENERATION_TIMEOUT, self.task).await;
        ended.expect("the generation ends in time").unwrap()
    }
}
