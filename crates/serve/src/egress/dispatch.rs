//! Dispatch of a request to its backend server, and the forwarding of the
//! answer.

use std::{sync::Arc, time::Duration};

use admit::{ColdEvent, QueueEvent};
use health::{Outcome, STUCK_FACTOR};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Body, header::HeaderValue};
use ids::MonoTime;

use super::{
    EgressAnswer, cold::ColdPass, lock_calls, notice::NoticeSource, server::EgressServer,
    slot::HeldSlot,
};
use crate::{
    body::{BodyEnd, ObservedBody, ProxyBody, TimeoutBody},
    edge::{AnswerKind, DispatchMetadata, shed_backoff},
    link::{SendError, forbid_reuse},
    watch::{BodyLimits, UNREAD_FACTOR, WatchedBody},
    wire::{Attempt, EgressOutcome, EgressReport, NotRun},
};

/// Maximum backoff that a backend server can request by `Retry-After`.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Whether an answer may have a status. No request that is forwarded asks for a switch of
/// protocols, and statuses from 600 on are invalid (RFC 9110, 15).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl EgressServer {
    /// Sends a request that holds a slot, and waits for the head of the answer.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        attempt: &Attempt,
        request: Request<ProxyBody>,
        deadline: MonoTime,
        mut held: HeldSlot,
    ) -> EgressAnswer {
        held.ticket.sent = true;
        let started = self.clock.now();
        let body_deadline = attempt.answer_remaining().map(|left| started + left);
        let request = self.build_request(attempt, request, deadline);
        let request_id = self.codec.request_id(request.headers());
        self.evidence.recent().record(started, &attempt.from);
        let slow_limit = Duration::from_micros(attempt.slow_limit_us);
        let (result, overdue) = self
            .await_head(request, deadline, slow_limit, &mut held.cold)
            .await;
        let service = self.clock.now().since(started);
        match result {
            Some(Ok(response)) => {
                let (head, body) = response.into_parts();
                let kind = match is_final(head.status) {
                    true => self.codec.read_answer(request_id.as_ref(), &head),
                    false => AnswerKind::Foreign,
                };
                if kind != AnswerKind::Foreign && kind != AnswerKind::NotRun(NotRun::Misdirected) {
                    self.record_notice(NoticeSource::Server, self.codec.read_notice(&head));
                }
                if kind != AnswerKind::Answer {
                    // The server may repeat the answer, and the repetition would be
                    // taken for the answer to a later request.
                    forbid_reuse(&head);
                }
                match kind {
                    AnswerKind::Answer => {
                        let response = Response::from_parts(head, body);
                        let limits = BodyLimits {
                            server: self.id.clone(),
                            unread: self.stall_timeout * UNREAD_FACTOR,
                            deadline: body_deadline.map(|end| self.clock.instant(end)),
                        };
                        self.forward_answer(response, limits, service, overdue, held)
                    }
                    AnswerKind::NotRun(reason) => self.handle_rejection(reason, held),
                    AnswerKind::Foreign => {
                        log::warn!(
                            server = self.id.as_str(),
                            status = head.status.as_u16();
                            "egress: the backend server sent what is no answer to the request; it is discarded."
                        );
                        held.ticket.aborted = true;
                        self.record_outcome(Outcome::Broken);
                        self.record_failure(overdue);
                        self.without_answer(EgressOutcome::Lost)
                    }
                }
            }
            Some(Err(SendError::Full)) => {
                held.ticket.sent = false;
                self.not_run(NotRun::Overloaded)
            }
            Some(Err(SendError::Withheld)) => {
                held.ticket.sent = false;
                match held.cold.is_refused() {
                    true => {
                        // Releases the slot before the load is reported.
                        drop(held);
                        self.not_run(NotRun::Cold)
                    }
                    false => self.not_run(self.withdrawal().unwrap_or(NotRun::Leaving)),
                }
            }
            Some(Err(SendError::Unsent(_))) => {
                held.ticket.sent = false;
                self.handle_cold(ColdEvent::Unreachable);
                self.record_outcome(Outcome::Lost);
                self.record_failure(overdue);
                self.not_run(NotRun::Unreachable)
            }
            Some(Err(SendError::Lost(cause))) => {
                held.ticket.aborted = true;
                self.log_lost(request_id.as_ref(), attempt, &cause, service);
                self.record_outcome(Outcome::Lost);
                self.record_failure(overdue);
                self.without_answer(EgressOutcome::Lost)
            }
            None => {
                self.record_failure(overdue);
                self.without_answer(EgressOutcome::TimedOut)
            }
        }
    }

    /// Sends a request and waits for the head of its answer. Returns the
    /// result, or `None` if the deadline passes first, and whether the request
    /// became overdue.
    async fn await_head(
        &self,
        request: Request<ProxyBody>,
        deadline: MonoTime,
        slow_limit: Duration,
        cold: &mut ColdPass,
    ) -> (Option<Result<Response<ProxyBody>, SendError>>, bool) {
        let started = self.clock.now();
        // The server may have begun to leave while the request was on its way or
        // waited for a connection. What is sent to a cold server is counted only now:
        // new connections can take seconds to open, and what was counted meanwhile
        // would reach the server at once.
        let sent = self
            .connections
            .send_if(request, || self.withdrawal().is_none() && cold.send());
        tokio::pin!(sent);
        // Times at which the request counts as slow and then as stuck. The next
        // one is last.
        let limits_at = |factor: u32| match slow_limit.saturating_mul(factor) {
            Duration::ZERO => Vec::new(),
            limit => vec![
                started + limit.saturating_mul(STUCK_FACTOR),
                started + limit,
            ],
        };
        let mut factor = self.slow_factor();
        let mut limits = limits_at(factor);
        let mut overdue = false;
        loop {
            let wake = limits.last().map_or(deadline, |limit| deadline.min(*limit));
            tokio::select! {
                result = &mut sent => return (Some(result), overdue),
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {
                    if self.clock.now() >= deadline {
                        return (None, overdue);
                    }
                    match self.slow_factor() {
                        // The server is known to be cold since the request was sent.
                        later if later > factor => {
                            factor = later;
                            limits = limits_at(factor);
                            limits.truncate(if overdue { 1 } else { 2 });
                        }
                        _ => {
                            limits.pop();
                            self.record_overdue(overdue);
                            overdue = true;
                        }
                    }
                }
            }
        }
    }

    /// Records that a request is overdue, or stuck if it was overdue before. It
    /// counts from this moment, because a server that hangs would otherwise
    /// give no sample.
    fn record_overdue(&self, was_overdue: bool) {
        match was_overdue {
            false => {
                self.evidence.record(false, true);
                self.record_outcome(Outcome::Overdue);
            }
            true => {
                self.evidence.record_stuck();
                self.record_outcome(Outcome::Stuck);
            }
        }
        self.notify_ingresses();
    }

    /// Records that the backend server reports not to have run a request, and
    /// returns the result.
    fn handle_rejection(&self, reason: NotRun, mut held: HeldSlot) -> EgressAnswer {
        held.ticket.aborted = true;
        match reason {
            NotRun::Shedding => {
                held.pass.rejected = true;
                self.record_outcome(Outcome::Rejected);
                self.record_acceptance(true);
            }
            NotRun::Misdirected => self.record_replaced(),
            _ => {}
        }
        self.not_run(reason)
    }

    /// Logs that the answer of the backend server was lost.
    fn log_lost(
        &self,
        request_id: Option<&HeaderValue>,
        attempt: &Attempt,
        cause: &str,
        service: Duration,
    ) {
        let number = format!("{:016x}", attempt.request);
        let request_id = request_id.and_then(|id| id.to_str().ok());
        log::warn!(
            request = request_id.unwrap_or(&number),
            server = self.id.as_str(),
            from = attempt.from.as_str(),
            after_us = service.as_micros() as u64,
            cause = cause;
            "egress: lost the answer of the backend server; the request may have run."
        );
    }

    /// Writes the headers that the backend server is to receive.
    fn build_request(
        &self,
        attempt: &Attempt,
        mut request: Request<ProxyBody>,
        deadline: MonoTime,
    ) -> Request<ProxyBody> {
        let head = DispatchMetadata {
            server: &self.id,
            account: attempt.account.as_ref(),
            caller_service: attempt.caller_service.as_ref(),
            remaining: self.clock.until(deadline),
        };
        self.codec.write_dispatch(request.headers_mut(), &head);
        request
    }

    /// Records an answer and forwards it. The slot is released when the body of
    /// the answer has ended, or at its limits if it is not read in time.
    fn forward_answer(
        self: &Arc<Self>,
        response: Response<ProxyBody>,
        limits: BodyLimits,
        service: Duration,
        overdue: bool,
        mut held: HeldSlot,
    ) -> EgressAnswer {
        let (head, body) = response.into_parts();
        let shed = shed_backoff(&head).map(|pause| pause.min(MAX_BACKOFF));
        let failed = head.status.is_server_error() && shed.is_none();
        let explained = failed && self.is_explained(service);
        let response = Response::from_parts(head, body);
        self.record_acceptance(false);
        held.pass.good = !failed && !overdue;
        match failed {
            true if explained => {}
            true => self.record_outcome(Outcome::Error),
            false if !overdue => self.record_good(service),
            false => {}
        }
        match shed {
            Some(pause) => self.handle(QueueEvent::Backoff(pause)),
            None if explained => {}
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
        let response = response.map(|body| match body.is_end_stream() {
            true => ObservedBody::new(body, on_end).boxed_unsync(),
            false => {
                let body = TimeoutBody::new(body, stall).boxed_unsync();
                let body = ObservedBody::new(body, on_end).boxed_unsync();
                WatchedBody::new(body, limits, Arc::clone(&self.tasks)).boxed_unsync()
            }
        });
        EgressAnswer {
            report,
            response: Some(response),
        }
    }

    /// Whether a failed call from this VM explains the error of a request that
    /// ran for `service`.
    fn is_explained(&self, service: Duration) -> bool {
        let now = self.clock.now();
        let explained = lock_calls(&self.calls).attribute_error(now, now - service);
        if explained {
            log::debug!(
                server = self.id.as_str();
                "egress: error attributed to a failed call; it is no evidence against the server."
            );
        }
        explained
    }
}
