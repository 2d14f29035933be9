//! Rate limits of log lines, and writers that never block their callers.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniper_logging::{Admission, LineBudget, LineLimits, LineWriter, WriterLimits};
use log::Level;

const LIMITS: LineLimits = LineLimits {
    lines_per_second: 10.0,
    bytes_per_second: 10_000.0,
    burst_seconds: 2.0,
    failure_reserve: 0.5,
};

#[test]
fn warnings_are_written_while_info_lines_are_dropped() {
    let mut budget = LineBudget::new(LIMITS);
    let (mut infos, mut warnings) = (0, 0);
    for step in 0..1_000_u64 {
        let now = Duration::from_millis(step * 10);
        if budget.admit(Level::Info, "time_ms=1 event=attempt x=1", now) == Admission::Written {
            infos += 1;
        }
        if step % 20 == 0 && budget.admit(Level::Warn, "event=lost", now) == Admission::Written {
            warnings += 1;
        }
    }
    // Ten seconds at ten lines per second, plus the burst.
    assert!((50..=121).contains(&(infos + warnings)), "{infos} {warnings}");
    assert_eq!(warnings, 50);
    let dropped = budget.take_dropped_counts();
    assert_eq!(dropped.get("attempt"), Some(&(1_000 - infos)));
    assert_eq!(dropped.get("lost"), None);
    assert!(budget.take_dropped_counts().is_empty());
}

#[test]
fn the_byte_rate_is_limited() {
    let mut budget = LineBudget::new(LIMITS);
    let long = format!("event=long {}", "x".repeat(9_000));
    let admitted = |budget: &mut LineBudget| budget.admit(Level::Error, &long, Duration::ZERO);
    assert_eq!(admitted(&mut budget), Admission::Written);
    assert_eq!(admitted(&mut budget), Admission::Written);
    assert_eq!(admitted(&mut budget), Admission::Dropped);
}

/// Output that blocks on the first write until the test ends.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_writers() {
    let (_release, blocked): (Sender<()>, _) = channel();
    let limits = WriterLimits { max_queued_lines: 4, ..WriterLimits::default() };
    let writer =
        LineWriter::start(BlockedOutput(blocked), limits, LineLimits::default()).expect("a thread");
    let started = Instant::now();
    for _ in 0..1_000 {
        writer.write(Level::Info, "event=attempt\n".to_owned());
    }
    writer.flush();
    assert!(started.elapsed() < Duration::from_secs(2));
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn dropped_lines_are_counted_in_the_log() {
    let output = SharedBuffer::default();
    let limits = LineLimits { lines_per_second: 1.0, burst_seconds: 2.0, ..LIMITS };
    let writer =
        LineWriter::start(output.clone(), WriterLimits::default(), limits).expect("a thread");
    for _ in 0..10 {
        writer.write(Level::Error, "event=lost\n".to_owned());
    }
    writer.flush();
    let text = String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("text");
    assert_eq!(text.matches("event=lost\n").count(), 2, "{text}");
    assert!(text.contains("event=lines_left_out kind=lost count=8"), "{text}");
}

/// Output whose reader is gone.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _bytes: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn write_errors_are_ignored() {
    let limits = WriterLimits::default();
    let writer = LineWriter::start(ClosedOutput, limits, LineLimits::default()).expect("a thread");
    for _ in 0..10 {
        writer.write(Level::Info, "event=attempt\n".to_owned());
    }
    writer.flush();
}
