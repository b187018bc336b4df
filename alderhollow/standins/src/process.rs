//! Processes of the tier that a trial starts, and ends again.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "ALDERHOLLOW_BOOT";
/// Time between two looks whether a process has ended.
const POLL: Duration = Duration::from_millis(20);

/// One process. It is killed when this is dropped.
pub struct TierProcess {
    name: String,
    child: Child,
}

impl TierProcess {
    /// Starts `binary subcommand` with the settings file `settings`; its output goes to the file `log`.
    ///
    /// # Errors
    /// The program cannot be started, or its log cannot be made.
    pub fn start(
        name: &str,
        binary: &Path,
        subcommand: &str,
        settings: &Path,
        log: &Path,
    ) -> io::Result<TierProcess> {
        let mut command = Command::new(binary);
        command.arg(subcommand);
        TierProcess::start_command(name, command, settings, log)
    }

    /// Starts `command`, which names the program, its subcommand and options, with the settings file `settings`; its
    /// output goes to the file `log`.
    ///
    /// # Errors
    /// The program cannot be started, or its log cannot be made.
    pub fn start_command(
        name: &str,
        mut command: Command,
        settings: &Path,
        log: &Path,
    ) -> io::Result<TierProcess> {
        let output = File::create(log)?;
        let child = command
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(TierProcess {
            name: name.to_string(),
            child,
        })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// The process cannot be waited for.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Asks it to end; an error if it is gone.
    ///
    /// # Errors
    /// It is gone.
    pub fn terminate(&mut self) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        Ok(kill_process(Pid::from_child(&self.child), Signal::TERM)?)
    }

    /// Tells it that its settings have changed; an error if it is gone.
    ///
    /// # Errors
    /// It is gone.
    pub fn hang_up(&self) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), Signal::HUP)?)
    }

    /// Halts it until [`TierProcess::resume`]; an error if it is gone.
    ///
    /// # Errors
    /// It is gone.
    pub fn pause(&self) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), Signal::STOP)?)
    }

    /// Lets it go on after a pause; an error if it is gone.
    ///
    /// # Errors
    /// It is gone.
    pub fn resume(&self) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), Signal::CONT)?)
    }

    /// Kills it at once.
    ///
    /// # Errors
    /// It cannot be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Waits until it has ended, and kills it after `grace`. Gives the status if it ended by itself.
    ///
    /// # Errors
    /// The process cannot be waited for.
    pub async fn wait(&mut self, grace: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + grace;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                self.kill()?;
                return Ok(None);
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for TierProcess {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            // Nothing more can be done if this fails.
            let _ = self.kill();
        }
    }
}
