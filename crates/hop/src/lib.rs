//! Protocol of offers between ingress and egress: a slot is granted before the
//! request is committed.
//!
//! An ingress first offers a request to the daemon on the VM of a backend
//! server. The egress queues the offer and grants it when a slot of the backend
//! server is free. The ingress then commits: it sends the request, and the
//! egress runs it if the grant is still valid. No request can run before its
//! commit, so offers may be repeated, withdrawn, or made to several backend
//! servers at once, whatever the method of the request.
//!
//! [`SlotSearch`] implements the side of the ingress and [`OfferTable`] that of
//! the egress. Both are state machines without I/O.

mod book;
mod message;
mod notice;
mod offer;
mod search;

pub use book::{OfferKey, OfferStatus, OfferTable};
pub use message::{
    EgressIncarnation, HopMessage, NotRun, OfferId, OfferJob, OfferReply, ServerLoad,
};
pub use notice::ServerNotice;
pub use search::{SearchAction, SearchEvent, SearchOptions, SearchReach, SlotSearch};
