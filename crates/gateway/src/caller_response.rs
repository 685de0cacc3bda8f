//! Responses to callers and their bodies.

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// A response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// A response that ends early; the caller's connection is closed in its middle.
#[derive(Clone, Copy, Debug, Error)]
#[error("the response ended early")]
pub(crate) struct IncompleteResponse;

/// The body of a response.
pub(crate) enum ResponseBody {
    /// A body that is known completely.
    Complete(Option<Bytes>),
    /// A body that is sent in parts; it is complete only after [`BodyPart::End`].
    Parts(mpsc::Receiver<BodyPart>),
}

/// A part of a body.
pub(crate) enum BodyPart {
    Bytes(Bytes),
    End,
}

impl ResponseBody {
    pub(crate) fn complete(body: Bytes) -> Self {
        ResponseBody::Complete((!body.is_empty()).then_some(body))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match &mut *self {
            ResponseBody::Complete(body) => {
                Poll::Ready(body.take().map(|body| Ok(Frame::data(body))))
            }
            ResponseBody::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(BodyPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(BodyPart::End) => None,
                None => Some(Err(IncompleteResponse)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            ResponseBody::Parts(_) => SizeHint::default(),
        }
    }
}
