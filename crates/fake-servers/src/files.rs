//! Atomic replacement of files, as operators do it. Used for all files that a running front re-reads.

use std::io;
use std::path::Path;

/// Replaces a file atomically: writes a temporary file beside it and renames that, so that readers see either the old
/// or the new content.
pub fn replace(file: &Path, bytes: impl AsRef<[u8]>) -> io::Result<()> {
    let temporary = file.with_extension("new");
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(temporary, file)
}
