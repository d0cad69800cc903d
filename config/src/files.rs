//! Reading of configuration files and the files that they include.

use std::io;
use std::path::{Component, Path, PathBuf};
use std::rc::Rc;

use toml_edit::Document;

use crate::diagnostic::Diagnostics;
use crate::node::{Node, NodeValue};
use crate::origin::{Origin, Source};

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Reads a configuration file and the files that it includes, and collects their diagnostics.
#[derive(Debug, Default)]
pub(crate) struct FileReader {
    pub(crate) diagnostics: Diagnostics,
    /// All files that were read, in the order of reading.
    pub(crate) files: Vec<PathBuf>,
    /// Canonical paths of the files that directly or indirectly include the current one, to detect cycles.
    including: Vec<PathBuf>,
}

impl FileReader {
    /// Reads a file and the files that it includes. `included_at` is the place of the inclusion, `None` for the main file. Returns `None`
    /// if the file can't be read or parsed; a diagnostic is reported then.
    pub(crate) fn read(&mut self, file: &Path, included_at: Option<&Origin>) -> Option<Node> {
        let start = Origin::File { file: file.to_owned(), line: 1, column: 1 };
        let text = self.read_text(file, included_at.unwrap_or(&start), included_at.is_some())?;
        self.files.push(file.to_owned());
        let source = Rc::new(Source::new(file.to_owned(), text));
        let document = match Document::parse(source.text.as_str()) {
            Ok(document) => document,
            Err(error) => {
                let problem = error.message().trim_end().replace('\n', ", ");
                let origin = source.origin(error.span());
                self.diagnostics.report(&origin, "", problem, "the file has to be TOML");
                return None;
            }
        };
        let mut root = Node::from_toml_table(document.as_table(), start, &source);
        let NodeValue::Table(table) = &mut root.value else { return None };
        if let Some(includes) = table.remove("include") {
            self.including.push(canonical(file));
            self.read_includes(&mut root, &includes, source.folder());
            self.including.pop();
        }
        Some(root)
    }

    /// Reads the text of a file. Returns `None` and reports a diagnostic if the file can't be read or includes itself.
    fn read_text(&mut self, file: &Path, origin: &Origin, is_included: bool) -> Option<String> {
        let field = if is_included { "include" } else { "" };
        let text = match read_limited(file) {
            Ok(text) => text,
            Err(error) => {
                let problem = format!("{} can't be read: {error}", file.display());
                self.diagnostics.report(origin, field, problem, "a file that is there and may be read");
                return None;
            }
        };
        if self.including.contains(&canonical(file)) {
            let problem = format!("{} includes itself, directly or through other files", file.display());
            let expected = "files without a cycle of inclusions";
            self.diagnostics.report(origin, field, problem, expected);
            return None;
        }
        Some(text)
    }

    fn read_includes(&mut self, root: &mut Node, includes: &Node, folder: &Path) {
        let paths = match &includes.value {
            NodeValue::List(list) if list.iter().all(|path| path.text().is_some()) => list.as_slice(),
            _ => {
                let expected = "a list of files, as in [\"classes.toml\"]";
                self.diagnostics.report(&includes.origin, "include", includes.display(), expected);
                &[]
            }
        };
        for path in paths {
            let file = without_dots(&folder.join(path.text().unwrap_or_default()));
            if let Some(included) = self.read(&file, Some(&path.origin)) {
                root.merge(included);
            }
        }
    }
}

fn read_limited(file: &Path) -> io::Result<String> {
    let size = std::fs::metadata(file)?.len();
    if size > MAX_FILE_BYTES {
        return Err(io::Error::other(format!(
            "the file has {size} bytes; at most {MAX_FILE_BYTES} are accepted"
        )));
    }
    std::fs::read_to_string(file)
}

fn canonical(file: &Path) -> PathBuf {
    std::fs::canonicalize(file).unwrap_or_else(|_| file.to_owned())
}

/// The path without `.` components, as messages display it.
fn without_dots(path: &Path) -> PathBuf {
    path.components().filter(|component| !matches!(component, Component::CurDir)).collect()
}
