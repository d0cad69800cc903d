//! Properties of a field: the kind of its values, and whether it may be omitted.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::name::is_name;
use crate::node::{Node, NodeValue};

/// The kind of a field's values.
pub(crate) enum Kind {
    Boolean,
    /// An integer between these bounds, inclusive.
    Integer(u64, u64),
    /// A number between these bounds, inclusive; integers are accepted as well.
    Number(f64, f64),
    /// ASCII letters, digits and `- _ .`, at most 64, the first one a letter or digit.
    Name,
    Path,
    OneOf(&'static [&'static str]),
    /// An IP address with a port.
    Address,
    /// A list of distinct names.
    NameList,
    /// A table of labels; keys and values have the form of a name.
    Labels,
    Table(&'static [Field]),
    /// Any number of tables (`[[...]]`), each with a `name`.
    TableList(&'static [Field]),
}

/// What happens if a field is omitted.
pub(crate) enum Presence {
    /// The omission is an error.
    Required,
    /// The field has no value.
    Optional,
    /// The field has this value, in TOML notation.
    Default(&'static str),
}

/// A field of the schema.
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) presence: Presence,
    pub(crate) purpose: &'static str,
}

impl Kind {
    /// Whether a value is of this kind. Always false for `Table` and `TableList`, whose fields are validated one by one.
    pub(crate) fn accepts(&self, value: &NodeValue) -> bool {
        match (self, value) {
            (Self::Boolean, NodeValue::Boolean(_)) => true,
            (Self::Integer(min, max), NodeValue::Integer(integer)) => {
                u64::try_from(*integer).is_ok_and(|integer| (*min..=*max).contains(&integer))
            }
            (Self::Number(min, max), NodeValue::Number(number)) => (*min..=*max).contains(number),
            (Self::Name, NodeValue::Text(text)) => is_name(text),
            (Self::Path, NodeValue::Text(text)) => !text.is_empty() && !text.contains('\0'),
            (Self::OneOf(words), NodeValue::Text(text)) => words.contains(&text.as_str()),
            (Self::Address, NodeValue::Text(text)) => text.parse::<SocketAddr>().is_ok(),
            (Self::NameList, NodeValue::List(list)) => are_distinct_names(list),
            (Self::Labels, NodeValue::Table(table)) => {
                table.iter().all(|(name, label)| is_name(name) && label.text().is_some_and(is_name))
            }
            _ => false,
        }
    }

    /// Whether values are text, so that an environment variable may give a value without quotation marks.
    pub(crate) fn is_text(&self) -> bool {
        matches!(self, Self::Name | Self::Path | Self::OneOf(_) | Self::Address)
    }

    /// Description of valid values, for operators.
    pub(crate) fn expected(&self) -> String {
        match self {
            Self::Boolean => "true or false".into(),
            Self::Integer(min, max) if min == max => format!("{min}"),
            Self::Integer(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Name => {
                "a name of letters, digits, '-', '_' and '.', 64 at most, a letter or digit first".into()
            }
            Self::Path => "a path, as text".into(),
            Self::OneOf(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::Address => "an address with a port, as in \"127.0.0.1:9000\"".into(),
            Self::NameList => "a list of names, each once".into(),
            Self::Labels => "words by name, as in { tier = \"front\" }".into(),
            Self::Table(_) => "a table".into(),
            Self::TableList(_) => "tables, each under [[...]]".into(),
        }
    }
}

fn are_distinct_names(list: &[Node]) -> bool {
    let mut seen = BTreeSet::new();
    list.iter().all(|node| node.text().is_some_and(|name| is_name(name) && seen.insert(name)))
}
