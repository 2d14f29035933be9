//! The bound on the volume, and that nothing blocks.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniper_logging::{Admission, LineBudget, LineLimits, LineWriter, WriterLimits};
use log::Level;

const LIMITS: LineLimits = LineLimits {
    lines_per_second: 10.0,
    bytes_per_second: 10_000.0,
    saved_seconds: 2.0,
    failure_part: 0.5,
};

#[test]
fn under_a_tenfold_load_failures_are_left_out_last() {
    let mut budget = LineBudget::new(LIMITS);
    let (mut decisions, mut failures) = (0, 0);
    for step in 0..1_000_u64 {
        let now = Duration::from_millis(step * 10);
        if budget.admit(Level::Info, "time_ms=1 event=attempt x=1", now) == Admission::Written {
            decisions += 1;
        }
        if step % 20 == 0 && budget.admit(Level::Warn, "event=lost", now) == Admission::Written {
            failures += 1;
        }
    }
    // Ten seconds at ten lines a second, and what was saved up.
    assert!((50..=121).contains(&(decisions + failures)), "{decisions} {failures}");
    assert_eq!(failures, 50);
    let left_out = budget.take_left_out();
    assert_eq!(left_out.get("attempt"), Some(&(1_000 - decisions)));
    assert_eq!(left_out.get("lost"), None);
    assert!(budget.take_left_out().is_empty());
}

#[test]
fn bytes_are_bounded_too() {
    let mut budget = LineBudget::new(LIMITS);
    let long = format!("event=long {}", "x".repeat(9_000));
    let admitted = |budget: &mut LineBudget| budget.admit(Level::Error, &long, Duration::ZERO);
    assert_eq!(admitted(&mut budget), Admission::Written);
    assert_eq!(admitted(&mut budget), Admission::Written);
    assert_eq!(admitted(&mut budget), Admission::LeftOut);
}

/// A pipe whose reader doesn't read: the first write hangs until the test ends.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_does_not_read_holds_nobody_up() {
    let (_release, stuck): (Sender<()>, _) = channel();
    let limits = WriterLimits { waiting_lines: 4, ..WriterLimits::default() };
    let writer = LineWriter::start(Stuck(stuck), limits, LineLimits::default()).expect("a thread");
    let started = Instant::now();
    for _ in 0..1_000 {
        writer.write(Level::Info, "event=attempt\n".to_owned());
    }
    writer.flush();
    assert!(started.elapsed() < Duration::from_secs(2));
}

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_was_left_out_is_told() {
    let kept = Kept::default();
    let limits = LineLimits { lines_per_second: 1.0, saved_seconds: 2.0, ..LIMITS };
    let writer =
        LineWriter::start(kept.clone(), WriterLimits::default(), limits).expect("a thread");
    for _ in 0..10 {
        writer.write(Level::Error, "event=lost\n".to_owned());
    }
    writer.flush();
    let text = String::from_utf8(kept.0.lock().expect("not poisoned").clone()).expect("text");
    assert_eq!(text.matches("event=lost\n").count(), 2, "{text}");
    assert!(text.contains("event=lines_left_out kind=lost count=8"), "{text}");
}

/// A pipe whose reader is gone.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _bytes: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_closed_pipe_ends_nothing() {
    let limits = WriterLimits::default();
    let writer = LineWriter::start(Closed, limits, LineLimits::default()).expect("a thread");
    for _ in 0..10 {
        writer.write(Level::Info, "event=attempt\n".to_owned());
    }
    writer.flush();
}
