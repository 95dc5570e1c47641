//! Ledger of the bytes that a daemon sends to other daemons, by kind of message
//! and by distance.
//!
//! Bytes between zones cost money, and the ledger shows what they are spent on.

use std::{
    io,
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll},
};

use hop::HopMessage;
use limit::LimitMessage;
use mesh::PeerMessage;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use route::Distance;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::interim::InterimCount;

/// Kind of bytes that are sent to another daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentKind {
    /// Offer of a request, made or repeated.
    Offer,
    /// Reply to an offer or a check.
    Reply,
    /// Withdrawal of an offer.
    Withdrawal,
    /// Question whether a committed request has arrived.
    Check,
    /// What a backend server says about itself.
    Notice,
    /// Request, grant or return of rate tokens.
    Lease,
    /// Request or loan of shares of rates.
    Share,
    /// Exchange of revisions.
    Exchange,
    /// Announcement or confirmation of a revision.
    Push,
    /// Health of a backend server.
    Evidence,
    /// All bytes written to connections that this daemon opened.
    Request,
    /// All bytes written to connections that this daemon accepted.
    Answer,
    /// Bodies of requests of callers; part of [`SentKind::Request`].
    RequestBody,
    /// Bodies of answers of backend servers; part of [`SentKind::Answer`].
    AnswerBody,
    /// Bodies of replies to pulls; part of [`SentKind::Answer`].
    Pull,
}

impl SentKind {
    /// All kinds, in the order of their declaration.
    const ALL: [Self; 15] = [
        Self::Offer,
        Self::Reply,
        Self::Withdrawal,
        Self::Check,
        Self::Notice,
        Self::Lease,
        Self::Share,
        Self::Exchange,
        Self::Push,
        Self::Evidence,
        Self::Request,
        Self::Answer,
        Self::RequestBody,
        Self::AnswerBody,
        Self::Pull,
    ];

    /// Returns the kind of a datagram.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hop(HopMessage::Offer { .. }) => Self::Offer,
            PeerMessage::Hop(HopMessage::Reply { .. }) => Self::Reply,
            PeerMessage::Hop(HopMessage::Withdraw { .. }) => Self::Withdrawal,
            PeerMessage::Hop(HopMessage::Check { .. }) => Self::Check,
            PeerMessage::Notice { .. } => Self::Notice,
            PeerMessage::Limit(
                LimitMessage::ShareRequest { .. }
                | LimitMessage::ShareLoan { .. }
                | LimitMessage::CellLeft { .. },
            ) => Self::Share,
            PeerMessage::Limit(_) => Self::Lease,
            PeerMessage::Exchange(_) | PeerMessage::ExchangeReply(_) => Self::Exchange,
            PeerMessage::Push { .. } => Self::Push,
            PeerMessage::Evidence { .. } => Self::Evidence,
        }
    }

    /// Returns the name of the kind in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Offer => "offer",
            Self::Reply => "reply",
            Self::Withdrawal => "withdrawal",
            Self::Check => "check",
            Self::Notice => "notice",
            Self::Lease => "lease",
            Self::Share => "share",
            Self::Exchange => "exchange",
            Self::Push => "push",
            Self::Evidence => "evidence",
            Self::Request => "request",
            Self::Answer => "answer",
            Self::RequestBody => "request_body",
            Self::AnswerBody => "answer_body",
            Self::Pull => "pull",
        }
    }

    /// Whether the bytes are counted in another kind as well.
    fn is_part(self) -> bool {
        matches!(self, Self::RequestBody | Self::AnswerBody | Self::Pull)
    }
}

/// Distances in the order of their declaration, with their names in metrics.
const DISTANCES: [(Distance, &str); 4] = [
    (Distance::Local, "local"),
    (Distance::Zone, "zone"),
    (Distance::Region, "region"),
    (Distance::Remote, "remote"),
];

/// Labels of a count of sent bytes.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct SentLabel {
    /// Kind of the bytes.
    pub kind: &'static str,
    /// Distance of the receiver.
    pub distance: &'static str,
}

/// Counts of the bytes sent to other daemons.
#[derive(Debug)]
pub struct ByteLedger {
    /// Counts without those of parts, by kind and distance.
    pub whole: Family<SentLabel, Counter>,
    /// Counts of what is part of other counts.
    pub parts: Family<SentLabel, Counter>,
    /// Connections opened to other daemons, by distance.
    pub connections: Family<SentLabel, Counter>,
    /// The same counters, found without a look-up of labels.
    counters: Vec<Counter>,
}

impl Default for ByteLedger {
    fn default() -> Self {
        let whole = Family::<SentLabel, Counter>::default();
        let parts = Family::<SentLabel, Counter>::default();
        let cells = SentKind::ALL.into_iter().flat_map(|kind| {
            DISTANCES.map(|(_, distance)| SentLabel {
                kind: kind.name(),
                distance,
            })
        });
        let family = |label: &SentLabel| match SentKind::ALL
            .into_iter()
            .any(|kind| kind.is_part() && kind.name() == label.kind)
        {
            true => &parts,
            false => &whole,
        };
        let counters = cells
            .map(|label| family(&label).get_or_create_owned(&label))
            .collect();
        Self {
            whole,
            parts,
            connections: Family::default(),
            counters,
        }
    }
}

impl ByteLedger {
    /// Returns the counter of a kind and a distance.
    pub fn counter(&self, kind: SentKind, distance: Distance) -> &Counter {
        &self.counters[kind as usize * DISTANCES.len() + distance as usize]
    }

    /// Returns the counters for a connection that this daemon opens.
    pub fn opened(&self, distance: Distance) -> StreamMeter {
        let label = SentLabel {
            kind: "connection",
            distance: DISTANCES[distance as usize].1,
        };
        StreamMeter {
            sent: OnceLock::from(self.counter(SentKind::Request, distance).clone()),
            opened: Some(self.connections.get_or_create_owned(&label)),
        }
    }
}

/// Counts the bytes that are written to the connections to one daemon.
#[derive(Debug, Default)]
pub struct StreamMeter {
    /// Counter of the bytes; unset while the daemon at the other end is unknown.
    sent: OnceLock<Counter>,
    /// Counter of the connections that were opened.
    opened: Option<Counter>,
}

impl StreamMeter {
    /// Sets the counter of an accepted connection, once the daemon at the other
    /// end is known. Later calls have no effect.
    pub fn identify(&self, counter: &Counter) {
        if self.sent.get().is_none() {
            let _ = self.sent.set(counter.clone());
        }
    }

    /// Counts a connection that was opened.
    pub fn count_opened(&self) {
        if let Some(opened) = &self.opened {
            opened.inc();
        }
    }

    /// Counts written bytes.
    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let (Poll::Ready(Ok(bytes)), Some(sent)) = (result, self.sent.get()) {
            sent.inc_by(*bytes as u64);
        }
    }
}

/// A stream whose written bytes are counted, and which can't be read after too many
/// interim answers.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<StreamMeter>,
    interim: InterimCount,
}

impl<S> MeteredStream<S> {
    /// Counts the bytes written to `stream` with `meter`.
    pub fn new(stream: S, meter: Arc<StreamMeter>) -> Self {
        Self {
            stream,
            meter,
            interim: InterimCount::default(),
        }
    }

    /// Bounds the interim answers that are read by those that `interim` counts.
    pub fn with_interim(mut self, interim: InterimCount) -> Self {
        self.interim = interim;
        self
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interim.check()?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.meter.count(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.meter.count(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
