//! Decides whether a response without a length is complete when its connection closes.
//!
//! Failure: an upstream's process is killed while it sends such responses. Its kernel
//! closes the connections in the same way as after a whole response, so that only the
//! process itself can tell the two apart.

/// What a check of an upstream's process shows after it has closed a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessCheck {
    /// It accepts connections.
    Running,
    /// Its host refuses connections, or another process has its address.
    Ended,
    /// Its host does not respond.
    Unreachable,
}

impl ProcessCheck {
    /// Returns the label of the result in logs.
    pub const fn label(self) -> &'static str {
        match self {
            ProcessCheck::Running => "running",
            ProcessCheck::Ended => "ended",
            ProcessCheck::Unreachable => "unreachable",
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
    /// ```
    pub const fn confirms_close(self) -> bool {
        matches!(self, ProcessCheck::Running)
    }
}
