//! Enforces the rate and burst of client accounts across the fleet, without a
//! store.
//!
//! Each escrow group of zones has an equal share of every account's rate and
//! burst. Within a group, the account belongs to a cell, a set of VMs. Each
//! member of the cell owns an equal share of the group's part and lends it to
//! the account's home, one of the members. The home refills a token bucket in
//! proportion to the shares that it holds and grants tokens to ingresses as
//! leases. [`LimitNode`] is the state machine of one daemon, which acts both as
//! home and as ingress. It does no I/O.
//!
//! Accounting alone rules out over-admission: a home counts the tokens of a
//! lease for as long as they may be spent, so its bucket and its unexpired
//! leases together never exceed its share of the burst. No message creates
//! tokens; a lost message makes some unusable until their lease would have
//! expired.

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
