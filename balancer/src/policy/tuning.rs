//! The tuning of the policy: every threshold, weight, interval and bound, with the reason beside it.

use crate::api::{MILLISECOND, Nanos, SECOND};

/// Fine enough against latency targets of tens of milliseconds, coarse enough to cost no CPU.
pub(crate) const HOUSEKEEPING_INTERVAL: Nanos = 10 * MILLISECOND;
/// How often the overflow zones are scored: about the time that a send needs to show in a report.
pub(crate) const REFRESH_INTERVAL: Nanos = 100 * MILLISECOND;
/// Random part of the refresh interval that is added to it, so that nodes do not refresh together.
pub(crate) const REFRESH_JITTER: f64 = 0.1;

// Overflow between zones.

/// A zone overflows at this utilisation. Lower, loaded zones swap requests and pay for each crossing;
/// higher, queues grow faster than reports arrive.
pub(crate) const OVERFLOW_THRESHOLD: f64 = 0.85;
/// The same where many nodes share the zones, and reports are late to show what all of them have done.
pub(crate) const SHARED_OVERFLOW_THRESHOLD: f64 = 0.75;
/// A zone must report this much less utilisation than home to take home's overflow, where nodes are few.
pub(crate) const MIN_OVERFLOW_GAIN: f64 = 0.1;
/// Weights of headroom and of latency in a zone's score; headroom decides unless zones are alike.
pub(crate) const HEADROOM_WEIGHT: f64 = 0.7;
pub(crate) const LATENCY_WEIGHT: f64 = 0.3;
/// Factor on a zone's lowest latency at each refresh: it is forgotten slowly, so that a link that has
/// become slow shows.
pub(crate) const MIN_LATENCY_GROWTH: f64 = 1.002;
/// A home zone under this utilisation has capacity that is about to come free. A request waits for it, for
/// this share of its latency target, before it crosses: twice as long as capacity takes to come free there.
pub(crate) const WAIT_FOR_HOME_UTILISATION: f64 = 0.6;
pub(crate) const WAIT_FOR_HOME_SHARE: f64 = 0.15;
/// This many reports stand for all usable backends of a zone, or those of half of them.
pub(crate) const MIN_REPORTING_BACKENDS: usize = 3;
/// A zone counts as cut off when the last probes did not reach this share of its backends.
pub(crate) const UNREACHABLE_SHARE: f64 = 0.5;
/// Part of the difference to the wanted load that the overflow share corrects with each list of loads.
pub(crate) const OVERFLOW_GAIN: f64 = 0.5;
/// Fewest arrivals expected for each backend until the next loads: a node that has just started has counted
/// none.
pub(crate) const MIN_EXPECTED_ARRIVALS: f64 = 10.0;
/// The load that stands for a utilisation is bounded by taking no more than this for it.
pub(crate) const MAX_LOAD_UTILISATION: f64 = 0.95;

// Load reports.

/// Time constant of a backend's utilisation: some report intervals.
pub(crate) const UTILISATION_TIME_CONSTANT: Nanos = 400 * MILLISECOND;
/// Least weight of one report in it.
pub(crate) const MIN_REPORT_WEIGHT: f64 = 0.05;
/// An older utilisation says nothing; a zone with no younger one counts as unseen.
pub(crate) const UTILISATION_MAX_AGE: Nanos = 4 * SECOND;
/// No backend uses more than all of its cores; what noise may add, and no more, is believed.
pub(crate) const MAX_UTILISATION: f64 = 1.5;

// Latency model.

/// Time constant of a backend's slowness: tens of responses, yet within a noisy neighbour's seconds on and
/// off.
pub(crate) const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// Least weight of one response in it.
pub(crate) const MIN_LATENCY_RATIO_WEIGHT: f64 = 0.1;
/// An unused backend's slowness is forgotten with this time constant, so that it is tried again.
pub(crate) const SLOWNESS_DECAY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Samples over which a latency is learned; slow against a day's faults.
pub(crate) const MAX_LATENCY_SAMPLES: f64 = 400.0;
/// Samples from which on a latency is good enough to compare backends by.
pub(crate) const MIN_LATENCY_SAMPLES: f64 = 30.0;
/// Samples that the initial latency counts for.
pub(crate) const LATENCY_PRIOR_SAMPLES: f64 = 4.0;
/// Weight of a sample above the learned latency against one below it, once there are so many samples.
pub(crate) const LATENCY_RISE_WEIGHT: f64 = 0.4;
pub(crate) const LATENCY_RISE_SAMPLES: f64 = 50.0;
/// Load of an idle backend in the expected latency, in own requests; small, as others' load grows with own.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// Least weight of a slow sample in the latency for each request, which may have become too short to be
/// seen.
pub(crate) const MIN_LOAD_SAMPLE_WEIGHT: f64 = 0.1;
/// One sample counts at most this many times the expectation: single expensive requests are chance.
pub(crate) const MAX_LATENCY_RATIO: f64 = 6.0;
/// Weight of a request in its class's mean work.
pub(crate) const WORK_SMOOTHING: f64 = 0.01;

// Choice of a backend.

/// Spread of the choice's jitter, so that nodes with the same view do not herd.
pub(crate) const PICK_JITTER: f64 = 0.1;
/// The same where many nodes share the backends.
pub(crate) const SHARED_PICK_JITTER: f64 = 0.5;
/// Failing fast must not look idle: a backend that always fails counts as this many times slower, plus one.
pub(crate) const FAILURE_PENALTY: f64 = 8.0;
/// What is added to that of a backend where the request has been before.
pub(crate) const REPEATED_BACKEND_PENALTY: f64 = 4.0;
/// Where many nodes share the backends, no backend counts as quicker than this against the mean.
pub(crate) const MIN_SHARED_SLOWNESS: f64 = 0.5;
/// Up to this many backends are looked at one by one for a request; of more in a zone only a sample is, and
/// what is known of all together is renewed with the overflow zones. The best of 32 drawn by chance is
/// among the best tenth of all in 97 of 100 draws.
pub(crate) const MAX_SCANNED_BACKENDS: usize = 128;
pub(crate) const PICK_SAMPLE_SIZE: usize = 32;
/// With more nodes a zone than this, own requests in flight say nothing of a backend's load: the choice
/// then goes by what the list or the reports say to all nodes, and by chance.
pub(crate) const MANY_NODES_PER_ZONE: f64 = 8.0;
/// Backends of a zone that one of many nodes uses as long as one of them can take the request.
pub(crate) const SUBSET_SIZE: usize = 4;

// Admission and load shedding.

/// No backend is filled beyond the load at which a response takes this many times an idle backend's: with
/// more work queued than that for a second or two, a backend turns several times slower and stays so.
pub(crate) const MAX_QUEUEING_RATIO: f64 = 1.25;
/// So small a load overloads no backend, whatever its latency says.
pub(crate) const MIN_LOAD_LIMIT: f64 = 4.0;
/// A send is admitted if its expected latency fits into this share of the time left to its target.
pub(crate) const ADMISSION_SHARE: f64 = 0.6;
/// The same for a retry by the node: its time is nearly up, and its work is half done.
pub(crate) const RETRY_ADMISSION_SHARE: f64 = 1.0;
/// An idle backend no slower than this takes a request at any expected latency, should that exceed the
/// target.
pub(crate) const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// A backend that reports less utilisation than this has capacity for what may be late.
pub(crate) const SPARE_UTILISATION: f64 = 0.7;
/// A backend that reports less utilisation than this may hold more load, up to twice as much where it
/// reports none: its requests wait for other systems then, not for its cores.
pub(crate) const LOW_UTILISATION: f64 = 0.7;
pub(crate) const LOW_UTILISATION_BONUS: f64 = 1.0;
/// One that reports more than this may hold less, down to half where all its cores are busy: more waits
/// there than it works on, put there by all nodes, and a second or two of that chokes it.
pub(crate) const HIGH_UTILISATION: f64 = 0.8;
pub(crate) const HIGH_UTILISATION_PENALTY: f64 = 0.5;
/// A class of less value may use this share of the load limit of the next more valuable one; so may
/// requests over their tenant's quota, of the limit of those within.
pub(crate) const LOWER_PRIORITY_SHARE: f64 = 0.8;
/// Requests a second from which on a class counts in the load limits.
pub(crate) const MIN_CLASS_RATE: f64 = 0.1;
/// A node sees few requests of a tenant: half as many again as its quota may be chance.
pub(crate) const QUOTA_TOLERANCE: f64 = 1.5;
/// Requests that find no backend before the queue is left for later.
pub(crate) const MAX_DISPATCH_MISSES: u32 = 8;

// Retries.

/// Client retries for each request left unserved: clients retry once or twice, and the front spreads them.
pub(crate) const RETRIES_PER_UNSERVED: f64 = 2.0;
/// An arrival with less time than the longest by this part of it may be a retry: arrivals jitter.
pub(crate) const SHORT_TIMEOUT_DIVISOR: Nanos = 8;
/// Retry tokens that each arrival earns, and the most that can be saved up.
pub(crate) const RETRY_TOKENS_PER_ARRIVAL: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;
/// A request may fail to reach this many backends: it must not go through all of them.
pub(crate) const MAX_UNREACHED_BACKENDS: usize = 4;

// Outlier ejection.

/// Failures in a row (a refused connection counts double) that make an outlier.
pub(crate) const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 6;
/// An outlier fails this many times as often as the mean backend, of which no more than the second counts.
pub(crate) const OUTLIER_FAILURE_RATIO: f64 = 2.0;
pub(crate) const MAX_MEAN_FAILURE_RATE: f64 = 0.4;
/// Time constant of a backend's failure rate, and the least weight of one attempt in it.
pub(crate) const FAILURE_RATE_TIME_CONSTANT: Nanos = SECOND;
pub(crate) const MIN_FAILURE_WEIGHT: f64 = 0.1;
/// An invalid response comes from all backends alike, or is the fault of the request: it counts as half a
/// failure.
pub(crate) const INVALID_RESPONSE_FAILURE: f64 = 0.5;
/// A timeout counts against its backend from this many expected latencies on.
pub(crate) const TIMEOUT_FAULT_RATIO: f64 = 3.0;
/// First ejection; doubled each time up to 2^5.
pub(crate) const BASE_EJECTION_TIME: Nanos = SECOND;
pub(crate) const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Backoff after a backend rejected an attempt; doubled up to 2^4 while it goes on.
pub(crate) const BASE_REJECTION_BACKOFF: Nanos = 100 * MILLISECOND;
pub(crate) const MAX_REJECTION_DOUBLINGS: u32 = 4;
/// At most this share of the listed backends is ejected (panic threshold).
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.5;

// Concurrency windows.

/// A mean latency above this fraction of its target is congestion for a node among many: the usual latency
/// times `CONGESTION_RISE`, within these bounds; the upper one where nothing is known.
pub(crate) const MIN_CONGESTION_THRESHOLD: f64 = 0.42;
pub(crate) const MAX_CONGESTION_THRESHOLD: f64 = 0.71;
pub(crate) const CONGESTION_RISE: f64 = 1.25;
/// What congestion leaves of a window. More is too slow: congestion is there in seconds, and a response
/// that shows it takes one (a calm day's G was 0.51 where 0.7 was left, 0.58 with half).
pub(crate) const WINDOW_DECREASE_FACTOR: f64 = 0.5;
/// Parts by which a window that is too small grows in a round of responses, until the first congestion and
/// after it. Not by one: ten nodes to a server that each add one a round double what it holds in a round.
pub(crate) const WINDOW_SLOW_START_INCREASE: f64 = 0.25;
pub(crate) const WINDOW_INCREASE: f64 = 0.1;
/// Part of what is not used that each response takes off a window, as a burst would meet all of it at once.
pub(crate) const WINDOW_IDLE_DECAY: f64 = 0.02;
/// Of many nodes, one request at a time of each would keep congestion up.
pub(crate) const MIN_WINDOW: f64 = 0.05;
/// Another zone's window at first: one request in four response times.
pub(crate) const INITIAL_REMOTE_WINDOW: f64 = 0.25;
/// Responses that make up a window's mean latency, at least, and its time constant.
pub(crate) const MIN_WINDOW_SAMPLES: u32 = 5;
pub(crate) const WINDOW_LATENCY_TIME_CONSTANT: Nanos = 4 * SECOND;
/// Part of a zone's window that one backend of the subset may hold, against an even part.
pub(crate) const BACKEND_WINDOW_SKEW: f64 = 1.5;

// Slow start.

/// Least share of its capacity that a backend is taken to have, whatever the rules say.
pub(crate) const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Part of the slow-start budget that nodes together use; the rest is for chance and for late reports.
pub(crate) const SLOW_START_BUDGET_SHARE: f64 = 0.4;
/// Parts by which the measured capacity rises and falls in a refresh: in about 2 s, and in a minute.
pub(crate) const CAPACITY_RISE_RATE: f64 = 0.05;
pub(crate) const CAPACITY_FALL_RATE: f64 = 0.002;
/// A backend counts as using this much at least where its capacity is measured: reports are noisy near 0.
pub(crate) const MIN_MEASURED_UTILISATION: f64 = 0.05;

// Discovery.

/// First backoff after a failed call to discovery; doubled up to 2^4, and jittered by a quarter either way.
pub(crate) const DISCOVERY_BACKOFF: Nanos = 300 * MILLISECOND;
pub(crate) const MAX_DISCOVERY_DOUBLINGS: u32 = 4;
/// Weight of a list in the mean interval between lists, and the longest interval that counts, in seconds.
pub(crate) const LIST_INTERVAL_SMOOTHING: f64 = 0.2;
pub(crate) const MAX_LIST_INTERVAL_S: f64 = 3.0;

// Probes for load reports.

/// Part of the goal that probes may cost at their price.
pub(crate) const MAX_PROBE_COST_SHARE: f64 = 0.002;
/// Part of the work of requests that the work of probes may come to, and the work of one, at its dearest.
pub(crate) const MAX_PROBE_WORK_SHARE: f64 = 0.02;
pub(crate) const PROBE_WORK: Nanos = 5 * MILLISECOND + MILLISECOND / 2;
/// Intervals between two probes of a backend, from the least to the most interesting. Servers renew their
/// reports every 0.4 to 1.1 s, so that more would show the same again; with intervals over the age that a
/// report may have there would be gaps.
pub(crate) const PROBE_INTERVALS: [Nanos; 4] =
    [2500 * MILLISECOND, 1200 * MILLISECOND, 700 * MILLISECOND, 500 * MILLISECOND];
/// So near the overflow threshold a zone's report is about to decide something.
pub(crate) const PROBE_THRESHOLD_MARGIN: f64 = 0.25;
/// A backend is suspect from this failure rate on.
pub(crate) const PROBE_FAILURE_RATE: f64 = 0.3;
