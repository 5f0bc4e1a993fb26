//! Processor time and memory of processes, from the system's process table.

use procfs::process::Process;

/// What one process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time so far, seconds.
    pub cpu_s: f64,
    /// Resident memory now, bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Of a running process.
    pub fn of(id: u32) -> Option<Usage> {
        let stat = Process::new(i32::try_from(id).ok()?).ok()?.stat().ok()?;
        let ticks = (stat.utime + stat.stime) as f64;
        Some(Usage {
            cpu_s: ticks / procfs::ticks_per_second() as f64,
            resident_bytes: stat.rss * procfs::page_size(),
        })
    }
}
