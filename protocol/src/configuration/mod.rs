//! The operator's configuration: a document of named items, kept as the operator wrote them, and the view of it by which
//! requests are routed.
//!
//! Every list of objects with a `name` is a section, also one that this version does not know: it is kept, changed by name and
//! given back whole.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use figment::Figment;
use figment::providers::{Format, Json};
use serde::Deserialize;
use serde_json::value::RawValue;
use speedy::{Readable, Writable};

mod error;
mod schema;

pub use error::ConfigurationError;
pub use schema::{Configuration, Engine, RequestLimits, Route, RouteKind, Service, WeightedService};

/// A named item, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Item {
    /// Its name.
    pub name: String,
    /// The whole of it, as JSON.
    pub json: String,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Document {
    /// Its version.
    pub revision: u64,
    /// Lists of named items.
    pub sections: BTreeMap<String, Vec<Item>>,
    /// All other fields, as JSON.
    pub other_fields: BTreeMap<String, String>,
}

/// A change of a configuration: what an operator sends to `PATCH`, and what leads from one version to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Change {
    /// The version that it leads to.
    pub revision: u64,
    /// Items to add, or to replace by name.
    pub upsert: BTreeMap<String, Vec<Item>>,
    /// Names of items to remove.
    pub remove: BTreeMap<String, Vec<String>>,
    /// Other fields that have changed; none for one that has gone.
    pub other_fields: BTreeMap<String, Option<String>>,
}

/// A configuration that is nested deeper than this is refused: others that read it may not be able to.
const DEEPEST: usize = 127;

type Fields = BTreeMap<String, Box<RawValue>>;

fn unreadable(error: &serde_json::Error) -> ConfigurationError {
    ConfigurationError::Unreadable(error.to_string())
}

fn fields(body: &[u8]) -> Result<Fields, ConfigurationError> {
    serde_json::from_slice(body).map_err(|error| unreadable(&error))
}

fn revision(fields: &mut Fields) -> Result<u64, ConfigurationError> {
    let field = fields.remove("revision");
    let field = field.ok_or_else(|| ConfigurationError::Field("revision is missing".to_owned()))?;
    let whole = field.get().parse::<u64>();
    whole.map_err(|_| ConfigurationError::Field(format!("revision: {} is not a whole number", field.get())))
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// A list of objects that all have names; none for anything else.
fn items(raw: &RawValue) -> Option<Vec<Item>> {
    let list: Vec<Box<RawValue>> = serde_json::from_str(raw.get()).ok()?;
    let item = |raw: &RawValue| {
        let named: Named = serde_json::from_str(raw.get()).ok()?;
        Some(Item { name: named.name, json: raw.get().to_owned() })
    };
    list.iter().map(|raw| item(raw)).collect()
}

fn check_names(section: &str, items: &[Item]) -> Result<(), ConfigurationError> {
    let mut names = BTreeSet::new();
    match items.iter().find(|item| !names.insert(&item.name)) {
        Some(item) => {
            Err(ConfigurationError::DuplicateName { section: section.to_owned(), name: item.name.clone() })
        }
        None => Ok(()),
    }
}

/// How deep JSON is nested.
fn nesting(json: &str) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in json.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// Replaces items by name; new ones are added at the end. Of two of one name the later one stays.
fn upsert_items(items: &mut Vec<Item>, upsert: &[Item]) {
    let mut latest: HashMap<&str, &Item> = upsert.iter().map(|item| (item.name.as_str(), item)).collect();
    for item in items.iter_mut() {
        if let Some(new) = latest.remove(item.name.as_str()) {
            item.clone_from(new);
        }
    }
    let added = upsert.iter().filter_map(|item| latest.remove(item.name.as_str())).cloned();
    items.extend(added);
}

impl Document {
    /// Reads a whole configuration.
    ///
    /// # Errors
    /// Where it can't be read whole. Whether it makes sense is told by [`Document::validate`].
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut fields = fields(body)?;
        let mut document = Self { revision: revision(&mut fields)?, ..Self::default() };
        for (name, raw) in fields {
            match items(&raw) {
                Some(items) => {
                    check_names(&name, &items)?;
                    document.sections.insert(name, items);
                }
                None => {
                    document.other_fields.insert(name, raw.get().to_owned());
                }
            }
        }
        Ok(document)
    }

    /// The whole of it, as JSON.
    pub fn to_json(&self) -> String {
        let mut text = format!("{{\"revision\":{}", self.revision);
        let mut field = |name: &str, value: &str| {
            text.push_str(&format!(",{}:{value}", serde_json::Value::from(name)));
        };
        for (name, items) in &self.sections {
            let items: Vec<&str> = items.iter().map(|item| item.json.as_str()).collect();
            field(name, &format!("[{}]", items.join(",")));
        }
        for (name, value) in &self.other_fields {
            field(name, value);
        }
        text.push('}');
        text
    }

    /// The view by which requests are routed.
    ///
    /// # Errors
    /// Where a field is missing or of the wrong kind; the error names it.
    pub fn routing_view(&self) -> Result<Configuration, ConfigurationError> {
        let text = self.to_json();
        // Fields that nothing reads are passed over at any depth.
        if nesting(&text) > DEEPEST {
            return Err(ConfigurationError::Unreadable(format!("it is nested more than {DEEPEST} deep")));
        }
        // Reading by way of `figment` takes ten times as long: only the place of an error is worth it.
        serde_json::from_str(&text).map_err(|error| {
            let named = Figment::from(Json::string(&text)).extract::<Configuration>();
            match named {
                Ok(_) => ConfigurationError::Field(error.to_string()),
                Err(named) => {
                    let path: Vec<&str> = named.path.iter().map(String::as_str).collect();
                    ConfigurationError::Field(format!("{}: {}", path.join("."), named.kind))
                }
            }
        })
    }

    /// Checks that it can be in force after the current version, and gives the view of it.
    ///
    /// # Errors
    /// Where it can't; the error names the field.
    pub fn validate(&self, current: u64) -> Result<Configuration, ConfigurationError> {
        if self.revision <= current {
            return Err(ConfigurationError::StaleRevision { sent: self.revision, current });
        }
        let view = self.routing_view()?;
        let services: BTreeSet<&str> = view.services.iter().map(|service| service.name.as_str()).collect();
        let mut places = BTreeMap::new();
        for route in &view.routes {
            let named = || route.name.clone();
            if route.service.is_none() && route.split.is_empty() {
                let text = format!("routes: {:?}: service is missing", route.name);
                return Err(ConfigurationError::Field(text));
            }
            let all = route.service.iter().chain(route.split.iter().map(|part| &part.service));
            if let Some(service) = all.into_iter().find(|service| !services.contains(service.as_str())) {
                return Err(ConfigurationError::UnknownService { route: named(), service: service.clone() });
            }
            let weights = route.targets();
            if weights.iter().any(|(_, weight)| !weight.is_finite() || *weight < 0.0)
                || weights.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0
            {
                return Err(ConfigurationError::ZeroWeight { route: named() });
            }
            if route.timeout_ms.is_nan() || route.timeout_ms <= 0.0 {
                return Err(ConfigurationError::ZeroTimeout { route: named() });
            }
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(one) = places.insert(place, &route.name) {
                return Err(ConfigurationError::DuplicateMatch {
                    one: one.clone(),
                    other: named(),
                    host: route.host.clone(),
                    prefix: route.path_prefix.clone(),
                });
            }
        }
        Ok(view)
    }

    /// This configuration with a change made to it.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut changed = self.clone();
        changed.apply(change);
        changed
    }

    /// Makes a change to this configuration.
    pub fn apply(&mut self, change: &Change) {
        self.revision = change.revision;
        for (section, names) in &change.remove {
            let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
            let items = self.sections.entry(section.clone()).or_default();
            items.retain(|item| !names.contains(item.name.as_str()));
        }
        for (section, upsert) in &change.upsert {
            upsert_items(self.sections.entry(section.clone()).or_default(), upsert);
        }
        for (name, value) in &change.other_fields {
            match value {
                Some(value) => self.other_fields.insert(name.clone(), value.clone()),
                None => self.other_fields.remove(name),
            };
        }
    }

    /// What leads from this configuration to another one. Where items have changed their order without a change of their own,
    /// they keep the old one; nothing depends on it.
    pub fn diff(&self, other: &Self) -> Change {
        let mut change = Change { revision: other.revision, ..Change::default() };
        let empty = Vec::new();
        let names: BTreeSet<&String> = self.sections.keys().chain(other.sections.keys()).collect();
        for section in names {
            let old = self.sections.get(section).unwrap_or(&empty);
            let new = other.sections.get(section).unwrap_or(&empty);
            let before: BTreeMap<&str, &str> =
                old.iter().map(|item| (item.name.as_str(), item.json.as_str())).collect();
            let after: BTreeSet<&str> = new.iter().map(|item| item.name.as_str()).collect();
            let differs = |item: &&Item| before.get(item.name.as_str()) != Some(&item.json.as_str());
            let upsert: Vec<Item> = new.iter().filter(differs).cloned().collect();
            let remove: Vec<String> =
                before.keys().filter(|name| !after.contains(*name)).map(|name| (*name).to_owned()).collect();
            if !upsert.is_empty() || !self.sections.contains_key(section) {
                change.upsert.insert(section.clone(), upsert);
            }
            if !remove.is_empty() {
                change.remove.insert(section.clone(), remove);
            }
        }
        for name in self.other_fields.keys().chain(other.other_fields.keys()).collect::<BTreeSet<_>>() {
            if self.other_fields.get(name) != other.other_fields.get(name) {
                change.other_fields.insert(name.clone(), other.other_fields.get(name).cloned());
            }
        }
        change
    }
}

impl Change {
    /// Reads a change of named items as an operator sends it.
    ///
    /// # Errors
    /// Where it can't be read whole.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut fields = fields(body)?;
        let mut change = Self { revision: revision(&mut fields)?, ..Self::default() };
        if let Some(raw) = fields.remove("upsert") {
            let sections: Fields = serde_json::from_str(raw.get()).map_err(|error| unreadable(&error))?;
            for (section, raw) in sections {
                let items = items(&raw).ok_or_else(|| {
                    ConfigurationError::Field(format!("upsert.{section}: not a list of named items"))
                })?;
                check_names(&section, &items)?;
                change.upsert.insert(section, items);
            }
        }
        if let Some(raw) = fields.remove("remove") {
            change.remove = serde_json::from_str(raw.get())
                .map_err(|error| ConfigurationError::Field(format!("remove: not lists of names: {error}")))?;
        }
        for (name, raw) in fields {
            change.other_fields.insert(name, Some(raw.get().to_owned()));
        }
        Ok(change)
    }
}
