//! What callers saw, over one run or several.

/// What the callers of a run saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: usize,
    pub begun: usize,
    /// Streams with events of two versions, but for those that an earlier build served.
    pub mixed: usize,
    pub resumed: usize,
    /// Resumes at machines in touch while two servers of the version served.
    pub resumed_in_touch: usize,
    pub continued_in_touch: usize,
}

impl Outcome {
    pub fn add(&mut self, other: &Outcome) {
        self.sent += other.sent;
        self.begun += other.begun;
        self.mixed += other.mixed;
        self.resumed += other.resumed;
        self.resumed_in_touch += other.resumed_in_touch;
        self.continued_in_touch += other.continued_in_touch;
    }

    pub fn share_begun(&self) -> f64 {
        self.begun as f64 / self.sent.max(1) as f64
    }

    pub fn share_continued(&self) -> f64 {
        self.continued_in_touch as f64 / self.resumed_in_touch.max(1) as f64
    }
}
