//! The bodies of answers to callers.

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// An answer to a caller.
pub(crate) type CallerAnswer = Response<AnswerBody>;

/// An answer that ends early; the caller's connection is closed without its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenAnswer;

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// A body that comes in parts; it is complete only if its sender says so.
    Parts(mpsc::Receiver<AnswerPart>),
}

/// A part of a body.
pub(crate) enum AnswerPart {
    Bytes(Bytes),
    End,
}

impl AnswerBody {
    pub(crate) fn whole(body: Bytes) -> Self {
        AnswerBody::Whole((!body.is_empty()).then_some(body))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match &mut *self {
            AnswerBody::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            AnswerBody::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(AnswerPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(AnswerPart::End) => None,
                None => Some(Err(BrokenAnswer)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}
