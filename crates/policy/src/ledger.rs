//! The tokens of one answer, each exactly once and in order.

use faststr::FastStr;
use skylarkshed_core::AttemptNumber;

/// What became of an offered token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerVerdict {
    /// It is the next token and now stands.
    Accepted,
    /// It repeats a token that stands already.
    Duplicate,
    /// It differs from the token that stands at its place.
    Conflict,
    /// Tokens before it are missing.
    Gap,
    /// It comes from an attempt that is not the current one.
    Stale,
}

/// The tokens that stand, and the attempt that may add to them.
///
/// While no attempt is current, the first attempt that brings the next token
/// becomes current.
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
    /// Makes a ledger in which tokens stand already.
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
        if let Some(standing) = self.tokens.get(index) {
            return match standing == token {
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

    /// Lets any attempt become current with the next token.
    pub fn release(&mut self) {
        self.current = None;
    }

    /// Returns the attempt that may add tokens.
    pub fn current(&self) -> Option<AttemptNumber> {
        self.current
    }

    /// Returns the tokens that stand.
    pub fn tokens(&self) -> &[FastStr] {
        &self.tokens
    }

    /// Returns the place of the next token.
    pub fn next_index(&self) -> u32 {
        self.tokens.len() as u32
    }
}
