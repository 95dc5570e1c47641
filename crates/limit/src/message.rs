//! Messages between the limit machines of two daemons.

use ids::{AccountId, TokenAmount};
use serde::{Deserialize, Serialize};

use crate::CellKey;

/// Number of an ask, unique for the daemon that asks.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseRequestId(pub u64);

/// Number of a lease, unique for the home that granted it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseId(pub u64);

/// What a home answers to an ask.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseResponse {
    /// The ask that it answers.
    pub request: LeaseRequestId,
    /// The account.
    pub account: AccountId,
    /// Number of the lease.
    pub lease: LeaseId,
    /// Whole tokens granted.
    pub amount: u32,
    /// Milliseconds from the ask for which they may be spent.
    pub valid_ms: u32,
    /// Milliseconds until the home will have a token, if it has too few.
    pub retry_ms: u32,
    /// Whether the home may mint; without a mandate it has no tokens for
    /// anybody, whatever the rate.
    pub can_grant: bool,
}

/// A message of one limit machine to another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum LimitMessage {
    /// An ingress asks the home of an account for tokens.
    LeaseRequest {
        /// Its number; a repeated ask has a new one.
        request: LeaseRequestId,
        /// The account.
        account: AccountId,
        /// Whole tokens wanted.
        want: u32,
    },
    /// The home grants tokens, or none.
    LeaseResponse(LeaseResponse),
    /// An ingress gives back what it will not spend.
    LeaseReturn {
        /// The account.
        account: AccountId,
        /// The lease.
        lease: LeaseId,
        /// Whole tokens.
        amount: u32,
    },
    /// A member of a cell asks another for its shares.
    ShareRequest {
        /// The cell.
        cell: CellKey,
        /// Digest of the members as the sender sees them.
        digest: u64,
        /// Number, repeated in the answer.
        number: u64,
        /// Whether the sender holds a share of the receiver for another home.
        holds_for_others: bool,
        /// Whether the sender hears more than half of the cell.
        has_quorum: bool,
    },
    /// A daemon that has left a cell says that it mints for nobody there.
    CellLeft {
        /// The cell.
        cell: CellKey,
        /// Digest of the members that are left.
        digest: u64,
    },
    /// The other lends what the sender of the ask may hold.
    ShareLoan {
        /// The cell.
        cell: CellKey,
        /// Digest of the members.
        digest: u64,
        /// Number of the ask.
        number: u64,
        /// Places of the homes whose accounts' shares are lent, as bits.
        homes: u64,
    },
}

impl LimitMessage {
    /// Whole tokens that the message carries.
    pub fn tokens(&self) -> TokenAmount {
        match self {
            Self::LeaseResponse(response) => TokenAmount::whole(u64::from(response.amount)),
            Self::LeaseReturn { amount, .. } => TokenAmount::whole(u64::from(*amount)),
            _ => TokenAmount::ZERO,
        }
    }
}
