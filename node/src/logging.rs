//! Set-up of the process's log.

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Sends this process's log to standard error. Panics if it is called twice.
pub fn init_logging(level: tracing::Level, format: LogFormat) {
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.with_ansi(false).init(),
    }
}
