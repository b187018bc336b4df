//! Tests of a single member whose messages and disk writes are scripted.

mod candidate;
mod witness;

use alderhollow_coordination::replica::interface::{
    Input, Member, MemberId, Millis, Output, Recovered, StateMachine, Token,
};
use alderhollow_coordination::replica::message::Message;
use alderhollow_coordination::replica::settings::{Settings, Timings};
use alderhollow_coordination::replica::Replica;

/// Time at which the member starts.
const STARTED_AT: Millis = 100_000;

/// A state machine without state.
#[derive(Default)]
struct EmptyState;

impl StateMachine for EmptyState {
    fn apply(&mut self, _: &[u8]) {}
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
    fn restore(&mut self, _: &[u8]) {}
}

/// A member whose disk writes complete when the test says so.
struct ScriptedMember {
    replica: Replica<EmptyState>,
    pending_writes: Vec<Token>,
}

fn member(id: MemberId) -> Member {
    Member {
        id,
        node: format!("node-{id}"),
        zone: String::new(),
        contact: Vec::new(),
    }
}

impl ScriptedMember {
    /// The third seed of a core of three, with an empty disk, at the first start of the system.
    fn third_seed() -> ScriptedMember {
        let settings = Settings {
            node: "node-3".into(),
            zone: String::new(),
            contact: Vec::new(),
            first_start: true,
            tolerate_machines: 1,
            timings: Timings::default(),
            seed: 7,
        };
        let replica = Replica::open(settings, Recovered::default(), EmptyState, STARTED_AT)
            .expect("an empty disk");
        let mut member = ScriptedMember {
            replica,
            pending_writes: Vec::new(),
        };
        member.handle_input(STARTED_AT, Input::Tick);
        member
    }

    /// Founds the core of members 1, 2 and this one; returns the witnesses.
    fn found_core(&mut self) -> Vec<Member> {
        let mut witnesses = vec![member(1), member(2), self.replica.member().clone()];
        witnesses.sort();
        self.handle_input(
            STARTED_AT,
            Input::Found {
                witnesses: witnesses.clone(),
            },
        );
        self.complete_writes(STARTED_AT);
        witnesses
    }

    /// Passes an input to the member and returns the messages that it sends. Disk writes stay pending.
    fn handle_input(&mut self, now: Millis, input: Input) -> Vec<Message> {
        let mut outputs = Vec::new();
        self.replica.handle(now, input, &mut outputs);
        let mut sent = Vec::new();
        for output in outputs {
            match output {
                Output::Persist { token, .. } => self.pending_writes.push(token),
                Output::Send { message, .. } => sent.push(message),
                _ => {}
            }
        }
        sent
    }

    /// Delivers a message. Disk writes stay pending.
    fn deliver(&mut self, now: Millis, from: MemberId, message: Message) -> Vec<Message> {
        self.handle_input(
            now,
            Input::Message {
                from: member(from),
                message,
            },
        )
    }

    /// Completes all pending disk writes and returns the messages sent then.
    fn complete_writes(&mut self, now: Millis) -> Vec<Message> {
        let mut sent = Vec::new();
        while !self.pending_writes.is_empty() {
            let token = self.pending_writes.remove(0);
            sent.extend(self.handle_input(now, Input::Persisted(token)));
        }
        sent
    }
}
