//! Figures of runs.

use std::fmt;

/// Sound prompts that were sent after the first crashes, by what became of them at their first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompts {
    pub sent: usize,
    pub begun: usize,
    pub refused: usize,
}

/// Figures of one run, or of several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Servers that crashed under a crashing part.
    pub crashes: usize,
    /// Prompts with a crashing part that reached servers later than the contact time after the fifth
    /// crash, from routers in touch.
    pub later_sends: usize,
    /// Sound prompts with the same first part as the crashing ones.
    pub shared: Prompts,
    /// Sound prompts that are sent beside each crashing one, to the same server.
    pub neighbour: Prompts,
    /// Reports sent by routers, without repeats.
    pub reports: usize,
    /// Trials of quarantined parts.
    pub trials: usize,
    /// Most crashes in a run.
    pub most_crashes: usize,
    runs: usize,
}

impl Prompts {
    fn add(&mut self, other: Prompts) {
        self.sent += other.sent;
        self.begun += other.begun;
        self.refused += other.refused;
    }
}

impl Outcome {
    pub fn add(&mut self, other: &Outcome) {
        self.crashes += other.crashes;
        self.later_sends += other.later_sends;
        self.shared.add(other.shared);
        self.neighbour.add(other.neighbour);
        self.reports += other.reports;
        self.trials += other.trials;
        self.most_crashes = self.most_crashes.max(other.crashes);
        self.runs += 1;
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |prompts: Prompts| prompts.begun as f64 / prompts.sent.max(1) as f64;
        write!(
            formatter,
            "{} runs, {:.1} crashes each and {} at most, {} later sends, {:.3} of {} prompts with the \
             first part and {:.3} of {} neighbours begin, {:.1} reports and {:.1} trials each",
            self.runs,
            self.crashes as f64 / self.runs as f64,
            self.most_crashes,
            self.later_sends,
            share(self.shared),
            self.shared.sent,
            share(self.neighbour),
            self.neighbour.sent,
            self.reports as f64 / self.runs as f64,
            self.trials as f64 / self.runs as f64,
        )
    }
}
