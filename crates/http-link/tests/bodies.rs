//! Bodies that arrive in pieces.

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;
use skylarkshed_http_link::{read_body, BodyError, BodyLimits};
use std::convert::Infallible;

const MAX_BYTES: usize = 1 << 20;

async fn read(pieces: Vec<Bytes>) -> Result<Bytes, BodyError> {
    let frames = pieces.into_iter();
    let frames = frames.map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
    let body = StreamBody::new(futures::stream::iter(frames));
    read_body(body, BodyLimits::response(MAX_BYTES)).await
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
