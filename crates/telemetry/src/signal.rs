//! Process signals: SIGTERM and SIGINT request a planned stop, SIGHUP a reload of the settings.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A signal handler could not be installed.
#[derive(Debug, Snafu)]
#[snafu(display("cannot install a signal handler: {source}"))]
pub struct StopSignalError {
    source: std::io::Error,
}

/// Flag that is set when the process is asked to stop, by SIGTERM or SIGINT.
#[derive(Clone, Debug)]
pub struct StopSignal {
    stopped: Arc<AtomicBool>,
}

impl StopSignal {
    /// Installs the signal handlers. SIGHUP, which would end the process as well, is handled and ignored;
    /// a process that reloads its settings installs a [`ReloadSignal`] too.
    pub fn install() -> Result<Self, StopSignalError> {
        let stopped = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, stopped.clone()).context(StopSignalSnafu)?;
        }
        ReloadSignal::install()?;
        Ok(StopSignal { stopped })
    }

    /// Creates a flag without signal handlers, for tests.
    pub fn manual() -> Self {
        StopSignal { stopped: Arc::new(AtomicBool::new(false)) }
    }

    /// Requests the stop.
    pub fn set(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Whether a stop has been requested.
    pub fn is_set(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// The shared flag, for code that polls it.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.stopped.clone()
    }

    /// Blocks until a stop is requested.
    pub fn wait(&self) {
        while !self.is_set() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Flag that is set by SIGHUP, which requests a reload of the settings.
#[derive(Clone, Debug, Default)]
pub struct ReloadSignal {
    requested: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Installs the signal handler.
    pub fn install() -> Result<Self, StopSignalError> {
        let requested = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, requested.clone()).context(StopSignalSnafu)?;
        Ok(ReloadSignal { requested })
    }

    /// Whether a reload was requested since the previous call; clears the flag.
    pub fn take(&self) -> bool {
        self.requested.swap(false, Ordering::SeqCst)
    }
}
