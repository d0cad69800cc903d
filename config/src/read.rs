//! Files, what they include, and the environment.

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use std::rc::Rc;

use toml_edit::Document;

use crate::check::{Check, entries, get, join, label, literal, nearest};
use crate::schema::{FILE, Field, Kind};
use crate::tree::{Node, Origin, Source, Tree};
use crate::typed::Config;
use crate::{Mistake, PREFIX, Setting};

/// No file is larger; what is, is none.
const LARGEST: u64 = 16 << 20;

/// A configuration that has no mistake.
#[derive(Clone, Debug)]
pub struct Read {
    /// As the program has it.
    pub config: Config,
    /// Each value in force and where it came from, in the order of the form.
    pub settings: Vec<Setting>,
    /// The files that it was read from, the named one first.
    pub files: Vec<PathBuf>,
}

/// Reads a file, those that it includes, and the overrides among these variables. What a file says itself goes before what
/// it includes, an earlier inclusion before a later one, and the environment before all. Tables with names
/// (`[[instance]]`) are put together.
///
/// # Errors
/// All mistakes, in the order of their places.
pub fn read(file: &Path, environment: impl Iterator<Item = (String, String)>) -> Result<Read, Vec<Mistake>> {
    let mut reader = Reader { mistakes: Vec::new(), files: Vec::new(), open: Vec::new() };
    let root = reader.file(file, None);
    let Reader { mut mistakes, files, .. } = reader;
    let Some(mut root) = root else { return Err(mistakes) };
    let overrides: BTreeMap<String, String> =
        environment.filter(|(name, _)| name.starts_with(PREFIX)).collect();
    for (name, value) in overrides {
        override_one(&mut root, &name, &value, &mut mistakes);
    }
    Check { mistakes: &mut mistakes }.file(&mut root);
    if !mistakes.is_empty() {
        let place = |mistake: &Mistake| match &mistake.at {
            Origin::File { file, line, column } => {
                let number = files.iter().position(|known| known == file);
                (number.unwrap_or(usize::MAX), *line, *column)
            }
            _ => (usize::MAX, 0, 0),
        };
        mistakes.sort_by_key(place);
        return Err(mistakes);
    }
    let config = serde_json::from_value(root.json()).map_err(|error| {
        // The form has let through what the program can't have: a mistake of this package, told all the same.
        let at = root.origin.clone();
        vec![Mistake { at, field: String::new(), what: error.to_string(), mend: "please report this".into() }]
    })?;
    let mut settings = Vec::new();
    list(&root, FILE, "", &mut settings);
    Ok(Read { config, settings, files })
}

struct Reader {
    mistakes: Vec<Mistake>,
    files: Vec<PathBuf>,
    /// Files that are being read now: one that includes itself, by whatever way, has no end.
    open: Vec<PathBuf>,
}

impl Reader {
    fn wrong(&mut self, at: Origin, field: &str, what: String, mend: &str) {
        self.mistakes.push(Mistake { at, field: field.into(), what, mend: mend.into() });
    }

    fn file(&mut self, file: &Path, included: Option<Origin>) -> Option<Node> {
        let place = |line, column| Origin::File { file: file.to_owned(), line, column };
        let told_at = included.clone().unwrap_or_else(|| place(1, 1));
        let field = if included.is_some() { "include" } else { "" };
        let text = match text_of(file) {
            Ok(text) => text,
            Err(error) => {
                let what = format!("{} can't be read: {error}", file.display());
                self.wrong(told_at, field, what, "a file that is there and may be read");
                return None;
            }
        };
        let whole = std::fs::canonicalize(file).unwrap_or_else(|_| file.to_owned());
        if self.open.contains(&whole) {
            let what = format!("{} includes itself in the end", file.display());
            self.wrong(told_at, field, what, "files that do not include one another in a ring");
            return None;
        }
        self.files.push(file.to_owned());
        let source = Rc::new(Source::new(file.to_owned(), text));
        let document = match Document::parse(source.text.as_str()) {
            Ok(document) => document,
            Err(error) => {
                let what = error.message().trim_end().replace('\n', ", ");
                self.wrong(source.at(error.span()), "", what, "the file has to be TOML");
                return None;
            }
        };
        let mut root = Node::of_table(document.as_table(), place(1, 1), &source);
        let Tree::Table(table) = &mut root.value else { return None };
        let Some(includes) = table.remove("include") else { return Some(root) };
        self.open.push(whole);
        let paths = match &includes.value {
            Tree::List(list) if list.iter().all(|path| path.text().is_some()) => list.as_slice(),
            _ => {
                let mend = "a list of files, as in [\"classes.toml\"]";
                self.wrong(includes.origin.clone(), "include", includes.shown(), mend);
                &[]
            }
        };
        for path in paths {
            let named = tidy(&source.folder().join(path.text().unwrap_or_default()));
            if let Some(other) = self.file(&named, Some(path.origin.clone())) {
                root.fill_from(other);
            }
        }
        self.open.pop();
        Some(root)
    }
}

fn text_of(file: &Path) -> std::io::Result<String> {
    let size = std::fs::metadata(file)?.len();
    if size > LARGEST {
        return Err(std::io::Error::other(format!("{size} bytes; {LARGEST} at most")));
    }
    std::fs::read_to_string(file)
}

/// The path without `.` in it, as it is shown.
fn tidy(path: &Path) -> PathBuf {
    path.components().filter(|part| !matches!(part, Component::CurDir)).collect()
}

/// `IVYHATCH_LIMITS__SOCKETS`, or `IVYHATCH_INSTANCE__n0__LISTEN` for one of several.
fn override_one(root: &mut Node, variable: &str, value: &str, mistakes: &mut Vec<Mistake>) {
    let origin = Origin::Environment(variable.to_owned());
    let mut wrong = |field: &str, what: &str, mend: String| {
        let (at, field, what) = (origin.clone(), field.to_owned(), what.to_owned());
        mistakes.push(Mistake { at, field, what, mend });
    };
    let parts: Vec<&str> = variable[PREFIX.len()..].split("__").collect();
    let (mut node, mut fields, mut path) = (root, FILE, String::new());
    let mut parts = parts.into_iter();
    while let Some(part) = parts.next() {
        let word = part.to_ascii_lowercase();
        let Some(field) = fields.iter().find(|field| field.name == word) else {
            let words = || fields.iter().map(|field| field.name);
            let mend = match nearest(&word, words()) {
                Some(near) => format!("did you mean \"{}\"?", near.to_ascii_uppercase()),
                None => format!("one of {}", words().collect::<Vec<_>>().join(", ").to_ascii_uppercase()),
            };
            return wrong(&join(&path, &word), "unknown field", mend);
        };
        path = join(&path, &word);
        let Tree::Table(table) = &mut node.value else { return };
        match &field.kind {
            Kind::Table(inner) => {
                let empty = || Node { origin: origin.clone(), value: Tree::Table(BTreeMap::new()) };
                (node, fields) = (table.entry(word).or_insert_with(empty), inner);
            }
            Kind::Tables(inner) => {
                let Some(name) = parts.next() else {
                    return wrong(&path, "no single value", format!("{variable}__NAME__FIELD"));
                };
                let list = match table.get_mut(&word).map(|node| &mut node.value) {
                    Some(Tree::List(list)) => list.as_mut_slice(),
                    _ => &mut [],
                };
                let called = |node: &Node| get(node, "name").and_then(Node::text) == Some(name);
                let known: Vec<String> = list.iter().enumerate().map(|(n, node)| label(node, n)).collect();
                let Some(found) = list.iter_mut().find(|node| called(node)) else {
                    let mend = match nearest(name, known.iter().map(String::as_str)) {
                        Some(near) => format!("did you mean \"{near}\"?"),
                        None => format!("one of {}", known.join(", ")),
                    };
                    return wrong(&join(&path, name), "there is none of this name", mend);
                };
                path = format!("{path}[{name}]");
                (node, fields) = (found, inner);
            }
            kind => {
                if parts.next().is_some() {
                    return wrong(&path, "has no fields of its own", kind.wanted());
                }
                // A word without quotation marks is text where text is wanted, whatever it looks like.
                let text = matches!(kind, Kind::Name | Kind::Path | Kind::OneOf(_) | Kind::Address);
                let quoted = value.starts_with(['"', '\'']);
                let given = match text && !quoted {
                    true => Node { origin: origin.clone(), value: Tree::Text(value.to_owned()) },
                    false => literal(value, origin.clone()),
                };
                table.insert(word, given);
                return;
            }
        }
    }
    wrong(&path, "no single value", format!("{variable}__FIELD, one of {}", names(fields)));
}

fn names(fields: &[Field]) -> String {
    fields.iter().map(|field| field.name.to_ascii_uppercase()).collect::<Vec<_>>().join(", ")
}

fn list(node: &Node, fields: &'static [Field], path: &str, to: &mut Vec<Setting>) {
    for field in fields {
        let Some(given) = get(node, field.name) else { continue };
        let path = join(path, field.name);
        match field.kind {
            Kind::Table(inner) => list(given, inner, &path, to),
            Kind::Tables(inner) => {
                for (number, entry) in entries(node, field.name).iter().enumerate() {
                    list(entry, inner, &format!("{path}[{}]", label(entry, number)), to);
                }
            }
            _ => to.push(Setting { field: path, value: given.json(), origin: given.origin.clone() }),
        }
    }
}
