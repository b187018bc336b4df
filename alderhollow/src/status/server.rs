//! Puts a process's status together and serves it.

use super::message::{
    ChoiceReport, CoreRole, CoreStatus, Request, RouteTokens, StatusReport, StoreGroupStatus,
    StoreStatus, TablesGroup, TablesStatus,
};
use crate::core::authority::ControlAuthority;
use crate::distribution::message::Stamp;
use crate::distribution::server::Authority;
use crate::internal::server::HandlerFuture;
use crate::internal::{Handler, Refusal};
use crate::node::Node;
use crate::placement::message::Demand;
use crate::store::group_engine::GroupEngine;
use crate::store::node::StoreNode;
use alderhollow_coordination::replica::interface::Role;
use alderhollow_model::config::{Route, RouteType};
use alderhollow_model::identity::NodeInfo;
use alderhollow_model::snapshot::{BatchGroup, GroupId, Snapshot};
use std::rc::Rc;
use std::sync::Arc;

/// What the status is read from.
pub struct ProcessStatus {
    /// This process.
    pub node: NodeInfo,
    /// Its shared parts.
    pub shared: Node,
    /// Its member of the core.
    pub core: Option<Rc<ControlAuthority>>,
    /// Its part in the batch groups.
    pub store: Option<Rc<StoreNode>>,
}

impl ProcessStatus {
    /// The status at this moment.
    pub fn report(&self) -> StatusReport {
        let snapshot = self.shared.snapshots.borrow().clone();
        StatusReport {
            node: self.node.clone(),
            uptime_ms: self.shared.clock.now_ms(),
            core_view: match &self.core {
                Some(authority) => authority.core_view(),
                None => self.shared.directory.core_view(),
            },
            tables: self.tables(&snapshot),
            core: self
                .core
                .as_deref()
                .map(|authority| self.core_status(authority)),
            store: self
                .store
                .as_ref()
                .map(|store| store_status(store, &snapshot)),
        }
    }

    /// Which backends the process would choose for a request at this moment, and why.
    pub fn explain(&self, demand: &Demand) -> ChoiceReport {
        let exchange = self.shared.exchange.get();
        ChoiceReport {
            as_placer: self.shared.placement.explain(demand),
            as_sender: exchange.and_then(|exchange| exchange.explain(demand)),
        }
    }

    fn tables(&self, snapshot: &Snapshot) -> TablesStatus {
        let control = &snapshot.control;
        let now_ms = self.shared.clock.now_ms();
        let validated_since_ms = self.shared.poll_state.validated_since_ms();
        let (epoch, sequence) = snapshot.backends.version();
        TablesStatus {
            validated_ms_ago: validated_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms)),
            control: control.version,
            config: control.config.as_ref().map(|config| config.config_version),
            evacuated: control.evacuated.iter().cloned().collect(),
            backends_stamp: Stamp { epoch, sequence },
            backends: snapshot.backends.backends.len() as u64,
            senders: snapshot.senders.nodes.len() as u64,
            placers: snapshot.senders.placers.clone(),
            groups: control.numbered_groups().map(tables_group).collect(),
        }
    }

    fn core_status(&self, authority: &ControlAuthority) -> CoreStatus {
        let core = authority.core();
        let lease_ms = core
            .lease_until_ms()
            .saturating_sub(self.shared.clock.now_ms());
        CoreStatus {
            role: match core.role() {
                Role::Outside => CoreRole::Outside,
                Role::Follower => CoreRole::Follower,
                Role::Candidate => CoreRole::Candidate,
                Role::Primary => CoreRole::Primary,
            },
            epoch: core.epoch(),
            version: core.version(),
            lease_ms: (lease_ms > 0).then_some(lease_ms),
        }
    }
}

fn tables_group((group, tables): (GroupId, &Arc<BatchGroup>)) -> TablesGroup {
    TablesGroup {
        group,
        epoch: tables.epoch,
        primary: tables.primary,
    }
}

fn store_status(store: &StoreNode, snapshot: &Snapshot) -> StoreStatus {
    let groups = store.groups();
    let routes = snapshot
        .control
        .config
        .iter()
        .flat_map(|config| &config.routes);
    let batch_routes = routes.filter(|route| route.route_type == RouteType::Batch);
    StoreStatus {
        groups: groups
            .iter()
            .map(|group| group_status(store, group))
            .collect(),
        waiting_tokens: batch_routes
            .map(|route| route_tokens(store, &groups, route))
            .collect(),
    }
}

fn group_status(store: &StoreNode, group: &GroupEngine) -> StoreGroupStatus {
    store.read_group(group, |engine, now_ms| {
        let status = engine.status(now_ms);
        let (waiting_items, running_items) = engine.load();
        StoreGroupStatus {
            group: group.id,
            epoch: status.epoch,
            is_primary: status.primary,
            is_active: status.active,
            is_synced: status.synced,
            is_sure: engine.is_validated_primary(now_ms),
            jobs: engine.jobs() as u64,
            waiting_items: waiting_items as u64,
            running_items: running_items as u64,
            silent_members: status.silent,
        }
    })
}

fn route_tokens(store: &StoreNode, groups: &[Rc<GroupEngine>], route: &Route) -> RouteTokens {
    let waiting = |group: &Rc<GroupEngine>| {
        store.read_group(group, |engine, _| engine.waiting_tokens(&route.name))
    };
    RouteTokens {
        route: route.name.clone(),
        waiting: groups.iter().map(waiting).sum(),
        limit: route.max_queued_tokens,
    }
}

/// Serves the status on the internal port.
pub struct StatusHandler(pub ProcessStatus);

impl Handler for StatusHandler {
    fn request(&self, payload: Vec<u8>) -> HandlerFuture {
        let answer = match minicbor::decode(&payload) {
            Ok(Request::Status) => minicbor::to_vec(self.0.report()).map_err(|_| Refusal::Busy),
            Ok(Request::Choice(demand)) => {
                minicbor::to_vec(self.0.explain(&demand)).map_err(|_| Refusal::Busy)
            }
            Err(_) => Err(Refusal::Malformed),
        };
        Box::pin(std::future::ready(answer))
    }
}
