//! The deterministic tokens of the fake engines, and the check of an answer against
//! them.

use std::fmt;

/// Generates the expected tokens of one answer.
///
/// Each token depends on the version, the prompt and all tokens before it, so
/// a spliced, truncated or repeated answer differs from the expected one.
///
/// # Examples
///
/// ```
/// use skylarkshed_stand_ins::TokenOracle;
///
/// let mut expected = TokenOracle::new("v1", "", "count the meters");
/// let first = expected.next_token();
/// let mut other = TokenOracle::new("v2", "", "count the meters");
/// assert_ne!(first, other.next_token());
/// ```
#[derive(Clone)]
pub struct TokenOracle {
    hasher: blake3::Hasher,
}

impl TokenOracle {
    /// Creates the oracle of a new answer.
    pub fn new(version: &str, adapter: &str, prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for text in [version, adapter, prompt] {
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        TokenOracle { hasher }
    }

    /// Adds a token that was generated elsewhere to the prefix.
    pub fn push(&mut self, token: &str) {
        self.hasher.update(token.as_bytes());
    }

    /// Generates the next token and adds it to the prefix.
    pub fn next_token(&mut self) -> String {
        let hash = self.hasher.finalize();
        let token = format!(" {}", &hash.to_hex()[..6]);
        self.push(&token);
        token
    }
}

/// How an answer differs from the expected one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMismatch {
    /// The token at this index is wrong.
    WrongToken(usize),
    /// There are more or fewer tokens.
    WrongLength {
        /// The number of tokens found.
        found: usize,
        /// The expected number of tokens.
        expected: usize,
    },
}

impl fmt::Display for AnswerMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerMismatch::WrongToken(index) => write!(f, "token {index} is wrong"),
            AnswerMismatch::WrongLength { found, expected } => {
                write!(f, "{found} tokens instead of {expected}")
            }
        }
    }
}

/// Checks an answer against the oracle.
///
/// # Errors
///
/// Returns the first mismatch.
pub fn check_answer(
    version: &str,
    prompt: &str,
    tokens: &[String],
    expected: usize,
) -> Result<(), AnswerMismatch> {
    let mut oracle = TokenOracle::new(version, "", prompt);
    for (index, token) in tokens.iter().enumerate() {
        if *token != oracle.next_token() {
            return Err(AnswerMismatch::WrongToken(index));
        }
    }
    if tokens.len() != expected {
        return Err(AnswerMismatch::WrongLength {
            found: tokens.len(),
            expected,
        });
    }
    Ok(())
}
