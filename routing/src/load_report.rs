//! The load that a model server reports in a header of its responses.

/// The load of a server as reported by the server itself. All values are finite and at least 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that are being executed.
    pub running: f64,
    /// Requests that are waiting in the server's queue.
    pub waiting: f64,
    /// The maximum number of requests that are executed concurrently.
    pub slots: f64,
}

impl LoadReport {
    /// Parses the header value: running, waiting and slots, separated by commas. Returns `None` if any of these is missing, negative
    /// or not finite, or if the number of slots is 0.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(parse_count);
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        (slots > 0.0).then_some(Self { running, waiting, slots })
    }

    /// Running and waiting requests per slot: above 1 if requests have to queue.
    pub fn utilisation(&self) -> f64 {
        (self.running + self.waiting) / self.slots.max(1.0)
    }
}

fn parse_count(text: &str) -> Option<f64> {
    let number = text.trim().parse::<f64>().ok()?;
    (number >= 0.0 && number.is_finite()).then_some(number)
}
