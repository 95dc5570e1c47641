//! A request at its backend server: sent, followed, and its answer passed on.

use std::{sync::Arc, time::Duration};

use admit::QueueEvent;
use health::{Outcome, STUCK_FACTOR};
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Body, header::HeaderValue};
use ids::MonoTime;

use super::{EgressAnswer, lock_calls, server::EgressServer, slot::HeldSlot};
use crate::{
    body::{BodyEnd, GuardedBody, ProxyBody, StallBody},
    edge::{AnswerKind, DispatchHead, shed_pause},
    link::LinkError,
    wire::{Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Longest pause that a backend server can ask for.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

impl EgressServer {
    /// Sends a request that holds a slot, and waits for the head.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        attempt: &Attempt,
        request: Request<ProxyBody>,
        deadline: MonoTime,
        held: HeldSlot,
    ) -> EgressAnswer {
        let started = self.clock.now();
        let request = self.prepare(attempt, request, deadline);
        let name = self.codec.request_name(request.headers());
        self.evidence.recent().record(started, &attempt.from);
        let slow_limit = Duration::from_micros(attempt.slow_limit_us);
        let (result, overdue) = self.follow(request, deadline, slow_limit).await;
        let service = self.clock.now().since(started);
        match result {
            Some(Ok(response)) => {
                let (head, body) = response.into_parts();
                match self.codec.read_answer(name.as_ref(), &head) {
                    AnswerKind::Answer => {
                        let response = Response::from_parts(head, body);
                        self.pass_on(response, service, overdue, held)
                    }
                    AnswerKind::NotRun(reason) => self.rejected(reason),
                    AnswerKind::Foreign => {
                        log::warn!("egress: {} answered another request.", self.id);
                        self.record_outcome(Outcome::Broken);
                        self.record_failure(overdue);
                        self.ended(EgressOutcome::Lost)
                    }
                }
            }
            Some(Err(LinkError::Full)) => self.refused(NotRun::Overloaded),
            Some(Err(LinkError::Unsent(_))) => {
                self.record_outcome(Outcome::Lost);
                self.record_failure(overdue);
                self.refused(NotRun::Unreachable)
            }
            Some(Err(LinkError::Lost(cause))) => {
                self.log_lost(name.as_ref(), attempt, &cause, service);
                self.record_outcome(Outcome::Lost);
                self.record_failure(overdue);
                self.ended(EgressOutcome::Lost)
            }
            None => {
                self.record_failure(overdue);
                self.ended(EgressOutcome::TimedOut)
            }
        }
    }

    /// Waits for the head of an answer, and whether it was slow to come; no
    /// result if the deadline passes first.
    async fn follow(
        &self,
        request: Request<ProxyBody>,
        deadline: MonoTime,
        slow_limit: Duration,
    ) -> (Option<Result<Response<ProxyBody>, LinkError>>, bool) {
        let started = self.clock.now();
        let sent = self.links.send(request);
        tokio::pin!(sent);
        // Times at which it counts as slow and then as stuck.
        let mut marks = match slow_limit.is_zero() {
            true => Vec::new(),
            false => vec![started + slow_limit * STUCK_FACTOR, started + slow_limit],
        };
        let mut overdue = false;
        loop {
            let wake = marks.last().map_or(deadline, |mark| deadline.min(*mark));
            tokio::select! {
                result = &mut sent => return (Some(result), overdue),
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {
                    if self.clock.now() >= deadline {
                        return (None, overdue);
                    }
                    marks.pop();
                    self.record_overdue(overdue);
                    overdue = true;
                }
            }
        }
    }

    /// An answer is slow to come, or stuck if it was slow before. It counts
    /// from this moment: a server that hangs would give no sample otherwise.
    fn record_overdue(&self, before: bool) {
        match before {
            false => {
                self.evidence.record(false, true);
                self.record_outcome(Outcome::Overdue);
            }
            true => {
                self.evidence.record_stuck();
                self.record_outcome(Outcome::Stuck);
            }
        }
        self.give_notice();
    }

    /// The backend server says that it did not run the request.
    fn rejected(&self, reason: NotRun) -> EgressAnswer {
        match reason {
            NotRun::Shedding => self.record_outcome(Outcome::Rejected),
            NotRun::Misdirected => self.record_replaced(),
            _ => {}
        }
        self.refused(reason)
    }

    /// Logs an answer that was lost.
    fn log_lost(
        &self,
        name: Option<&HeaderValue>,
        attempt: &Attempt,
        cause: &str,
        service: Duration,
    ) {
        let number = format!("{:016x}", attempt.request);
        let name = name.and_then(|name| name.to_str().ok());
        log::warn!(
            request = name.unwrap_or(&number),
            server = self.id.as_str(),
            from = attempt.from.as_str(),
            after_us = service.as_micros() as u64,
            cause = cause;
            "egress: answer of the backend server lost."
        );
    }

    /// Makes the request that the backend server sees.
    fn prepare(
        &self,
        attempt: &Attempt,
        mut request: Request<ProxyBody>,
        deadline: MonoTime,
    ) -> Request<ProxyBody> {
        let head = DispatchHead {
            server: &self.id,
            account: attempt.account.as_ref(),
            caller: attempt.caller.as_ref(),
            remaining: self.clock.until(deadline),
        };
        self.codec.write_dispatch(request.headers_mut(), &head);
        request
    }

    /// Passes an answer on; the slot is free when its body has ended.
    fn pass_on(
        self: &Arc<Self>,
        response: Response<ProxyBody>,
        service: Duration,
        overdue: bool,
        mut held: HeldSlot,
    ) -> EgressAnswer {
        let (head, body) = response.into_parts();
        let shed = shed_pause(&head).map(|pause| pause.min(MAX_BACKOFF));
        let failed = head.status.is_server_error() && shed.is_none();
        let excused = failed && self.is_excused(service);
        let response = Response::from_parts(head, body);
        held.pass.good = !failed && !overdue;
        match failed {
            true if excused => {}
            true => self.record_outcome(Outcome::Error),
            false if !overdue => self.record_good(service),
            false => {}
        }
        match shed {
            Some(pause) => self.handle(QueueEvent::Backoff(pause)),
            None if excused => {}
            None if failed => self.record_failure(overdue),
            None if !overdue => self.evidence.record(false, false),
            None => {}
        }
        let report = EgressReport {
            service_us: service.as_micros() as u64,
            ..self.report(EgressOutcome::Answered)
        };
        let server = Arc::clone(self);
        let on_end = move |end| {
            if end == BodyEnd::Broken {
                server.record_outcome(Outcome::Broken);
                server.record_failure(false);
            }
            drop(held);
        };
        let stall = self.stall_timeout;
        let response = response.map(|body| {
            let body = match body.is_end_stream() {
                true => body,
                false => StallBody::new(body, stall).boxed_unsync(),
            };
            GuardedBody::new(body, on_end).boxed_unsync()
        });
        EgressAnswer {
            report,
            response: Some(response),
        }
    }

    /// Whether the error of a request that ran for `service` comes from a call
    /// of its own that failed.
    fn is_excused(&self, service: Duration) -> bool {
        let now = self.clock.now();
        let excused = lock_calls(&self.calls).attribute_error(now, now - service);
        if excused {
            log::debug!(server = self.id.as_str(); "egress: an error follows a failed call.");
        }
        excused
    }
}
