//! The log: one line of key=value pairs an event, on standard error.

/// Starts it. Called once.
pub fn start() {
    let mut config = simplelog::ConfigBuilder::new();
    config.set_target_level(simplelog::LevelFilter::Off).set_thread_level(simplelog::LevelFilter::Off);
    config.set_location_level(simplelog::LevelFilter::Off);
    let level = simplelog::LevelFilter::Info;
    // It fails only where a log has been started before, in tests.
    let _ = simplelog::WriteLogger::init(level, config.build(), std::io::stderr());
}
