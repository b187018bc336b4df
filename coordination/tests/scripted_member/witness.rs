//! Promises and lease grants of a witness.

use super::{ScriptedMember, STARTED_AT};
use alderhollow_coordination::replica::interface::{Epoch, EpochRecord, MemberId, Millis};
use alderhollow_coordination::replica::message::{Heartbeat, Install, Message, Prepare, StateCopy};
use alderhollow_coordination::replica::settings::Timings;

const PRIMARY: MemberId = 1;
const CANDIDATE: MemberId = 2;

/// A witness of epoch 1, whose primary is member 1.
struct Witness {
    member: ScriptedMember,
}

impl Witness {
    fn in_epoch_1() -> Witness {
        let mut member = ScriptedMember::third_seed();
        let witnesses = member.found_core();
        let replicas = vec![PRIMARY, member.replica.member().id];
        let record = EpochRecord {
            number: 1,
            primary: PRIMARY,
            replicas,
            witnesses,
            ..EpochRecord::default()
        };
        let state = StateCopy {
            version: 0,
            snapshot: Vec::new().into(),
            pending: None,
        };
        let install = Install {
            record,
            state_epoch: 0,
            version: 0,
            state: Some(state),
        };
        let mut witness = Witness { member };
        let responses = witness.responses(STARTED_AT, PRIMARY, Message::Install(Box::new(install)));
        assert!(
            matches!(responses[..], [Message::Installed(_)]),
            "{responses:?}"
        );
        witness
    }

    /// Delivers a message and completes all disk writes; returns what the witness sends.
    fn responses(&mut self, now: Millis, from: MemberId, message: Message) -> Vec<Message> {
        let mut sent = self.member.deliver(now, from, message);
        sent.extend(self.member.complete_writes(now));
        sent
    }

    /// Whether the witness promises this epoch to a candidate.
    fn is_promised(
        &mut self,
        now: Millis,
        from: MemberId,
        number: Epoch,
        released_epoch: Option<Epoch>,
    ) -> bool {
        let prepare = Prepare {
            number,
            released_epoch,
            state_epoch: Some(1),
            version: 0,
        };
        let responses = self.responses(now, from, Message::Prepare(prepare));
        match responses.as_slice() {
            [Message::Promise(_)] => true,
            [Message::Rejection(_)] => false,
            other => panic!("neither a promise nor a rejection: {other:?}"),
        }
    }

    /// Delivers a heartbeat of the primary and checks that it is granted.
    fn grant(&mut self, now: Millis) {
        let heartbeat = Heartbeat {
            epoch: 1,
            sent_at: now,
            committed: 0,
        };
        let responses = self.responses(now, PRIMARY, Message::Heartbeat(heartbeat));
        assert!(
            matches!(&responses[..], [Message::HeartbeatAnswer(answer)] if answer.granted),
            "{responses:?}"
        );
    }
}

/// A candidate that won its pre-vote before the grant sends its prepare after it.
#[test]
fn a_witness_promises_to_no_other_candidate_before_its_grant_expires() {
    let grant_ms = Timings::default().grant_ms;
    let mut witness = Witness::in_epoch_1();
    witness.grant(STARTED_AT);
    assert!(!witness.is_promised(STARTED_AT, CANDIDATE, 2, None));
    assert!(!witness.is_promised(STARTED_AT + grant_ms - 1, CANDIDATE, 2, None));
    assert!(witness.is_promised(STARTED_AT + grant_ms, CANDIDATE, 2, None));
}

#[test]
fn a_witness_promises_at_once_to_the_lease_holder_and_to_its_successor() {
    let mut witness = Witness::in_epoch_1();
    witness.grant(STARTED_AT);
    assert!(witness.is_promised(STARTED_AT, PRIMARY, 2, None));
    let mut witness = Witness::in_epoch_1();
    witness.grant(STARTED_AT);
    assert!(!witness.is_promised(STARTED_AT, CANDIDATE, 2, Some(0)));
    assert!(witness.is_promised(STARTED_AT, CANDIDATE, 2, Some(1)));
}

#[test]
fn a_witness_rejects_epochs_below_its_promise() {
    let mut witness = Witness::in_epoch_1();
    let grant_ms = Timings::default().grant_ms;
    witness.grant(STARTED_AT);
    assert!(witness.is_promised(STARTED_AT + grant_ms, CANDIDATE, 5, None));
    assert!(!witness.is_promised(STARTED_AT + grant_ms, PRIMARY, 4, None));
    assert!(!witness.is_promised(STARTED_AT + grant_ms, PRIMARY, 5, None));
}
