//! Proof of whether a request has left for an upstream.

/// Proof that nothing of a request has been sent to any upstream.
///
/// There is one per request and it can't be copied. A client gives it back
/// only when no byte left, so a refusal that needs it can't be built after
/// something was sent.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::UnsentCall;
///
/// let call = UnsentCall::for_new_request();
/// let _sent = call.mark_sent();
/// // `call` is gone: a refusal that says `not_run` can't be built any more.
/// ```
#[derive(Debug)]
#[must_use]
pub struct UnsentCall(());

impl UnsentCall {
    /// Starts the life of a request that was just read from its caller.
    pub fn for_new_request() -> Self {
        UnsentCall(())
    }

    /// Notes that the request is about to be sent.
    pub fn mark_sent(self) -> SentCall {
        SentCall(())
    }
}

/// Evidence that a request was sent and may have run.
#[derive(Clone, Copy, Debug)]
pub struct SentCall(());
