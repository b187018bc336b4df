//! Read-only inspection of a member's disk, for operators.

use super::durable::Durable;
use super::interface::{
    Epoch, EpochRecord, MemberId, Recovered, RecoveryError, StateMachine, Version,
};

/// The durable state of a member, decoded from its disk.
#[derive(Debug, Clone)]
pub struct MemberImage<S> {
    /// Identity of the disk; `None` if it has none yet.
    pub id: Option<MemberId>,
    /// Whether the disk was initialised at the first start of the whole system.
    pub founder: bool,
    /// The promised epoch: the member takes part in no lower one.
    pub promised: Epoch,
    /// The newest epoch record that it has accepted.
    pub record: Option<EpochRecord>,
    /// Version of the committed state.
    pub version: Version,
    /// Whether a further command is on disk that is not known to be committed.
    pub has_pending_command: bool,
    /// The committed state.
    pub state: S,
}

/// Decodes the contents of a disk. `state` is the empty state.
///
/// # Errors
/// The snapshot or a record can't be decoded.
pub fn read_member<S: StateMachine + Clone>(
    recovered: &Recovered,
    state: S,
) -> Result<MemberImage<S>, RecoveryError> {
    let durable = Durable::recover(recovered, state)?;
    Ok(MemberImage {
        id: durable.id,
        founder: durable.founder,
        promised: durable.promised,
        record: durable.record.clone(),
        version: durable.version(),
        has_pending_command: durable.accepted_version() > durable.version(),
        state: durable.state().clone(),
    })
}
