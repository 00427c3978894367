//! Names, endpoints and balancers shared by the tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{FailureDomainName, RegionName, ServiceName, VmName};
use filbertgrade_coord::steering::balancer::{
    Balancer, BalancerConfig, LimitedEndpoints, PickRequest,
};
use filbertgrade_coord::steering::deployment::{Deployment, Service};
use filbertgrade_coord::steering::endpoint::{Endpoint, EndpointKey};
use filbertgrade_coord::steering::retry::RetryConfig;

pub(crate) const TARGET_LATENCY: Duration = Duration::from_millis(500);

pub(crate) fn vm(name: &str) -> VmName {
    VmName::try_from(name).unwrap()
}

pub(crate) fn region(name: &str) -> RegionName {
    RegionName::try_from(name).unwrap()
}

pub(crate) fn domain(name: &str) -> FailureDomainName {
    FailureDomainName::try_from(name).unwrap()
}

pub(crate) fn service() -> ServiceName {
    ServiceName::try_from("charts").unwrap()
}

/// Returns one failure domain for each region: `north-a` in region `north`, and
/// so on.
pub(crate) fn regions(names: &[&str]) -> HashMap<FailureDomainName, RegionName> {
    names
        .iter()
        .map(|name| (domain(&format!("{name}-a")), region(name)))
        .collect()
}

/// Returns an endpoint whose port is derived from its id.
pub(crate) fn endpoint(id: &str, region: &str, slots: u32) -> Endpoint {
    let port = 1_000
        + id.bytes()
            .fold(0_u16, |n, b| n.wrapping_mul(31).wrapping_add(b.into()))
            % 60_000;
    Endpoint {
        key: EndpointKey {
            id: id.into(),
            started_ms: Some(1),
        },
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        failure_domain: domain(&format!("{region}-a")),
        slots,
        draining: false,
        sequence: None,
        cold_for: Duration::ZERO,
    }
}

pub(crate) fn deployment() -> Arc<Deployment> {
    let mut deployment = Deployment {
        version: 1,
        ..Deployment::default()
    };
    deployment.services.insert(
        service(),
        Service {
            name: service(),
            max_connections: 100,
            cold_time: Duration::from_secs(3),
            cold_rate: 4.0,
        },
    );
    Arc::new(deployment)
}

/// Returns a balancer for the VM `vm_name` in `own_region`, without endpoints.
pub(crate) fn balancer(vm_name: &str, own_region: &str, region_names: &[&str]) -> Balancer {
    let mut balancer = Balancer::new(BalancerConfig {
        vm: vm(vm_name),
        region: region(own_region),
        regions: regions(region_names),
        retry: RetryConfig {
            ratio: 0.2,
            allowance: 20.0,
            window: Duration::from_secs(10),
        },
        shift_cap: 0.15,
    });
    balancer.set_deployment(deployment());
    balancer
}

pub(crate) fn with_endpoints(
    mut balancer: Balancer,
    endpoints: &[Endpoint],
    now: Instant,
) -> Balancer {
    balancer.set_endpoints(endpoints.iter(), now);
    balancer
}

/// Returns a sticky, idempotent request for an object, with 3 s left before its
/// deadline.
pub(crate) fn pick_request(service: &ServiceName, object: u64) -> PickRequest<'_> {
    PickRequest {
        service,
        object,
        sticky: true,
        idempotent: true,
        allowed_regions: [&[], &[]],
        tried: &[],
        priority: 1,
        target_latency: TARGET_LATENCY,
        time_left: Duration::from_secs(3),
        body_bytes: 0,
        limited: LimitedEndpoints::RequestToken,
    }
}
