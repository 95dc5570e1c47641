//! Limit of the size of a request's body.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body::{BodyError, ProxyBody};

/// Tells whether a [`SizedBody`] has exceeded its limit.
#[derive(Clone, Debug, Default)]
pub struct OverrunFlag(Arc<AtomicBool>);

impl OverrunFlag {
    /// Whether the body has exceeded its limit.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A body that fails when it exceeds a size.
pub struct SizedBody {
    inner: ProxyBody,
    left: u64,
    overrun: OverrunFlag,
}

impl SizedBody {
    /// Creates a body that fails, and sets `overrun`, after `max_bytes`.
    pub fn new(inner: ProxyBody, max_bytes: u64, overrun: OverrunFlag) -> Self {
        Self {
            inner,
            left: max_bytes,
            overrun,
        }
    }
}

impl Body for SizedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = &polled else {
            return polled;
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.left.checked_sub(length) {
            Some(left) => {
                self.left = left;
                polled
            }
            None => {
                self.overrun.0.store(true, Ordering::Relaxed);
                Poll::Ready(Some(Err("the body exceeds the allowed size".into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
