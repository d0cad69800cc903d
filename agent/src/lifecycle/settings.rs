//! Timeouts and limits of an instance's lifecycle.

/// A time or span in nanoseconds, on a monotonic clock. A time before an earlier one counts as that one.
pub type Nanos = u64;

/// Timeouts and limits, as the configuration gives them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleSettings {
    /// A process that does not serve within this time after its start is killed.
    pub ready_timeout: Nanos,
    /// A process that is to exit and has not drained within this time is asked to exit all the same.
    pub drain_timeout: Nanos,
    /// A process that does not exit within this time after it was asked to is killed.
    pub stop_timeout: Nanos,
    /// A process that does not report for this time is unresponsive; after twice that it is killed.
    pub silence_timeout: Nanos,
    /// The back-off after the first crash; it doubles with each further one.
    pub initial_backoff: Nanos,
    /// The longest back-off.
    pub max_backoff: Nanos,
    /// So many crashes within the window are a crash loop.
    pub crash_loop_threshold: usize,
    /// The window in which crashes are counted. An instance that served for so long starts with the first back-off again.
    pub crash_loop_window: Nanos,
}
