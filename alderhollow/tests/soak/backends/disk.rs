//! Watches whether the disk under the tier stalls. It is shared with whatever else the machine does, and a stall is trouble
//! on all machines of the tier at once: a core whose members can't write has no primary.

use super::record::Span;
use super::world::World;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A write that takes so long counts as a stall. Members of the core give each other 500 ms.
const STALL: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(100);
const FILE: &str = "disk-watch";

/// Writes and syncs a few bytes again and again until `end`.
pub(crate) async fn watch(world: Rc<World>, end: Instant) {
    let file = world.tier.borrow().folder().join(FILE);
    while Instant::now() < end {
        let from = Instant::now();
        let written = file.clone();
        let result = tokio::task::spawn_blocking(move || write_once(&written)).await;
        result
            .expect("it ends")
            .expect("the disk takes a few bytes");
        let took = from.elapsed();
        if took >= STALL {
            let until = Some(Instant::now());
            let stall = Span { from, until };
            world.record.borrow_mut().disk_stalls.push(stall);
            world.note(format!("the disk stalled for {} ms", took.as_millis()));
        }
        sleep(PAUSE).await;
    }
}

fn write_once(path: &Path) -> io::Result<()> {
    let mut file = File::create(PathBuf::from(path))?;
    file.write_all(b"watch")?;
    file.sync_all()
}
