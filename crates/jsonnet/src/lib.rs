//! Files given as Jsonnet templates: evaluated, then read into a typed value. Imports come only from the
//! folder of the file that is loaded and from below it. A fault names the file, the path in it, and what
//! was found.

use jrsonnet_evaluator::error::Error as JsonnetError;
use jrsonnet_evaluator::{
    EvaluationState, FileImportResolver, IStr, ImportResolver, error::Result as Evaluated,
};
use serde::de::DeserializeOwned;
use std::any::Any;
use std::path::{Path, PathBuf};
use std::rc::Rc;

#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{file}: can't be read: {cause}")]
    Unreadable { file: String, cause: std::io::Error },
    #[error("{file}: does not evaluate: {cause}")]
    Jsonnet { file: String, cause: String },
    #[error("{file}: {path}: {cause}")]
    Value { file: String, path: String, cause: String },
}

/// The largest files that are evaluated, and that are read as plain JSON, bytes.
pub const MAX_BYTES: u64 = 1 << 20;
pub const MAX_JSON_BYTES: u64 = 16 << 20;
/// Nested calls at most, so that a template that calls itself ends with an error.
const DEPTH: usize = 200;

struct WithinFolder {
    root: PathBuf,
    files: FileImportResolver,
}

impl ImportResolver for WithinFolder {
    fn resolve_file(&self, from: &Path, path: &Path) -> Evaluated<Rc<Path>> {
        let resolved = self.files.resolve_file(from, path)?;
        let within = resolved.canonicalize().is_ok_and(|real| real.starts_with(&self.root));
        if within {
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
    let real = file.canonicalize().map_err(|cause| LoadError::Unreadable { file: name.clone(), cause })?;
    bounded(file, MAX_BYTES)?;
    let root = real.parent().unwrap_or(Path::new("/")).to_path_buf();
    let state = EvaluationState::default();
    state.with_stdlib();
    state.set_max_stack(DEPTH);
    state.set_import_resolver(Box::new(WithinFolder { root, files: FileImportResolver::default() }));
    let jsonnet = |e| LoadError::Jsonnet { file: name.clone(), cause: state.stringify_err(&e) };
    let value = state.evaluate_file_raw(&real).map_err(jsonnet)?;
    let json = state.manifest(value).map_err(jsonnet)?;
    Ok(json.to_string())
}

fn bounded(file: &Path, most: u64) -> Result<(), LoadError> {
    let name = file.display().to_string();
    match std::fs::metadata(file) {
        Err(cause) => Err(LoadError::Unreadable { file: name, cause }),
        Ok(meta) if meta.len() > most => {
            let cause = format!("has {} bytes, over {most}", meta.len());
            Err(LoadError::Value { file: name, path: ".".into(), cause })
        }
        Ok(_) => Ok(()),
    }
}

/// Reads a file into a typed value: plain JSON where its name ends so, which large lists may be; else Jsonnet.
pub fn load<T: DeserializeOwned>(file: &Path) -> Result<T, LoadError> {
    let json = if file.extension().is_some_and(|e| e == "json") {
        bounded(file, MAX_JSON_BYTES)?;
        std::fs::read_to_string(file)
            .map_err(|cause| LoadError::Unreadable { file: file.display().to_string(), cause })?
    } else {
        evaluate(file)?
    };
    let mut reader = serde_json::Deserializer::from_str(&json);
    let fault = |path: String, e: &serde_json::Error| {
        // Lines are those of the file only where it is JSON itself.
        let cause = e.to_string();
        let short = cause.split(" at line").next().unwrap_or_default().to_string();
        let cause = if e.is_data() { short } else { cause };
        LoadError::Value { file: file.display().to_string(), path, cause }
    };
    let value =
        serde_path_to_error::deserialize(&mut reader).map_err(|e| fault(e.path().to_string(), e.inner()))?;
    reader.end().map_err(|e| fault(".".into(), &e))?;
    Ok(value)
}

/// A fault found in a value that reads well but can't be: names file, path, what was found, what is allowed.
pub fn invalid_value(file: &Path, path: &str, found: impl std::fmt::Display, allowed: &str) -> LoadError {
    LoadError::Value {
        file: file.display().to_string(),
        path: path.to_string(),
        cause: format!("found {found}, allowed is {allowed}"),
    }
}
