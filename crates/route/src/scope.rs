//! Places that a request may be sent to.

use ids::{RegionId, ZoneId};

use crate::HomeRegions;

/// Place of a backend server, by the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct ServerPlace<'a> {
    /// Availability zone of the server.
    pub zone: &'a ZoneId,
    /// Region of the zone.
    pub region: &'a RegionId,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
}

/// Places that one request may be sent to.
#[derive(Clone, Debug, Default)]
pub struct RequestScope {
    homes: HomeRegions,
    /// Zones whose daemons have refused the request because of an evacuation.
    refused_zones: Vec<ZoneId>,
}

impl RequestScope {
    /// Creates the scope of a request that no daemon has refused yet.
    pub fn new(homes: HomeRegions) -> Self {
        Self {
            homes,
            refused_zones: Vec::new(),
        }
    }

    /// Regions that the request may be run in.
    pub fn homes(&self) -> &HomeRegions {
        &self.homes
    }

    /// Excludes a zone whose daemon has refused the request because the zone is
    /// evacuated. The table here may be older. Without this, a request could use up
    /// its offers at servers of that zone, which are idle and so look best.
    pub fn exclude_zone(&mut self, zone: &ZoneId) {
        if !self.refused_zones.contains(zone) {
            self.refused_zones.push(zone.clone());
        }
    }

    /// Whether the request may be sent to all places that are not evacuated.
    pub fn is_unrestricted(&self) -> bool {
        self.homes.is_unrestricted() && self.refused_zones.is_empty()
    }

    /// Whether the request may be sent to a server at a place; `None` stands for a
    /// place that the configuration does not give.
    pub fn contains(&self, place: Option<ServerPlace<'_>>) -> bool {
        place.is_some_and(|place| {
            let refused = place.evacuated || self.refused_zones.contains(place.zone);
            !refused && self.homes.allows(place.region)
        })
    }
}
