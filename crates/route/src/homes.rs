//! Regions that a request may be run in.

use std::sync::Arc;

use ids::RegionId;

/// Regions that a request may be run in; by default, all of them.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct HomeRegions(Option<Arc<[RegionId]>>);

impl HomeRegions {
    /// Combines the homes of a route with those of a client account. An empty list
    /// sets no bound. If both lists do, only regions in both are allowed, and that may
    /// be none.
    pub fn new(route: &[RegionId], account: &[RegionId]) -> Self {
        let homes: Vec<RegionId> = match (route, account) {
            ([], []) => return Self::default(),
            (homes, []) | ([], homes) => homes.to_vec(),
            (route, account) => {
                let in_both = route.iter().filter(|region| account.contains(region));
                in_both.cloned().collect()
            }
        };
        Self(Some(homes.into()))
    }

    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &RegionId) -> bool {
        self.0.as_ref().is_none_or(|homes| homes.contains(region))
    }

    /// Returns the names of the allowed regions for a log line.
    pub fn names(&self) -> String {
        match &self.0 {
            None => "all".to_owned(),
            Some(homes) if homes.is_empty() => "none".to_owned(),
            Some(homes) => {
                let names: Vec<&str> = homes.iter().map(RegionId::as_str).collect();
                names.join(", ")
            }
        }
    }
}
