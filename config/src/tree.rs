//! Values with their origins: what files and the environment say, put together.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Serialize;
use toml_edit::{Item, TableLike, Value};

/// Where a value was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// Nowhere: it is the default.
    Default,
    /// In a file, at a line and column that count from 1.
    File {
        /// As it was named.
        file: PathBuf,
        /// Line.
        line: usize,
        /// Column, in characters.
        column: usize,
    },
    /// In the environment, by a variable of this name.
    Environment(String),
}

impl fmt::Display for Origin {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Default => write!(to, "default"),
            Self::File { file, line, column } => write!(to, "{}:{line}:{column}", file.display()),
            Self::Environment(name) => write!(to, "${name}"),
        }
    }
}

/// A text that spans point into.
pub(crate) struct Source {
    pub(crate) file: PathBuf,
    pub(crate) text: String,
    /// Where each line begins: looked up for every key and value.
    lines: Vec<usize>,
}

impl Source {
    pub(crate) fn new(file: PathBuf, text: String) -> Self {
        let after = text.match_indices('\n').map(|(at, _)| at + 1);
        let lines = std::iter::once(0).chain(after).collect();
        Self { file, text, lines }
    }

    pub(crate) fn at(&self, span: Option<Range<usize>>) -> Origin {
        let at = span.map_or(0, |span| span.start).min(self.text.len());
        let line = self.lines.partition_point(|begin| *begin <= at);
        let column = self.text.get(self.lines[line - 1]..at).map_or(0, |before| before.chars().count()) + 1;
        Origin::File { file: self.file.clone(), line, column }
    }

    pub(crate) fn folder(&self) -> &Path {
        self.file.parent().unwrap_or(Path::new(""))
    }
}

/// A value, and where it was given.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) origin: Origin,
    pub(crate) value: Tree,
}

#[derive(Clone, Debug)]
pub(crate) enum Tree {
    Flag(bool),
    Whole(i64),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Table(BTreeMap<String, Node>),
    /// What the form has no use for, as it was written.
    Other(String),
}

impl Node {
    pub(crate) fn of_table(table: &dyn TableLike, origin: Origin, source: &Rc<Source>) -> Self {
        let entry = |(key, item): (&str, &Item)| {
            // A mistake in a field is shown at its key: a value may go over many lines.
            let span = table.key(key).and_then(toml_edit::Key::span).or_else(|| item.span());
            (key.to_owned(), Self::of_item(item, source.at(span), source))
        };
        Self { origin, value: Tree::Table(table.iter().map(entry).collect()) }
    }

    fn of_item(item: &Item, origin: Origin, source: &Rc<Source>) -> Self {
        match item {
            Item::None => Self { origin, value: Tree::Other("nothing".into()) },
            Item::Value(value) => Self::of_value(value, origin, source),
            Item::Table(table) => Self::of_table(table, origin, source),
            Item::ArrayOfTables(tables) => {
                let each = |table: &toml_edit::Table| Self::of_table(table, source.at(table.span()), source);
                Self { origin, value: Tree::List(tables.iter().map(each).collect()) }
            }
        }
    }

    pub(crate) fn of_value(value: &Value, origin: Origin, source: &Rc<Source>) -> Self {
        let value = match value {
            Value::Boolean(flag) => Tree::Flag(*flag.value()),
            Value::Integer(whole) => Tree::Whole(*whole.value()),
            Value::Float(number) => Tree::Number(*number.value()),
            Value::String(text) => Tree::Text(text.value().clone()),
            Value::Datetime(time) => Tree::Other(time.value().to_string()),
            Value::InlineTable(table) => return Self::of_table(table, origin, source),
            Value::Array(list) => {
                let each = |value: &Value| {
                    let at = match &origin {
                        Origin::File { .. } => source.at(value.span()),
                        other => other.clone(),
                    };
                    Self::of_value(value, at, source)
                };
                Tree::List(list.iter().map(each).collect())
            }
        };
        Self { origin, value }
    }

    /// Takes over what another says and this does not. Lists of tables are put one after the other.
    pub(crate) fn fill_from(&mut self, other: Node) {
        match (&mut self.value, other.value) {
            (Tree::Table(own), Tree::Table(others)) => {
                for (name, node) in others {
                    match own.get_mut(&name) {
                        Some(mine) => mine.fill_from(node),
                        None => drop(own.insert(name, node)),
                    }
                }
            }
            (Tree::List(own), Tree::List(others)) if others.iter().all(Self::is_table) => own.extend(others),
            _ => {}
        }
    }

    pub(crate) fn is_table(&self) -> bool {
        matches!(self.value, Tree::Table(_))
    }

    pub(crate) fn text(&self) -> Option<&str> {
        match &self.value {
            Tree::Text(text) => Some(text),
            _ => None,
        }
    }

    /// What was written, short enough for a message.
    pub(crate) fn shown(&self) -> String {
        match &self.value {
            Tree::Flag(flag) => flag.to_string(),
            Tree::Whole(whole) => whole.to_string(),
            Tree::Number(number) => format!("{number:?}"),
            Tree::Text(text) => {
                let short: String = text.chars().take(80).collect();
                format!("{short:?}{}", if short.len() < text.len() { "..." } else { "" })
            }
            Tree::List(list) => format!("a list of {}", list.len()),
            Tree::Table(_) => "a table".into(),
            Tree::Other(text) => text.clone(),
        }
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        match &self.value {
            Tree::Flag(flag) => (*flag).into(),
            Tree::Whole(whole) => (*whole).into(),
            Tree::Number(number) => (*number).into(),
            Tree::Text(text) | Tree::Other(text) => text.as_str().into(),
            Tree::List(list) => list.iter().map(Self::json).collect(),
            Tree::Table(table) => table.iter().map(|(name, node)| (name.clone(), node.json())).collect(),
        }
    }
}
