//! This gateway as a member of the cluster of gateways, behind the setting key `fleet`. Without that key there is no
//! socket, no task and no allocation.
//!
//! The crate `gateway-cluster` decides (membership, leadership, shard map, sessions) and performs no I/O. Here are the
//! socket, the timer, the settings, the log lines and the answers to operators' calls:
//!
//! | module | job |
//! | --- | --- |
//! | `handle` | the handle [`Cluster`] that the rest of the program holds: settings replacement, partition status |
//! | `driver` | the task that owns the UDP socket and the timer, and limits the rate of received datagrams |
//! | `peer_addresses` | names and addresses of the peers, by peer ID |
//! | `sessions` | how the connection pool reaches the session classifier |
//! | `answers` | the JSON answers to operators' calls |
//! | `customer_id` | customer IDs as operators write them |
//! | `log_events` | one function for each event in the log |
//! | `error` | the errors, with what an operator can do about each |
//! | `document` | the keys of `fleet` as the configuration file has them |
//! | `settings` | the checked settings that are made of the document |

mod answers;
mod customer_id;
mod document;
mod driver;
mod error;
mod handle;
mod log_events;
mod peer_addresses;
mod sessions;
mod settings;

pub(crate) use document::ClusterDocument;
pub(crate) use error::ClusterError;
pub(crate) use handle::Cluster;
pub(crate) use settings::{ClusterSettings, ClusterSettingsError};
