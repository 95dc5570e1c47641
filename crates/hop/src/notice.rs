//! What backend servers say about themselves in their answers.

use ids::RequestRate;
use serde::{Deserialize, Serialize};

/// What a backend server says about itself in each of its answers, for as long as
/// it holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerNotice {
    /// Rate at which it takes requests from the whole fleet, if it is limited.
    pub limit: Option<RequestRate>,
    /// Whether it is about to end and takes no new requests.
    pub leaving: bool,
}
