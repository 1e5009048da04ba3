//! The endpoint cache: the last endpoint list on disk, so that a gateway that starts while the discovery server cannot be
//! reached has workers.
use crate::durable_file::replace;
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

/// Where the last endpoint list is stored.
pub trait EndpointCache {
    /// What was written last, and how long ago in tenths of a millisecond; none where nothing was.
    ///
    /// # Errors
    /// Where it cannot be read.
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>>;
    /// Replaces what was written last, completely or not at all, whenever the process is killed or the power is cut.
    ///
    /// # Errors
    /// Where it cannot be written; the write is tried again later.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Whether anything is stored; else lists need not be encoded.
    fn is_stored(&self) -> bool {
        true
    }
}

/// Stores nothing.
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

/// A file. It is written beside itself, synchronised and renamed: a stop in the middle leaves the one before.
pub struct FileEndpointCache(
    /// The file's path.
    pub PathBuf,
);

impl EndpointCache for FileEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        match fs::read(&self.0) {
            Ok(bytes) => {
                let written_at = fs::metadata(&self.0)?.modified()?;
                // A clock that was set back says nothing: then no time has passed.
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
        replace(&self.0, bytes)
    }
}

/// A cache that writes on a thread of its own: a disk may take seconds, and requests may not wait for it.
///
/// Until the first write the inner cache is here, for reading; then it moves to the thread, which alone uses it from then on.
/// The thread takes lists from a bounded channel, writes the newest, and tries again what could not be written until something
/// newer comes. Dropping this closes the channel; the thread writes what it was handed, where the disk takes it, and ends. The
/// drop waits for that, though not for ever, and the thread is detached then.
pub struct BackgroundEndpointCache {
    /// The inner cache, until the thread has it.
    inner: Option<Box<dyn EndpointCache + Send>>,
    /// Lists for the thread.
    writes: Option<SyncSender<Vec<u8>>>,
    /// Closed by the thread when it ends.
    ended: Option<Receiver<()>>,
}

/// Lists that wait for a disk that takes none, at most; further ones come again with the next change.
const MAX_WAITING_WRITES: usize = 16;

/// A write that failed is tried again after this: space comes back by somebody's hand.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// At the end the disk is waited for so long: well above what a healthy one takes, and nobody waits for a response any more.
const MAX_FINAL_WRITE_WAIT: Duration = Duration::from_secs(5);

impl BackgroundEndpointCache {
    /// Writes to `inner` in the background.
    pub fn new(inner: impl EndpointCache + Send + 'static) -> BackgroundEndpointCache {
        BackgroundEndpointCache {
            inner: Some(Box::new(inner)),
            writes: None,
            ended: None,
        }
    }

    /// Starts the thread, unless it runs already.
    fn start(&mut self) -> io::Result<()> {
        let Some(inner) = self.inner.take() else {
            return Ok(());
        };
        let (writes, received) = sync_channel::<Vec<u8>>(MAX_WAITING_WRITES);
        let (end, ended) = sync_channel::<()>(0);
        thread::Builder::new().spawn(move || {
            // Dropped with the thread, which tells that it has ended.
            let _end = end;
            write_received(inner, &received);
        })?;
        (self.writes, self.ended) = (Some(writes), Some(ended));
        Ok(())
    }
}

/// The thread of a background cache: writes what it receives until the channel is closed.
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
    /// What was handed over is written, where the disk takes it.
    fn drop(&mut self) {
        self.writes = None;
        if let Some(ended) = self.ended.take() {
            let _ = ended.recv_timeout(MAX_FINAL_WRITE_WAIT);
        }
    }
}

/// A changed list is written 0.2 s later, so that many changes at once are one write.
const CACHE_WRITE_DELAY: Time = 2_000;

impl<N: Net> Gateway<N> {
    /// The list has changed: it is written soon.
    pub(crate) fn schedule_cache_write(&mut self) {
        if !std::mem::replace(&mut self.cache_outdated, true) {
            let at = self.context.net().now() + CACHE_WRITE_DELAY;
            self.context
                .net()
                .set_timer(at, TimerToken::CacheWrite.pack());
        }
    }

    /// Writes the list, if it has changed since it was written last.
    pub(crate) fn write_endpoint_cache(&mut self) {
        if std::mem::take(&mut self.cache_outdated) && self.endpoint_cache.is_stored() {
            let records = self.context.scheduler.host.endpoint_records();
            if let Err(error) = self.endpoint_cache.write(&endpoints::encode(&records)) {
                warn!(%error, "endpoint cache write failed");
                // A disk that was full may have space by then.
                self.cache_outdated = true;
                let retry_at = self.context.net().now() + 10 * CACHE_WRITE_DELAY;
                self.context
                    .net()
                    .set_timer(retry_at, TimerToken::CacheWrite.pack());
            }
        }
    }

    /// At start: takes over the cached list. One that cannot be read or decoded is logged and counts as empty.
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
