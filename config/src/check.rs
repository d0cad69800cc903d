//! The check: walks what was given along the form, fills defaults in and collects every mistake.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Mistake;
use crate::schema::{FILE, Field, Kind, VERSION, Without};
use crate::tree::{Node, Origin, Source, Tree};

/// Whether this may name an instance, a zone or a class.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    text.len() <= 64 && text.starts_with(|c: char| c.is_ascii_alphanumeric()) && text.chars().all(fits)
}

/// The word that was meant, should one be near enough.
pub(crate) fn nearest<'a>(word: &str, words: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = words.map(|known| (strsim::normalized_damerau_levenshtein(word, known), known));
    scored.filter(|(score, _)| *score >= 0.5).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, known)| known)
}

pub(crate) struct Check<'a> {
    pub(crate) mistakes: &'a mut Vec<Mistake>,
}

impl Check<'_> {
    fn wrong(&mut self, at: &Origin, field: &str, what: String, mend: String) {
        self.mistakes.push(Mistake { at: at.clone(), field: field.to_owned(), what, mend });
    }

    /// Checks the whole, and fills in what was not given.
    pub(crate) fn file(&mut self, root: &mut Node) {
        // A newer form may mean other things by the same words: nothing else of it is judged.
        if let Tree::Table(table) = &root.value
            && let Some(Node { origin, value: Tree::Whole(version) }) = table.get("version")
            && *version != VERSION as i64
        {
            let (origin, version) = (origin.clone(), *version);
            return self.wrong(
                &origin,
                "version",
                format!("this program can't read version {version}"),
                format!(
                    "it reads version {VERSION}; use a program of the version that wrote this, or rewrite it"
                ),
            );
        }
        self.table(root, FILE, "");
        self.together(root);
    }

    fn table(&mut self, node: &mut Node, fields: &'static [Field], path: &str) {
        let at = node.origin.clone();
        let Tree::Table(table) = &mut node.value else {
            let shown = node.shown();
            return self.wrong(
                &at,
                path,
                format!("{shown} stands for a table"),
                Kind::Table(fields).wanted(),
            );
        };
        for (name, given) in table.iter().filter(|(name, _)| !fields.iter().any(|field| field.name == **name))
        {
            let known = || fields.iter().map(|field| field.name);
            let mend = match nearest(name, known()) {
                Some(near) => format!("did you mean \"{near}\"?"),
                None => format!("the fields here are {}", known().collect::<Vec<_>>().join(", ")),
            };
            self.wrong(&given.origin, &join(path, name), "unknown field".into(), mend);
        }
        for field in fields {
            let path = join(path, field.name);
            if !table.contains_key(field.name) {
                match field.without {
                    Without::Required => {
                        let mend = format!("{}: {}", field.kind.wanted(), field.purpose);
                        self.wrong(&at, &path, "missing".into(), mend);
                        continue;
                    }
                    Without::Nothing => continue,
                    Without::Default(text) => {
                        let node = match field.kind {
                            // A table that was left out has its own fields checked: some may be required.
                            Kind::Table(_) => {
                                Node { origin: at.clone(), value: Tree::Table(BTreeMap::new()) }
                            }
                            _ => literal(text, Origin::Default),
                        };
                        table.insert(field.name.to_owned(), node);
                    }
                }
            }
            let Some(given) = table.get_mut(field.name) else { continue };
            self.value(given, &field.kind, &path);
        }
    }

    fn value(&mut self, node: &mut Node, kind: &'static Kind, path: &str) {
        let right = match (&mut node.value, kind) {
            (Tree::Flag(_), Kind::Flag) => true,
            (Tree::Whole(whole), Kind::Whole(least, most)) => {
                u64::try_from(*whole).is_ok_and(|whole| (*least..=*most).contains(&whole))
            }
            (value @ (Tree::Whole(_) | Tree::Number(_)), Kind::Number(least, most)) => {
                let number = match value {
                    Tree::Whole(whole) => *whole as f64,
                    Tree::Number(number) => *number,
                    _ => f64::NAN,
                };
                *value = Tree::Number(number);
                (*least..=*most).contains(&number)
            }
            (Tree::Text(text), Kind::Name) => is_name(text),
            (Tree::Text(text), Kind::Path) => !text.is_empty() && !text.contains('\0'),
            (Tree::Text(text), Kind::OneOf(words)) => {
                if !words.contains(&text.as_str())
                    && let Some(near) = nearest(text, words.iter().copied())
                {
                    let (what, mend) =
                        (format!("{text:?}"), format!("did you mean \"{near}\"? {}", kind.wanted()));
                    let at = node.origin.clone();
                    return self.wrong(&at, path, what, mend);
                }
                words.contains(&text.as_str())
            }
            (Tree::Text(text), Kind::Address) => text.parse::<SocketAddr>().is_ok(),
            (Tree::List(list), Kind::Names) => {
                let mut seen = BTreeSet::new();
                list.iter().all(|name| name.text().is_some_and(|name| is_name(name) && seen.insert(name)))
            }
            (Tree::Table(table), Kind::Labels) => {
                table.iter().all(|(name, word)| is_name(name) && word.text().is_some_and(is_name))
            }
            (Tree::Table(_), Kind::Table(fields)) => return self.table(node, fields, path),
            (Tree::List(list), Kind::Tables(fields)) if list.iter().all(Node::is_table) => {
                for (number, node) in list.iter_mut().enumerate() {
                    let path = format!("{path}[{}]", label(node, number));
                    self.table(node, fields, &path);
                }
                true
            }
            _ => false,
        };
        if !right {
            let (at, shown) = (node.origin.clone(), node.shown());
            self.wrong(&at, path, shown, kind.wanted());
        }
    }

    /// What fields must be to one another.
    fn together(&mut self, root: &Node) {
        for tables in ["class", "tenant", "instance"] {
            self.each_once(root, tables, "name", |_| true);
        }
        self.each_once(root, "instance", "listen", |at| !at.ends_with(":0"));
        if entries(root, "class").is_empty() {
            let mend = "at least one [[class]], for what clients ask";
            self.wrong(&root.origin, "class", "none".into(), mend.into());
        }
        let zones: Vec<&str> = get(root, "fleet")
            .and_then(|fleet| get(fleet, "zones"))
            .and_then(|zones| match &zones.value {
                Tree::List(list) => Some(list.iter().filter_map(Node::text).collect()),
                _ => None,
            })
            .unwrap_or_default();
        for (number, instance) in entries(root, "instance").iter().enumerate() {
            let Some(zone) = get(instance, "zone") else { continue };
            let Some(name) = zone.text().filter(|name| !zones.contains(name)) else { continue };
            let mend = match nearest(name, zones.iter().copied()) {
                Some(near) => format!("did you mean \"{near}\"?"),
                None => format!("one of fleet.zones: {}", zones.join(", ")),
            };
            let path = format!("instance[{}].zone", label(instance, number));
            self.wrong(&zone.origin, &path, format!("{name:?} is no zone of the fleet"), mend);
        }
        for (number, class) in entries(root, "class").iter().enumerate() {
            let path = |field: &str| format!("class[{}].{field}", label(class, number));
            let whole = |field: &str| match get(class, field)?.value {
                Tree::Whole(whole) => Some(whole),
                _ => None,
            };
            if let (Some(aim), Some(deadline)) = (whole("aim_ms"), whole("deadline_ms"))
                && aim > deadline
                && let Some(node) = get(class, "aim_ms")
            {
                self.wrong(
                    &node.origin,
                    &path("aim_ms"),
                    aim.to_string(),
                    format!("deadline_ms, {deadline}, at most"),
                );
            }
            let by_key = get(class, "effect").and_then(Node::text) == Some("by_key");
            for field in ["key_scope", "window_ms"] {
                match (by_key, get(class, field)) {
                    (true, None) => {
                        let mend = "classes with effect = \"by_key\" need it";
                        self.wrong(&class.origin, &path(field), "missing".into(), mend.into());
                    }
                    (false, Some(given)) => {
                        let mend = "only classes with effect = \"by_key\" have it";
                        self.wrong(&given.origin, &path(field), given.shown(), mend.into());
                    }
                    _ => {}
                }
            }
        }
    }

    fn each_once(&mut self, root: &Node, tables: &str, field: &str, counts: impl Fn(&str) -> bool) {
        let mut seen: BTreeMap<&str, &Origin> = BTreeMap::new();
        for (number, entry) in entries(root, tables).iter().enumerate() {
            let Some(given) = get(entry, field) else { continue };
            let Some(text) = given.text().filter(|text| counts(text)) else { continue };
            match seen.get(text) {
                Some(first) => {
                    let path = format!("{tables}[{}].{field}", label(entry, number));
                    let (what, mend) =
                        (format!("{text:?} once more"), format!("another one: {first} has it already"));
                    self.wrong(&given.origin, &path, what, mend);
                }
                None => drop(seen.insert(text, &given.origin)),
            }
        }
    }
}

/// How a table among several is named: by its name where it has a sound one.
pub(crate) fn label(node: &Node, number: usize) -> String {
    let name = get(node, "name").and_then(Node::text).filter(|name| is_name(name));
    name.map_or_else(|| number.to_string(), str::to_owned)
}

pub(crate) fn get<'a>(node: &'a Node, name: &str) -> Option<&'a Node> {
    match &node.value {
        Tree::Table(table) => table.get(name),
        _ => None,
    }
}

pub(crate) fn entries<'a>(root: &'a Node, name: &str) -> &'a [Node] {
    match get(root, name).map(|node| &node.value) {
        Some(Tree::List(list)) => list,
        _ => &[],
    }
}

pub(crate) fn join(path: &str, name: &str) -> String {
    // A key may be anything; what goes into a message must not break its line.
    let name: String = name.chars().take(64).flat_map(char::escape_debug).collect();
    if path.is_empty() { name } else { format!("{path}.{name}") }
}

/// A value as TOML words it; what is no TOML is taken as text.
pub(crate) fn literal(text: &str, origin: Origin) -> Node {
    match text.parse::<toml_edit::Value>() {
        Ok(value) => {
            let source = Rc::new(Source::new(Default::default(), String::new()));
            Node::of_value(&value, origin, &source)
        }
        Err(_) => Node { origin, value: Tree::Text(text.to_owned()) },
    }
}
