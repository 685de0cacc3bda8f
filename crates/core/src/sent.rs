//! Types that prove whether a request may have been sent to an upstream.

/// Proof that nothing of a request has been sent to any upstream.
///
/// There is one per request and it can't be copied. An upstream client returns it
/// only if no byte was sent. A `not_run` refusal requires it, so it can't be built
/// after something was sent.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::UnsentCall;
///
/// let call = UnsentCall::for_new_request();
/// let _sent = call.mark_sent();
/// // `call` has been moved: a `not_run` refusal can no longer be built.
/// ```
#[derive(Debug)]
#[must_use]
pub struct UnsentCall(());

impl UnsentCall {
    /// Creates the proof for a request that was just read from its caller.
    pub fn for_new_request() -> Self {
        UnsentCall(())
    }

    /// Gives up the proof because the request is about to be sent.
    pub fn mark_sent(self) -> SentCall {
        SentCall(())
    }
}

/// Marker of a request that was sent and may have run.
#[derive(Clone, Copy, Debug)]
pub struct SentCall(());
