//! Parts of prompts on which responses went on.

use faststr::FastStr;
use skylarkshed_core::{ClockTime, ServiceName};
use std::collections::HashMap;

/// How long a part counts as sound after the last response on it.
const SOUND_TTL: ClockTime = ClockTime::from_millis(300_000);
/// The number of parts of a service that are kept. Parts are chosen by callers, so the
/// memory is bounded; the half that was used last stays.
const MAX_PARTS: usize = 8_192;

/// When a response on each part last went on for a while, by service.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    services: HashMap<ServiceName, HashMap<FastStr, ClockTime>>,
}

impl SoundParts {
    pub(crate) fn record(&mut self, service: &ServiceName, parts: &[FastStr], now: ClockTime) {
        let known = self.services.entry(service.clone()).or_default();
        for part in parts {
            known.insert(part.clone(), now);
        }
        if known.len() > MAX_PARTS {
            let mut times: Vec<ClockTime> = known.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
            let median = *median;
            known.retain(|_, at| *at > median);
        }
    }

    pub(crate) fn contains(&self, service: &ServiceName, part: &FastStr, now: ClockTime) -> bool {
        let known = self.services.get(service);
        let proved_at = known.and_then(|known| known.get(part));
        proved_at.is_some_and(|at| now.since(*at) < SOUND_TTL)
    }
}
