//! Reads whole bodies within limits.

use crate::body_budget::{BodyBudget, BodyReservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::error::Error as StdError;
use std::pin::pin;
use thiserror::Error;

/// The smallest average size of many pieces.
const MIN_PIECE_BYTES: usize = 64;
/// Most responses of calls have fewer bytes.
const FREE_RESPONSE_PIECES: usize = 1_024;
/// A caller may send a body as it is written.
const FREE_REQUEST_PIECES: usize = 8_192;

/// The limits of a body that is buffered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// The maximum size in bytes.
    pub bytes: usize,
    /// How many pieces may be of any size. With more of them, they must have 64 bytes on
    /// average: each costs processor time, however short it is.
    pub free_pieces: usize,
}

impl BodyLimits {
    /// Returns the limits of a response of at most this many bytes.
    pub const fn response(bytes: usize) -> Self {
        BodyLimits {
            bytes,
            free_pieces: FREE_RESPONSE_PIECES,
        }
    }

    /// Returns the limits of a caller's request of at most this many bytes.
    pub const fn request(bytes: usize) -> Self {
        BodyLimits {
            bytes,
            free_pieces: FREE_REQUEST_PIECES,
        }
    }

    /// Reports whether a body may arrive in this many pieces.
    const fn allows(&self, pieces: usize, bytes: usize) -> bool {
        pieces <= self.free_pieces + bytes / MIN_PIECE_BYTES
    }
}

/// An error of a body that is read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It has too many bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It arrives in too many pieces.
    #[error("the body arrives in too many pieces, {0} until now")]
    TooManyPieces(usize),
    /// Other bodies occupy the memory that it needs.
    #[error("other bodies occupy the memory for the body")]
    NoMemory,
    /// The connection failed, or the body is malformed.
    #[error("the connection failed within the body: {0}")]
    Broken(Box<dyn StdError + Send + Sync>),
}

/// Reads a body to its end. Its pieces are copied into one buffer: each may be a part of a
/// larger read buffer, which would be kept as long as the piece.
///
/// # Errors
///
/// Fails if the body exceeds a limit or does not end.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use skylarkshed_http_link::{read_body, BodyError, BodyLimits};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let body = || Full::new(Bytes::from("answer"));
/// let bytes = read_body(body(), BodyLimits::response(6)).await.unwrap();
/// assert_eq!(bytes, "answer");
/// let error = read_body(body(), BodyLimits::response(5)).await.unwrap_err();
/// assert!(matches!(error, BodyError::TooLong(5)));
/// # });
/// ```
pub async fn read_body<B>(body: B, limits: BodyLimits) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    read_reserved(body, limits, BodyReservation::new(None)).await
}

/// Reads a body as [`read_body`] does, within what a budget has left for it. The capacity
/// of the body's buffer is reserved before the buffer grows and occupies the budget until
/// the returned bytes are dropped.
///
/// # Errors
///
/// Fails as [`read_body`] does, or with [`BodyError::NoMemory`].
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use skylarkshed_http_link::{read_body_within, BodyBudget, BodyError, BodyLimits};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let budget = BodyBudget::new(64 * 1_024);
/// let limits = BodyLimits::response(1 << 20);
/// let body = || Full::new(Bytes::from(vec![0; 60_000]));
/// let first = read_body_within(body(), limits, &budget).await.unwrap();
/// let error = read_body_within(body(), limits, &budget).await.unwrap_err();
/// assert!(matches!(error, BodyError::NoMemory));
/// drop(first);
/// assert!(read_body_within(body(), limits, &budget).await.is_ok());
/// # });
/// ```
pub async fn read_body_within<B>(
    body: B,
    limits: BodyLimits,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    read_reserved(body, limits, BodyReservation::new(Some(budget))).await
}

async fn read_reserved<B>(
    body: B,
    limits: BodyLimits,
    mut reservation: BodyReservation<'_>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let too_long = || BodyError::TooLong(limits.bytes);
    let mut body = pin!(body);
    if body.size_hint().lower() > limits.bytes as u64 {
        return Err(too_long());
    }
    let mut buffer = Vec::new();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.into()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        pieces += 1;
        if buffer.len() + piece.len() > limits.bytes {
            return Err(too_long());
        }
        if !limits.allows(pieces, buffer.len()) {
            return Err(BodyError::TooManyPieces(pieces));
        }
        let needed = buffer.len() + piece.len();
        if needed > buffer.capacity() {
            let rest = body.size_hint().upper().unwrap_or(u64::MAX);
            let rest = usize::try_from(rest).unwrap_or(usize::MAX);
            let longest = needed.saturating_add(rest).min(limits.bytes);
            let capacity = grown_capacity(buffer.capacity(), needed, longest);
            if !reservation.extend_to(capacity) {
                return Err(BodyError::NoMemory);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&piece);
    }
    Ok(reservation.attach_to(Bytes::from(buffer)))
}

/// Returns the next capacity of a buffer that has to hold `needed` bytes. It doubles, so
/// that the bytes are copied a constant number of times on average, but does not exceed the
/// longest body possible.
const fn grown_capacity(capacity: usize, needed: usize, longest: usize) -> usize {
    let doubled = capacity.saturating_mul(2);
    let target = if doubled < longest { doubled } else { longest };
    if target > needed {
        target
    } else {
        needed
    }
}
