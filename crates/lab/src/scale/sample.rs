//! Processor time and memory of processes, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Ticks in a second in `/proc/PID/stat`; fixed on Linux for all programs.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of `/proc/PID/stat` after the program's name: user and system time.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time since its start.
    pub(super) processor: Duration,
    /// Resident memory, in bytes.
    pub(super) resident: u64,
}

/// What process `id` has used up to now.
pub(super) fn usage(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name may hold spaces; it ends with the last parenthesis.
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

/// Sum over several processes.
pub(super) fn total(ids: &[u32]) -> io::Result<Usage> {
    let mut sum = Usage::default();
    for id in ids {
        let one = usage(*id)?;
        sum.processor += one.processor;
        sum.resident += one.resident;
    }
    Ok(sum)
}
