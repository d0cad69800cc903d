//! Resolves a world of an experiment: reads the world's text and applies the changed fields.

use std::path::Path;

use ivyhatch_lab::{BUILT_IN_WORLDS, World, WorldError};

use crate::spec::{SpecError, WorldSpec};

/// The built-in world of a specification that names neither a file nor a built-in world.
const DEFAULT_BUILT_IN: &str = "evening";

impl WorldSpec {
    /// Reads the world and applies the changed fields. `folder` is the experiment's folder.
    ///
    /// # Errors
    /// [`SpecError`] if the file cannot be read, the built-in world is unknown, a path matches no field, or the world is invalid.
    pub(crate) fn resolve(&self, folder: &Path) -> Result<World, SpecError> {
        let text = self.text(folder)?;
        let mut world = if self.set.is_empty() {
            World::read(&text).map_err(|error| self.invalid(error))?
        } else {
            self.changed_world(&text)?
        };
        world.name.clone_from(&self.name);
        Ok(world)
    }

    fn text(&self, folder: &Path) -> Result<String, SpecError> {
        let Some(file) = &self.file else { return self.built_in_text() };
        let path = folder.join(file);
        std::fs::read_to_string(&path).map_err(|error| SpecError::File {
            field: format!("world {:?}: file", self.name),
            path: path.display().to_string(),
            error,
        })
    }

    fn built_in_text(&self) -> Result<String, SpecError> {
        let built_in = self.built_in.as_deref().unwrap_or(DEFAULT_BUILT_IN);
        let found = BUILT_IN_WORLDS.iter().find(|(name, _)| *name == built_in);
        found.map(|(_, text)| (*text).to_owned()).ok_or_else(|| {
            let names: Vec<&str> = BUILT_IN_WORLDS.iter().map(|(name, _)| *name).collect();
            let field = format!("world {:?}: built_in", self.name);
            SpecError::field(field, built_in, &format!("expected one of {}", names.join(", ")))
        })
    }

    fn changed_world(&self, text: &str) -> Result<World, SpecError> {
        let mut table = toml::from_str::<toml::Value>(text).map_err(|error| self.invalid(error.into()))?;
        for (path, value) in &self.set {
            set_field(&mut table, path, value).ok_or_else(|| {
                let wanted = "expected a path into the world such as clients.rate or servers[0].count";
                SpecError::field(format!("world {:?}: set", self.name), path, wanted)
            })?;
        }
        let world: World = table.try_into().map_err(|error: toml::de::Error| self.invalid(error.into()))?;
        world.check().map_err(|error| self.invalid(error))?;
        Ok(world)
    }

    fn invalid(&self, error: WorldError) -> SpecError {
        SpecError::World { name: self.name.clone(), error }
    }
}

/// Sets a field by its path. The last key of the path may be new, so that a field that the file omits can be set. `None` if the path
/// does not match the structure of `root`.
fn set_field(root: &mut toml::Value, path: &str, value: &toml::Value) -> Option<()> {
    let (parents, last) = path.rsplit_once('.').map_or((None, path), |(parents, last)| (Some(parents), last));
    let mut parent = root;
    for step in parents.into_iter().flat_map(|parents| parents.split('.')) {
        let (key, index) = key_and_index(step)?;
        parent = parent.as_table_mut()?.get_mut(key)?;
        if let Some(index) = index {
            parent = parent.as_array_mut()?.get_mut(index)?;
        }
    }
    let (key, index) = key_and_index(last)?;
    let table = parent.as_table_mut()?;
    match index {
        None => drop(table.insert(key.to_owned(), value.clone())),
        Some(index) => *table.get_mut(key)?.as_array_mut()?.get_mut(index)? = value.clone(),
    }
    Some(())
}

/// Parses one step of a path: a key, optionally followed by an array index in brackets. `None` if the index is malformed.
fn key_and_index(step: &str) -> Option<(&str, Option<usize>)> {
    match step.split_once('[') {
        None => Some((step, None)),
        Some((key, index)) => Some((key, Some(index.strip_suffix(']')?.parse().ok()?))),
    }
}
