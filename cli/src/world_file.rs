//! Reads the world of a lab command.

use std::fs::read_to_string;
use std::path::Path;

use ivyhatch_lab::{DEFAULT_WORLD, World};

use crate::error::CommandError;

/// Reads the world from the file at `path`, or the built-in world if `path` is `None`.
pub fn read_world(path: Option<&Path>) -> Result<World, CommandError> {
    let (origin, text) = match path {
        None => ("the built-in world".to_owned(), DEFAULT_WORLD.to_owned()),
        Some(path) => {
            let text = read_to_string(path)
                .map_err(|source| CommandError::File { path: path.to_owned(), source })?;
            (path.display().to_string(), text)
        }
    };
    World::read(&text).map_err(|source| CommandError::World { origin, source })
}
