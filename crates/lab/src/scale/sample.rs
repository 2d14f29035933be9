//! CPU time and memory of processes, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat` (USER_HZ, fixed on Linux).
const TICKS_PER_SECOND: u64 = 100;

/// Indexes of user and system time among the fields of `/proc/PID/stat` that
/// follow the program name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// CPU time since the start of the process.
    pub(super) processor: Duration,
    /// Resident memory, in bytes.
    pub(super) resident: u64,
}

/// Reads the resource usage of process `id`.
pub(super) fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program name may contain spaces and ends with the last parenthesis.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let ticks = ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD);
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(Usage {
        processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident: kibibytes.unwrap_or(0) * 1_024,
    })
}

/// Sums the resource usage of several processes.
pub(super) fn total(ids: &[u32]) -> io::Result<Usage> {
    let mut sum = Usage::default();
    for id in ids {
        let one = usage(*id)?;
        sum.processor += one.processor;
        sum.resident += one.resident;
    }
    Ok(sum)
}
