//! The constants of the policy: every threshold, weight, interval and limit, with its reason.
//!
//! "Home" is the node's own zone. More than `MANY_NODES_PER_ZONE` nodes per zone count as many nodes, others
//! as few; some constants apply only in one of the two cases.

use crate::api::{MILLISECOND, Nanos, SECOND};

/// Interval of the housekeeping timer: short compared to latency targets of tens of milliseconds, and long
/// enough to cost little CPU time.
pub(crate) const HOUSEKEEPING_INTERVAL: Nanos = 10 * MILLISECOND;
/// Interval between two scorings of the overflow zones: about the time until a send shows in a report.
pub(crate) const REFRESH_INTERVAL: Nanos = 100 * MILLISECOND;
/// Maximum random extension of the refresh interval, as a fraction of it, so that nodes do not refresh in
/// step.
pub(crate) const REFRESH_JITTER: f64 = 0.1;

// Overflow between zones.

/// Utilisation at which a zone overflows. With a lower value, loaded zones would swap requests and pay for
/// each crossing; with a higher one, queues would grow faster than reports arrive.
pub(crate) const OVERFLOW_THRESHOLD: f64 = 0.85;
/// Utilisation at which a zone overflows with many nodes sharing the zones: reports then lag behind the
/// effect of all nodes' sends.
pub(crate) const SHARED_OVERFLOW_THRESHOLD: f64 = 0.75;
/// With few nodes, a zone takes home's overflow only if its utilisation is lower than home's by this much.
pub(crate) const MIN_OVERFLOW_GAIN: f64 = 0.1;
/// Weights of headroom and of latency in the score of a zone; headroom decides unless zones are alike.
pub(crate) const HEADROOM_WEIGHT: f64 = 0.7;
pub(crate) const LATENCY_WEIGHT: f64 = 0.3;
/// Factor on a zone's lowest latency at each refresh: an old minimum rises slowly, so that a link that has
/// become slow is noticed.
pub(crate) const MIN_LATENCY_GROWTH: f64 = 1.002;
/// A home zone below `WAIT_FOR_HOME_UTILISATION` has capacity that is about to become free. Before it crosses
/// zones, a request waits for that capacity up to `WAIT_FOR_HOME_SHARE` of its latency target, which is twice
/// the time until capacity becomes free there.
pub(crate) const WAIT_FOR_HOME_UTILISATION: f64 = 0.6;
pub(crate) const WAIT_FOR_HOME_SHARE: f64 = 0.15;
/// Number of backends whose reports suffice to compute the utilisation of a zone; in a small zone, reports of
/// half of its usable backends suffice.
pub(crate) const MIN_REPORTING_BACKENDS: usize = 3;
/// A zone counts as cut off if the last probes failed to reach this share of its backends.
pub(crate) const UNREACHABLE_SHARE: f64 = 0.5;
/// Part of the difference to the intended load that the overflow share corrects with each update of the
/// loads.
pub(crate) const OVERFLOW_GAIN: f64 = 0.5;
/// Minimum expected arrivals per backend until the next loads: a node that has just started has counted no
/// arrivals.
pub(crate) const MIN_EXPECTED_ARRIVALS: f64 = 10.0;
/// Cap on a utilisation u that is converted into a load of u / (1 - u), which has no bound as u approaches 1.
pub(crate) const MAX_LOAD_UTILISATION: f64 = 0.95;

// Load reports.

/// Time constant of a backend's smoothed utilisation: a few report intervals.
pub(crate) const UTILISATION_TIME_CONSTANT: Nanos = 400 * MILLISECOND;
/// Minimum weight of one report in the smoothed utilisation.
pub(crate) const MIN_REPORT_WEIGHT: f64 = 0.05;
/// A utilisation of this age or older is ignored; a zone without any younger one counts as having no reports.
pub(crate) const UTILISATION_MAX_AGE: Nanos = 4 * SECOND;
/// Highest reported utilisation that is accepted: 1 is all cores in use, and noise may raise the figure above
/// it.
pub(crate) const MAX_UTILISATION: f64 = 1.5;

// Latency model.

/// Time constant of a backend's slowness, which is its latency as a multiple of the expected one: long enough
/// for tens of responses, yet short enough to follow a noisy neighbour whose load alternates within seconds.
pub(crate) const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// Minimum weight of one response in the slowness.
pub(crate) const MIN_LATENCY_RATIO_WEIGHT: f64 = 0.1;
/// The slowness of an unused backend decays with this time constant, so that the backend is tried again.
pub(crate) const SLOWNESS_DECAY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Number of samples over which a latency is averaged: enough for the average to change slowly compared to
/// the faults that occur within a day.
pub(crate) const MAX_LATENCY_SAMPLES: f64 = 400.0;
/// Samples after which a latency estimate is good enough to compare backends with it.
pub(crate) const MIN_LATENCY_SAMPLES: f64 = 30.0;
/// Number of samples that the initial latency estimate counts as.
pub(crate) const LATENCY_PRIOR_SAMPLES: f64 = 4.0;
/// Weight of a sample above the estimated latency relative to one below it, once more than
/// `LATENCY_RISE_SAMPLES` samples have been recorded.
pub(crate) const LATENCY_RISE_WEIGHT: f64 = 0.4;
pub(crate) const LATENCY_RISE_SAMPLES: f64 = 50.0;
/// Load that is assumed of a backend without any request of this node, in requests per unit of weight; small,
/// as the load of the other nodes grows with this node's own.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// Minimum weight of a slow sample in the latency per request of load, so that an estimate that has become
/// too low to matter in the expected latency can recover.
pub(crate) const MIN_LOAD_SAMPLE_WEIGHT: f64 = 0.1;
/// A sample counts as at most this multiple of the expected latency: one expensive request may be chance.
pub(crate) const MAX_LATENCY_RATIO: f64 = 6.0;
/// Weight of one request in the mean work of its class.
pub(crate) const WORK_SMOOTHING: f64 = 0.01;

// Choice of a backend.

/// Relative jitter of a backend's cost, so that nodes with the same view do not all choose the same backend.
pub(crate) const PICK_JITTER: f64 = 0.1;
/// Relative jitter of a backend's cost with many nodes sharing the backends.
pub(crate) const SHARED_PICK_JITTER: f64 = 0.5;
/// A backend that always fails costs 1 plus this many times as much as one that never fails, so that failing
/// fast does not look idle; the addition is proportional to the failure rate.
pub(crate) const FAILURE_PENALTY: f64 = 8.0;
/// Added to the cost factor of a backend that the request has already been sent to.
pub(crate) const REPEATED_BACKEND_PENALTY: f64 = 4.0;
/// With many nodes sharing the backends, no backend counts as faster than this fraction of the mean latency.
pub(crate) const MIN_SHARED_SLOWNESS: f64 = 0.5;
/// Up to this many backends are examined individually for a request. Of a larger zone only a sample is
/// examined, and totals over all backends are recomputed only at the refresh interval. The best of 32
/// backends drawn at random is among the best tenth of all in 97 of 100 draws.
pub(crate) const MAX_SCANNED_BACKENDS: usize = 128;
pub(crate) const PICK_SAMPLE_SIZE: usize = 32;
/// With more nodes per zone than this, this node's own requests in flight say nothing about a backend's load:
/// the choice then relies on the loads in the list or in reports, which all nodes receive, and on chance.
pub(crate) const MANY_NODES_PER_ZONE: f64 = 8.0;
/// Size of the subset of a zone's backends that each of many nodes uses, as long as a backend of the subset
/// can take the request.
pub(crate) const SUBSET_SIZE: usize = 4;

// Admission and load shedding.

/// Maximum expected latency of a loaded backend as a multiple of an idle backend's, by which the load limit
/// of a class is set: a backend with more work queued than that for a second or two becomes several times
/// slower, and stays slow.
pub(crate) const MAX_QUEUEING_RATIO: f64 = 1.25;
/// A load this small overloads no backend, whatever its latency suggests.
pub(crate) const MIN_LOAD_LIMIT: f64 = 4.0;
/// A send is admitted if its expected latency fits into this share of the time left until its target.
pub(crate) const ADMISSION_SHARE: f64 = 0.6;
/// Like `ADMISSION_SHARE`, for a retry by the node: the request has little time left, and half of the work
/// for it is done.
pub(crate) const RETRY_ADMISSION_SHARE: f64 = 1.0;
/// An idle backend of less slowness than this takes a request even if the expected latency exceeds the
/// target.
pub(crate) const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// A backend that reports less utilisation than this has capacity to spare for a request that may be late.
pub(crate) const SPARE_UTILISATION: f64 = 0.7;
/// A backend that reports less utilisation than this may hold more load, up to twice as much at a reported
/// utilisation of 0: its requests then wait for other systems, not for its cores.
pub(crate) const LOW_UTILISATION: f64 = 0.7;
pub(crate) const LOW_UTILISATION_BONUS: f64 = 1.0;
/// A backend that reports more than this may hold less load, down to half with all cores busy: more requests
/// of all nodes then wait at the backend than it works on, and a second or two of that overloads it.
pub(crate) const HIGH_UTILISATION: f64 = 0.8;
pub(crate) const HIGH_UTILISATION_PENALTY: f64 = 0.5;
/// A class may use this share of the load limit of the next more valuable class; likewise, requests over
/// their tenant's quota may use this share of the limit of those within.
pub(crate) const LOWER_PRIORITY_SHARE: f64 = 0.8;
/// A class counts in the load limits if it has more arrivals per second than this.
pub(crate) const MIN_CLASS_RATE: f64 = 0.1;
/// Factor on a tenant's quota: a node sees few requests of a tenant, so an excess of half the quota may be
/// chance.
pub(crate) const QUOTA_TOLERANCE: f64 = 1.5;
/// Number of requests that may find no backend in one pass over the queue; one more ends the pass.
pub(crate) const MAX_DISPATCH_MISSES: u32 = 8;

// Retries.

/// Client retries expected for each unserved request: clients retry once or twice, and the load balancer in
/// front of the nodes distributes the retries over them.
pub(crate) const RETRIES_PER_UNSERVED: f64 = 2.0;
/// An arrival may be a retry if its timeout is shorter than the longest one of its class by more than the
/// longest divided by this; smaller differences are jitter of the arrivals.
pub(crate) const SHORT_TIMEOUT_DIVISOR: Nanos = 8;
/// Retry tokens that each arrival adds, and the most that can be saved.
pub(crate) const RETRY_TOKENS_PER_ARRIVAL: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;
/// Maximum number of backends that a request may fail to reach: it must not try all of them.
pub(crate) const MAX_UNREACHED_BACKENDS: usize = 4;

// Outlier ejection.

/// Minimum consecutive failures of an outlier; a refused connection counts twice.
pub(crate) const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 6;
/// The failure rate of an outlier is also above this multiple of the mean failure rate, which counts as at
/// most `MAX_MEAN_FAILURE_RATE`.
pub(crate) const OUTLIER_FAILURE_RATIO: f64 = 2.0;
pub(crate) const MAX_MEAN_FAILURE_RATE: f64 = 0.4;
/// Time constant of a backend's failure rate, and the minimum weight of one attempt in the rate.
pub(crate) const FAILURE_RATE_TIME_CONSTANT: Nanos = SECOND;
pub(crate) const MIN_FAILURE_WEIGHT: f64 = 0.1;
/// An invalid response counts as half a failure: it may be the fault of the request, or come from all
/// backends alike.
pub(crate) const INVALID_RESPONSE_FAILURE: f64 = 0.5;
/// A timeout counts as a failure of its backend only after this multiple of the expected latency.
pub(crate) const TIMEOUT_FAULT_RATIO: f64 = 3.0;
/// Duration of the first ejection, doubled with each further one up to 2^5 times the first.
pub(crate) const BASE_EJECTION_TIME: Nanos = SECOND;
pub(crate) const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Backoff after a backend rejected an attempt, doubled with each consecutive rejection up to 2^4 times the
/// first.
pub(crate) const BASE_REJECTION_BACKOFF: Nanos = 100 * MILLISECOND;
pub(crate) const MAX_REJECTION_DOUBLINGS: u32 = 4;
/// Maximum share of the backends in service that are ejected (panic threshold).
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.5;

// Concurrency windows.

/// With many nodes, a mean latency above a certain fraction of its target is congestion. That fraction is
/// `CONGESTION_RISE` times the lowest average so far, within these bounds, or the upper bound while too few
/// attempts have ended for an average.
pub(crate) const MIN_CONGESTION_THRESHOLD: f64 = 0.42;
pub(crate) const MAX_CONGESTION_THRESHOLD: f64 = 0.71;
pub(crate) const CONGESTION_RISE: f64 = 1.25;
/// Factor on a window at congestion. A higher one reacts too slowly: congestion builds up within seconds, and
/// a response that indicates it takes one second. A simulated calm day scored 0.51 with a factor of 0.7, and
/// 0.58 with 0.5, on a scale from 0 to 1 where higher is better (value served less costs).
pub(crate) const WINDOW_DECREASE_FACTOR: f64 = 0.5;
/// Relative growth of a window that is too small, per round of responses, before and after the first
/// congestion. Additive growth by 1 would be too fast: ten nodes that share a server and each add one request
/// per round double the server's load in a round.
pub(crate) const WINDOW_SLOW_START_INCREASE: f64 = 0.25;
pub(crate) const WINDOW_INCREASE: f64 = 0.1;
/// Part of a window's unused size by which each response reduces the window, as a burst would use all of the
/// unused size at once.
pub(crate) const WINDOW_IDLE_DECAY: f64 = 0.02;
/// Minimum window. With many nodes, one request in flight from each could sustain congestion, so a window may
/// be smaller than 1.
pub(crate) const MIN_WINDOW: f64 = 0.05;
/// Initial window of a zone other than home: one request in four response times.
pub(crate) const INITIAL_REMOTE_WINDOW: f64 = 0.25;
/// Minimum number of responses in a window's mean latency, and the time constant of that mean.
pub(crate) const MIN_WINDOW_SAMPLES: u32 = 5;
pub(crate) const WINDOW_LATENCY_TIME_CONSTANT: Nanos = 4 * SECOND;
/// Share of a zone's window that one backend of the subset may hold, relative to an even share.
pub(crate) const BACKEND_WINDOW_SKEW: f64 = 1.5;

// Slow start.

/// Minimum share of its capacity that a backend is assumed to have while it warms up, whatever initial
/// capacity the rules set.
pub(crate) const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Part of the slow-start budget that all nodes together use; the rest allows for chance and late reports.
pub(crate) const SLOW_START_BUDGET_SHARE: f64 = 0.4;
/// Part of the difference to the latest measurement by which the work served per unit of capacity rises and
/// falls at each refresh: a rise takes about 2 s, a fall about a minute.
pub(crate) const CAPACITY_RISE_RATE: f64 = 0.05;
pub(crate) const CAPACITY_FALL_RATE: f64 = 0.002;
/// Minimum utilisation of a backend whose capacity is measured: reports are noisy near 0.
pub(crate) const MIN_MEASURED_UTILISATION: f64 = 0.05;

// Discovery.

/// First backoff after a failed call to discovery, doubled up to 2^4 times the first, with jitter of a
/// quarter either way.
pub(crate) const DISCOVERY_BACKOFF: Nanos = 300 * MILLISECOND;
pub(crate) const MAX_DISCOVERY_DOUBLINGS: u32 = 4;
/// Weight of a list in the mean interval between lists, and the longest interval that is counted, in seconds.
pub(crate) const LIST_INTERVAL_SMOOTHING: f64 = 0.2;
pub(crate) const MAX_LIST_INTERVAL_S: f64 = 3.0;

// Probes for load reports.

/// Maximum cost of probes, as a share of the site's goal like the setting `probe_cost`.
pub(crate) const MAX_PROBE_COST_SHARE: f64 = 0.002;
/// Maximum work of probes as a share of the work of requests, and the upper estimate of the work of one
/// probe.
pub(crate) const MAX_PROBE_WORK_SHARE: f64 = 0.02;
pub(crate) const PROBE_WORK: Nanos = 5 * MILLISECOND + MILLISECOND / 2;
/// Intervals between two probes of a backend, from the lowest to the highest priority. Servers renew their
/// reports every 0.4 to 1.1 s, so shorter intervals would return the same report again. Intervals longer than
/// the maximum age of a report would leave gaps.
pub(crate) const PROBE_INTERVALS: [Nanos; 4] =
    [2500 * MILLISECOND, 1200 * MILLISECOND, 700 * MILLISECOND, 500 * MILLISECOND];
/// With a home utilisation above the overflow threshold less this margin, a report is likely to affect a
/// decision.
pub(crate) const PROBE_THRESHOLD_MARGIN: f64 = 0.25;
/// Failure rate above which a reachable backend is suspect, and so probed with the highest priority.
pub(crate) const PROBE_FAILURE_RATE: f64 = 0.3;
