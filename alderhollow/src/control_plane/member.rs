//! Opens the core member on its disk and starts the reader of the platform's backend list.

use crate::control_state::ControlState;
use crate::core::authority::ControlAuthority;
use crate::core::contact::Contact;
use crate::core::Core;
use crate::discovery::platform::Platform;
use crate::discovery::reader::Reader;
use crate::distribution::server::PublishedBackends;
use crate::node::{internal_address, random_seed, Node};
use crate::role::RoleError;
use crate::settings::Settings;
use alderhollow_coordination::replica::interface::Recovered;
use alderhollow_coordination::replica::settings::{Settings as ReplicaSettings, Timings};
use alderhollow_model::identity::{Address, Role};
use alderhollow_storage::{FolderDisk, Journal, Writer};
use std::path::Path;
use std::rc::Rc;
use tokio::sync::watch;

/// Opens the member with the state recovered from its folder.
///
/// # Errors
/// The folder can't be used, or the state in it is damaged.
pub fn open(
    folder: &Path,
    settings: &Settings,
    node: &Node,
    role: Role,
) -> Result<Rc<ControlAuthority>, RoleError> {
    let folder_error = |source| RoleError::Folder {
        path: folder.to_path_buf(),
        source,
    };
    let mut disk = FolderDisk::new(folder).map_err(folder_error)?;
    let (journal, found) = Journal::open(&mut disk, random_seed())?;
    let recovered = Recovered {
        snapshot: found.snapshot,
        records: found.records,
    };
    let core = Core::start(
        replica_settings(settings, role),
        recovered,
        ControlState::default(),
        Writer::start(journal)?,
        node.network.clone(),
        node.clock,
        node.changes.clone(),
    )?;
    Ok(Rc::new(ControlAuthority::new(
        core,
        node.clock,
        settings.tolerate.machines,
    )))
}

fn replica_settings(settings: &Settings, role: Role) -> ReplicaSettings {
    let contact = Contact {
        internal: Address(internal_address(settings)),
        control: settings.listen.control.map(Address),
        is_dedicated: role == Role::Core,
    };
    ReplicaSettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        contact: contact.encode(),
        first_start: settings.first_start,
        tolerate_machines: settings.tolerate.machines,
        timings: Timings::default(),
        seed: random_seed(),
    }
}

/// Starts the reader of the platform's backend list, if the platform's address is set.
pub fn start_backend_reader(
    settings: &Settings,
    node: &Node,
    authority: Rc<ControlAuthority>,
    published: watch::Sender<Option<PublishedBackends>>,
) {
    let Some(address) = settings.cloud.address else {
        log::warn!("no address of the platform is set: no backends will be known");
        return;
    };
    let reader = Reader {
        platform: Platform::new(address),
        rate_per_s: settings.cloud.rate_per_s,
        authority,
        clock: node.clock,
        published,
        changes: node.changes.clone(),
    };
    tokio::task::spawn_local(reader.run(random_seed()));
}
