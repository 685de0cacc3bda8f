//! Accepts the tokens of one generation, each exactly once and in order.

use faststr::FastStr;
use skylarkshed_core::AttemptNumber;

/// The outcome of offering a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerVerdict {
    /// It is the next token and was accepted.
    Accepted,
    /// It repeats an accepted token.
    Duplicate,
    /// It differs from the accepted token at its index.
    Conflict,
    /// Tokens before it are missing.
    Gap,
    /// It comes from an attempt that is not the current one.
    Stale,
}

/// The accepted tokens, and the attempt that may add to them.
///
/// While no attempt is current, the first one that sends the next token becomes
/// current.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::AttemptNumber;
/// use skylarkshed_policy::{LedgerVerdict, TokenLedger};
///
/// let mut ledger = TokenLedger::default();
/// let (first, second) = (AttemptNumber(1), AttemptNumber(2));
/// assert_eq!(ledger.offer(first, 0, "a"), LedgerVerdict::Accepted);
/// assert_eq!(ledger.offer(second, 1, "b"), LedgerVerdict::Stale);
/// assert_eq!(ledger.offer(first, 2, "c"), LedgerVerdict::Gap);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenLedger {
    tokens: Vec<FastStr>,
    current: Option<AttemptNumber>,
}

impl TokenLedger {
    /// Creates a ledger with tokens that are already accepted.
    pub fn with_tokens(tokens: Vec<FastStr>) -> Self {
        TokenLedger {
            tokens,
            current: None,
        }
    }

    /// Offers a token from an attempt.
    pub fn offer(&mut self, attempt: AttemptNumber, index: u32, token: &str) -> LedgerVerdict {
        if self.current.is_some_and(|current| current != attempt) {
            return LedgerVerdict::Stale;
        }
        let index = index as usize;
        if let Some(accepted) = self.tokens.get(index) {
            return match accepted == token {
                true => LedgerVerdict::Duplicate,
                false => LedgerVerdict::Conflict,
            };
        }
        if index > self.tokens.len() {
            return LedgerVerdict::Gap;
        }
        self.current = Some(attempt);
        self.tokens.push(FastStr::new(token));
        LedgerVerdict::Accepted
    }

    /// Allows any attempt to become current by sending the next token.
    pub fn release(&mut self) {
        self.current = None;
    }

    /// Returns the attempt that may add tokens.
    pub fn current(&self) -> Option<AttemptNumber> {
        self.current
    }

    /// Returns the accepted tokens.
    pub fn tokens(&self) -> &[FastStr] {
        &self.tokens
    }

    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.tokens.len() as u32
    }
}
