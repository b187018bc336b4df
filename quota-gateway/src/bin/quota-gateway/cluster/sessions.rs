//! How the connection pool reaches the session classifier of the cluster node: the pool requests a connection policy
//! for each customer, and reports each attempt with its outcome.

use crate::backends::sessions::{Attempt, Hold, Sessions};
use crate::cluster::handle::Cluster;
use gateway_cluster::sessions::verdicts::ConnectionPolicy;
use quota_gateway::CustomerId;

impl Sessions for Cluster {
    /// The policy for a customer's connections. It is [`Hold::Any`] where verdicts are only observed, and while the node
    /// is not running.
    fn hold(&self, customer: CustomerId) -> Hold {
        let policies_apply = self
            .settings
            .borrow()
            .sessions
            .is_some_and(|sessions| sessions.pool);
        if !policies_apply {
            return Hold::Any;
        }
        match self.with_node(|node, now, _| node.connection_policy(now, customer)) {
            Some(ConnectionPolicy::Run) => Hold::Run,
            Some(ConnectionPolicy::Private) => Hold::Private,
            Some(ConnectionPolicy::Any) | None => Hold::Any,
        }
    }

    /// Passes one attempt to the classifier as evidence.
    fn note(&self, attempt: Attempt) {
        let Attempt {
            customer,
            server,
            conn,
            outcome,
        } = attempt;
        self.with_node(|node, now, _| node.record_request(now, customer, server, conn, outcome));
    }
}
