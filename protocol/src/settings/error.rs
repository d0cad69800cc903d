//! Errors of reading the settings file.

/// The environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "IVYHATCH_SETTINGS";

/// Why the settings of a process can't be read. The process must not start.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable with the path of the file is not set.
    #[error(
        "environment variable {SETTINGS_PATH_VARIABLE} is not set: set it to the path of the settings file"
    )]
    Unset,
    /// The file can't be read.
    #[error("settings file {path} can't be read: {source}: check the path and the permissions of the file")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or of the wrong type.
    #[error("settings file {path} is invalid: {source}: correct the file; its settings were not applied")]
    Malformed {
        /// The path of the file.
        path: String,
        /// The error of the parser, with the name of the field.
        source: Box<figment::Error>,
    },
    /// The settings have no address for a listener that the role needs.
    #[error("settings file: listen.{field} is missing: add the address at which the role {role:?} listens")]
    MissingAddress {
        /// The name of the field under `listen`.
        field: &'static str,
        /// The role of the process.
        role: String,
    },
}
