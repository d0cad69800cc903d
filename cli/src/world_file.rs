//! Reads the world that a lab command names.

use std::fs::read_to_string;
use std::path::Path;

use ivyhatch_lab::{DEFAULT_WORLD, World};

use crate::error::CommandError;

/// Reads a world's file, or the built-in world if no path is given.
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
