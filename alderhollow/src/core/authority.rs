//! The core member's interface for the distribution, the operators' calls and the reconciliation of batch groups.

use super::driver::Core;
use super::store_watch::StoreWatch;
use crate::clock::SteadyClock;
use crate::control_state::group_policy::rebalancing::StabilityTimer;
use crate::control_state::group_policy::{is_stable, GroupView};
use crate::control_state::store_report::StoreReport;
use crate::control_state::view::encode_view;
use crate::control_state::ControlState;
use crate::distribution::message::{CoreView, EncodedControl, Poll};
use crate::distribution::server::Authority;
use alderhollow_model::identity::Role;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// This process's core member, with the stores' newest polls while it is the primary.
pub struct ControlAuthority {
    core: Rc<Core<ControlState>>,
    clock: SteadyClock,
    tolerate_machines: usize,
    stores: RefCell<StoreWatch>,
    stability: RefCell<StabilityTimer>,
    stores_changed: Notify,
    encoded: RefCell<EncodedControl>,
}

impl ControlAuthority {
    /// Wraps a member. `tolerate_machines` is the number of machine losses to tolerate, from the settings.
    pub fn new(
        core: Rc<Core<ControlState>>,
        clock: SteadyClock,
        tolerate_machines: usize,
    ) -> ControlAuthority {
        ControlAuthority {
            core,
            clock,
            tolerate_machines,
            stores: RefCell::default(),
            stability: RefCell::default(),
            stores_changed: Notify::new(),
            encoded: RefCell::new(EncodedControl {
                version: 0,
                bytes: Vec::new().into(),
            }),
        }
    }

    /// The member.
    pub fn core(&self) -> &Rc<Core<ControlState>> {
        &self.core
    }

    /// What the primary knows of the stores; `None` without a lease.
    pub fn group_view(&self) -> Option<GroupView> {
        let now_ms = self.clock.now_ms();
        let mut stores = self.stores.borrow_mut();
        stores.update_lease(self.core.leased_epoch(), now_ms);
        let view = stores.view(now_ms, self.tolerate_machines);
        let is_stable = view
            .as_ref()
            .is_some_and(|view| is_stable(&self.core.state(), view));
        let stable_for_ms = self.stability.borrow_mut().record(is_stable, now_ms);
        view.map(|view| GroupView {
            stable_for_ms: stable_for_ms.min(view.primary_for_ms),
            ..view
        })
    }

    /// Waits until a store's poll differs from its previous one.
    pub async fn stores_changed(&self) {
        self.stores_changed.notified().await;
    }
}

impl Authority for ControlAuthority {
    fn leased_epoch(&self) -> Option<u64> {
        self.core.leased_epoch()
    }

    fn primary_since(&self) -> Option<u64> {
        self.core.primary_since()
    }

    fn control(&self) -> EncodedControl {
        let state = self.core.state();
        let mut encoded = self.encoded.borrow_mut();
        if encoded.version != state.view_version() {
            let bytes = encode_view(&state.view()).into();
            *encoded = EncodedControl {
                version: state.view_version(),
                bytes,
            };
        }
        encoded.clone()
    }

    fn control_version(&self) -> u64 {
        self.core.state().view_version()
    }

    fn core_view(&self) -> CoreView {
        self.core.core_view()
    }

    fn on_poll(&self, poll: &Poll) {
        if poll.node.role != Role::Store {
            return;
        }
        let mut report = StoreReport::from_bytes(&poll.batch_status).unwrap_or_default();
        report.leaving |= poll.leaving;
        let now_ms = self.clock.now_ms();
        let mut stores = self.stores.borrow_mut();
        stores.update_lease(self.core.leased_epoch(), now_ms);
        if stores.on_poll(&poll.node, report, now_ms) {
            self.stores_changed.notify_one();
        }
    }
}
