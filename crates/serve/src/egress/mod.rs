//! The egress: the backend servers of this VM, and what becomes of attempts.

mod probed;
mod server;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use admit::{Event, QueueLimits, QueueReport, Refusal, SlotQueue};
use arc_swap::ArcSwap;
use config::Backend;
use health::Counts;
use hyper::{Request, Response};
use ids::{FastMap, ServerId};

pub use self::probed::ProbedServer;
use self::server::{EgressServer, HeldSlot};
use crate::{
    body::ProxyBody,
    clock::MonoClock,
    control::ControlSender,
    desk::QueueDesk,
    edge::EdgeCodec,
    evidence::Evidence,
    link::LinkPool,
    task::TaskGroup,
    view::FleetView,
    wire::{Attempt, EgressOutcome, EgressReport, NotRun},
};

/// What an egress gives back.
#[derive(Debug)]
pub struct EgressAnswer {
    /// Outcome, load and evidence.
    pub report: EgressReport,
    /// The backend server's answer, if there is one.
    pub response: Option<Response<ProxyBody>>,
}

/// All backend servers of this VM.
#[derive(Debug)]
pub struct EgressHub {
    view: Arc<FleetView>,
    clock: MonoClock,
    tasks: Arc<TaskGroup>,
    servers: ArcSwap<FastMap<ServerId, Arc<EgressServer>>>,
    draining: AtomicBool,
    epoch: u32,
    control: ControlSender,
    stall_timeout: Duration,
    codec: Arc<dyn EdgeCodec>,
}

impl EgressHub {
    /// A hub whose connections join `tasks`.
    pub fn new(
        view: Arc<FleetView>,
        clock: MonoClock,
        tasks: Arc<TaskGroup>,
        control: ControlSender,
        stall_timeout: Duration,
        codec: Arc<dyn EdgeCodec>,
    ) -> Self {
        Self {
            view,
            clock,
            tasks,
            servers: ArcSwap::default(),
            draining: AtomicBool::new(false),
            epoch: rand::random(),
            control,
            stall_timeout,
            codec,
        }
    }

    /// Runs an attempt, or says why it did not.
    pub async fn run(&self, attempt: &Attempt, request: Request<ProxyBody>) -> EgressAnswer {
        let deadline = self.clock.now() + attempt.remaining();
        let Some(server) = self.server(&attempt.server) else {
            return misdirected();
        };
        if server.is_shut(attempt) {
            return server.refused(NotRun::Failing);
        }
        let ticket = match server.acquire(attempt, deadline).await {
            Ok(ticket) => ticket,
            Err(refusal) => return server.refused(not_run_of(refusal)),
        };
        // The key may have been withdrawn while the request waited.
        match attempt.key {
            Some(digest) if !self.view.table().has_key(&digest) => {
                return server.refused(NotRun::Withdrawn);
            }
            _ if self.clock.now() >= deadline => return server.refused(NotRun::Expired),
            _ => {}
        }
        // The server may have begun to fail while the request waited.
        match server.pass_gate(attempt) {
            Ok(pass) => {
                let held = HeldSlot { ticket, pass };
                server.dispatch(attempt, request, deadline, held).await
            }
            Err(reason) => server.refused(reason),
        }
    }

    /// Refuses new work from now on, or takes it again.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
        let event = match draining {
            true => Event::Drain,
            false => Event::Resume,
        };
        for server in self.servers.load().values() {
            server.handle(event.clone());
        }
    }

    /// Follows a new configuration: slots, and servers that are gone.
    pub fn follow_table(&self) {
        let table = self.view.table();
        for (id, server) in self.servers.load().iter() {
            match table.server(id) {
                Some(backend) if backend.vm == self.view.vm => server.resize(backend.slots),
                _ => server.handle(Event::Drain),
            }
        }
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Closes connections to backend servers that were idle for too long.
    pub fn sweep_idle(&self) {
        for server in self.servers.load().values() {
            server.links.sweep();
        }
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.servers
            .load()
            .values()
            .all(|server| server.lock().queue.is_idle())
    }

    /// Load of each backend server that was used.
    pub fn reports(&self) -> Vec<(ServerId, QueueReport, Counts)> {
        let now = self.clock.now();
        let servers = self.servers.load();
        let report = |(id, server): (&ServerId, &Arc<EgressServer>)| {
            (
                id.clone(),
                server.lock().queue.report(now),
                server.evidence.counts(),
            )
        };
        servers.iter().map(report).collect()
    }

    /// The backend server of that name, if it is on this VM.
    fn server(&self, id: &ServerId) -> Option<Arc<EgressServer>> {
        let table = self.view.table();
        let backend = table
            .server(id)
            .filter(|backend| backend.vm == self.view.vm)?;
        if let Some(server) = self.servers.load().get(id)
            && server.matches(&backend)
        {
            return Some(Arc::clone(server));
        }
        let fresh = Arc::new(self.make_server(&backend));
        self.servers.rcu(|servers| {
            let mut servers = FastMap::clone(servers);
            match servers.get(id) {
                Some(server) if server.matches(&backend) => {}
                _ => {
                    servers.insert(id.clone(), Arc::clone(&fresh));
                }
            }
            servers
        });
        self.servers.load().get(id).cloned()
    }

    /// State for a backend server that was not used yet.
    fn make_server(&self, backend: &Backend) -> EgressServer {
        let limit = backend.connections as usize;
        let mut queue = SlotQueue::new(QueueLimits::for_slots(backend.slots));
        if self.draining.load(Ordering::Acquire) {
            queue.handle(self.clock.now(), Event::Drain);
        }
        EgressServer {
            slots: AtomicU64::new(u64::from(backend.slots.get())),
            links: LinkPool::new(backend.address, limit, Arc::clone(&self.tasks)),
            clock: self.clock,
            desk: Mutex::new(QueueDesk {
                queue,
                waiters: FastMap::default(),
                next_job: 0,
            }),
            id: backend.id.clone(),
            codec: Arc::clone(&self.codec),
            gate: Mutex::default(),
            evidence: Evidence::new(self.epoch),
            control: self.control.clone(),
            stall_timeout: self.stall_timeout,
            loaded_until: AtomicU64::new(0),
        }
    }

    /// The backend servers that were used, with the rules of their services.
    pub fn probed(&self) -> Vec<ProbedServer> {
        let table = self.view.table();
        let servers = self.servers.load();
        let probed = |(id, server): (&ServerId, &Arc<EgressServer>)| {
            let backend = table.server(id)?;
            let service = Arc::clone(table.service(&backend.service)?);
            Some(ProbedServer {
                server: Arc::clone(server),
                service,
            })
        };
        servers.iter().filter_map(probed).collect()
    }
}

/// Answer for a backend server that is not here.
fn misdirected() -> EgressAnswer {
    EgressAnswer {
        report: EgressReport {
            outcome: EgressOutcome::NotRun(NotRun::Misdirected),
            running: 0,
            delay_us: 0,
            service_us: 0,
            counts: Counts::default(),
            closed: false,
        },
        response: None,
    }
}

/// A queue's refusal as an outcome.
fn not_run_of(refusal: Refusal) -> NotRun {
    match refusal {
        Refusal::Overloaded => NotRun::Overloaded,
        Refusal::Expired => NotRun::Expired,
        Refusal::Leaving => NotRun::Leaving,
        Refusal::Shedding => NotRun::Shedding,
    }
}
