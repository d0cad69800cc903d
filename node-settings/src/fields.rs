//! Access to the fields of a JSON object, with errors that name the field.

use serde_json::{Map, Value};

use crate::error::FieldError;

/// The fields of a JSON object. A field that is null counts as missing.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// The name of the object or message, for errors.
    pub object: &'a str,
    /// The fields.
    pub map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// The error for a field that is missing or of the wrong type.
    pub fn invalid(&self, field: &str) -> FieldError {
        FieldError { object: self.object.to_owned(), field: field.to_owned() }
    }

    /// A required value of any type.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing.
    pub fn required(&self, field: &str) -> Result<&'a Value, FieldError> {
        self.map.get(field).filter(|value| !value.is_null()).ok_or_else(|| self.invalid(field))
    }

    /// A signed integer.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no integer of 64 bits.
    pub fn integer(&self, field: &str) -> Result<i64, FieldError> {
        self.required(field)?.as_i64().ok_or_else(|| self.invalid(field))
    }

    /// An unsigned integer; a negative one is read as 0.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no integer of 64 bits.
    pub fn unsigned(&self, field: &str) -> Result<u64, FieldError> {
        let value = self.required(field)?;
        value.as_u64().or_else(|| value.as_i64().map(|_| 0)).ok_or_else(|| self.invalid(field))
    }

    /// An unsigned integer, or `default` if the field is missing.
    ///
    /// # Errors
    /// [`FieldError`] if the field is no integer of 64 bits.
    pub fn unsigned_or(&self, field: &str, default: u64) -> Result<u64, FieldError> {
        if self.is_missing(field) { Ok(default) } else { self.unsigned(field) }
    }

    /// A number.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no number.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field)?.as_f64().ok_or_else(|| self.invalid(field))
    }

    /// A number, or `default` if the field is missing.
    ///
    /// # Errors
    /// [`FieldError`] if the field is no number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, FieldError> {
        if self.is_missing(field) { Ok(default) } else { self.number(field) }
    }

    /// A string.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no string.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field)?.as_str().ok_or_else(|| self.invalid(field))
    }

    /// A boolean.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no boolean.
    pub fn boolean(&self, field: &str) -> Result<bool, FieldError> {
        self.required(field)?.as_bool().ok_or_else(|| self.invalid(field))
    }

    /// An array.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no array.
    pub fn array(&self, field: &str) -> Result<&'a Vec<Value>, FieldError> {
        self.required(field)?.as_array().ok_or_else(|| self.invalid(field))
    }

    /// An array of strings.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing, no array, or has an element that is no string.
    pub fn texts(&self, field: &str) -> Result<Vec<String>, FieldError> {
        let text = |value: &Value| value.as_str().map(str::to_owned).ok_or_else(|| self.invalid(field));
        self.array(field)?.iter().map(text).collect()
    }

    /// An object.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or no object.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, FieldError> {
        let map = self.required(field)?.as_object().ok_or_else(|| self.invalid(field))?;
        Ok(Fields { object: field, map })
    }

    fn is_missing(&self, field: &str) -> bool {
        self.map.get(field).is_none_or(Value::is_null)
    }
}
