//! Answers that the proxy itself gives, instead of a backend server.

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

/// Time until a retry that a refused caller is asked to wait if there is no
/// better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request has no answer of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The key is missing, unknown or withdrawn.
    BadKey,
    /// The account is over its rate; a token will be available after this time.
    OverRate(Duration),
    /// No reachable home may grant tokens of the account.
    NoHome,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no valid host, or its body broke off.
    BadRequest,
    /// The body is larger than allowed, and nothing of it was sent on.
    BodyTooLarge,
    /// The body exceeded the allowed size after a part of it was sent on.
    BodyOverrun,
    /// The body, or the first part of a large one, did not arrive in time.
    SlowRequest,
    /// Clients hold as much memory as they may, so the request can't be held.
    NoMemory,
    /// No backend server of the service is in rotation.
    PoolDown,
    /// No backend server of the service is in the regions that the request may be run
    /// in.
    OutsideHomes,
    /// This daemon has no configuration yet.
    NotReady,
    /// This daemon receives nothing from the platform or from enough peers.
    Isolated,
    /// No backend server ran the request; a retry may succeed after this time.
    NotRun(NotRun, Duration),
    /// The request may have run.
    Unknown(FailedOutcome),
}

impl Refusal {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadKey | Self::NotRun(NotRun::Withdrawn, _) => StatusCode::UNAUTHORIZED,
            Self::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge | Self::BodyOverrun => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory
            | Self::PoolDown
            | Self::OutsideHomes
            | Self::NoHome
            | Self::NotReady
            | Self::Isolated
            | Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(FailedOutcome::UnknownTimeout) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the value of the outcome header, which tells whether the request
    /// may have run.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Unknown(_) | Self::BodyOverrun => "unknown",
            _ => "not-run",
        }
    }

    /// Returns the time after which a retry may succeed.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(after) => Some(after),
            Self::NotRun(NotRun::Withdrawn, _) => None,
            Self::NotRun(_, after) => Some(after),
            _ if self.status() == StatusCode::SERVICE_UNAVAILABLE => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the answer for the caller, with the headers of `codec`.
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
            Self::BodyTooLarge | Self::BodyOverrun => f.write_str("body too large"),
            Self::SlowRequest => f.write_str("request too slow"),
            Self::NoMemory => f.write_str("no memory for further requests"),
            Self::PoolDown => f.write_str("no backend server in rotation"),
            Self::OutsideHomes => f.write_str("no backend server in the allowed regions"),
            Self::NotReady => f.write_str("no configuration yet"),
            Self::Isolated => f.write_str("isolated"),
            Self::NotRun(reason, _) => reason.fmt(f),
            Self::Unknown(FailedOutcome::UnknownTimeout) => f.write_str("deadline passed"),
            Self::Unknown(_) => f.write_str("answer lost"),
        }
    }
}
