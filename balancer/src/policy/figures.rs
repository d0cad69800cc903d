//! The settings of the policy: every threshold, weight, period and bound, with the reason beside it.

use crate::api::Nanos;
use crate::state::SECOND;

pub(crate) const MS: Nanos = SECOND / 1000;

/// Housekeeping period: fine enough against aims of tens of milliseconds, coarse enough to cost no CPU.
pub(crate) const HOUSEKEEPING_INTERVAL: Nanos = 10 * MS;
/// Period of the overflow target's scoring: the time that a send needs to show in a report, or so.
pub(crate) const REFRESH_INTERVAL: Nanos = 100 * MS;
/// A zone at or over this utilisation spills. Lower, loaded zones swap requests and pay for each crossing;
/// higher, queues grow faster than figures arrive.
pub(crate) const OVERFLOW_THRESHOLD: f64 = 0.85;
/// The same where many nodes share the zones, and figures tell late what all of them have done.
pub(crate) const SHARED_OVERFLOW_THRESHOLD: f64 = 0.75;
/// So much less use than home's a zone must report to take what home spills, where nodes are few.
pub(crate) const MIN_OVERFLOW_GAIN: f64 = 0.1;
/// Weights of headroom and of latency saved in a zone's score; headroom decides unless zones are alike.
pub(crate) const HEADROOM_WEIGHT: f64 = 0.7;
pub(crate) const LATENCY_WEIGHT: f64 = 0.3;
/// Time constant of a backend's smoothed utilisation: some report periods.
pub(crate) const UTILISATION_TIME_CONSTANT: Nanos = 400 * MS;
/// A utilisation older than this says nothing; a zone with no younger one counts as unseen.
pub(crate) const UTILISATION_MAX_AGE: Nanos = 4 * SECOND;
/// No backend has more than all of its cores in use; what its noise may add, and no more, is believed.
pub(crate) const MAX_UTILISATION: f64 = 1.5;
/// Time constant of a backend's slowness: tens of answers, yet within a neighbour's seconds on and off.
pub(crate) const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// An unused backend's slowness is forgotten with this time constant, so that it is tried again.
pub(crate) const SLOWNESS_DECAY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Samples over which a class's base time is learned; slow against a day's troubles.
pub(crate) const MAX_LATENCY_SAMPLES: f64 = 400.0;
/// Samples from which on a class's base time is good enough to compare backends by.
pub(crate) const MIN_LATENCY_SAMPLES: f64 = 30.0;
/// Weight of a sample above the base time against one below it.
pub(crate) const LATENCY_RISE_WEIGHT: f64 = 0.4;
/// Load of an idle backend in the expected delay, in own requests; small, as others' load grows with own.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// Least weight of a sample in the time for each request, should that have become too short to be seen.
pub(crate) const MIN_LOAD_SAMPLE_WEIGHT: f64 = 0.1;
/// One observation counts at most this many times the expectation: single expensive requests are chance.
pub(crate) const MAX_LATENCY_RATIO: f64 = 6.0;
/// Spread of the pick's jitter, so that nodes with the same view do not herd.
pub(crate) const PICK_JITTER: f64 = 0.1;
/// No backend is filled beyond the load at which an answer takes this many times an idle backend's: with more
/// work waiting than that for a second or two, a backend turns several times slower and stays so.
pub(crate) const MAX_QUEUEING_RATIO: f64 = 1.25;
/// So small a load crowds no backend, whatever its answers say.
pub(crate) const MIN_LOAD_LIMIT: f64 = 4.0;
/// A send is admitted if its expected delay fits into this share of the time left to its aim.
pub(crate) const ADMISSION_SHARE: f64 = 0.6;
/// The same for a repeat within the node: its time is nearly up, and its work is half done.
pub(crate) const RETRY_ADMISSION_SHARE: f64 = 1.0;
/// An idle backend no slower than this takes one at any expected delay, should base times exceed the aim.
pub(crate) const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// A backend that reports less use than this has room for what may be late.
pub(crate) const SPARE_UTILISATION: f64 = 0.7;
/// What a backend's report makes of the load that would crowd one. Reporting less use than this it may hold
/// more, up to twice as much where it reports none: what it holds waits for others then, not for its cores.
pub(crate) const LOW_UTILISATION: f64 = 0.7;
pub(crate) const LOW_UTILISATION_BONUS: f64 = 1.0;
/// Reporting more use than this it may hold less, down to half where all its cores are busy: more waits there
/// than it works on, put there by all nodes, and a second or two of that chokes it.
pub(crate) const HIGH_UTILISATION: f64 = 0.8;
pub(crate) const HIGH_UTILISATION_PENALTY: f64 = 0.5;
/// A class worth less may use this share of the room of the next worthier one at most; so may requests beyond
/// their tenant's share, of the room of those within.
pub(crate) const LOWER_PRIORITY_SHARE: f64 = 0.8;
/// Repeats for each request left unserved: clients repeat once or twice, and the front spreads them.
pub(crate) const RETRIES_PER_UNSERVED: f64 = 2.0;
/// Retries that each arrival earns, and the most that can be saved up.
pub(crate) const RETRY_TOKENS_PER_ARRIVAL: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;
/// Failures in a row (a broken or refused connection counts double) that make an outlier.
pub(crate) const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 6;
/// A time-out counts against its backend from so many base times on.
pub(crate) const TIMEOUT_FAULT_RATIO: f64 = 3.0;
/// First ejection; doubled each time up to 2^5.
pub(crate) const BASE_EJECTION_TIME: Nanos = SECOND;
/// Wait after a backend sent work away as full; doubled up to 2^4 while it goes on.
pub(crate) const BASE_REJECTION_BACKOFF: Nanos = 100 * MS;
/// At most this share of the listed backends is ejected (panic threshold).
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.5;
/// With more nodes a zone than this, own requests in flight say nothing of a backend's load: the pick then
/// goes by what the list or the reports tell all nodes, and by chance.
pub(crate) const MANY_NODES_PER_ZONE: f64 = 8.0;
/// Backends of a zone that one of many nodes uses as long as one of them can take the request.
pub(crate) const SUBSET_SIZE: usize = 4;
/// Part of its aim that the mean answer may take before it is strain for a node among many: at least, and
/// where more is usual or nothing is known, at most; and how many times what answers took at their quickest.
pub(crate) const STRAINED: (f64, f64) = (0.42, 0.71);
pub(crate) const CONGESTION_RISE: f64 = 1.25;
/// What strain leaves of a window. More is too slow: a jam is there in seconds, and an answer that tells of
/// it takes one (a calm day's G was 0.51 where 0.7 was left, 0.58 with half).
pub(crate) const WINDOW_DECREASE_FACTOR: f64 = 0.5;
/// Parts by which a window that is too small grows in a round of answers, until the first strain and after
/// it. Not by one: ten nodes to a server that each add one a round double what it holds in a round.
pub(crate) const WINDOW_RISE: (f64, f64) = (0.25, 0.1);
/// Part of what is not used that each answer takes off a window, as a burst would meet all of it at once.
pub(crate) const WINDOW_IDLE_DECAY: f64 = 0.02;
/// The least window: of many nodes, one request at a time of each would keep a jam up.
pub(crate) const MIN_WINDOW: f64 = 0.05;
/// Another zone's window at first: one request in four answers' times.
pub(crate) const INITIAL_REMOTE_WINDOW: f64 = 0.25;
/// Answers that make up its mean, at least.
pub(crate) const MIN_WINDOW_SAMPLES: u32 = 5;
/// Part of a zone's window that one backend of the subset may hold, against an even part.
pub(crate) const BACKEND_WINDOW_SKEW: f64 = 1.5;
/// Part of the difference to the wanted load that one list's figures correct, in the share that spills.
pub(crate) const OVERFLOW_GAIN: f64 = 0.5;
/// Fewest arrivals for each backend until the next figures: a node that has just started has counted none.
pub(crate) const MIN_EXPECTED_ARRIVALS: f64 = 10.0;
/// Part of the cold budget that nodes together use; the rest is for chance and for late figures.
pub(crate) const SLOW_START_BUDGET_SHARE: f64 = 0.4;
/// Parts by which the measured capacity rises and falls in a refresh: in about 2 s, and in a minute.
pub(crate) const CAPACITY_RISE_RATE: f64 = 0.05;
pub(crate) const CAPACITY_FALL_RATE: f64 = 0.002;
/// Weight of a request in its class's mean cost.
pub(crate) const WORK_SMOOTHING: f64 = 0.01;
/// First wait after a failed call to discovery; doubled up to 2^4, jittered.
pub(crate) const DISCOVERY_BACKOFF: Nanos = 300 * MS;
/// Up to so many backends are looked at one by one for a request; of more in a zone only a sample is, and
/// what is known of all together is renewed with the overflow target. The best of 32 drawn by chance is
/// among the best tenth of all in 97 of 100 draws.
pub(crate) const MAX_SCANNED_BACKENDS: usize = 128;
pub(crate) const PICK_SAMPLE_SIZE: usize = 32;
/// Part of the goal that probes may cost at their price.
pub(crate) const MAX_PROBE_COST_SHARE: f64 = 0.002;
/// Part of the work of requests that the work of probes may come to, and the work of one, at its dearest.
pub(crate) const MAX_PROBE_WORK_SHARE: f64 = 0.02;
pub(crate) const PROBE_WORK: Nanos = 5 * MS + MS / 2;
/// Waits between two probes of a backend, from those that change next to nothing to those most wanted.
/// Servers renew their figures every 0.4 to 1.1 s, so that more would tell the same again; with waits over
/// the trust in a figure there would be gaps.
pub(crate) const PROBE_INTERVALS: [Nanos; 4] = [2500 * MS, 1200 * MS, 700 * MS, 500 * MS];
/// So near the threshold a zone's figure is about to decide something.
pub(crate) const PROBE_THRESHOLD_MARGIN: f64 = 0.25;
/// Share of failures from which on a backend is suspect.
pub(crate) const PROBE_FAILURE_RATE: f64 = 0.3;
/// A home zone that reports less use than this has places that are about to come free, and a request waits
/// for one for this part of its aim before it crosses: twice as long as a place takes to come free there.
pub(crate) const WAIT_FOR_HOME_UTILISATION: f64 = 0.6;
pub(crate) const WAIT_FOR_HOME_SHARE: f64 = 0.15;
/// So many figures stand for a zone's usable backends, or those of half of these.
pub(crate) const MIN_REPORTING_BACKENDS: usize = 3;
/// Share of a zone's backends that were not reached last, from which on it counts as cut off.
pub(crate) const UNREACHABLE_SHARE: f64 = 0.5;
