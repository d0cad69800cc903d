//! The load that a model server reports in a header of its responses.

/// What a server reports of itself. All figures are finite and at least 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: f64,
    /// Requests that wait in the server's queue.
    pub waiting: f64,
    /// Requests that can run at once.
    pub slots: f64,
}

impl LoadReport {
    /// Parses the header's value: running, waiting and slots, separated by commas. None where any of them is missing, negative or
    /// infinite, or there are no slots.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(parse_count);
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        (slots > 0.0).then_some(Self { running, waiting, slots })
    }

    /// Requests that run or wait, for each slot: over 1 where there is a queue.
    pub fn utilisation(&self) -> f64 {
        (self.running + self.waiting) / self.slots.max(1.0)
    }
}

fn parse_count(text: &str) -> Option<f64> {
    let number = text.trim().parse::<f64>().ok()?;
    (number >= 0.0 && number.is_finite()).then_some(number)
}
