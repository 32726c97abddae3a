//! Evaluates Jsonnet files and deserialises them into typed values. Imports are allowed only from the folder of the
//! loaded file and from below it. An error names the file, the path within it (`.` for the whole), and the cause.
//!
//! The front and the lab load their configuration, server lists and scenarios this way.

use jrsonnet_evaluator::error::Error as JsonnetError;
use jrsonnet_evaluator::{
    EvaluationState, FileImportResolver, IStr, ImportResolver, error::Result as Evaluated,
};
use serde::de::DeserializeOwned;
use std::any::Any;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Why a file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{file}: can't be read: {cause}")]
    Unreadable { file: String, cause: std::io::Error },
    #[error("{file}: can't be evaluated: {cause}")]
    Jsonnet { file: String, cause: String },
    #[error("{file}: {path}: {cause}")]
    Value { file: String, path: String, cause: String },
}

/// Size of the largest file that is evaluated as Jsonnet, bytes.
pub const MAX_BYTES: u64 = 1 << 20;
/// Size of the largest file that is read as plain JSON, bytes.
pub const MAX_JSON_BYTES: u64 = 16 << 20;
/// Maximum depth of nested calls, so that a template with endless recursion ends with an error.
const MAX_STACK_DEPTH: usize = 200;

/// Import resolver that refuses files outside a folder.
struct FolderImportResolver {
    /// The folder, as a canonical path.
    root: PathBuf,
    files: FileImportResolver,
}

impl ImportResolver for FolderImportResolver {
    fn resolve_file(&self, from: &Path, path: &Path) -> Evaluated<Rc<Path>> {
        let resolved = self.files.resolve_file(from, path)?;
        let is_within_root = resolved.canonicalize().is_ok_and(|real| real.starts_with(&self.root));
        if is_within_root {
            return Ok(resolved);
        }
        let (path, root) = (path.display(), self.root.display());
        Err(JsonnetError::RuntimeError(format!("import of {path}: lies outside the folder {root}").into())
            .into())
    }

    fn load_file_contents(&self, resolved: &Path) -> Evaluated<IStr> {
        self.files.load_file_contents(resolved)
    }

    unsafe fn as_any(&self) -> &dyn Any {
        self
    }
}

/// Evaluates a Jsonnet file to JSON text.
pub fn evaluate(file: &Path) -> Result<String, LoadError> {
    let name = file.display().to_string();
    let canonical =
        file.canonicalize().map_err(|cause| LoadError::Unreadable { file: name.clone(), cause })?;
    check_size(file, MAX_BYTES)?;
    let root = canonical.parent().unwrap_or(Path::new("/")).to_path_buf();
    let state = EvaluationState::default();
    state.with_stdlib();
    state.set_max_stack(MAX_STACK_DEPTH);
    state.set_import_resolver(Box::new(FolderImportResolver { root, files: FileImportResolver::default() }));
    let jsonnet_error = |e| LoadError::Jsonnet { file: name.clone(), cause: state.stringify_err(&e) };
    let value = state.evaluate_file_raw(&canonical).map_err(jsonnet_error)?;
    let json = state.manifest(value).map_err(jsonnet_error)?;
    Ok(json.to_string())
}

/// Refuses a file of more than `max_bytes`.
fn check_size(file: &Path, max_bytes: u64) -> Result<(), LoadError> {
    let name = file.display().to_string();
    match std::fs::metadata(file) {
        Err(cause) => Err(LoadError::Unreadable { file: name, cause }),
        Ok(meta) if meta.len() > max_bytes => {
            let cause = format!("{} bytes; {max_bytes} at most", meta.len());
            Err(LoadError::Value { file: name, path: ".".into(), cause })
        }
        Ok(_) => Ok(()),
    }
}

/// Loads a file into a typed value: as plain JSON if its name ends in `.json`, which allows larger lists; otherwise as
/// Jsonnet.
pub fn load<T: DeserializeOwned>(file: &Path) -> Result<T, LoadError> {
    let json = if file.extension().is_some_and(|e| e == "json") {
        check_size(file, MAX_JSON_BYTES)?;
        std::fs::read_to_string(file)
            .map_err(|cause| LoadError::Unreadable { file: file.display().to_string(), cause })?
    } else {
        evaluate(file)?
    };
    let mut deserializer = serde_json::Deserializer::from_str(&json);
    let value_error = |path: String, e: &serde_json::Error| {
        // The line numbers in the message match the file only if the file itself is JSON.
        let message = e.to_string();
        let without_line = message.split(" at line").next().unwrap_or_default().to_string();
        let cause = if e.is_data() { without_line } else { message };
        LoadError::Value { file: file.display().to_string(), path, cause }
    };
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| value_error(e.path().to_string(), e.inner()))?;
    deserializer.end().map_err(|e| value_error(".".into(), &e))?;
    Ok(value)
}

/// Error for a value of the right type that is not allowed: names the file, the path in it, what was found, and what is
/// allowed.
pub fn invalid_value(file: &Path, path: &str, found: impl std::fmt::Display, allowed: &str) -> LoadError {
    LoadError::Value {
        file: file.display().to_string(),
        path: path.to_string(),
        cause: format!("found {found}, allowed is {allowed}"),
    }
}
