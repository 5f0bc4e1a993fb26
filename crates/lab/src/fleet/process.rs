//! Processes started by the lab, ended by their id when they go out of scope.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(5);

/// A process of this binary.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    exit_status: Option<ExitStatus>,
}

impl ManagedProcess {
    /// Starts this binary with other arguments; its output goes to `log`.
    pub fn start(name: &str, arguments: &[String], log: &Path) -> std::io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(ManagedProcess { name: name.to_owned(), child, exit_status: None })
    }

    /// Its name in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status.is_none()
    }

    /// Ends it at once (SIGKILL).
    pub fn kill(&mut self) {
        if self.is_running() {
            let _ = self.child.kill();
            self.exit_status = self.child.wait().ok();
        }
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Freezes it (SIGSTOP).
    pub fn freeze(&mut self) {
        self.signal("STOP");
    }

    /// Wakes it (SIGCONT).
    pub fn resume(&mut self) {
        self.signal("CONT");
    }

    fn signal(&mut self, signal: &str) {
        if self.is_running() {
            let id = self.child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }

    /// Waits until it has ended; `None` after the limit.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while self.is_running() && Instant::now() < deadline {
            std::thread::sleep(POLL);
        }
        self.exit_status
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
