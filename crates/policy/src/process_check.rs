//! Decides whether a response without a length is complete when its connection closes.
//!
//! Failure: an upstream's process is killed while it sends such responses. Its kernel
//! closes the connections in the same way as after a whole response, so that only the
//! process itself can tell the two apart. By the time the close is seen, another process
//! may listen at the address.

use skylarkshed_core::ClockTime;

/// The shortest time in which a process ends and another one listens at its address.
const MIN_RESTART_TIME: ClockTime = ClockTime::from_millis(250);

/// What a check of an upstream's process shows after it has closed a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessCheck {
    /// It accepts connections.
    Running,
    /// Its host refuses connections, or another process has its address.
    Ended,
    /// Its host does not respond.
    Unreachable,
    /// A process accepts connections, but it may be another one.
    Unknown,
}

impl ProcessCheck {
    /// Returns the label of the result in logs.
    pub const fn label(self) -> &'static str {
        match self {
            ProcessCheck::Running => "running",
            ProcessCheck::Ended => "ended",
            ProcessCheck::Unreachable => "unreachable",
            ProcessCheck::Unknown => "unknown",
        }
    }

    /// Reports whether the close was the end of a whole response. A host that is shut down
    /// ends its processes first, so one that does not respond confirms nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::ProcessCheck;
    ///
    /// assert!(ProcessCheck::Running.confirms_close());
    /// assert!(!ProcessCheck::Ended.confirms_close());
    /// assert!(!ProcessCheck::Unreachable.confirms_close());
    /// assert!(!ProcessCheck::Unknown.confirms_close());
    /// ```
    pub const fn confirms_close(self) -> bool {
        matches!(self, ProcessCheck::Running)
    }

    /// Returns the result for the process that a request was sent to, if it was found for
    /// the one that accepts connections `since_sent` later.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::ClockTime;
    /// use skylarkshed_policy::ProcessCheck;
    ///
    /// let soon = ClockTime::from_millis(60);
    /// assert_eq!(ProcessCheck::Running.after(soon), ProcessCheck::Running);
    /// let later = ClockTime::from_millis(700);
    /// assert_eq!(ProcessCheck::Running.after(later), ProcessCheck::Unknown);
    /// assert_eq!(ProcessCheck::Ended.after(later), ProcessCheck::Ended);
    /// ```
    pub fn after(self, since_sent: ClockTime) -> Self {
        match self {
            ProcessCheck::Running if since_sent >= MIN_RESTART_TIME => ProcessCheck::Unknown,
            check => check,
        }
    }
}
