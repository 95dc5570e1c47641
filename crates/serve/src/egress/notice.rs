//! What a backend server of this VM says about itself, and what follows for its
//! queue.

use std::{sync::atomic::Ordering, time::Duration};

use admit::QueueEvent;
use hop::{NotRun, ServerNotice};
use ids::MonoTime;

use super::server::EgressServer;

/// Time after which a server that has said that it leaves, and is still listed, is
/// tried again: it may have been started again under the same name.
const LEAVING_TIME: Duration = Duration::from_secs(60);
/// Time for which ingresses are told that a server says nothing any more.
const ENDED_TIME: Duration = Duration::from_secs(5);

/// Latest notice of a backend server.
#[derive(Debug, Default)]
pub(super) struct KnownNotice {
    notice: ServerNotice,
    /// Whether the server itself has said it since this daemon started; otherwise
    /// an ingress has passed it on.
    first_hand: bool,
    changed_at: MonoTime,
}

impl KnownNotice {
    /// Returns the notice at `now`: a server that has said that it leaves counts as
    /// leaving for [`LEAVING_TIME`].
    fn at(&self, now: MonoTime) -> ServerNotice {
        let recent = now.since(self.changed_at) < LEAVING_TIME;
        ServerNotice {
            leaving: self.notice.leaving && recent,
            ..self.notice
        }
    }
}

/// Who told the egress what a backend server says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoticeSource {
    /// The backend server, in an answer.
    Server,
    /// An ingress that heard of it before this daemon started.
    Ingress,
}

impl EgressServer {
    /// Records what the server says about itself. What ingresses pass on counts
    /// only until the server has answered.
    pub(super) fn record_notice(&self, source: NoticeSource, notice: ServerNotice) {
        let now = self.clock.now();
        let mut known = self.known_notice();
        match source {
            NoticeSource::Server => known.first_hand = true,
            NoticeSource::Ingress if known.first_hand => return,
            NoticeSource::Ingress => {}
        }
        let before = known.at(now);
        // Requests that were sent before the server began to leave may be answered
        // later, and no request is sent after that.
        let leaving = notice.leaving || before.leaving;
        known.notice = ServerNotice { leaving, ..notice };
        if known.notice == before {
            return;
        }
        if !(leaving && before.leaving) {
            known.changed_at = now;
        }
        drop(known);
        if notice.limit != before.limit {
            let limit = notice.limit.map(|limit| limit.to_string());
            log::info!(
                server = self.id.as_str(),
                limit = limit.as_deref().unwrap_or("none"),
                source = format!("{source:?}").as_str();
                "egress: the backend server has named another limit for all its callers."
            );
            self.handle(QueueEvent::Limit(notice.limit));
        }
        if leaving && !before.leaving {
            log::info!(
                server = self.id.as_str(),
                source = format!("{source:?}").as_str();
                "egress: the backend server says that it is leaving; it gets no new requests."
            );
            self.handle(QueueEvent::Drain);
        }
    }

    /// Returns what ingresses should be told about the server, if anything.
    pub(super) fn notice_to_tell(&self) -> Option<ServerNotice> {
        let now = self.clock.now();
        let known = self.known_notice();
        let recent = now.since(known.changed_at) < ENDED_TIME;
        let changed = known.changed_at > MonoTime::ZERO;
        let notice = known.at(now);
        let telling = notice != ServerNotice::default() || (changed && recent);
        telling.then_some(notice)
    }

    /// Returns what the server itself has said since this daemon started.
    pub(super) fn first_hand_notice(&self) -> Option<ServerNotice> {
        let now = self.clock.now();
        let known = self.known_notice();
        known.first_hand.then(|| known.at(now))
    }

    /// Whether the server has said that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.known_notice().at(self.clock.now()).leaving
    }

    /// Returns why the server must get no new request, if that is so: its zone is
    /// evacuated, it is no longer listed, or it has said that it is leaving.
    pub(super) fn withdrawal(&self) -> Option<NotRun> {
        match self.evacuated.load(Ordering::Acquire) {
            true => Some(NotRun::Evacuated),
            false if self.unlisted.load(Ordering::Acquire) || self.is_leaving() => {
                Some(NotRun::Leaving)
            }
            false => None,
        }
    }

    /// Forgets that the server was leaving, since it is no longer listed. If it
    /// comes back, it is another start of it.
    pub(super) fn forget_leaving(&self) {
        self.known_notice().notice.leaving = false;
    }
}
