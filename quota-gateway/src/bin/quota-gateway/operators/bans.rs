//! The backends that staff have taken out, as files in `$TMPDIR`, so that what one process was told holds for
//! the one that replaces it, and for both while there are two.
//!
//! A ban is a file that bears the backend's name; that it is there says all. Nothing in it can be torn, and
//! two writers cannot undo each other's. A backend that was given back leaves a file whose age tells when.

use crate::errors::text;
use rustix::fs::inotify::{self, CreateFlags, WatchFlags};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use std::{env, fs, io};
use thiserror::Error;
use tokio::net::unix::pipe;
use tokio::time::sleep;

/// Most bytes of a backend's name: in hexadecimal it has to fit a file's name.
pub(crate) const NAME_LIMIT: usize = 100;
/// For how long it is kept that a backend came back: it is warm by then.
const KEPT: Duration = Duration::from_secs(120);
/// How often the files are looked at where the system cannot tell of changes: both processes must know of each
/// within half a second.
const LOOK: Duration = Duration::from_millis(100);
const OUT: &str = "out-";
const BACK: &str = "back-";

/// Why a backend is not out or back, or not for every process of this front door.
#[derive(Error, Debug)]
pub(crate) enum BanError {
    #[error("no backend has this ID; look it up in discovery's list")]
    NoBackend,
    #[error(
        "out here, but it cannot be kept for the next process: {}; make room in $TMPDIR, or let it be written, and \
         call again",
        text(.0)
    )]
    OutHereOnly(io::Error),
    #[error(
        "back here, but it cannot be kept for the next process: {}; make room in $TMPDIR, or let it be written, then \
         call maint-on and maint-off",
        text(.0)
    )]
    BackHereOnly(io::Error),
}

/// What the files say.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Standing {
    pub out: BTreeSet<String>,
    pub back: BTreeMap<String, SystemTime>,
}

pub(crate) struct Bans {
    folder: PathBuf,
}

impl Bans {
    /// The bans under this folder, which the processes share.
    pub(crate) fn new(shared: &Path) -> Bans {
        Bans {
            folder: shared.join("bans"),
        }
    }

    pub(crate) fn read(&self) -> io::Result<Standing> {
        let mut standing = Standing::default();
        let entries = match fs::read_dir(&self.folder) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(standing),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let name = entry.file_name();
            let name = name.to_str().unwrap_or_default();
            if let Some(uid) = name.strip_prefix(OUT).and_then(unhex) {
                standing.out.insert(uid);
            } else if let Some(uid) = name.strip_prefix(BACK).and_then(unhex) {
                // Another process may have removed it since.
                if let Ok(at) = entry.metadata().and_then(|data| data.modified()) {
                    standing.back.insert(uid, at);
                }
            }
        }
        Ok(standing)
    }

    pub(crate) fn take_out(&self, uid: &str) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        fs::File::create(self.folder.join(format!("{OUT}{}", hex(uid)))).map(drop)
    }

    /// The note that it came back is there before the ban goes: no one sees it neither out nor cold.
    pub(crate) fn give_back(&self, uid: &str) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let back = self.folder.join(format!("{BACK}{}", hex(uid)));
        let made = fs::write(back, b"back");
        match fs::remove_file(self.folder.join(format!("{OUT}{}", hex(uid)))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => made,
        }
    }

    /// Tells of changes to the files from here on.
    pub(crate) fn changes(&self) -> Changes {
        let made = fs::create_dir_all(&self.folder);
        let flags = CreateFlags::CLOEXEC | CreateFlags::NONBLOCK;
        // The system's queue of changes is read as a pipe is.
        let events = made
            .and_then(|()| pipe::Receiver::from_owned_fd_unchecked(inotify::init(flags)?))
            .ok();
        let mut changes = Changes {
            folder: self.folder.clone(),
            events,
            watched: false,
        };
        changes.watch();
        changes
    }

    /// Removes what is of no use any more.
    pub(crate) fn tidy(&self) {
        for (uid, at) in self.read().unwrap_or_default().back {
            if at.elapsed().is_ok_and(|age| age > KEPT) {
                let _ = fs::remove_file(self.folder.join(format!("{BACK}{}", hex(&uid))));
            }
        }
    }
}

/// Changes to the files, as the system tells of them: a program with nothing to do is not woken to look.
pub(crate) struct Changes {
    folder: PathBuf,
    events: Option<pipe::Receiver>,
    /// Whether the system was last found to watch the folder.
    watched: bool,
}

impl Changes {
    /// The folder may have been removed and made again: then it is another one for the system.
    fn watch(&mut self) {
        let kinds = WatchFlags::CREATE
            | WatchFlags::CLOSE_WRITE
            | WatchFlags::DELETE
            | WatchFlags::MOVED_FROM
            | WatchFlags::MOVED_TO
            | WatchFlags::DELETE_SELF
            | WatchFlags::MOVE_SELF;
        let watch = |events: &pipe::Receiver| inotify::add_watch(events, &self.folder, kinds);
        self.watched = self
            .events
            .as_ref()
            .is_some_and(|events| watch(events).is_ok());
    }

    /// Waits until something may have changed since the last call.
    pub(crate) async fn next(&mut self) {
        match self.events.as_ref().filter(|_| self.watched) {
            Some(events) if take(events).await.is_ok() => {}
            _ => sleep(LOOK).await,
        }
        self.watch();
    }
}

/// Waits for events and takes all there are. What they say does not matter: the files do.
async fn take(events: &pipe::Receiver) -> io::Result<()> {
    events.readable().await?;
    let mut some = [0; 4096];
    loop {
        match events.try_read(&mut some) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Where the processes of one front door meet. It bears the clients' address: where several front doors are given one
/// `$TMPDIR`, they stay apart.
pub(crate) fn shared_folder(listen: SocketAddr) -> PathBuf {
    let folder = env::temp_dir().join(format!("brassport-{listen}").replace([':', '[', ']'], "-"));
    // What cannot be made is missed, and reported, where it is used.
    let _ = fs::create_dir_all(&folder);
    folder
}

fn hex(uid: &str) -> String {
    uid.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Option<String> {
    if !digits.is_ascii() || digits.len() % 2 != 0 {
        return None;
    }
    let bytes: Option<Vec<u8>> = (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok())
        .collect();
    String::from_utf8(bytes?).ok()
}

#[cfg(test)]
mod tests;
