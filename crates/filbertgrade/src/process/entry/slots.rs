//! Slots of endpoints: where a request may run.

use std::net::SocketAddr;
use std::time::Instant;

use filbertgrade_coord::names::TeamName;
use rand::seq::IndexedRandom;

use crate::process::settings::NodeSettings;
use crate::request::{Cause, Refusal};
use crate::version::{InForce, ServiceName};

/// Finds slots for requests.
#[derive(Debug)]
pub(crate) struct Slots {
    settings: NodeSettings,
}

/// What a request needs of a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotAsk {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Team of the request; `None` on an open route.
    pub(crate) team: Option<TeamName>,
    /// Until when the request must have been sent.
    pub(crate) deadline: Instant,
    /// Endpoints that already refused this request.
    pub(crate) avoid: Vec<SocketAddr>,
}

/// The right to run one request on an endpoint. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotGrant {
    endpoint: SocketAddr,
}

impl SlotGrant {
    /// The endpoint.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.endpoint
    }

    /// Frees the slot of an endpoint that refused because it was busy or
    /// draining.
    pub(crate) fn refused(self) {}
}

impl Slots {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        Self { settings }
    }

    /// Gets a slot, and waits for it if it must, at most until the deadline.
    ///
    /// # Errors
    ///
    /// A refusal as not run when there is no endpoint, or no slot in time.
    pub(crate) async fn acquire(
        &self,
        view: &InForce,
        ask: &SlotAsk,
    ) -> Result<SlotGrant, Refusal> {
        let endpoint = self
            .pick_endpoint(view, ask)
            .ok_or(Refusal::not_run(Cause::NoEndpoint))?;
        Ok(SlotGrant { endpoint })
    }

    fn pick_endpoint(&self, view: &InForce, ask: &SlotAsk) -> Option<SocketAddr> {
        let config = view.config.as_deref()?;
        let service = config.services.get(&ask.service)?;
        let usable: Vec<_> = service
            .all_endpoints()
            .filter(|(_, address)| !view.drained_servers.contains(address))
            .filter(|(_, address)| !ask.avoid.contains(address))
            .collect();
        let local: Vec<_> = usable
            .iter()
            .filter(|(domain, _)| config.region_of(domain) == Some(&self.settings.region))
            .collect();
        let mut rng = rand::rng();
        match local.choose(&mut rng) {
            Some((_, address)) => Some(*address),
            None => usable.choose(&mut rng).map(|(_, address)| *address),
        }
    }
}
