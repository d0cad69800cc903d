//! The tree of values from files and the environment, each value with its origin.

use std::collections::BTreeMap;
use std::rc::Rc;

use toml_edit::{Item, TableLike, Value};

use crate::name::is_name;
use crate::origin::{Origin, Source};

/// Maximum number of characters of a text value in a message; the rest is cut off.
const MAX_DISPLAYED_CHARS: usize = 80;

/// A value with its origin.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) origin: Origin,
    pub(crate) value: NodeValue,
}

/// A value of any TOML type.
#[derive(Clone, Debug)]
pub(crate) enum NodeValue {
    Boolean(bool),
    Integer(i64),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Table(BTreeMap<String, Node>),
    /// A value of a type that the schema does not use, such as a date, as text.
    Other(String),
}

impl Node {
    /// An empty table.
    pub(crate) fn empty_table(origin: Origin) -> Self {
        Self { origin, value: NodeValue::Table(BTreeMap::new()) }
    }

    pub(crate) fn from_text(text: &str, origin: Origin) -> Self {
        Self { origin, value: NodeValue::Text(text.to_owned()) }
    }

    /// Parses a value in TOML notation; a value that is not valid TOML is taken as text.
    pub(crate) fn from_literal(text: &str, origin: Origin) -> Self {
        match text.parse::<toml_edit::Value>() {
            Ok(value) => {
                let source = Rc::new(Source::new(Default::default(), String::new()));
                Self::from_toml_value(&value, origin, &source)
            }
            Err(_) => Self::from_text(text, origin),
        }
    }

    /// Converts a table of a TOML document.
    pub(crate) fn from_toml_table(table: &dyn TableLike, origin: Origin, source: &Rc<Source>) -> Self {
        let entry = |(key, item): (&str, &Item)| {
            // The origin of a field is its key, as a value may span many lines.
            let span = table.key(key).and_then(toml_edit::Key::span).or_else(|| item.span());
            (key.to_owned(), Self::from_toml_item(item, source.origin(span), source))
        };
        Self { origin, value: NodeValue::Table(table.iter().map(entry).collect()) }
    }

    fn from_toml_item(item: &Item, origin: Origin, source: &Rc<Source>) -> Self {
        match item {
            Item::None => Self { origin, value: NodeValue::Other("nothing".into()) },
            Item::Value(value) => Self::from_toml_value(value, origin, source),
            Item::Table(table) => Self::from_toml_table(table, origin, source),
            Item::ArrayOfTables(tables) => {
                let entry = |table: &toml_edit::Table| {
                    Self::from_toml_table(table, source.origin(table.span()), source)
                };
                Self { origin, value: NodeValue::List(tables.iter().map(entry).collect()) }
            }
        }
    }

    fn from_toml_value(value: &Value, origin: Origin, source: &Rc<Source>) -> Self {
        let value = match value {
            Value::Boolean(boolean) => NodeValue::Boolean(*boolean.value()),
            Value::Integer(integer) => NodeValue::Integer(*integer.value()),
            Value::Float(number) => NodeValue::Number(*number.value()),
            Value::String(text) => NodeValue::Text(text.value().clone()),
            Value::Datetime(time) => NodeValue::Other(time.value().to_string()),
            Value::InlineTable(table) => return Self::from_toml_table(table, origin, source),
            Value::Array(list) => {
                let entry = |value: &Value| {
                    let origin = match &origin {
                        Origin::File { .. } => source.origin(value.span()),
                        other => other.clone(),
                    };
                    Self::from_toml_value(value, origin, source)
                };
                NodeValue::List(list.iter().map(entry).collect())
            }
        };
        Self { origin, value }
    }

    /// Adds the values of another node that this one does not have; existing values take precedence. Lists of tables are concatenated.
    pub(crate) fn merge(&mut self, other: Node) {
        match (&mut self.value, other.value) {
            (NodeValue::Table(own), NodeValue::Table(others)) => {
                for (name, node) in others {
                    match own.get_mut(&name) {
                        Some(existing) => existing.merge(node),
                        None => drop(own.insert(name, node)),
                    }
                }
            }
            (NodeValue::List(own), NodeValue::List(others)) if others.iter().all(Self::is_table) => {
                own.extend(others)
            }
            _ => {}
        }
    }

    pub(crate) fn is_table(&self) -> bool {
        matches!(self.value, NodeValue::Table(_))
    }

    pub(crate) fn text(&self) -> Option<&str> {
        match &self.value {
            NodeValue::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn integer(&self) -> Option<i64> {
        match self.value {
            NodeValue::Integer(integer) => Some(integer),
            _ => None,
        }
    }

    /// A field of this table; `None` if the field is missing or this node is not a table.
    pub(crate) fn field(&self, name: &str) -> Option<&Node> {
        match &self.value {
            NodeValue::Table(table) => table.get(name),
            _ => None,
        }
    }

    /// The entries of the list in a field of this table; empty if there is no such list.
    pub(crate) fn entries(&self, name: &str) -> &[Node] {
        match self.field(name).map(|node| &node.value) {
            Some(NodeValue::List(list)) => list,
            _ => &[],
        }
    }

    /// The label of a table of a list in a path: its `name` if that is valid, its index otherwise.
    pub(crate) fn label(&self, index: usize) -> String {
        let name = self.field("name").and_then(Node::text).filter(|name| is_name(name));
        name.map_or_else(|| index.to_string(), str::to_owned)
    }

    /// The value as written, shortened for a message.
    pub(crate) fn display(&self) -> String {
        match &self.value {
            NodeValue::Boolean(boolean) => boolean.to_string(),
            NodeValue::Integer(integer) => integer.to_string(),
            NodeValue::Number(number) => format!("{number:?}"),
            NodeValue::Text(text) => {
                let start: String = text.chars().take(MAX_DISPLAYED_CHARS).collect();
                let ellipsis = if start.len() < text.len() { "..." } else { "" };
                format!("{start:?}{ellipsis}")
            }
            NodeValue::List(list) => format!("a list of {}", list.len()),
            NodeValue::Table(_) => "a table".into(),
            NodeValue::Other(text) => text.clone(),
        }
    }

    /// The value as JSON, without origins.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        match &self.value {
            NodeValue::Boolean(boolean) => (*boolean).into(),
            NodeValue::Integer(integer) => (*integer).into(),
            NodeValue::Number(number) => (*number).into(),
            NodeValue::Text(text) | NodeValue::Other(text) => text.as_str().into(),
            NodeValue::List(list) => list.iter().map(Self::to_json).collect(),
            NodeValue::Table(table) => {
                table.iter().map(|(name, node)| (name.clone(), node.to_json())).collect()
            }
        }
    }
}
