//! Atomic replacement of files: after a kill or a power cut the file has the old content or the new
//! content, never a mixture.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Returns the path of a file in the same folder whose name is that of `path` with `suffix` appended.
pub(crate) fn path_with_suffix(path: &Path, suffix: &str) -> PathBuf {
    // Appends to the complete name: replacing the extension would give two files that differ only in their
    // extension the same path.
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

/// Replaces a file's content: writes a temporary file beside it, syncs it, renames it, and syncs the
/// folder.
///
/// # Errors
/// If any of these steps fails. Before the rename the old content is in place. After it the new content is,
/// but it may not survive a power cut.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path_with_suffix(path, ".new");
    let mut file = fs::File::create(&temporary)?;
    file.write_all(bytes)?;
    // Without this sync a power cut may leave the renamed file empty.
    file.sync_all()?;
    drop(file);
    fs::rename(&temporary, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    fs::File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
