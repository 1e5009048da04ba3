//! Files that are replaced as a whole: after a kill or a power cut there is the old content or the new one, never a mixture.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What stands beside a file, under its name with something appended.
pub(crate) fn sibling(path: &Path, suffix: &str) -> PathBuf {
    // The complete name and more, or two files that differ in their extension would share it.
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

/// Replaces a file's content: written beside it, synchronised, renamed, and the folder synchronised.
///
/// # Errors
/// Any of these steps fails. Until the rename the old content stands; after it the new one does, and only whether it
/// outlives a power cut is unknown.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = sibling(path, ".new");
    let mut file = fs::File::create(&temporary)?;
    file.write_all(bytes)?;
    // Without it a power cut may leave the new name with nothing behind it.
    file.sync_all()?;
    drop(file);
    fs::rename(&temporary, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    fs::File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
