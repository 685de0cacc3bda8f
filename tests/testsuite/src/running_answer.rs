//! An answer under way, whose progress a test can wait for.

use crate::fixture::wait_for_tokens;
use skylarkshed_bench::{Fleet, GenerationClient, GenerationResult, GenerationSpec};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinHandle;

/// No answer of the tests takes longer.
const ANSWER_WAIT: Duration = Duration::from_secs(60);

/// An answer under way.
pub struct RunningAnswer {
    /// Its reader.
    pub task: JoinHandle<GenerationResult>,
    /// The number of tokens after each one.
    pub progress: UnboundedReceiver<usize>,
}

impl RunningAnswer {
    /// Asks a VM.
    pub fn start(fleet: &Fleet, vm: usize, query: &GenerationSpec) -> Self {
        let (sender, progress) = unbounded_channel();
        let (vm, query) = (fleet.vms[vm].caller_address, query.clone());
        let task = tokio::spawn(async move {
            let told = move |count| {
                let _ = sender.send(count);
            };
            GenerationClient::default()
                .generate_with_progress(vm, &query, None, None, told)
                .await
        });
        RunningAnswer { task, progress }
    }

    /// Waits until this many tokens have come.
    ///
    /// # Panics
    ///
    /// Panics if they do not come in time.
    pub async fn wait_for_tokens(&mut self, count: usize) {
        assert!(
            wait_for_tokens(&mut self.progress, count).await,
            "the answer reaches {count}"
        );
    }

    /// Waits for the end.
    ///
    /// # Panics
    ///
    /// Panics if it does not come in time.
    pub async fn wait_for_end(self) -> GenerationResult {
        let ended = tokio::time::timeout(ANSWER_WAIT, self.task).await;
        ended.expect("the answer ends in time").unwrap()
    }
}
