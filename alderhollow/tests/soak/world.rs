//! A tier with relays at its outer links, and all that is known of it.

use super::configurations::{soak_configuration, ConfigurationRecord, FIRST_VERSION};
use super::metrics;
use super::record::Record;
use super::relay::Relay;
use super::tier_support::{BackendPace, Tier, SEEDS};
use super::timeline::Timeline;
use super::troubles::Target;
use super::Place;
use alderhollow_standins::operator::Order;
use alderhollow_standins::settings::PLATFORM_LAG_MS;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

const DISKLESS_GATEWAYS: [Place; 2] = [Place::DisklessGateway(0), Place::DisklessGateway(1)];
const STORES: u8 = 5;
/// Few slots: what waits takes longer to run than an ended job's items may still come.
const PACE: BackendPace = BackendPace {
    slots: 4,
    event_pause: Duration::from_millis(60),
};
/// Hosts of the relays on the tier's part of loopback.
const BACKEND_RELAYS: u8 = 61;
const GATEWAY_RELAYS: u8 = 71;
/// Version that [`Tier::settle`] hands in.
const SETTLED_VERSION: u64 = 3;

/// The tier of one seed.
pub(crate) struct World {
    pub tier: RefCell<Tier>,
    pub places: Vec<Place>,
    pub backend_relays: Vec<Relay>,
    /// The clients' way to each gateway.
    pub gateway_relays: Vec<Relay>,
    /// Where operators reach the gateways.
    pub controls: Vec<SocketAddr>,
    pub record: RefCell<Record>,
    pub configurations: RefCell<ConfigurationRecord>,
    pub timeline: Timeline,
}

impl World {
    /// A tier in which all are in touch. `number` tells its addresses and folder from others' of this process.
    pub(crate) async fn start(number: u8) -> World {
        let mut tier = Tier::prepare_backends(number, PACE).await;
        tier.options = metrics::options();
        let backend_relays = relay_backends(&tier).await;
        let gateways: Vec<Place> = SEEDS.into_iter().chain(DISKLESS_GATEWAYS).collect();
        let places: Vec<Place> = gateways
            .iter()
            .copied()
            .chain((0..STORES).map(Place::Store))
            .collect();
        for place in &places {
            tier.start_process(*place, true);
        }
        tier.settle(&gateways).await;
        let first = Order::put_config(SETTLED_VERSION, soak_configuration(FIRST_VERSION));
        assert_eq!(tier.order(&first).await.status, 200);
        World {
            gateway_relays: relay_gateways(&tier, &gateways).await,
            controls: tier.operator().gateways,
            tier: RefCell::new(tier),
            places,
            backend_relays,
            record: RefCell::default(),
            configurations: RefCell::new(ConfigurationRecord::new()),
            timeline: Timeline::new(),
        }
    }

    /// Notes what a process has counted of broken rules by itself.
    pub(crate) async fn note_counted(&self, place: Place) {
        let address = self.tier.borrow().at_port(place, metrics::PORT);
        let counted = metrics::counted(&format!("{place:?}"), address).await;
        self.record.borrow_mut().violations.extend(counted);
    }

    /// The relay of a link.
    pub(crate) fn relay(&self, target: Target) -> &Relay {
        match target {
            Target::BackendLink(index) => &self.backend_relays[index],
            Target::GatewayLink(index) => &self.gateway_relays[index],
            Target::Process(_) | Target::Backend(_) => unreachable!("{target:?} is no link"),
        }
    }
}

/// Puts a relay in front of each backend, and has the platform list the relays' addresses.
async fn relay_backends(tier: &Tier) -> Vec<Relay> {
    let mut relays = Vec::new();
    let mut listed = Vec::new();
    for (backend, host) in tier.backends.iter().zip(BACKEND_RELAYS..) {
        let relay = Relay::start(tier.standin_address(host), backend.address())
            .await
            .expect("a port");
        let mut instance = backend.listed();
        instance.address = relay.address();
        listed.push(instance);
        relays.push(relay);
    }
    tier.platform.change(listed);
    tokio::time::sleep(Duration::from_millis(PLATFORM_LAG_MS)).await;
    relays
}

/// Puts a relay between the clients and each gateway.
async fn relay_gateways(tier: &Tier, gateways: &[Place]) -> Vec<Relay> {
    let mut relays = Vec::new();
    for (gateway, host) in gateways.iter().zip(GATEWAY_RELAYS..) {
        let relay = Relay::start(tier.standin_address(host), tier.front(*gateway)).await;
        relays.push(relay.expect("a port"));
    }
    relays
}
