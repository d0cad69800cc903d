//! Records the outcomes of clients' requests during a run, in virtual time or on sockets.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Serializer, V2DeflateSerializer};

use crate::arrivals::ClientRequest;
use crate::report::{ClassReport, Report, SERIES_BUCKETS};
use crate::time::{MS, Nanos, nanos_from_seconds};
use crate::world::World;

/// Highest latency that histograms resolve, in microseconds: 15 minutes.
const MAX_LATENCY_US: u64 = 900_000_000;
/// Significant decimal digits that histograms keep of a latency.
const HISTOGRAM_DIGITS: u8 = 2;
const NANOS_PER_MICROSECOND: Nanos = 1000;
const MICROSECONDS_PER_MS: f64 = 1000.0;

/// Numbers of clients' requests by outcome, over all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests, retries not counted.
    pub requests: u64,
    /// Requests served within the class's latency target.
    pub in_time: u64,
    /// Requests served after the class's latency target.
    pub late: u64,
    /// Requests rejected when the client had no retry left.
    pub rejected: u64,
    /// Requests that failed, timed out, or whose client disconnected.
    pub failed: u64,
}

/// Counts the outcomes of clients' requests.
pub struct OutcomeRecorder {
    world_name: String,
    seconds: f64,
    /// Value of each class's requests.
    values: Vec<f64>,
    latency_targets: Vec<Nanos>,
    classes: Vec<GroupRecorder>,
    zones: Vec<GroupRecorder>,
    series: Series,
}

impl OutcomeRecorder {
    /// A recorder for a world's classes and zones.
    pub fn new(world: &World) -> Self {
        let classes = &world.clients.classes;
        Self {
            world_name: world.name.clone(),
            seconds: world.seconds,
            values: classes.iter().map(|class| class.value).collect(),
            latency_targets: classes.iter().map(|class| class.latency_target_ms * MS).collect(),
            classes: classes.iter().map(|class| GroupRecorder::new(&class.name)).collect(),
            zones: (0..world.zones).map(|zone| GroupRecorder::new(&format!("zone {zone}"))).collect(),
            series: Series::new(nanos_from_seconds(world.seconds)),
        }
    }

    /// Applies a change to the counts of the request's class and zone.
    fn count(&mut self, request: &ClientRequest, mut change: impl FnMut(&mut ClassReport)) {
        change(&mut self.classes[request.class].report);
        change(&mut self.zones[request.zone as usize].report);
    }

    /// A client sends a request for the first time.
    pub fn request_arrived(&mut self, request: &ClientRequest) {
        self.count(request, |report| report.asked += 1);
        self.series.bucket(request.arrives_at).0 += self.values[request.class];
    }

    /// A request is served; `latency` is measured from when the client first sent the request.
    pub fn served(&mut self, request: &ClientRequest, latency: Nanos) {
        let in_time = latency <= self.latency_targets[request.class];
        self.classes[request.class].served(latency, in_time);
        self.zones[request.zone as usize].served(latency, in_time);
        if in_time {
            self.series.bucket(request.arrives_at).1 += self.values[request.class];
        }
    }

    /// A request is rejected, and its client does not retry.
    pub fn rejected(&mut self, request: &ClientRequest) {
        self.count(request, |report| report.refused += 1);
    }

    /// A request fails or times out.
    pub fn failed(&mut self, request: &ClientRequest) {
        self.count(request, |report| report.failed += 1);
    }

    /// A request's client disconnects before a response.
    pub fn client_disconnected(&mut self, request: &ClientRequest) {
        self.count(request, |report| report.left += 1);
        self.series.bucket(request.arrives_at).0 -= self.values[request.class];
    }

    /// Numbers of all requests so far, by outcome.
    pub fn outcome_counts(&self) -> OutcomeCounts {
        let sum =
            |count: fn(&ClassReport) -> u64| self.classes.iter().map(|class| count(&class.report)).sum();
        OutcomeCounts {
            requests: sum(|class| class.asked),
            in_time: sum(|class| class.in_time),
            late: sum(|class| class.late),
            rejected: sum(|class| class.refused),
            failed: sum(|class| class.failed + class.left),
        }
    }

    /// The report, with the figures that clients can measure. The caller sets the others, which are 0.
    pub fn finish(self, seed: u64) -> Report {
        let value = |count: fn(&ClassReport) -> u64| {
            let classes = self.classes.iter().zip(&self.values);
            classes.map(|(class, value)| count(&class.report) as f64 * value).sum::<f64>()
        };
        // A client that disconnected cannot be served, so its request does not count.
        let requested = value(|report| report.asked - report.left);
        let served = if requested > 0.0 { value(|report| report.in_time) / requested } else { 1.0 };
        Report {
            world: self.world_name,
            seed,
            served,
            seconds: self.seconds,
            series: self.series.buckets,
            zones: self.zones.into_iter().map(GroupRecorder::finish).collect(),
            classes: self.classes.into_iter().map(GroupRecorder::finish).collect(),
            ..Report::default()
        }
    }
}

/// Value requested and value served in time, in equal time buckets over the duration of a run.
struct Series {
    duration: Nanos,
    buckets: Vec<(f64, f64)>,
}

impl Series {
    fn new(duration: Nanos) -> Self {
        Self { duration: duration.max(1), buckets: vec![(0.0, 0.0); SERIES_BUCKETS] }
    }

    fn bucket(&mut self, at: Nanos) -> &mut (f64, f64) {
        let index = (u128::from(at) * SERIES_BUCKETS as u128 / u128::from(self.duration)) as usize;
        &mut self.buckets[index.min(SERIES_BUCKETS - 1)]
    }
}

/// Records the outcomes of one class or zone.
struct GroupRecorder {
    report: ClassReport,
    /// Latencies in microseconds.
    latencies: Histogram<u64>,
}

impl GroupRecorder {
    fn new(name: &str) -> Self {
        let report = ClassReport { name: name.to_owned(), ..ClassReport::default() };
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
            .expect("histogram bounds are in order and at most five digits are kept");
        Self { report, latencies }
    }

    fn served(&mut self, latency: Nanos, in_time: bool) {
        self.latencies.saturating_record((latency / NANOS_PER_MICROSECOND).max(1));
        let count = if in_time { &mut self.report.in_time } else { &mut self.report.late };
        *count += 1;
    }

    fn finish(mut self) -> ClassReport {
        let percentile_ms =
            |quantile| self.latencies.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MS;
        self.report.mean_ms = self.latencies.mean() / MICROSECONDS_PER_MS;
        self.report.p50_ms = percentile_ms(0.5);
        self.report.p99_ms = percentile_ms(0.99);
        let mut bytes = Vec::new();
        V2DeflateSerializer::new()
            .serialize(&self.latencies, &mut bytes)
            .expect("writing a histogram to a Vec does not fail");
        self.report.times = STANDARD_NO_PAD.encode(bytes);
        self.report
    }
}
