//! The log of the process on standard error: one line of key=value pairs for each event.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Installs the logger. Called once, before the role starts.
pub fn install() {
    let mut config = ConfigBuilder::new();
    config.set_target_level(LevelFilter::Off).set_thread_level(LevelFilter::Off);
    config.set_location_level(LevelFilter::Off);
    // Fails only if a logger is already installed, as in tests.
    let _ = WriteLogger::init(LevelFilter::Info, config.build(), std::io::stderr());
}
