//! What a replay measures.

#[derive(Debug, Default)]
pub struct Outcome {
    pub first_event_ms: Vec<u64>,
    /// Of the busiest engine to the mean, in percent, every 100 ms.
    pub ratios: Vec<u64>,
    /// The mean change of an engine's due tokens, every 500 ms.
    pub changes: Vec<u64>,
    pub waited_for_room: u64,
    pub preempted: u64,
    pub status_checks: u64,
    pub revised: u64,
    /// Prompts sent to an engine without room while another candidate had it.
    pub passed_over_room: u64,
    /// The same, as far as the VM could know.
    pub known_room_passed_over: u64,
}

impl Outcome {
    /// The 99th percentile of the time to the first event.
    pub fn p99(&self) -> u64 {
        percentile(&self.first_event_ms, 99)
    }

    /// Prints the figures.
    pub fn print(&self, label: &str) {
        println!(
            "{label}: {} prompts, first event p50 {} p99 {} ms, busiest to mean {} % (p90 {} %), \
             change {} tokens in 500 ms, waited for room {}, preempted {}, passed over room {} \
             (known {}), revised {}, status checks {}",
            self.first_event_ms.len(),
            percentile(&self.first_event_ms, 50),
            self.p99(),
            mean(&self.ratios),
            percentile(&self.ratios, 90),
            mean(&self.changes),
            self.waited_for_room,
            self.preempted,
            self.passed_over_room,
            self.known_room_passed_over,
            self.revised,
            self.status_checks,
        );
    }
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len() as u64
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut values = values.to_vec();
    values.sort_unstable();
    values[(values.len() - 1) * percent / 100]
}
