//! The number of a process's incarnation, stored so that no later incarnation takes one that is as low: ballots and the other
//! members' memory tell incarnations apart by it, and a wall clock may be set back between two starts.
//!
//! The file holds one line of ASCII text: `tidewall-incarnation 1 NUMBER CHECKSUM`, the format's version, the number in decimal
//! digits, and the xxh3 (64 bits) of the text before the last space, in 16 hexadecimal digits.
use crate::durable_file::{replace, sibling};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tidewall_failover::proposal::next_incarnation;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// The format's name and version.
const HEADER: &str = "tidewall-incarnation 1";

/// Why a store cannot be used.
#[derive(Debug, Error)]
pub enum IncarnationStoreError {
    /// Another process uses it: two incarnations at a time would overwrite each other's number.
    #[error("{}: another process uses it", path.display())]
    InUse {
        /// The file of the number.
        path: PathBuf,
    },
    /// The file system refuses.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file that it concerns.
        path: PathBuf,
        /// What it says.
        source: io::Error,
    },
}

/// Numbers incarnations. One process at a time has a store.
#[derive(Debug)]
pub struct IncarnationStore {
    path: PathBuf,
    /// Locked as long as this lives.
    _lock: File,
}

impl IncarnationStore {
    /// Opens the store of a file, which need not exist yet. A lock file stands beside it.
    ///
    /// # Errors
    /// Another process uses it, or the lock file cannot be opened.
    pub fn open(path: &Path) -> Result<IncarnationStore, IncarnationStoreError> {
        let lock_path = sibling(path, ".lock");
        let io_error = |source| IncarnationStoreError::Io {
            path: lock_path.clone(),
            source,
        };
        let options = || File::options().create(true).append(true).open(&lock_path);
        let lock = options().map_err(io_error)?;
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

    /// The number of the next incarnation: the wall clock in milliseconds, but above every number stored before and above
    /// `last`. It is stored when this returns.
    ///
    /// A file that is torn, of another version or not a store's is set aside beside itself, with a line in the log, and
    /// counts as none.
    ///
    /// # Errors
    /// The file cannot be read or replaced. No number is given then: one that is not stored might be given again.
    pub fn next(&mut self, last: u64, clock: u64) -> Result<u64, IncarnationStoreError> {
        let number = next_incarnation(last.max(self.stored()?), clock);
        replace(&self.path, encode(number).as_bytes()).map_err(|source| self.io_error(source))?;
        Ok(number)
    }

    /// The number stored last; 0 where there is none.
    fn stored(&self) -> Result<u64, IncarnationStoreError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(0),
            Err(error) => return Err(self.io_error(error)),
        };
        match decode(&bytes) {
            Some(number) => Ok(number),
            None => {
                let aside = sibling(&self.path, ".rejected");
                fs::rename(&self.path, &aside).map_err(|source| self.io_error(source))?;
                let (path, aside) = (self.path.display(), aside.display());
                warn!(%path, %aside, "stored incarnation is not readable; set aside");
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

/// The number of a stored line; none unless it is whole and its checksum fits.
fn decode(bytes: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(bytes).ok()?.strip_suffix('\n')?;
    let (text, _) = line.rsplit_once(' ')?;
    let number = text.strip_prefix(HEADER)?.strip_prefix(' ')?.parse().ok()?;
    (encode(number).as_bytes() == bytes).then_some(number)
}
