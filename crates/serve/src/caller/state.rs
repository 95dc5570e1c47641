//! State of one connection of a caller, shared between the connection and the
//! watch over all of them.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    task::Context,
};

use futures::task::AtomicWaker;
use ids::MonoTime;

use crate::clock::MonoClock;

/// Value that stands for no time.
const NEVER: u64 = 0;

/// What a connection is doing, and since when.
///
/// All fields are hints for closing connections that nobody uses; a request that
/// begins wins over a wish to close its connection.
#[derive(Debug)]
pub struct CallerState {
    clock: MonoClock,
    /// Time since which no request is in flight, in milliseconds; [`NEVER`] while
    /// one is.
    idle_since: AtomicU64,
    /// Time of the first byte of a head that is not complete, in milliseconds;
    /// [`NEVER`] if there is none.
    head_since: AtomicU64,
    /// Whether the peer has not taken all that is to be written. Even behind the end of
    /// an answer, hundreds of kilobytes of it may not be written yet.
    blocked: AtomicBool,
    /// Whether the connection is to be closed unless a request or the end of an answer
    /// is in flight.
    closing: AtomicBool,
    waker: AtomicWaker,
    /// Whether the connection failed since there was no memory for a head.
    unheld: AtomicBool,
}

impl CallerState {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(clock: MonoClock) -> Self {
        let state = Self {
            clock,
            idle_since: AtomicU64::new(NEVER),
            head_since: AtomicU64::new(NEVER),
            blocked: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            waker: AtomicWaker::new(),
            unheld: AtomicBool::new(false),
        };
        state.end_request();
        state
    }

    /// Returns the present time in milliseconds.
    fn now(&self) -> u64 {
        millis(self.clock.now())
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&self) {
        self.head_since.store(NEVER, Ordering::Relaxed);
        self.idle_since.store(NEVER, Ordering::Relaxed);
    }

    /// Records that the answer has been passed on completely.
    pub fn end_request(&self) {
        self.idle_since.store(self.now(), Ordering::Relaxed);
    }

    /// Records that bytes arrived. They are of a head unless a request is in
    /// flight.
    pub fn record_read(&self) {
        if !self.is_busy() && self.head_since.load(Ordering::Relaxed) == NEVER {
            self.head_since.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Records that the peer took bytes. The end of an answer may be written long
    /// after it was passed on.
    pub fn record_written(&self) {
        if !self.is_busy() {
            self.end_request();
        }
    }

    /// Records whether the peer takes no bytes although some are to be written.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
    }

    /// Whether the peer takes no bytes although some are to be written.
    fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Whether a request is in flight.
    pub fn is_busy(&self) -> bool {
        self.idle_since.load(Ordering::Relaxed) == NEVER
    }

    /// Returns the time since which the connection is idle; `None` while a request or
    /// its head is in flight, or the end of an answer. The limit on writes closes the
    /// connection of a peer that takes nothing.
    pub fn idle_since(&self) -> Option<MonoTime> {
        match self.head_since.load(Ordering::Relaxed) {
            NEVER if !self.is_blocked() => time(self.idle_since.load(Ordering::Relaxed)),
            _ => None,
        }
    }

    /// Returns the time of the first byte of a head that is not complete.
    pub fn head_since(&self) -> Option<MonoTime> {
        time(self.head_since.load(Ordering::Relaxed))
    }

    /// Records that the connection fails since there is no memory for a head.
    pub fn record_unheld(&self) {
        self.unheld.store(true, Ordering::Relaxed);
    }

    /// Whether the connection failed since there was no memory for a head.
    pub fn is_unheld(&self) -> bool {
        self.unheld.load(Ordering::Relaxed)
    }

    /// Has the connection closed unless a request or the end of an answer is in flight.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Whether the connection is to be closed now; wakes the task of `context` when
    /// that changes.
    pub fn is_closing(&self, context: &Context<'_>) -> bool {
        self.waker.register(context.waker());
        if !self.closing.load(Ordering::Acquire) {
            return false;
        }
        self.closing.store(false, Ordering::Relaxed);
        !self.is_busy() && !self.is_blocked()
    }
}

/// Returns a time in milliseconds, which is never [`NEVER`].
fn millis(time: MonoTime) -> u64 {
    (time.since(MonoTime::ZERO).as_millis() as u64).max(1)
}

/// Returns the time of a number of milliseconds, unless it is [`NEVER`].
fn time(millis: u64) -> Option<MonoTime> {
    (millis != NEVER).then(|| MonoTime::ZERO + std::time::Duration::from_millis(millis))
}
