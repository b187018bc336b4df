//! Promises and grants.

use super::{Hand, START};
use alderhollow_coordination::replica::interface::{Epoch, EpochRecord, MemberId, Millis};
use alderhollow_coordination::replica::message::{Heartbeat, Install, Message, Prepare, StateCopy};
use alderhollow_coordination::replica::settings::Timings;

const PRIMARY: MemberId = 1;
const CANDIDATE: MemberId = 2;

/// A witness of epoch 1, which member 1 leads.
struct Witness {
    hand: Hand,
}

impl Witness {
    fn of_epoch_1() -> Witness {
        let mut hand = Hand::third_seed();
        let witnesses = hand.found();
        let replicas = vec![PRIMARY, hand.replica.member().id];
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
        let mut witness = Witness { hand };
        let answers = witness.answers(START, PRIMARY, Message::Install(Box::new(install)));
        assert!(
            matches!(answers[..], [Message::Installed(_)]),
            "{answers:?}"
        );
        witness
    }

    /// What it sends once its disk has written.
    fn answers(&mut self, now: Millis, from: MemberId, message: Message) -> Vec<Message> {
        let mut sent = self.hand.hear(now, from, message);
        sent.extend(self.hand.write_all(now));
        sent
    }

    /// Whether a candidate is promised this number.
    fn promises(
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
        let answers = self.answers(now, from, Message::Prepare(prepare));
        match answers.as_slice() {
            [Message::Promise(_)] => true,
            [Message::Rejection(_)] => false,
            other => panic!("neither a promise nor a refusal: {other:?}"),
        }
    }

    /// Has the primary's heartbeat granted.
    fn grant(&mut self, now: Millis) {
        let heartbeat = Heartbeat {
            epoch: 1,
            sent_at: now,
            committed: 0,
        };
        let answers = self.answers(now, PRIMARY, Message::Heartbeat(heartbeat));
        assert!(
            matches!(&answers[..], [Message::HeartbeatAnswer(answer)] if answer.granted),
            "{answers:?}"
        );
    }
}

/// A candidate whose pre-vote was won before the grant comes with its question after it.
#[test]
fn a_witness_promises_to_nobody_else_until_its_grant_has_run_out() {
    let grant_ms = Timings::default().grant_ms;
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(!witness.promises(START, CANDIDATE, 2, None));
    assert!(!witness.promises(START + grant_ms - 1, CANDIDATE, 2, None));
    assert!(witness.promises(START + grant_ms, CANDIDATE, 2, None));
}

#[test]
fn a_witness_promises_at_once_to_the_holder_of_the_lease_and_to_its_chosen_successor() {
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(witness.promises(START, PRIMARY, 2, None));
    let mut witness = Witness::of_epoch_1();
    witness.grant(START);
    assert!(!witness.promises(START, CANDIDATE, 2, Some(0)));
    assert!(witness.promises(START, CANDIDATE, 2, Some(1)));
}

#[test]
fn a_witness_takes_part_in_no_lower_epoch_than_it_promised() {
    let mut witness = Witness::of_epoch_1();
    let grant_ms = Timings::default().grant_ms;
    witness.grant(START);
    assert!(witness.promises(START + grant_ms, CANDIDATE, 5, None));
    assert!(!witness.promises(START + grant_ms, PRIMARY, 4, None));
    assert!(!witness.promises(START + grant_ms, PRIMARY, 5, None));
}
