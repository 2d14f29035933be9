//! The thread that writes lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Level;

use crate::budget::{Admission, LineBudget, LineLimits};

/// Bounds on what waits to be written.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Lines that wait; further ones are left out.
    pub waiting_lines: usize,
    /// Time for which lines are gathered, so that many go in one write.
    pub gather: Duration,
    /// Longest wait for the last lines at the end of the process.
    pub flush: Duration,
}

impl Default for WriterLimits {
    fn default() -> Self {
        WriterLimits {
            waiting_lines: 1_024,
            gather: Duration::from_millis(40),
            flush: Duration::from_millis(200),
        }
    }
}

/// Bytes that are gathered for one write.
const MAX_GATHERED_BYTES: usize = 16 << 10;

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

/// Hands lines to the thread that writes. It never blocks.
#[derive(Clone)]
pub struct LineWriter {
    items: SyncSender<Item>,
    budget: Arc<Mutex<LineBudget>>,
    started: Instant,
    flush: Duration,
}

impl LineWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails when there is no thread to be had.
    pub fn start(
        output: impl Write + Send + 'static,
        limits: WriterLimits,
        lines: LineLimits,
    ) -> Result<Self, std::io::Error> {
        let (items, receiver) = sync_channel(limits.waiting_lines);
        let budget = Arc::new(Mutex::new(LineBudget::new(lines)));
        let for_thread = Arc::clone(&budget);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || write_for_ever(output, &receiver, &for_thread, limits.gather))?;
        Ok(LineWriter { items, budget, started: Instant::now(), flush: limits.flush })
    }

    /// Hands on a line, or leaves it out if the volume is used up or too much waits.
    pub fn write(&self, level: Level, line: String) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.admit(level, &line, self.started.elapsed()) == Admission::LeftOut {
            return;
        }
        if let Err(refused) = self.items.try_send(Item::Line(line)) {
            let (std::sync::mpsc::TrySendError::Full(item)
            | std::sync::mpsc::TrySendError::Disconnected(item)) = refused;
            if let Item::Line(line) = item {
                budget.leave_out(&line);
            }
        }
    }

    /// Waits until everything is written, but not for long.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // The reader may not read; the process ends all the same.
            let _ = written.recv_timeout(self.flush);
        }
    }
}

/// The thread formats nothing and calls little.
const THREAD_STACK_BYTES: usize = 64 << 10;

fn write_for_ever(
    mut output: impl Write,
    items: &Receiver<Item>,
    budget: &Mutex<LineBudget>,
    gather: Duration,
) {
    while let Ok(first) = items.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        take(first, &mut text, &mut flushed);
        let until = Instant::now() + gather;
        while text.len() < MAX_GATHERED_BYTES && flushed.is_empty() {
            match items.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(item) => take(item, &mut text, &mut flushed),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        let left_out = budget.lock().unwrap_or_else(PoisonError::into_inner).take_left_out();
        for (kind, count) in left_out {
            text.push_str(&format!("level=warn event=lines_left_out kind={kind} count={count}\n"));
        }
        // A closed pipe has no reader to tell.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        for done in flushed {
            let _ = done.try_send(());
        }
    }
}

fn take(item: Item, text: &mut String, flushed: &mut Vec<SyncSender<()>>) {
    match item {
        Item::Line(line) => text.push_str(&line),
        Item::Flush(done) => flushed.push(done),
    }
}
