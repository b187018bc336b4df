//! The backends that staff have taken out, as files in `$TMPDIR`, so that what one process was told holds for
//! the one that replaces it, and for both while there are two.
//!
//! A ban is a file that bears the backend's name; that it is there says all. Nothing in it can be torn, and
//! two writers cannot undo each other's. A backend that was given back leaves a file whose age tells when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use std::{env, fs, io};

/// Most bytes of a backend's name: in hexadecimal it has to fit a file's name.
pub const NAME_LIMIT: usize = 100;
/// For how long it is kept that a backend came back: it is warm by then.
const KEPT: Duration = Duration::from_secs(120);
const OUT: &str = "out-";
const BACK: &str = "back-";

/// What the files say.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Standing {
    pub out: BTreeSet<String>,
    pub back: BTreeMap<String, SystemTime>,
}

pub struct Bans {
    folder: PathBuf,
}

impl Bans {
    /// The bans under this folder, which the processes share.
    pub fn new(shared: &Path) -> Bans {
        Bans { folder: shared.join("bans") }
    }

    pub fn read(&self) -> io::Result<Standing> {
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

    pub fn take_out(&self, uid: &str) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        fs::File::create(self.folder.join(format!("{OUT}{}", hex(uid)))).map(drop)
    }

    /// The note that it came back is there before the ban goes: no one sees it neither out nor cold.
    pub fn give_back(&self, uid: &str) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let back = self.folder.join(format!("{BACK}{}", hex(uid)));
        let made = fs::write(back, b"back");
        match fs::remove_file(self.folder.join(format!("{OUT}{}", hex(uid)))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => made,
        }
    }

    /// Removes what is of no use any more.
    pub fn tidy(&self) {
        for (uid, at) in self.read().unwrap_or_default().back {
            if at.elapsed().is_ok_and(|age| age > KEPT) {
                let _ = fs::remove_file(self.folder.join(format!("{BACK}{}", hex(&uid))));
            }
        }
    }
}

/// Where the processes of one front door meet. It bears the clients' address: where several front doors are given one
/// `$TMPDIR`, they stay apart.
pub fn shared_folder(listen: SocketAddr) -> PathBuf {
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
    let bytes: Option<Vec<u8>> =
        (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok()).collect();
    String::from_utf8(bytes?).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_one_process_was_told_another_reads() {
        let folder = env::temp_dir().join(format!("bans-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let (one, other) = (Bans::new(&folder), Bans::new(&folder));
        assert_eq!(other.read().expect("readable"), Standing::default());
        one.take_out("s-1/../x").expect("writable");
        one.take_out("s-1/../x").expect("twice is once");
        // What others left there is no ban.
        for stray in ["out-", "out-zz", "out-é", "half"] {
            fs::write(one.folder.join(stray), b"").expect("writable");
        }
        let mut out = other.read().expect("readable").out;
        out.remove("");
        assert_eq!(out.into_iter().collect::<Vec<_>>(), ["s-1/../x"]);
        other.give_back("s-1/../x").expect("writable");
        let standing = one.read().expect("readable");
        assert!(!standing.out.contains("s-1/../x") && standing.back.contains_key("s-1/../x"));
        fs::remove_dir_all(&folder).expect("removed");
    }
}
