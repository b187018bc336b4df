//! A tier with backends that come and go, and the record of what happens to it.

use super::backends::Backends;
use super::configurations::{soak_configuration, FIRST_VERSION};
use super::platform::USUAL_LIST;
use super::record::{Configured, Record};
use super::tier_support::{BackendPace, Tier, SEEDS, SERVICE, STORES};
use super::weights::Versions;
use super::Place;
use alderhollow_standins::operator::Order;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const PACE: BackendPace = BackendPace {
    slots: 64,
    event_pause: Duration::from_millis(15),
};
/// Version that [`Tier::settle`] hands in.
const SETTLED_VERSION: u64 = 3;

/// The tier of one seed.
pub(crate) struct World {
    pub tier: RefCell<Tier>,
    pub gateways: Vec<Place>,
    /// Where operators reach the gateways.
    pub controls: Vec<SocketAddr>,
    pub backends: RefCell<Backends>,
    pub record: RefCell<Record>,
    pub versions: Cell<Versions>,
}

impl World {
    /// A tier in which all are in touch. `number` tells its addresses and folder from others' of this process.
    pub(crate) async fn start(number: u8, diskless_gateways: u8) -> World {
        let mut tier = Tier::prepare_backends(number, PACE).await;
        tier.platform.set(USUAL_LIST);
        let diskless = (0..diskless_gateways).map(Place::DisklessGateway);
        let gateways: Vec<Place> = SEEDS.into_iter().chain(diskless).collect();
        for place in gateways.iter().copied().chain(STORES) {
            tier.start_process(place, true);
        }
        tier.settle(&gateways).await;
        let mut record = Record::new();
        let backends = Backends::start(&tier, &mut record).await;
        let first = soak_configuration(FIRST_VERSION);
        let order = Order::put_config(SETTLED_VERSION, first);
        assert_eq!(tier.order(&order).await.status, 200);
        record.configurations.push(Configured {
            version: FIRST_VERSION,
            service: SERVICE,
            acknowledged: Some(Instant::now()),
        });
        // Until all know the configuration and the backends.
        tokio::time::sleep(Duration::from_secs(3)).await;
        World {
            controls: tier.operator().gateways,
            tier: RefCell::new(tier),
            gateways,
            backends: RefCell::new(backends),
            record: RefCell::new(record),
            versions: Cell::new(Versions::first()),
        }
    }

    /// Notes an event of the record.
    pub(crate) fn note(&self, event: String) {
        self.record.borrow_mut().note(event);
    }
}
