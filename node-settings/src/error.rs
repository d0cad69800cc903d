//! The errors for which a settings object is rejected.

/// The error for a field that is missing, or whose value is of the wrong type or not an allowed one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}: field {field} is missing or of the wrong type")]
pub struct FieldError {
    /// The object or message that the field belongs to, as it is named in the error text.
    pub object: String,
    /// The name of the field.
    pub field: String,
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The settings are not a JSON object.
    #[error("settings: not an object")]
    NotAnObject,
    /// An item of the list is not a JSON object.
    #[error("settings: {list}: not objects")]
    ItemNotAnObject {
        /// The name of the list.
        list: &'static str,
    },
    /// A field is missing, of the wrong type or not one of the allowed values.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The price of a probe is not a number.
    #[error("prices: field probe is of the wrong type")]
    ProbePrice,
}
