//! The replicated state of the simulation: a list of distinct numbers. A request whose number is in the list already is
//! answered without a command.

use alderhollow_coordination::replica::interface::{Decision, StateMachine};

/// The numbers in the order of their commands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct CommandLog {
    pub entries: Vec<u32>,
}

pub(crate) fn encode_request(number: u32) -> Vec<u8> {
    number.to_be_bytes().to_vec()
}

fn number_in(bytes: &[u8]) -> u32 {
    u32::from_be_bytes(bytes.try_into().expect("four bytes"))
}

impl StateMachine for CommandLog {
    fn decide(&self, request: &[u8]) -> Decision {
        match self.entries.contains(&number_in(request)) {
            true => Decision::Answer(request.to_vec()),
            false => Decision::Replicate(request.to_vec()),
        }
    }

    fn apply(&mut self, command: &[u8]) {
        self.entries.push(number_in(command));
    }

    fn snapshot(&self) -> Vec<u8> {
        self.entries
            .iter()
            .flat_map(|entry| entry.to_be_bytes())
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.entries = snapshot.chunks_exact(4).map(number_in).collect();
    }
}
