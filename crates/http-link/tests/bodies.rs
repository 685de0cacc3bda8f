//! Bodies that arrive in pieces.

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::{Body, Frame};
use rstest::rstest;
use skylarkshed_http_link::{read_body, read_body_within, BodyBudget, BodyError, BodyLimits};
use std::convert::Infallible;

const MAX_BYTES: usize = 1 << 20;

fn make_body(pieces: Vec<Bytes>) -> impl Body<Data = Bytes, Error = Infallible> {
    let frames = pieces.into_iter();
    let frames = frames.map(|piece| Ok(Frame::data(piece)));
    StreamBody::new(futures::stream::iter(frames))
}

async fn read(pieces: Vec<Bytes>) -> Result<Bytes, BodyError> {
    read_body(make_body(pieces), BodyLimits::response(MAX_BYTES)).await
}

/// Returns `count` pieces of `size` bytes.
fn make_pieces(count: usize, size: usize) -> Vec<Bytes> {
    vec![Bytes::from(vec![b'x'; size]); count]
}

#[rstest]
#[case::in_one_piece(1, MAX_BYTES)]
#[case::short_byte_by_byte(1_000, 1)]
#[case::long_in_small_pieces(MAX_BYTES / 64, 64)]
#[case::empty(0, 1)]
#[tokio::test]
async fn sound_body_is_read_whole(#[case] count: usize, #[case] size: usize) {
    let bytes = read(make_pieces(count, size)).await.unwrap();
    assert_eq!(bytes.len(), count * size);
}

/// Guards against a body that takes the processor time of other requests.
#[tokio::test]
async fn long_body_in_single_bytes_is_cut_off() {
    let error = read(make_pieces(100_000, 1)).await.unwrap_err();
    assert!(matches!(error, BodyError::TooManyPieces(pieces) if pieces < 1_100));
}

#[tokio::test]
async fn long_body_is_cut_off() {
    let error = read(make_pieces(1_025, 1_024)).await.unwrap_err();
    assert!(matches!(error, BodyError::TooLong(MAX_BYTES)));
}

/// Guards against pieces that keep the buffers that they were read into.
#[tokio::test]
async fn read_buffers_are_released() {
    let buffer = Bytes::from(vec![b'x'; 32 * 1_024]);
    let pieces = (0..1_000).map(|at| buffer.slice(at..=at)).collect();
    assert_eq!(read(pieces).await.unwrap().len(), 1_000);
    assert!(buffer.is_unique());
}

/// Guards against a budget that counts the bytes of bodies while their buffers, which grow
/// by doubling, occupy up to twice as much.
#[rstest]
#[case::doubled_buffer(33, false)]
#[case::full_buffer(32, true)]
#[tokio::test]
async fn budget_counts_the_capacity_of_buffers(#[case] pieces: usize, #[case] has_room: bool) {
    // Each body has 16 KiB outside the budget. 33 KiB need a buffer of 64 KiB.
    let budget = BodyBudget::new(64 * 1_024);
    let limits = BodyLimits::response(MAX_BYTES);
    let body = || make_body(make_pieces(pieces, 1_024));
    let first = read_body_within(body(), limits, &budget).await.unwrap();
    let second = read_body_within(body(), limits, &budget).await;
    assert_eq!(second.is_ok(), has_room);
    drop((first, second));
    let again = read_body_within(body(), limits, &budget).await;
    assert_eq!(again.unwrap().len(), pieces * 1_024);
}
