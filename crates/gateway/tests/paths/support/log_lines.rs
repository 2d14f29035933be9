//! Lines that this process has logged. A process has one logger.

use std::sync::{Mutex, Once};
use std::time::{Duration, Instant};

use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::sleep;

use crate::support::TEST_TIMEOUT;

/// Lines logged so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

static INSTALL: Once = Once::new();

struct LineLogger;

impl Log for LineLogger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().expect("not poisoned").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Collects lines from now on.
pub fn collect() {
    INSTALL.call_once(|| {
        log::set_logger(&LineLogger).expect("the only logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Log lines so far of the event and request.
pub fn lines(event: &str, request: &str) -> Vec<String> {
    let beginning = format!("event={event} request={request} ");
    let lines = LINES.lock().expect("not poisoned");
    lines.iter().filter(|line| line.starts_with(&beginning)).cloned().collect()
}

/// Waits for the log line of the event and request.
pub async fn line(event: &str, request: &str) -> String {
    let started_at = Instant::now();
    loop {
        if let Some(line) = lines(event, request).into_iter().next() {
            return line;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no line {event} of {request}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Text of a key.
pub fn text<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ').find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
}

/// Value of a key in milliseconds.
pub fn value(line: &str, key: &str) -> Option<u128> {
    Some(text(line, key)?.parse().unwrap_or_else(|_| panic!("{key} is no number in {line}")))
}
