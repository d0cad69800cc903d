//! Errors of the settings file.

/// The environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "IVYHATCH_SETTINGS";

/// Why the settings of a process can't be read. The process must not start.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable with the path of the file is not set.
    #[error("{SETTINGS_PATH_VARIABLE} is not set: let it hold the path of the settings file")]
    Unset,
    /// The file can't be read.
    #[error("settings file {path}: {source}: check the path and who may read it")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is no JSON, or a field is missing or of the wrong type.
    #[error("settings file {path}: {source}: correct that field; nothing was started")]
    Malformed {
        /// The path of the file.
        path: String,
        /// What is wrong, with the name of the field.
        source: Box<figment::Error>,
    },
    /// The settings have no address for a listener that the role needs.
    #[error("settings file: listen.{field} is missing: give the role {role:?} an address for what it serves")]
    MissingAddress {
        /// The name of the field under `listen`.
        field: &'static str,
        /// The role.
        role: String,
    },
}
