//! What backend servers say about themselves, while the daemons beside them restart.

mod harness;

use std::{sync::Arc, time::Duration};

use config::Record;
use fakes::{Behaviour, SetPublisher};
use harness::{Fleet, FleetShape};
use hop::ServerNotice;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue, http::response};
use ids::{RequestRate, Revision, Slots};
use serve::{
    AnswerKind, CallerMetadata, Daemon, DefaultCodec, DispatchMetadata, EdgeCodec, Refusal,
};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Status by which the backend servers of these tests say that they are leaving.
const LEAVING_STATUS: u16 = 203;
/// Status by which they name a limit of one request per second.
const LIMITED_STATUS: u16 = 202;
/// Time in which a burst reaches a server, well before the server answers.
const BURST_TIME: Duration = Duration::from_millis(700);
/// Time limit for the start of a daemon.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The proxy's own headers, with notices in the status of answers.
#[derive(Clone, Copy, Debug)]
struct NoticeCodec;

impl EdgeCodec for NoticeCodec {
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata {
        DefaultCodec.read_caller(headers)
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>) {
        DefaultCodec.write_dispatch(headers, metadata);
    }

    fn read_answer(&self, id: Option<&HeaderValue>, answer: &response::Parts) -> AnswerKind {
        DefaultCodec.read_answer(id, answer)
    }

    fn read_notice(&self, answer: &response::Parts) -> ServerNotice {
        let status = answer.status.as_u16();
        ServerNotice {
            limit: (status == LIMITED_STATUS).then(|| RequestRate::from_thousandths(1_000)),
            leaving: status == LEAVING_STATUS,
        }
    }

    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        DefaultCodec.request_id(headers)
    }

    fn work_id<'a>(&self, request_id: &'a str) -> Option<&'a str> {
        DefaultCodec.work_id(request_id)
    }

    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal) {
        DefaultCodec.write_refusal(headers, refusal);
    }
}

/// Publishes another number of slots for the backend server of the first VM, and waits
/// until the daemon `index` has it.
async fn resize_first_server(fleet: &Fleet, index: usize) {
    let mut records = fleet.deployment.records.clone();
    for record in &mut records {
        match record {
            Record::Server(server) if server.vm.as_str() == "vm-0" => server.slots = Slots(3),
            _ => {}
        }
    }
    let mut publisher = SetPublisher::after(&fleet.deployment.records);
    fleet.platform.publish(&publisher.pack(&records));
    fleet
        .wait_until("the daemon has the other slots", |fleet| {
            fleet.daemon(index).view().table().revision() == Revision(2)
        })
        .await;
}

/// Kills the first daemon, and starts it again.
async fn restart_first(fleet: &mut Fleet, shape: &FleetShape) -> Daemon {
    fleet.daemons[0].take().unwrap().kill().await;
    let restarted = fleet.restart(0, shape, &fleet.platform);
    let end = Instant::now() + START_LIMIT;
    while !restarted.view().is_ready() {
        assert!(Instant::now() < end, "no configuration");
        sleep(Duration::from_millis(10)).await;
    }
    restarted
}

// Guards against requests to a server that has said that it leaves, after the daemon
// beside it has restarted: the daemon that passed that answer on makes its next offer
// only then.
#[test_case(false; "same record")]
#[test_case(true; "record changed")]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_outlives_restart(changed: bool) {
    let shape = FleetShape {
        zones: 1,
        servers: 2,
        codec: Arc::new(NoticeCodec),
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start(shape.clone()).await;
    fleet.backends[0].set_behaviour(Behaviour::Status(LEAVING_STATUS));
    let end = Instant::now() + START_LIMIT;
    for number in 0.. {
        assert!(
            Instant::now() < end,
            "no answer says that the server leaves"
        );
        let answer = fleet.post(2, &format!("before-{number}")).await;
        if answer.status.as_u16() == LEAVING_STATUS {
            break;
        }
    }
    if changed {
        resize_first_server(&fleet, 2).await;
    }
    let restarted = restart_first(&mut fleet, &shape).await;
    let reached = fleet.backends[0].count();
    let mut served = 0;
    for number in 0..40 {
        let answer = fleet.post(2, &format!("after-{number}")).await;
        served += usize::from(answer.status == StatusCode::OK);
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.backends[0].count(), reached, "the server leaves");
    assert!(served > 20, "only {served} of 40 requests are served");
    restarted.kill().await;
    fleet.stop().await;
}

// Guards against a burst at a server that has named a limit, after the daemon beside it
// has restarted.
#[tokio::test(flavor = "multi_thread")]
async fn limit_outlives_restart() {
    let shape = FleetShape {
        zones: 1,
        servers: 1,
        slots: 10,
        codec: Arc::new(NoticeCodec),
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start(shape.clone()).await;
    fleet.backends[0].set_behaviour(Behaviour::Status(LIMITED_STATUS));
    let answer = fleet.post(2, "before").await;
    assert_eq!(answer.status.as_u16(), LIMITED_STATUS, "{answer:?}");
    let restarted = restart_first(&mut fleet, &shape).await;
    fleet.backends[0].set_behaviour(Behaviour::Slow(Duration::from_secs(1)));
    let reached = fleet.backends[0].count();
    let started = Instant::now();
    let posts = (0..20).map(|number| {
        let request = fleet.request(2, Method::POST, "/plans/book");
        let request = request.run_id(&format!("after-{number}"));
        let client = fleet.client.clone();
        tokio::spawn(async move { harness::send_with(&client, request).await })
    });
    let posts: Vec<_> = posts.collect();
    sleep(BURST_TIME).await;
    let burst = fleet.backends[0].count() - reached;
    // One request ahead of time, and one for each second.
    let allowed = 2 + started.elapsed().as_secs();
    assert!(
        burst <= allowed,
        "{burst} requests at once, {allowed} allowed"
    );
    for post in posts {
        post.abort();
        let _ = post.await;
    }
    restarted.kill().await;
    fleet.stop().await;
}
