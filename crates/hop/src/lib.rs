//! Offers between ingress and egress: grant before commit.
//!
//! An ingress does not send a request to the daemon beside a backend server;
//! it offers it. The egress queues the offer and grants it once it holds a
//! free slot. Only then the ingress commits: it sends the request, and the
//! egress runs it if the grant still stands. Until the commit nothing can run,
//! so offers may be repeated, withdrawn, or made to several servers at once,
//! whatever the method of the request.
//!
//! [`SlotSearch`] is the ingress's side, [`OfferTable`] the egress's. Both are
//! state machines without I/O.

mod book;
mod message;
mod search;

pub use book::{OfferKey, OfferStatus, OfferTable};
pub use message::{
    EgressIncarnation, HopMessage, NotRun, OfferId, OfferJob, OfferReply, ServerLoad,
};
pub use search::{SearchAction, SearchEvent, SearchOptions, SlotSearch};
