//! Typed access to the fields of a JSON object, with errors that name the field.

use serde_json::{Map, Value};

use crate::error::FieldError;

/// The fields of a JSON object. A field that is null counts as missing.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// The name of the object or message, for error texts.
    pub object: &'a str,
    /// The JSON object.
    pub map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// The error for a field that is missing, or whose value is of the wrong type or not an allowed one.
    pub fn invalid(&self, field: &str) -> FieldError {
        FieldError { object: self.object.to_owned(), field: field.to_owned() }
    }

    /// The value of a required field, of any type but null.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing.
    pub fn required(&self, field: &str) -> Result<&'a Value, FieldError> {
        self.map.get(field).filter(|value| !value.is_null()).ok_or_else(|| self.invalid(field))
    }

    /// The value of a required field that is a signed integer.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not a signed integer of 64 bits.
    pub fn integer(&self, field: &str) -> Result<i64, FieldError> {
        self.required(field)?.as_i64().ok_or_else(|| self.invalid(field))
    }

    /// The value of a required field that is an unsigned integer; a negative value is read as 0.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not an integer of 64 bits.
    pub fn unsigned(&self, field: &str) -> Result<u64, FieldError> {
        let value = self.required(field)?;
        value.as_u64().or_else(|| value.as_i64().map(|_| 0)).ok_or_else(|| self.invalid(field))
    }

    /// The value of an optional field that is an unsigned integer, or `default` if the field is missing.
    ///
    /// # Errors
    /// [`FieldError`] if the field is present and not an integer of 64 bits.
    pub fn unsigned_or(&self, field: &str, default: u64) -> Result<u64, FieldError> {
        if self.is_missing(field) { Ok(default) } else { self.unsigned(field) }
    }

    /// The value of a required field that is a number.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not a number.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field)?.as_f64().ok_or_else(|| self.invalid(field))
    }

    /// The value of an optional field that is a number, or `default` if the field is missing.
    ///
    /// # Errors
    /// [`FieldError`] if the field is present and not a number.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, FieldError> {
        if self.is_missing(field) { Ok(default) } else { self.number(field) }
    }

    /// The value of a required field that is a string.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not a string.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field)?.as_str().ok_or_else(|| self.invalid(field))
    }

    /// The value of a required field that is a boolean.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not a boolean.
    pub fn boolean(&self, field: &str) -> Result<bool, FieldError> {
        self.required(field)?.as_bool().ok_or_else(|| self.invalid(field))
    }

    /// The value of a required field that is an array.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not an array.
    pub fn array(&self, field: &str) -> Result<&'a Vec<Value>, FieldError> {
        self.required(field)?.as_array().ok_or_else(|| self.invalid(field))
    }

    /// The value of a required field that is an array of strings.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing, not an array, or has an element that is not a string.
    pub fn texts(&self, field: &str) -> Result<Vec<String>, FieldError> {
        let text = |value: &Value| value.as_str().map(str::to_owned).ok_or_else(|| self.invalid(field));
        self.array(field)?.iter().map(text).collect()
    }

    /// The fields of a required field that is an object. Errors in these fields name `field` as their object.
    ///
    /// # Errors
    /// [`FieldError`] if the field is missing or not an object.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, FieldError> {
        let map = self.required(field)?.as_object().ok_or_else(|| self.invalid(field))?;
        Ok(Fields { object: field, map })
    }

    fn is_missing(&self, field: &str) -> bool {
        self.map.get(field).is_none_or(Value::is_null)
    }
}
