//! Tests of the slot search: it repeats, ties and withdraws offers, and commits
//! at most one.

use std::time::Duration;

use hop::{
    EgressIncarnation, NotRun, OfferId, OfferReply, SearchAction, SearchEvent, SearchOptions,
    SearchReach, ServerLoad, SlotSearch,
};
use ids::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns the action that makes an offer while another one is open.
fn offer(id: u64) -> SearchAction {
    SearchAction::Offer {
        id: OfferId(id),
        last_resort: false,
        reach: SearchReach::Fleet,
    }
}

/// Returns the action that makes an offer in the zone of the ingress while another
/// one is open.
fn zone_offer(id: u64) -> SearchAction {
    SearchAction::Offer {
        id: OfferId(id),
        last_resort: false,
        reach: SearchReach::Zone,
    }
}

/// Returns the action that makes an offer while no other one is open.
fn last_resort(id: u64) -> SearchAction {
    SearchAction::Offer {
        id: OfferId(id),
        last_resort: true,
        reach: SearchReach::Fleet,
    }
}

fn search() -> SlotSearch {
    let options = SearchOptions {
        deadline: at(3_000),
        max_offers: 4,
        zone_patience: Duration::ZERO,
    };
    let mut search = SlotSearch::new(options, OfferId(0));
    let actions = search.handle(at(0), SearchEvent::Start);
    assert_eq!(actions, [last_resort(0)]);
    search
}

fn waiting(id: u64) -> SearchEvent {
    SearchEvent::Reply(OfferId(id), OfferReply::Waiting(ServerLoad::default()))
}

fn waiting_for(id: u64, millis: u64) -> SearchEvent {
    let load = ServerLoad {
        delay_us: millis * 1_000,
        ..ServerLoad::default()
    };
    SearchEvent::Reply(OfferId(id), OfferReply::Waiting(load))
}

fn granted(id: u64) -> SearchEvent {
    SearchEvent::Reply(OfferId(id), OfferReply::Granted(EgressIncarnation(7)))
}

fn refused(id: u64, reason: NotRun) -> SearchEvent {
    SearchEvent::Reply(
        OfferId(id),
        OfferReply::Refused(reason, ServerLoad::default()),
    )
}

#[test]
fn granted_at_once() {
    let mut search = search();
    let actions = search.handle(at(1), granted(0));
    assert_eq!(
        actions,
        [SearchAction::Commit(OfferId(0), EgressIncarnation(7))]
    );
}

#[test]
fn silent_daemon_is_bypassed() {
    let mut search = search();
    let actions = search.handle(at(26), SearchEvent::Tick);
    assert_eq!(actions, [SearchAction::Repeat(OfferId(0))]);
    let actions = search.handle(at(41), SearchEvent::Tick);
    let expected = [SearchAction::RecordSilent(OfferId(0)), offer(1)];
    assert_eq!(actions, expected);
    // The silent daemon may still grant first; the other offer is then
    // withdrawn.
    let actions = search.handle(at(45), granted(0));
    let expected = [
        SearchAction::Withdraw(OfferId(1)),
        SearchAction::Commit(OfferId(0), EgressIncarnation(7)),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn silent_daemon_is_given_up() {
    let mut search = search();
    let mut seen = Vec::new();
    let mut now = at(0);
    while !seen.contains(&SearchAction::Withdraw(OfferId(0))) {
        now = search.next_tick();
        assert!(now < at(1_000), "{seen:?}");
        seen.extend(search.handle(now, SearchEvent::Tick));
    }
    assert!(seen.contains(&SearchAction::RecordSilent(OfferId(0))));
    // A late grant is released.
    let actions = search.handle(now, granted(0));
    assert_eq!(actions, [SearchAction::Withdraw(OfferId(0))]);
}

#[test]
fn all_silent_fails_soon() {
    let mut search = search();
    let mut seen = Vec::new();
    while !seen.contains(&SearchAction::Fail(Some(NotRun::Unreachable))) {
        let now = search.next_tick();
        assert!(now < at(1_200), "{seen:?}");
        seen.extend(search.handle(now, SearchEvent::Tick));
    }
    for id in 0..4 {
        assert!(seen.contains(&SearchAction::Withdraw(OfferId(id))), "{id}");
    }
}

#[test]
fn waiting_offer_is_tied() {
    let mut search = search();
    assert_eq!(search.handle(at(1), waiting(0)), []);
    let actions = search.handle(at(16), SearchEvent::Tick);
    assert_eq!(actions, [offer(1)]);
    assert_eq!(search.handle(at(17), waiting(1)), []);
    let actions = search.handle(at(300), granted(1));
    let expected = [
        SearchAction::Withdraw(OfferId(0)),
        SearchAction::Commit(OfferId(1), EgressIncarnation(7)),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn refusal_asks_next() {
    let mut search = search();
    let actions = search.handle(at(1), refused(0, NotRun::Failing));
    assert_eq!(actions, [last_resort(1)]);
    let actions = search.handle(at(2), refused(1, NotRun::Overloaded));
    assert_eq!(actions, [last_resort(2)]);
    let actions = search.handle(at(3), SearchEvent::NoServer(OfferId(2)));
    assert_eq!(actions, [SearchAction::Fail(Some(NotRun::Overloaded))]);
}

#[test]
fn deadline_withdraws() {
    let mut search = search();
    search.handle(at(1), waiting(0));
    let actions = search.handle(at(3_000), SearchEvent::Tick);
    let expected = [
        SearchAction::Withdraw(OfferId(0)),
        SearchAction::Fail(Some(NotRun::Expired)),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn no_server_at_all() {
    let mut search = search();
    let actions = search.handle(at(1), SearchEvent::NoServer(OfferId(0)));
    assert_eq!(actions, [SearchAction::Fail(None)]);
}

#[test]
fn silent_daemons_do_not_block() {
    // A network partition separates this ingress from two of the servers. Their
    // offers stay open, and a third server is asked in addition.
    let mut search = search();
    let mut asked = Vec::new();
    let mut now = at(0);
    while now < at(150) {
        now = search.next_tick();
        for action in search.handle(now, SearchEvent::Tick) {
            if let SearchAction::Offer { id, .. } = action {
                asked.push((id, now));
            }
        }
    }
    assert!(asked.len() >= 2, "{asked:?}");
    assert!(asked[1].1 <= at(100), "{asked:?}");
}

#[test]
fn refused_tie_is_replaced() {
    // Under overload with failing servers, a waiting offer stays tied to a
    // second one as long as there are servers to ask.
    let mut search = search();
    search.handle(at(1), waiting(0));
    let actions = search.handle(at(16), SearchEvent::Tick);
    assert_eq!(actions, [offer(1)]);
    assert_eq!(search.handle(at(17), refused(1, NotRun::Failing)), []);
    let next = search.next_tick();
    assert!(next <= at(20), "{next}");
    let actions = search.handle(next.max(at(18)), SearchEvent::Tick);
    assert_eq!(actions, [offer(2)]);
}

#[test]
fn waiting_offer_is_no_last_resort() {
    // Some servers of a small pool fail under overload. They have no queue and
    // would grant at once, so a request that waits at a healthy server must not
    // be forced on them.
    let mut search = search();
    search.handle(at(1), waiting(0));
    let actions = search.handle(at(16), SearchEvent::Tick);
    assert_eq!(actions, [offer(1)]);
    assert_eq!(search.handle(at(16), SearchEvent::NoServer(OfferId(1))), []);
    // The offer keeps waiting, and another server is asked only when it is
    // refused.
    for millis in [20, 60, 120] {
        let actions = search.handle(at(millis), SearchEvent::Tick);
        assert!(!actions.contains(&offer(2)), "{actions:?}");
    }
    let actions = search.handle(at(130), refused(0, NotRun::Failing));
    assert_eq!(actions, [last_resort(2)]);
    let actions = search.handle(at(131), SearchEvent::NoServer(OfferId(2)));
    assert_eq!(actions, [SearchAction::Fail(Some(NotRun::Failing))]);
}

#[test]
fn long_wait_costs_few_messages() {
    // A weak VM has a long queue. Each waiting offer is repeated as a
    // heartbeat; at a fixed short interval, 160 waiting offers cost the daemon
    // there more than all new offers do.
    let options = SearchOptions {
        deadline: at(20_000),
        max_offers: 1,
        zone_patience: Duration::ZERO,
    };
    let mut search = SlotSearch::new(options, OfferId(0));
    search.handle(at(0), SearchEvent::Start);
    search.handle(at(1), waiting(0));
    let mut repeats = Vec::new();
    let mut now = at(1);
    while now < at(10_000) {
        now = search.next_tick();
        for action in search.handle(now, SearchEvent::Tick) {
            assert_eq!(action, SearchAction::Repeat(OfferId(0)));
            repeats.push(now);
            search.handle(now, waiting(0));
        }
    }
    assert!(repeats.len() <= 15, "{}", repeats.len());
    // The search still gives up within 2 s on a daemon that becomes silent.
    let last = now;
    let mut given_up = None;
    while given_up.is_none() {
        now = search.next_tick();
        assert!(now <= last + Duration::from_secs(2), "{now}");
        let actions = search.handle(now, SearchEvent::Tick);
        let withdrawn = actions.contains(&SearchAction::Withdraw(OfferId(0)));
        given_up = withdrawn.then_some(now);
    }
}

/// Starts a search that stays in its zone for 100 ms.
fn zone_search() -> SlotSearch {
    let options = SearchOptions {
        deadline: at(3_000),
        max_offers: 6,
        zone_patience: Duration::from_millis(100),
    };
    let mut search = SlotSearch::new(options, OfferId(0));
    let actions = search.handle(at(0), SearchEvent::Start);
    assert_eq!(actions, [last_resort(0)]);
    search
}

// Guards against offers between zones for requests that get a slot in their own
// zone in time: a busy server had a second one asked anywhere after 15 ms.
#[test]
fn short_wait_stays_in_zone() {
    let mut search = zone_search();
    search.handle(at(1), waiting(0));
    let actions = search.handle(at(16), SearchEvent::Tick);
    assert_eq!(actions, [zone_offer(1)]);
    search.handle(at(17), waiting(1));
    assert_eq!(search.handle(at(60), SearchEvent::Tick), []);
    let actions = search.handle(at(90), granted(1));
    let expected = [
        SearchAction::Withdraw(OfferId(0)),
        SearchAction::Commit(OfferId(1), EgressIncarnation(7)),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn long_wait_leaves_zone() {
    let mut search = zone_search();
    search.handle(at(1), waiting_for(0, 400));
    search.handle(at(16), SearchEvent::Tick);
    search.handle(at(17), waiting_for(1, 300));
    assert!(search.next_tick() <= at(100), "{}", search.next_tick());
    let actions = search.handle(at(100), SearchEvent::Tick);
    // The longer of the two queues is left.
    assert_eq!(actions, [SearchAction::Withdraw(OfferId(0)), offer(2)]);
    // Without a server elsewhere, the search goes on with the other queue.
    assert_eq!(
        search.handle(at(100), SearchEvent::NoServer(OfferId(2))),
        []
    );
    let actions = search.handle(at(300), granted(1));
    let expected = [SearchAction::Commit(OfferId(1), EgressIncarnation(7))];
    assert_eq!(actions, expected);
}

#[test]
fn lone_server_of_zone() {
    // The zone has one server, so other zones are asked, but not before its queue
    // has turned out to be long.
    let mut search = zone_search();
    search.handle(at(1), waiting(0));
    let actions = search.handle(at(16), SearchEvent::Tick);
    assert_eq!(actions, [zone_offer(1)]);
    assert_eq!(search.handle(at(16), SearchEvent::NoServer(OfferId(1))), []);
    assert_eq!(search.handle(at(50), SearchEvent::Tick), []);
    assert!(search.next_tick() <= at(100), "{}", search.next_tick());
    let actions = search.handle(at(100), SearchEvent::Tick);
    assert_eq!(actions, [offer(2)]);
}

#[test]
fn silent_daemon_ends_patience() {
    // Nobody is known to have queued the request, so it is offered anywhere.
    let mut search = zone_search();
    search.handle(at(26), SearchEvent::Tick);
    let actions = search.handle(at(41), SearchEvent::Tick);
    let expected = [SearchAction::RecordSilent(OfferId(0)), offer(1)];
    assert_eq!(actions, expected);
}

// Guards against a flood of offers into a partition: an offer without a reply was
// sent again every 25 ms.
#[test]
fn silent_daemon_costs_few_messages() {
    let mut search = search();
    let mut repeats = Vec::new();
    let mut now = at(0);
    let mut given_up = false;
    while !given_up {
        now = search.next_tick();
        for action in search.handle(now, SearchEvent::Tick) {
            match action {
                SearchAction::Repeat(OfferId(0)) => repeats.push(now),
                SearchAction::Withdraw(OfferId(0)) => given_up = true,
                _ => {}
            }
        }
    }
    assert!(repeats.len() <= 6, "{repeats:?}");
    // A lost datagram is made up for as soon as before.
    assert!(repeats[0] <= at(26), "{repeats:?}");
    assert!(now <= at(800), "{now}");
}

// Guards against a refusal that waits for a daemon that has been gone for long, while
// all others have refused.
#[test]
fn gone_daemon_is_abandoned() {
    let mut search = search();
    assert_eq!(search.handle(at(26), SearchEvent::Tick).len(), 1);
    let actions = search.handle(at(41), SearchEvent::Tick);
    let expected = [SearchAction::RecordSilent(OfferId(0)), offer(1)];
    assert_eq!(actions, expected);
    let actions = search.handle(at(41), SearchEvent::Abandoned(OfferId(0)));
    assert_eq!(actions, [SearchAction::Withdraw(OfferId(0))]);
    let actions = search.handle(at(42), refused(1, NotRun::Limited));
    assert_eq!(actions, [last_resort(2)]);
    let actions = search.handle(at(42), SearchEvent::NoServer(OfferId(2)));
    assert_eq!(actions, [SearchAction::Fail(Some(NotRun::Unreachable))]);
}

// Guards against a search that ends because one daemon is gone, before it has asked
// the others.
#[test]
fn others_asked_after_gone() {
    let mut search = search();
    let actions = search.handle(at(10), SearchEvent::Abandoned(OfferId(0)));
    assert_eq!(
        actions,
        [SearchAction::Withdraw(OfferId(0)), last_resort(1)]
    );
    let actions = search.handle(at(11), granted(1));
    let expected = [SearchAction::Commit(OfferId(1), EgressIncarnation(7))];
    assert_eq!(actions, expected);
}

// Guards against an offer that is withdrawn although its daemon has replied meanwhile.
#[test]
fn replying_daemon_is_kept() {
    let mut search = search();
    assert_eq!(search.handle(at(1), waiting(0)), []);
    assert_eq!(search.handle(at(2), SearchEvent::Abandoned(OfferId(0))), []);
    assert_eq!(search.handle(at(2), SearchEvent::Abandoned(OfferId(9))), []);
    let actions = search.handle(at(3), granted(0));
    let expected = [SearchAction::Commit(OfferId(0), EgressIncarnation(7))];
    assert_eq!(actions, expected);
}
