//! Answers of the proxy's own, by one table.

use std::{fmt, time::Duration};

use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use route::FailedOutcome;

use crate::{
    body::{ProxyBody, full_body},
    edge::EdgeCodec,
    wire::NotRun,
};

/// Pause that a refused caller is asked for where nothing better is known.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Why a request has no answer of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The key is missing, unknown or withdrawn.
    BadKey,
    /// The account is over its rate; tokens come after that time.
    OverRate(Duration),
    /// No home of the account's tokens can be reached or may mint.
    NoHome,
    /// No route leads anywhere from this host and path.
    NoRoute,
    /// The request can't be understood or is too large.
    BadRequest,
    /// The head or a small body did not come in time.
    SlowRequest,
    /// No backend server is in rotation.
    PoolDown,
    /// This daemon has no configuration yet.
    NotReady,
    /// This daemon hears neither the platform nor its peers.
    Isolated,
    /// No egress ran it; another try makes sense after that time.
    NotRun(NotRun, Duration),
    /// It may have run.
    Unknown(FailedOutcome),
}

impl Refusal {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadKey | Self::NotRun(NotRun::Withdrawn, _) => StatusCode::UNAUTHORIZED,
            Self::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::PoolDown | Self::NoHome | Self::NotReady | Self::Isolated | Self::NotRun(..) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown(FailedOutcome::UnknownTimeout) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Value of the outcome header.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Unknown(_) => "unknown",
            _ => "not-run",
        }
    }

    /// Time after which another try makes sense.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(after) => Some(after),
            Self::NotRun(NotRun::Withdrawn, _) => None,
            Self::NotRun(_, after) => Some(after),
            _ if self.status() == StatusCode::SERVICE_UNAVAILABLE => Some(RETRY_PAUSE),
            _ => None,
        }
    }

    /// The answer for the caller, in the words of `codec`.
    pub fn response(self, codec: &dyn EdgeCodec) -> Response<ProxyBody> {
        let mut response = Response::new(full_body(format!("{}: {self}\n", self.outcome())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        codec.write_refusal(headers, self);
        response
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadKey => f.write_str("key missing, unknown or withdrawn"),
            Self::OverRate(_) => f.write_str("over the rate of the account"),
            Self::NoHome => f.write_str("no rate tokens within reach"),
            Self::NoRoute => f.write_str("no route for this host and path"),
            Self::BadRequest => f.write_str("bad request"),
            Self::SlowRequest => f.write_str("request too slow"),
            Self::PoolDown => f.write_str("no backend server in rotation"),
            Self::NotReady => f.write_str("no configuration yet"),
            Self::Isolated => f.write_str("isolated"),
            Self::NotRun(reason, _) => reason.fmt(f),
            Self::Unknown(FailedOutcome::UnknownTimeout) => f.write_str("deadline passed"),
            Self::Unknown(_) => f.write_str("answer lost"),
        }
    }
}
