//! Rate and burst of a client account across the fleet, without a store.
//!
//! Each escrow group of zones holds an equal share of every account's rate
//! and burst. Within a group each member of the account's cell owns an equal part
//! and lends it to the account's home, which mints by what it holds and hands
//! tokens to ingresses as leases. [`LimitNode`] is the state machine of one
//! daemon, home and ingress in one, without I/O.
//!
//! Over-admission is excluded by accounting alone: a home counts what it has
//! handed out as long as it may be spent, so its bucket and its unexpired
//! leases together never exceed its share of the burst. No message creates
//! tokens; a lost one loses some until the lease would have ended.

mod account;
mod ask;
mod cell;
mod held;
mod home;
mod lease;
mod message;
mod mint;
mod node;
mod shares;
mod step;
mod way;

pub use cell::{CellKey, CellMap, CellMember, GroupId};
pub use lease::{LeaseSlots, TokenGrant};
pub use message::{LeaseId, LeaseRequestId, LeaseResponse, LimitMessage};
pub use node::{
    AccountLimit, LimitAction, LimitEvent, LimitLookup, LimitNode, LimitStats, TakeId, TakeRefusal,
};
