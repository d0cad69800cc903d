//! The process's log: one line of key=value pairs for each event, on standard error.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Installs the logger. Called once, before the role starts.
pub fn install() {
    let mut config = ConfigBuilder::new();
    config.set_target_level(LevelFilter::Off).set_thread_level(LevelFilter::Off);
    config.set_location_level(LevelFilter::Off);
    // Fails only where a logger is installed already, as in tests.
    let _ = WriteLogger::init(LevelFilter::Info, config.build(), std::io::stderr());
}
