//! The text that fake engines make, and how to tell a wrong answer.

use std::fmt;

/// Makes the tokens of one answer.
///
/// Each token depends on the version, the prompt and all tokens before it, so
/// a spliced, short or doubled answer differs from the whole one.
///
/// # Examples
///
/// ```
/// use skylarkshed_stand_ins::TokenOracle;
///
/// let mut whole = TokenOracle::new("v1", "", "count the meters");
/// let first = whole.next_token();
/// let mut other = TokenOracle::new("v2", "", "count the meters");
/// assert_ne!(first, other.next_token());
/// ```
#[derive(Clone)]
pub struct TokenOracle {
    hasher: blake3::Hasher,
}

impl TokenOracle {
    /// Starts an answer.
    pub fn new(version: &str, adapter: &str, prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for text in [version, adapter, prompt] {
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        TokenOracle { hasher }
    }

    /// Takes a token as standing.
    pub fn push(&mut self, token: &str) {
        self.hasher.update(token.as_bytes());
    }

    /// Makes the next token and takes it as standing.
    pub fn next_token(&mut self) -> String {
        let hash = self.hasher.finalize();
        let token = format!(" {}", &hash.to_hex()[..6]);
        self.push(&token);
        token
    }
}

/// How an answer differs from the whole one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMismatch {
    /// The token at this place is not the right one.
    WrongToken(usize),
    /// There are more or fewer tokens.
    WrongLength {
        /// The tokens found.
        found: usize,
        /// The tokens wanted.
        wanted: usize,
    },
}

impl fmt::Display for AnswerMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerMismatch::WrongToken(index) => write!(f, "token {index} is wrong"),
            AnswerMismatch::WrongLength { found, wanted } => {
                write!(f, "{found} tokens instead of {wanted}")
            }
        }
    }
}

/// Checks an answer against the oracle.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_answer(
    version: &str,
    prompt: &str,
    tokens: &[String],
    wanted: usize,
) -> Result<(), AnswerMismatch> {
    let mut oracle = TokenOracle::new(version, "", prompt);
    for (index, token) in tokens.iter().enumerate() {
        if *token != oracle.next_token() {
            return Err(AnswerMismatch::WrongToken(index));
        }
    }
    if tokens.len() != wanted {
        return Err(AnswerMismatch::WrongLength {
            found: tokens.len(),
            wanted,
        });
    }
    Ok(())
}
