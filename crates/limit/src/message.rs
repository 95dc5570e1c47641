//! Messages between the rate limiters of two daemons.

use ids::{AccountId, TokenAmount};
use serde::{Deserialize, Serialize};

use crate::CellKey;

/// Number of a lease request, unique for the requesting daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseRequestId(pub u64);

/// Number of a lease, unique for the home that granted it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseId(pub u64);

/// Response of a home to a lease request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseResponse {
    /// Request that this is the response to.
    pub request: LeaseRequestId,
    /// The account.
    pub account: AccountId,
    /// Number of the lease.
    pub lease: LeaseId,
    /// Whole tokens granted; may be zero.
    pub amount: u32,
    /// Milliseconds for which the tokens may be spent, counted from the
    /// request.
    pub valid_ms: u32,
    /// Milliseconds until the home will have a token, if it has too few.
    pub retry_ms: u32,
    /// Whether the home may grant tokens of the account. Without shares of the
    /// account it has no tokens for anybody, whatever the rate.
    pub can_grant: bool,
}

/// Message from one rate limiter to another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum LimitMessage {
    /// An ingress requests tokens from the home of an account.
    LeaseRequest {
        /// Number of the request; a repeated request has a new one.
        request: LeaseRequestId,
        /// The account.
        account: AccountId,
        /// Whole tokens wanted.
        want: u32,
    },
    /// A home grants tokens, or none.
    LeaseResponse(LeaseResponse),
    /// An ingress returns tokens that it will not spend.
    LeaseReturn {
        /// The account.
        account: AccountId,
        /// The lease that they belong to.
        lease: LeaseId,
        /// Whole tokens returned.
        amount: u32,
    },
    /// A member of a cell requests another member's shares.
    ShareRequest {
        /// The cell.
        cell: CellKey,
        /// Digest of the members as the sender knows them.
        digest: u64,
        /// Number of the request, repeated in the response.
        number: u64,
        /// Whether the sender holds a share of the receiver for another home.
        holds_for_others: bool,
        /// Whether the sender has a quorum: it recently received messages from
        /// more than half of the cell.
        has_quorum: bool,
    },
    /// A daemon that has left a cell announces that it no longer grants tokens
    /// of the cell's accounts.
    CellLeft {
        /// The cell.
        cell: CellKey,
        /// Digest of the remaining members.
        digest: u64,
    },
    /// A member lends the shares that the sender of a request may hold.
    ShareLoan {
        /// The cell.
        cell: CellKey,
        /// Digest of the members.
        digest: u64,
        /// Number of the request.
        number: u64,
        /// Bit set of the homes for whose accounts shares are lent; bit N
        /// stands for the member at index N.
        homes: u64,
    },
}

impl LimitMessage {
    /// Returns the number of whole tokens that the message carries.
    pub fn tokens(&self) -> TokenAmount {
        match self {
            Self::LeaseResponse(response) => TokenAmount::whole(u64::from(response.amount)),
            Self::LeaseReturn { amount, .. } => TokenAmount::whole(u64::from(*amount)),
            _ => TokenAmount::ZERO,
        }
    }
}
