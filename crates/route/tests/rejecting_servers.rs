//! Backend servers that reject requests without running them, in simulated time: the
//! gates of their egresses, the choice of servers by ingresses that hear only the
//! reports on their own requests, and second tries within the budget of the fleet.

use std::{collections::VecDeque, time::Duration};

use health::{GateDecision, Outcome, RejectionChange, RejectionShare, ServerGate};
use ids::{MonoTime, Percent, Rank};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, Candidate, Distance, PlanAction, PlanEvent, PlanOptions,
    RetryBudget, aged_rejections, choose_server, excess_rejections, is_avoided, usual_rejections,
};
use test_case::test_case;

/// Daemons that receive requests, as in the deployment where all servers rejected.
const INGRESSES: usize = 91;
const SERVERS: usize = 48;
const SLOTS: usize = 10;
const ZONES: usize = 3;
/// Requests per second of all ingresses, under half of what the servers can run.
const PER_SECOND: f64 = 350.0;
const MEAN_WORK_MS: u64 = 500;
const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(6);
/// Share of requests and number of retries beyond it that the fleet may make.
const SHARE: Percent = Percent(20);
const SLACK: f64 = 188.0;
/// Delay that a server in another zone must save, as for that target.
const ZONE_PENALTY: Duration = Duration::from_millis(187);
/// Servers that one search asks at most.
const MAX_OFFERS: usize = 10;
/// Time before the rejections, in which everything is served.
const CALM_MS: u64 = 10_000;
const STEP_MS: u64 = 5;

/// How the servers behave after the calm.
struct RejectionLoad {
    /// Time for which they reject.
    lasts_ms: u64,
    /// Probability with which the server of that number rejects a request.
    rejects: fn(usize) -> f64,
    /// Whether the server of that number loses its connections instead.
    loses: fn(usize) -> bool,
}

/// A request under way.
struct SimRequest {
    ingress: usize,
    rank: Rank,
    idempotent: bool,
    arrived: MonoTime,
    plan: AttemptPlan,
    tried: Vec<usize>,
}

/// A backend server beside its egress.
#[derive(Default)]
struct SimServer {
    gate: ServerGate,
    rejections: RejectionShare,
    running: Vec<(MonoTime, SimRequest)>,
    waiting: VecDeque<SimRequest>,
}

/// Counts of the requests that arrived while the servers rejected.
#[derive(Debug, Default)]
struct LoadCounts {
    arrived: [u32; 3],
    served: [u32; 3],
    /// Requests that reached a server, including those that it rejected.
    received: u32,
    /// Those received from two seconds after the start by servers that reject or lose
    /// everything, and by all servers.
    late_bad: u32,
    late_all: u32,
}

impl LoadCounts {
    fn served_share(&self) -> f64 {
        f64::from(self.served.iter().sum::<u32>()) / f64::from(self.arrived.iter().sum::<u32>())
    }
}

struct RejectionSim {
    load: RejectionLoad,
    now: MonoTime,
    random: StdRng,
    servers: Vec<SimServer>,
    /// Share that each ingress heard of each server, and when.
    heard: Vec<Vec<(Percent, MonoTime)>>,
    budgets: Vec<RetryBudget>,
    counts: LoadCounts,
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

impl RejectionSim {
    fn new(load: RejectionLoad) -> Self {
        let budget = |seed| {
            let budget = RetryBudget::with_seed(seed as u64);
            budget.set_capacity(SLACK, INGRESSES);
            budget
        };
        Self {
            load,
            now: MonoTime::ZERO,
            random: StdRng::seed_from_u64(5),
            servers: (0..SERVERS).map(|_| SimServer::default()).collect(),
            heard: vec![vec![(Percent(0), MonoTime::ZERO); SERVERS]; INGRESSES],
            budgets: (0..INGRESSES).map(budget).collect(),
            counts: LoadCounts::default(),
        }
    }

    /// Whether the servers reject at present.
    fn is_rejecting(&self) -> bool {
        (at(CALM_MS)..at(CALM_MS + self.load.lasts_ms)).contains(&self.now)
    }

    fn run(mut self) -> LoadCounts {
        let mut next_ms = 0.0;
        let end_ms = CALM_MS + self.load.lasts_ms + 8_000;
        for millis in (0..end_ms).step_by(STEP_MS as usize) {
            self.now = at(millis);
            self.finish_due();
            while next_ms <= millis as f64 {
                next_ms -= 1_000.0 / PER_SECOND * self.random.random::<f64>().max(1e-9).ln();
                self.arrive();
            }
        }
        self.counts
    }

    fn arrive(&mut self) {
        let ingress = self.random.random_range(0..INGRESSES);
        let rank = Rank([0, 0, 0, 1, 1, 1, 1, 2, 2, 2][self.random.random_range(0..10)]);
        let idempotent = self.random.random_range(0..2) == 0;
        self.budgets[ingress].deposit(SHARE);
        let plan = AttemptPlan::new(PlanOptions {
            idempotent,
            replayable: true,
            rank,
            target: self.now + TARGET,
            deadline: self.now + DEADLINE,
            expected_work: Duration::from_millis(MEAN_WORK_MS),
            max_runs: None,
            hedge_after: None,
        });
        if self.is_rejecting() {
            self.counts.arrived[usize::from(rank.get())] += 1;
        }
        let request = SimRequest {
            ingress,
            rank,
            idempotent,
            arrived: self.now,
            plan,
            tried: Vec::new(),
        };
        self.advance(request, PlanEvent::Start);
    }

    /// Passes an event to the plan of a request and sends it where the plan says.
    fn advance(&mut self, mut request: SimRequest, event: PlanEvent) {
        let budget = &self.budgets[request.ingress];
        let actions = request.plan.handle(self.now, event, budget);
        match actions.first() {
            Some(PlanAction::Send(_)) => self.search(request),
            Some(PlanAction::Deliver(_)) => {
                let calm_end = at(CALM_MS + self.load.lasts_ms);
                if (at(CALM_MS)..calm_end).contains(&request.arrived) {
                    self.counts.served[usize::from(request.rank.get())] += 1;
                }
            }
            _ => {}
        }
    }

    /// Offers a request to one server after the other until one takes it.
    fn search(&mut self, mut request: SimRequest) {
        for _ in 0..MAX_OFFERS {
            let Some(index) = self.choose(&request) else {
                break;
            };
            request.tried.push(index);
            let now = self.now;
            let server = &mut self.servers[index];
            match server.gate.decide(now, request.idempotent) {
                GateDecision::Closed => {}
                _ if server.running.len() >= SLOTS => {
                    server.waiting.push_back(request);
                    return;
                }
                decision => return self.dispatch(index, request, decision),
            }
        }
        let id = AttemptId(self.attempt_number(&request));
        self.advance(request, PlanEvent::NoServer(id));
    }

    fn choose(&mut self, request: &SimRequest) -> Option<usize> {
        let heard = &self.heard[request.ingress];
        let share = |index: usize| aged_rejections(heard[index].0, self.now.since(heard[index].1));
        let usual = usual_rejections((0..SERVERS).map(share).collect());
        let excess = |index: usize| excess_rejections(share(index), usual);
        let candidate = |index: usize| {
            let server = &self.servers[index];
            let near = index % ZONES == request.ingress % ZONES;
            Candidate {
                slots: SLOTS as u32,
                running: server.running.len() as u32,
                delay: Duration::from_millis(MEAN_WORK_MS) * server.waiting.len() as u32
                    / SLOTS as u32,
                in_flight: 0,
                service_time: Duration::from_millis(MEAN_WORK_MS),
                distance: if near {
                    Distance::Zone
                } else {
                    Distance::Region
                },
                weight: 1.0,
                rejected: excess(index),
            }
        };
        let fresh = |index: &usize| !request.tried.contains(index);
        let (avoided, usable): (Vec<usize>, Vec<usize>) = (0..SERVERS)
            .filter(fresh)
            .partition(|index| is_avoided(excess(*index)));
        let indexes = if usable.is_empty() { avoided } else { usable };
        let candidates: Vec<Candidate> = indexes.iter().map(|index| candidate(*index)).collect();
        let random = [(); 3].map(|()| self.random.random());
        choose_server(&candidates, random, ZONE_PENALTY).map(|choice| indexes[choice])
    }

    /// Sends a request to a server with a free slot.
    fn dispatch(&mut self, index: usize, request: SimRequest, decision: GateDecision) {
        let rejecting = self.is_rejecting();
        let reject_share = if rejecting {
            (self.load.rejects)(index)
        } else {
            0.0
        };
        let loses = rejecting && (self.load.loses)(index);
        let rejected = self.random.random::<f64>() < reject_share;
        if rejecting {
            let late = self.now.since(at(CALM_MS)) > Duration::from_secs(2);
            self.counts.received += 1;
            self.counts.late_all += u32::from(late);
            self.counts.late_bad += u32::from(late && (reject_share == 1.0 || loses));
        }
        let now = self.now;
        let server = &mut self.servers[index];
        let end = match (loses, rejected) {
            (true, _) => AttemptEnd::Lost,
            (_, true) => AttemptEnd::Rejected,
            _ => {
                let work = self
                    .random
                    .random_range(MEAN_WORK_MS / 2..MEAN_WORK_MS * 3 / 2);
                let end = now + Duration::from_millis(work);
                server.running.push((end, request));
                return;
            }
        };
        let mut change = RejectionChange::default();
        match end {
            AttemptEnd::Rejected => {
                server.gate.record(now, Outcome::Rejected);
                change = server.rejections.record(now, true);
            }
            _ => server.gate.record(now, Outcome::Lost),
        }
        if decision == GateDecision::Trial {
            match end {
                AttemptEnd::Rejected => server.gate.abandon_trial(now),
                _ => server.gate.end_trial(now, false),
            }
        }
        let share = server.rejections.share(now);
        self.heard[request.ingress][index] = (share, now);
        if change.announce {
            self.heard
                .iter_mut()
                .for_each(|heard| heard[index] = (share, now));
        }
        let attempt = AttemptId(self.attempt_number(&request));
        self.advance(request, PlanEvent::Ended(attempt, end));
    }

    /// Number of the open attempt of a request.
    fn attempt_number(&self, request: &SimRequest) -> u32 {
        request.plan.attempts_made() - 1
    }

    /// Ends what is due, and starts what waits.
    fn finish_due(&mut self) {
        for index in 0..SERVERS {
            let now = self.now;
            let server = &mut self.servers[index];
            let due: Vec<_> = server
                .running
                .extract_if(.., |(end, _)| *end <= now)
                .collect();
            for (_, request) in due {
                let server = &mut self.servers[index];
                server.gate.record(now, Outcome::Good);
                server.rejections.record(now, false);
                self.heard[request.ingress][index] = (server.rejections.share(now), now);
                let attempt = AttemptId(self.attempt_number(&request));
                self.advance(request, PlanEvent::Answered(attempt));
            }
            while self.servers[index].running.len() < SLOTS {
                let Some(request) = self.servers[index].waiting.pop_front() else {
                    break;
                };
                self.dispatch(index, request, GateDecision::Open);
            }
        }
    }
}

/// Returns the load of servers that reject for `lasts_ms` and fail in no other way.
fn load(lasts_ms: u64, rejects: fn(usize) -> f64) -> RejectionLoad {
    RejectionLoad {
        lasts_ms,
        rejects,
        loses: |_| false,
    }
}

fn all(_: usize) -> f64 {
    0.55
}

fn one_in_ten(index: usize) -> f64 {
    f64::from(u8::from(index.is_multiple_of(10)))
}

fn half(index: usize) -> f64 {
    f64::from(u8::from(index.is_multiple_of(2)))
}

fn one_zone(index: usize) -> f64 {
    f64::from(u8::from(index.is_multiple_of(ZONES)))
}

fn all_and_some_fully(index: usize) -> f64 {
    all(index).max(one_in_ten(index))
}

// Guards against gates that close because a whole service rejects, which refuses
// requests that its servers would have taken. One try for each request serves 0.45.
#[test_case(2_000, all, 0.52; "all for two seconds")]
#[test_case(12_000, all, 0.51; "all for twelve seconds")]
#[test_case(60_000, all, 0.51; "all for a minute")]
#[test_case(2_000, one_in_ten, 0.97; "one in ten for two seconds")]
#[test_case(60_000, one_in_ten, 0.98; "one in ten for a minute")]
#[test_case(2_000, half, 0.75; "half for two seconds")]
#[test_case(60_000, half, 0.95; "half for a minute")]
#[test_case(2_000, one_zone, 0.8; "one zone for two seconds")]
#[test_case(60_000, one_zone, 0.95; "one zone for a minute")]
fn rejections_are_no_failure(lasts_ms: u64, rejects: fn(usize) -> f64, least: f64) {
    let counts = RejectionSim::new(load(lasts_ms, rejects)).run();
    let served = counts.served_share();
    assert!(served >= least, "{served}: {counts:?}");
    let arrived: u32 = counts.arrived.iter().sum();
    let bound = (1.0 + SHARE.fraction()) * f64::from(arrived) + SLACK;
    assert!(
        f64::from(counts.received) <= bound,
        "more tries than the fleet may make"
    );
}

// Guards against a server that rejects everything, is idle for that reason, and draws
// requests which its peers would serve.
#[test_case(load(12_000, one_in_ten), 0.02; "its peers reject nothing")]
#[test_case(load(12_000, all_and_some_fully), 0.06; "its peers reject half")]
#[test_case(RejectionLoad { lasts_ms: 12_000, rejects: all, loses: |index| index.is_multiple_of(10) }, 0.03; "it loses connections while its peers reject")]
fn bad_servers_are_avoided(load: RejectionLoad, most: f64) {
    let counts = RejectionSim::new(load).run();
    let share = f64::from(counts.late_bad) / f64::from(counts.late_all);
    assert!(share <= most, "{share}: {counts:?}");
}

// Guards against a budget that is spent on requests in the order in which they fail.
#[test]
fn urgent_ranks_first() {
    let counts = RejectionSim::new(load(12_000, all)).run();
    let share = |rank: usize| f64::from(counts.served[rank]) / f64::from(counts.arrived[rank]);
    assert!(share(0) >= 0.55, "{counts:?}");
    assert!(share(0) > share(1).max(share(2)) + 0.02, "{counts:?}");
}
