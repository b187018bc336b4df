//! Event streams: how a backend writes them and how a client reads them.
//!
//! The data of an event follows from the request's id and the event's number alone, so that any backend can go on with a
//! stream, and a client can tell a whole stream of its own from anything else.

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, from 1 on.
    pub id: u64,
    /// Its data, lines parted by line feeds.
    pub data: String,
}

/// Data of event `id` of the answer to `request_id`.
pub fn data_of(request_id: &str, id: u64) -> String {
    format!("{request_id} piece {id}")
}

/// Event `id` of the answer to `request_id`, as a backend sends it.
pub fn encode(request_id: &str, id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", data_of(request_id, id))
}

/// The whole text of an answer of `count` events: the data of all, parted by line feeds.
pub fn whole_text(request_id: &str, count: u64) -> String {
    let pieces: Vec<String> = (1..=count).map(|id| data_of(request_id, id)).collect();
    pieces.join("\n")
}

/// Reads a stream that comes in pieces.
#[derive(Debug, Default)]
pub struct EventReader {
    unread: Vec<u8>,
}

impl EventReader {
    /// Takes a piece, and gives the events that it completes.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Event> {
        self.unread.extend_from_slice(piece);
        let mut events = Vec::new();
        while let Some(end) = find_blank_line(&self.unread) {
            let block: Vec<u8> = self.unread.drain(..end).collect();
            events.extend(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether the stream stands in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        !self.unread.is_empty()
    }
}

/// End of the first block that an empty line closes.
fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|start| start + 2)
}

fn parse(block: &str) -> Option<Event> {
    let mut id = None;
    let mut data = Vec::new();
    for line in block.lines() {
        match line.split_once(": ") {
            Some(("id", value)) => id = value.parse().ok(),
            Some(("data", value)) => data.push(value),
            _ => {}
        }
    }
    Some(Event {
        id: id?,
        data: data.join("\n"),
    })
}
