//! Files as operators replace them.

use std::io;
use std::path::Path;

/// Writes a file beside its place and puts it there whole, so that whoever looks at it sees the old or the new one.
pub fn replace(file: &Path, bytes: impl AsRef<[u8]>) -> io::Result<()> {
    let temporary = file.with_extension("new");
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(temporary, file)
}
