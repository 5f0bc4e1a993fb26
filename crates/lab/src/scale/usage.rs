//! CPU time and memory of processes, read from `/proc`.

use procfs::process::Process;

/// Resource usage of one process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU time (user and system) so far, seconds.
    pub cpu_s: f64,
    /// Current resident memory, bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    pub fn of(id: u32) -> Option<Usage> {
        let stat = Process::new(i32::try_from(id).ok()?).ok()?.stat().ok()?;
        let ticks = (stat.utime + stat.stime) as f64;
        Some(Usage {
            cpu_s: ticks / procfs::ticks_per_second() as f64,
            resident_bytes: stat.rss * procfs::page_size(),
        })
    }
}
