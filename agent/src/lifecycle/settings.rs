//! Settings of an instance's lifecycle.

/// A time on a monotonic clock, or a duration, in nanoseconds. An input with an earlier time than the input before is handled as if its
/// time were the same.
pub type Nanos = u64;

/// Timeouts and limits of an instance's lifecycle, from the `agent` section of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleSettings {
    /// Time from the start of a process until it must serve; it is killed otherwise.
    pub ready_timeout: Nanos,
    /// Time for a process to drain before it exits; it is terminated after that, even with requests in flight.
    pub drain_timeout: Nanos,
    /// Time for a process to exit after its termination (SIGTERM); it is killed after that.
    pub stop_timeout: Nanos,
    /// Time without a report after which a process is unresponsive. It is killed when it stays unresponsive for twice this time.
    pub silence_timeout: Nanos,
    /// The back-off after the first crash; it doubles with each further crash.
    pub initial_backoff: Nanos,
    /// Upper limit of the back-off.
    pub max_backoff: Nanos,
    /// Number of crashes within the window that make a crash loop.
    pub crash_loop_threshold: usize,
    /// The window in which crashes are counted. For an instance that served at least this long before a crash, the back-off restarts
    /// at its initial value.
    pub crash_loop_window: Nanos,
}
