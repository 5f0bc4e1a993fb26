//! The planned stop: SIGTERM or SIGINT.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The signal handler could not be installed.
#[derive(Debug, Snafu)]
#[snafu(display("cannot handle signals: {source}"))]
pub struct StopSignalError {
    source: std::io::Error,
}

/// Set once the process was asked to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    stopped: Arc<AtomicBool>,
}

impl StopSignal {
    /// Installs the handlers.
    pub fn install() -> Result<Self, StopSignalError> {
        let stopped = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, stopped.clone()).context(StopSignalSnafu)?;
        }
        Ok(StopSignal { stopped })
    }

    /// A signal that tests set themselves.
    pub fn manual() -> Self {
        StopSignal { stopped: Arc::new(AtomicBool::new(false)) }
    }

    /// Asks to stop.
    pub fn set(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Whether the process was asked to stop.
    pub fn is_set(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// The flag, for loops that check it.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.stopped.clone()
    }

    /// Blocks until the process was asked to stop.
    pub fn wait(&self) {
        while !self.is_set() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Set each time the process was told that its settings changed (SIGHUP).
#[derive(Clone, Debug, Default)]
pub struct ReloadSignal {
    raised: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Installs the handler.
    pub fn install() -> Result<Self, StopSignalError> {
        let raised = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, raised.clone()).context(StopSignalSnafu)?;
        Ok(ReloadSignal { raised })
    }

    /// Whether it was raised since the last call.
    pub fn take(&self) -> bool {
        self.raised.swap(false, Ordering::SeqCst)
    }
}
