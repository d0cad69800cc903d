//! Errors of the settings object.

/// A field that is missing or of the wrong type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}: field {field} is missing or of the wrong type")]
pub struct FieldError {
    /// The name of the object or message that the field belongs to.
    pub object: String,
    /// The name of the field.
    pub field: String,
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings are no JSON object.
    #[error("settings: not an object")]
    NotAnObject,
    /// An item of this list is no JSON object.
    #[error("settings: {list}: not objects")]
    ItemNotAnObject {
        /// The name of the list.
        list: &'static str,
    },
    /// A field is missing or of the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The price of a probe is no number.
    #[error("prices: field probe is of the wrong type")]
    ProbePrice,
}
