//! State of the control loop, for the state dump of a daemon.

use serde_json::{Value, json};

use super::ControlLoop;

impl ControlLoop {
    /// Returns the state of the control loop as JSON.
    pub(super) fn dump(&self) -> Value {
        let now = self.now();
        let stats = self.limits.stats(now);
        let freshness = self.gossip.freshness(now, self.has_contact(now));
        json!({
            "freshness": format!("{freshness:?}"),
            "platform_age_ms": self.gossip.age(now).as_millis() as u64,
            "reader": self.gossip.is_reader(),
            "limits": {
                "homes": stats.homes,
                "ingress_accounts": stats.ingress_accounts,
                "cells": stats.cells,
                "heard": stats.cells_with_quorum,
                "granted": stats.granted,
                "asks_without_shares": stats.requests_without_shares,
            },
            "detectors": self.detectors.dump(),
            "kept_deltas": self.kept_deltas.len(),
        })
    }
}
