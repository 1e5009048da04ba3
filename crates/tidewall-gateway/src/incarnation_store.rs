//! Issues and stores the incarnation numbers of a process, so that each incarnation gets a higher number
//! than all before it. Ballots and the other members' state distinguish incarnations by this number, and
//! the wall clock alone would not do, because it may be set back between two starts.
//!
//! The file contains one line of ASCII text: `tidewall-incarnation 1 NUMBER CHECKSUM`, that is the format's
//! name and version, the number in decimal digits, and the xxh3 hash (64 bits) of the text before the last
//! space, in 16 hexadecimal digits.
use crate::durable_file::{path_with_suffix, replace_file};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tidewall_failover::proposal::next_incarnation;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// The format's name and version.
const HEADER: &str = "tidewall-incarnation 1";

/// The reason why a store cannot be used.
#[derive(Debug, Error)]
pub enum IncarnationStoreError {
    /// Another process uses the store: two concurrent incarnations would overwrite each other's number.
    #[error("{}: another process uses it", path.display())]
    InUse {
        /// The file that stores the number.
        path: PathBuf,
    },
    /// A file system operation failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file concerned.
        path: PathBuf,
        /// The file system's error.
        source: io::Error,
    },
}

/// Issues incarnation numbers. Only one process at a time can open a store.
#[derive(Debug)]
pub struct IncarnationStore {
    path: PathBuf,
    /// Holds the lock until it is dropped.
    _lock: File,
}

impl IncarnationStore {
    /// Opens the store in a file, which need not exist yet. The lock file is created in the same folder.
    ///
    /// # Errors
    /// If another process uses the store, or the lock file cannot be opened.
    pub fn open(path: &Path) -> Result<IncarnationStore, IncarnationStoreError> {
        let lock_path = path_with_suffix(path, ".lock");
        let io_error = |source| IncarnationStoreError::Io {
            path: lock_path.clone(),
            source,
        };
        let open_lock_file = || File::options().create(true).append(true).open(&lock_path);
        let lock = open_lock_file().map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(IncarnationStore {
                path: path.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(IncarnationStoreError::InUse {
                path: path.to_path_buf(),
            }),
            Err(TryLockError::Error(source)) => Err(io_error(source)),
        }
    }

    /// Returns the number of the next incarnation: the wall clock in milliseconds, but higher than every
    /// number stored before and than `last`. The number is stored when this returns.
    ///
    /// A file that is damaged, of another version or not a store's is renamed to a `.rejected` file, which
    /// is logged, and counts as empty.
    ///
    /// # Errors
    /// If the file cannot be read or replaced. No number is returned then, because a number that is not
    /// stored might be issued again.
    pub fn next(&mut self, last: u64, clock: u64) -> Result<u64, IncarnationStoreError> {
        let number = next_incarnation(last.max(self.stored()?), clock);
        replace_file(&self.path, encode(number).as_bytes())
            .map_err(|source| self.io_error(source))?;
        Ok(number)
    }

    /// Returns the number stored last; 0 if there is none.
    fn stored(&self) -> Result<u64, IncarnationStoreError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(0),
            Err(error) => return Err(self.io_error(error)),
        };
        match decode(&bytes) {
            Some(number) => Ok(number),
            None => {
                let rejected_path = path_with_suffix(&self.path, ".rejected");
                fs::rename(&self.path, &rejected_path).map_err(|source| self.io_error(source))?;
                let (path, rejected_path) = (self.path.display(), rejected_path.display());
                warn!(%path, aside = %rejected_path, "stored incarnation is not readable; set aside");
                Ok(0)
            }
        }
    }

    fn io_error(&self, source: io::Error) -> IncarnationStoreError {
        IncarnationStoreError::Io {
            path: self.path.clone(),
            source,
        }
    }
}

fn encode(number: u64) -> String {
    let text = format!("{HEADER} {number}");
    let checksum = xxh3_64(text.as_bytes());
    format!("{text} {checksum:016x}\n")
}

/// Parses a stored line; none unless it is complete and its checksum matches.
fn decode(bytes: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(bytes).ok()?.strip_suffix('\n')?;
    let (text, _) = line.rsplit_once(' ')?;
    let number = text.strip_prefix(HEADER)?.strip_prefix(' ')?.parse().ok()?;
    (encode(number).as_bytes() == bytes).then_some(number)
}
