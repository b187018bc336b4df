//! Front doors as real processes: started, signalled by id, and ended whatever becomes of who started them.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The word by which the lab's program is started as a keeper; the id of its parent and the program follow.
pub const KEEPER: &str = "keep";

/// Where a front door's log goes on from life to life, in its folder.
const LOG: &str = "log.txt";

/// How the front doors' program is started.
#[derive(Debug, Clone)]
pub struct Launcher {
    program: PathBuf,
    /// The lab's program. Started as a keeper it asks the system to end it with the process that started it, and
    /// becomes the front door by `exec`.
    keeper: Option<PathBuf>,
}

impl Launcher {
    /// Starts this program, by way of the lab's own program if that is found beside the running one or above it.
    pub fn new(program: impl Into<PathBuf>) -> Launcher {
        let own = std::env::current_exe().unwrap_or_default();
        let found = own
            .ancestors()
            .skip(1)
            .take(2)
            .map(|folder| folder.join("fault-lab"))
            .find(|at| at.is_file());
        Launcher {
            program: program.into(),
            keeper: found,
        }
    }

    /// With this program of the lab as the keeper.
    pub fn kept_by(self, keeper: impl Into<PathBuf>) -> Launcher {
        Launcher {
            keeper: Some(keeper.into()),
            ..self
        }
    }

    /// The command that starts the program with this configuration and `$TMPDIR`. The process ends with the thread
    /// that starts it, if there is a keeper.
    pub fn command(&self, config: &Path, shared: &Path) -> Command {
        let mut command = match &self.keeper {
            None => Command::new(&self.program),
            Some(keeper) => {
                let mut command = Command::new(keeper);
                command
                    .arg(KEEPER)
                    .arg(std::process::id().to_string())
                    .arg(&self.program);
                command
            }
        };
        command
            .env("BALANCER_CONFIG", config)
            .env("TMPDIR", shared)
            .env_remove("BALANCER_ADMIN_ADDR")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY");
        command
    }
}

/// Becomes `program`, which ends when the process `parent` does. Returns only if that cannot be.
pub fn keep(parent: u32, program: &Path) -> io::Error {
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    // The parent may have ended before the request was made.
    let now = rustix::process::getppid().map(|pid| pid.as_raw_nonzero().get());
    if now != i32::try_from(parent).ok() {
        return io::Error::other("the process that started this one has ended");
    }
    Command::new(program).exec()
}

/// One life of a front door. Dropped, it is killed.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: Option<ExitStatus>,
}

impl Process {
    /// Starts a front door in `folder`: its configuration is `config.json` there, its log goes on in `log.txt`, and
    /// its `$TMPDIR` is empty, as nothing on disk survives a front door.
    ///
    /// # Errors
    /// The folder cannot be written, or the program cannot be started.
    pub fn start(launcher: &Launcher, folder: &Path) -> io::Result<Process> {
        let shared = folder.join("tmp");
        match fs::remove_dir_all(&shared) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => fs::create_dir_all(&shared)?,
        }
        let errors = File::options()
            .create(true)
            .append(true)
            .open(folder.join(LOG))?;
        let child = launcher
            .command(&folder.join("config.json"), &shared)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()?;
        Ok(Process { child, ended: None })
    }

    /// Its id in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended and been waited for: its id may be another's by then.
    ///
    /// # Errors
    /// The system refuses.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.ended()?.is_some() {
            return Ok(());
        }
        send_signal(self.child.id(), signal)
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// The system cannot tell.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait()?;
        }
        Ok(self.ended)
    }

    /// Kills it, and waits until it is gone.
    ///
    /// # Errors
    /// The system refuses.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::KILL)?;
        self.ended = Some(self.child.wait()?);
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// The last line of the log that front doors have written in this folder.
pub fn last_words(folder: &Path) -> String {
    let text = fs::read(folder.join(LOG)).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    text.lines()
        .next_back()
        .unwrap_or("it said nothing")
        .to_string()
}

/// Sends a signal to a process that the caller has started and not waited for.
///
/// # Errors
/// The system refuses.
pub fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(id).ok().and_then(Pid::from_raw);
    kill_process(id.ok_or(io::ErrorKind::InvalidInput)?, signal).map_err(Into::into)
}

/// Asks again and again until there is an answer or so much time has passed.
pub fn wait_for<T>(patience: Duration, mut ask: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + patience;
    loop {
        if let Some(answer) = ask() {
            return Some(answer);
        }
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Raises this process's limit on descriptors to what the system lets it have: relays need two for a connection.
pub fn raise_descriptor_limit() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    // Where it stays as it is, runs that need more say so.
    let _ = setrlimit(
        Resource::Nofile,
        Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        },
    );
}
