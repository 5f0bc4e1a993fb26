//! Child processes of the lab, killed when their handle is dropped.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process that runs this binary.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    exit_status: Option<ExitStatus>,
}

impl ManagedProcess {
    /// Starts this binary with the given arguments; its output is appended to `log`.
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

    /// Returns the name of the process in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status.is_none()
    }

    /// What the system says of the process: how it ended, or its state.
    pub fn describe(&mut self) -> String {
        if !self.is_running() {
            return format!("{}: ended, {:?}", self.name, self.exit_status);
        }
        let id = self.child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let state = status.lines().find(|line| line.starts_with("State")).unwrap_or("no state");
        let waits_in = std::fs::read_to_string(format!("/proc/{id}/wchan")).unwrap_or_default();
        format!("{}: {id}, {state}, waits in {waits_in:?}", self.name)
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if self.is_running() {
            let _ = self.child.kill();
            self.exit_status = self.child.wait().ok();
        }
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Tells the process that its settings have changed (SIGHUP).
    pub fn reload(&mut self) {
        self.signal("HUP");
    }

    /// Freezes the process (SIGSTOP).
    pub fn freeze(&mut self) {
        self.signal("STOP");
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&mut self) {
        self.signal("CONT");
    }

    fn signal(&mut self, signal: &str) {
        if self.is_running() {
            let id = self.child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }

    /// Waits until the process has exited; returns `None` if `timeout` passes first.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while self.is_running() && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.exit_status
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
