//! The endpoint cache stores the last endpoint list on disk, so that a gateway that starts while the
//! discovery server is unreachable knows workers.
use crate::durable_file::replace_file;
use crate::endpoints::{self, EndpointRecord};
use crate::timers::TimerToken;
use crate::Gateway;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, SystemTime};
use tidewall_net::{Net, Time};
use tracing::{info, warn};

/// Storage for the last endpoint list.
pub trait EndpointCache {
    /// Returns what was written last, and how long ago in tenths of a millisecond; none if nothing was
    /// written.
    ///
    /// # Errors
    /// If the storage cannot be read.
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>>;
    /// Replaces the stored list atomically, even if the process is killed or the power is cut.
    ///
    /// # Errors
    /// If the list cannot be written; the write is tried again later.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Whether lists are stored at all; if not, they need not be encoded.
    fn is_stored(&self) -> bool {
        true
    }
}

/// A cache that stores nothing.
pub struct NoEndpointCache;

impl EndpointCache for NoEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        Ok(None)
    }

    fn write(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn is_stored(&self) -> bool {
        false
    }
}

/// A cache in a file. A new list is written to a temporary file, synced and renamed: if this is
/// interrupted, the previous list remains.
pub struct FileEndpointCache(
    /// The file's path.
    pub PathBuf,
);

impl EndpointCache for FileEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        match fs::read(&self.0) {
            Ok(bytes) => {
                let written_at = fs::metadata(&self.0)?.modified()?;
                // If the clock was set back, the elapsed time is unknown and counts as 0.
                let elapsed = SystemTime::now()
                    .duration_since(written_at)
                    .unwrap_or(Duration::ZERO);
                Ok(Some((bytes, (elapsed.as_millis() * 10) as Time)))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        replace_file(&self.0, bytes)
    }
}

/// A cache that writes on its own thread: a disk may take seconds, and requests must not wait for it.
///
/// Until the first write this struct holds the inner cache, for reading; then the cache moves to the
/// thread, which alone uses it. The thread receives lists from a bounded channel and writes the newest; a
/// failed write is retried until a newer list arrives. Dropping this struct closes the channel; the thread
/// then writes the last list that it received, if the disk accepts it, and ends. The drop waits for the
/// thread for a limited time, after which the thread is detached.
pub struct BackgroundEndpointCache {
    /// The inner cache, until it moves to the thread.
    inner: Option<Box<dyn EndpointCache + Send>>,
    /// The channel of lists to the thread.
    writes: Option<SyncSender<Vec<u8>>>,
    /// Disconnected when the thread ends.
    ended: Option<Receiver<()>>,
}

/// Maximum number of lists that wait for a disk that accepts none. When the channel is full a write fails,
/// and the caller retries later.
const MAX_WAITING_WRITES: usize = 16;

/// Delay before a failed write is retried; free space usually returns only by an operator's action.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long the drop waits for the last write: well above the time that a healthy disk takes. No request
/// waits for a response at that time.
const MAX_FINAL_WRITE_WAIT: Duration = Duration::from_secs(5);

impl BackgroundEndpointCache {
    /// Creates a cache that writes to `inner` in the background.
    pub fn new(inner: impl EndpointCache + Send + 'static) -> BackgroundEndpointCache {
        BackgroundEndpointCache {
            inner: Some(Box::new(inner)),
            writes: None,
            ended: None,
        }
    }

    /// Starts the thread if it does not run yet.
    fn start(&mut self) -> io::Result<()> {
        let Some(inner) = self.inner.take() else {
            return Ok(());
        };
        let (writes, received) = sync_channel::<Vec<u8>>(MAX_WAITING_WRITES);
        let (end, ended) = sync_channel::<()>(0);
        thread::Builder::new().spawn(move || {
            // Dropped when the thread ends, which disconnects `ended`.
            let _end = end;
            write_received(inner, &received);
        })?;
        (self.writes, self.ended) = (Some(writes), Some(ended));
        Ok(())
    }
}

/// The thread of a background cache: writes the lists that it receives until the channel is closed.
fn write_received(mut cache: Box<dyn EndpointCache + Send>, received: &Receiver<Vec<u8>>) {
    while let Ok(mut bytes) = received.recv() {
        loop {
            bytes = received.try_iter().last().unwrap_or(bytes);
            let Err(error) = cache.write(&bytes) else {
                break;
            };
            warn!(%error, "endpoint cache write failed");
            match received.recv_timeout(WRITE_RETRY_DELAY) {
                Ok(newer) => bytes = newer,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}

impl EndpointCache for BackgroundEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        self.inner.as_mut().map_or(Ok(None), |inner| inner.read())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.start()?;
        let writes = self.writes.as_ref().ok_or(io::ErrorKind::BrokenPipe)?;
        writes
            .try_send(bytes.to_vec())
            .map_err(|_| io::ErrorKind::WouldBlock.into())
    }
}

impl Drop for BackgroundEndpointCache {
    /// Waits for the thread to write the last list, up to `MAX_FINAL_WRITE_WAIT`.
    fn drop(&mut self) {
        self.writes = None;
        if let Some(ended) = self.ended.take() {
            let _ = ended.recv_timeout(MAX_FINAL_WRITE_WAIT);
        }
    }
}

/// Delay before a changed list is written: 0.2 s, so that many changes in quick succession are one write.
const CACHE_WRITE_DELAY: Time = 2_000;

impl<N: Net> Gateway<N> {
    /// Schedules a write of the changed list.
    pub(crate) fn schedule_cache_write(&mut self) {
        if !std::mem::replace(&mut self.cache_outdated, true) {
            let at = self.context.net().now() + CACHE_WRITE_DELAY;
            self.context
                .net()
                .set_timer(at, TimerToken::CacheWrite.pack());
        }
    }

    /// Writes the list if it has changed since the last write.
    pub(crate) fn write_endpoint_cache(&mut self) {
        if std::mem::take(&mut self.cache_outdated) && self.endpoint_cache.is_stored() {
            let records = self.context.scheduler.host.endpoint_records();
            if let Err(error) = self.endpoint_cache.write(&endpoints::encode(&records)) {
                warn!(%error, "endpoint cache write failed");
                // Retried later, because a full disk may have space again.
                self.cache_outdated = true;
                let retry_at = self.context.net().now() + 10 * CACHE_WRITE_DELAY;
                self.context
                    .net()
                    .set_timer(retry_at, TimerToken::CacheWrite.pack());
            }
        }
    }

    /// Applies the cached list at start. A list that cannot be read or decoded is logged and counts as
    /// empty.
    pub(crate) fn load_endpoint_cache(&mut self) {
        let records = match self.endpoint_cache.read() {
            Ok(None) => Vec::new(),
            Ok(Some((bytes, elapsed))) => {
                endpoints::decode(&bytes, elapsed).unwrap_or_else(|error| {
                    warn!(%error, "endpoint cache rejected");
                    Vec::new()
                })
            }
            Err(error) => {
                warn!(%error, "endpoint cache could not be read");
                Vec::new()
            }
        };
        let pool = &mut self.context.scheduler.host;
        let listed: Vec<_> = records
            .iter()
            .map(|record: &EndpointRecord| pool.register_endpoint(record))
            .collect();
        info!(workers = listed.len(), "endpoint cache loaded");
        self.context.scheduler.update_endpoints(&listed, true);
    }
}
