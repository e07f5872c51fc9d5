//! A real process: started, killed, frozen, ended by its id; killed where the run ends early.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// A process gets so long to end by itself.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that runs, or does not for now.
pub struct Program {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// Starts a program with a settings file; its log goes beside that.
    pub fn start(program: PathBuf, settings: PathBuf) -> anyhow::Result<Program> {
        let log = settings.with_extension("log");
        let mut started = Program {
            program,
            settings,
            log,
            child: None,
        };
        started.restart()?;
        Ok(started)
    }

    /// Starts it again.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .with_context(|| format!("starting {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Its id, where it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Where its log is.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            // An error: it has ended.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its end after SIGTERM, and kills it where that does not come.
    pub fn wait(&mut self) {
        let started = Instant::now();
        while started.elapsed() < ANSWER_TIMEOUT {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => std::thread::sleep(POLL_INTERVAL),
                _ => break,
            }
        }
        self.kill();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
