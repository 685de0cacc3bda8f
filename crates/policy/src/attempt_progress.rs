//! How far an upstream has come with its response.

use skylarkshed_core::ClockTime;

/// A response that has lasted this long since its first event is not one that ends its
/// upstream by beginning.
const FLOWING_TIME: ClockTime = ClockTime::from_millis(500);

/// How far an upstream has come with the response to one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No head has arrived: the request waits, or its prompt is read.
    Waiting,
    /// The head has arrived, and no event or only the first ones.
    Begun,
    /// Events have arrived for a while.
    Flowing,
}

impl AttemptProgress {
    /// Returns the progress of a response whose head has arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::AttemptProgress;
    ///
    /// let first_event = Some(ClockTime::from_millis(100));
    /// let progress = |ms| AttemptProgress::after_head(first_event, ClockTime::from_millis(ms));
    /// assert_eq!(progress(200), AttemptProgress::Begun);
    /// assert_eq!(progress(700), AttemptProgress::Flowing);
    /// ```
    pub fn after_head(first_event_at: Option<ClockTime>, now: ClockTime) -> Self {
        match first_event_at {
            Some(at) if now.since(at) >= FLOWING_TIME => AttemptProgress::Flowing,
            _ => AttemptProgress::Begun,
        }
    }

    /// Returns the label of the progress in logs.
    pub const fn label(self) -> &'static str {
        match self {
            AttemptProgress::Waiting => "waiting",
            AttemptProgress::Begun => "begun",
            AttemptProgress::Flowing => "flowing",
        }
    }
}
