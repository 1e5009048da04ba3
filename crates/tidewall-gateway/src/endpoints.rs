//! The list of workers as the roster tells it, and the last one kept on disk. Its form is a head (magic,
//! wall-clock time of writing, length, hash) and a roster frame's body; a torn or foreign file is not used.
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tidewall::interface::{EndpointState, Time};
use tidewall::interner;
use tidewall_wire::{frame, kind, Entries, Field, Fields, Frame, WireError};
use tracing::warn;

/// Why a stored endpoint list is not used.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// It does not begin with this version's magic bytes.
    #[error("field magic: no list of this version")]
    UnknownVersion,
    /// It ends within its checksum.
    #[error("field sum: cut short")]
    Truncated,
    /// Its checksum does not match its body.
    #[error("field sum: the list is torn")]
    ChecksumMismatch,
    /// Its body is malformed.
    #[error(transparent)]
    Body(#[from] WireError),
}

/// One worker as the roster tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine: String,
    pub cell: u32,
    pub state: EndpointState,
    pub rating: f64,
    /// Counts its starts; a higher one is a later start.
    pub incarnation: u64,
    /// How long ago it started; 0 where that is long ago or not told.
    pub age: Time,
}

pub fn entry(e: &Fields) -> Result<EndpointRecord, WireError> {
    let at = e.text(Field::Place)?;
    Ok(EndpointRecord {
        name: e.text(Field::Name)?.to_string(),
        address: at.parse().map_err(|_| {
            WireError::invalid(Field::Place, format!("'{at}' is no address and port"))
        })?,
        zone: e.word(Field::Zone)?.to_string(),
        machine: e.word(Field::Machine)?.to_string(),
        cell: e.upto(Field::Cell, u64::from(u32::MAX), 0)? as u32,
        state: state_from_wire(e.text(Field::Standing)?)?,
        rating: e.real(Field::Rating, 1.0)?,
        incarnation: e.upto(Field::Life, u64::MAX, 0)?,
        age: e.upto(Field::Age, u64::MAX >> 8, 0)?,
    })
}

/// The state that a word of the wire names.
fn state_from_wire(word: &str) -> Result<EndpointState, WireError> {
    match word {
        "on" => Ok(EndpointState::Active),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Removed),
        other => Err(WireError::invalid(
            Field::Standing,
            format!("'{other}' is no standing"),
        )),
    }
}

/// Writes an entry's fields, for the last list and for rosters.
pub fn write<'a>(f: Frame<'a>, e: &EndpointRecord) -> Frame<'a> {
    let standing = match e.state {
        EndpointState::Active => "on",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    let f = f
        .text(Field::Name, &e.name)
        .text(Field::Place, &e.address.to_string())
        .text(Field::Zone, &e.zone);
    let f = f
        .text(Field::Machine, &e.machine)
        .whole(Field::Cell, u64::from(e.cell));
    let f = f
        .text(Field::Standing, standing)
        .real(Field::Rating, e.rating);
    f.whole(Field::Life, e.incarnation).whole(Field::Age, e.age)
}

const MAGIC: &[u8; 8] = b"tdwlist1";

/// The bytes of a kept list, without the time of writing, which the shelf knows.
pub fn encode(entries: &[EndpointRecord]) -> Vec<u8> {
    let mut list = Entries::default();
    entries.iter().for_each(|e| list.add(|f| write(f, e)));
    let mut body = Vec::new();
    Frame::new(&mut body, kind::ROSTER)
        .text(Field::Scope, "whole")
        .entries(&list)
        .end();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&sum(&body).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

fn sum(bytes: &[u8]) -> u64 {
    // The hash of ids serves: it guards against torn files, not against forgers.
    let text: String = bytes.iter().map(|b| char::from(*b)).collect();
    interner::fnv1a(&text)
}

/// `passed` is how long ago it was written: workers have aged since.
pub fn decode(bytes: &[u8], passed: Time) -> Result<Vec<EndpointRecord>, EndpointListError> {
    let body = bytes
        .strip_prefix(MAGIC)
        .ok_or(EndpointListError::UnknownVersion)?;
    let (told, body) = body
        .split_first_chunk::<8>()
        .ok_or(EndpointListError::Truncated)?;
    if sum(body) != u64::from_be_bytes(*told) {
        return Err(EndpointListError::ChecksumMismatch);
    }
    let (body, _) = frame(body)?.ok_or(WireError::Truncated)?;
    let mut entries = Vec::new();
    Fields::read(body)?.entries(|e| {
        let mut e = entry(e)?;
        e.age += if e.age > 0 { passed } else { 0 };
        entries.push(e);
        Ok(())
    })?;
    Ok(entries)
}

/// Where the last list lies.
pub trait EndpointCache {
    /// What was written last, and how long ago.
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>>;
    /// Whole or not at all, whenever the process is killed or the power is cut.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Keeps nothing.
pub struct NoEndpointCache;

impl EndpointCache for NoEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        Ok(None)
    }

    fn write(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

/// A file, written beside, synchronised and renamed: a stop in the middle leaves the one before.
pub struct FileEndpointCache(pub PathBuf);

/// A shelf that writes on a thread of its own: a disk may take seconds, and events may not wait for it. What it could not write
/// it tries again until something newer comes.
pub struct BackgroundEndpointCache {
    shelf: Option<Box<dyn EndpointCache + Send>>,
    ask: Option<SyncSender<Vec<u8>>>,
    ended: Option<Receiver<()>>,
}

/// Lists that wait for a disk that takes none, at most; further ones come again with the next change.
const WAITING: usize = 16;

/// A write that failed is tried again after this: room comes back by somebody's hand.
const AGAIN: Duration = Duration::from_secs(2);

/// At the end a disk is waited for so long: well above what a healthy one takes, and nobody waits for an answer any more.
const END: Duration = Duration::from_secs(5);

impl BackgroundEndpointCache {
    pub fn new(shelf: impl EndpointCache + Send + 'static) -> BackgroundEndpointCache {
        BackgroundEndpointCache {
            shelf: Some(Box::new(shelf)),
            ask: None,
            ended: None,
        }
    }

    fn start(&mut self) -> io::Result<()> {
        let Some(mut shelf) = self.shelf.take() else {
            return Ok(());
        };
        let (ask, asked) = sync_channel::<Vec<u8>>(WAITING);
        let (end, ended) = sync_channel(0);
        thread::Builder::new().spawn(move || {
            // Dropped with the thread, which tells its end.
            let _end = end;
            while let Ok(mut bytes) = asked.recv() {
                loop {
                    bytes = asked.try_iter().last().unwrap_or(bytes);
                    let Err(e) = shelf.write(&bytes) else { break };
                    warn!(error = %e, "the last list was not kept");
                    match asked.recv_timeout(AGAIN) {
                        Ok(newer) => bytes = newer,
                        Err(RecvTimeoutError::Timeout) => {}
                        Err(RecvTimeoutError::Disconnected) => return,
                    }
                }
            }
        })?;
        (self.ask, self.ended) = (Some(ask), Some(ended));
        Ok(())
    }
}

impl EndpointCache for BackgroundEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        self.shelf.as_mut().map_or(Ok(None), |s| s.read())
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.start()?;
        let ask = self.ask.as_ref().ok_or(io::ErrorKind::BrokenPipe)?;
        ask.try_send(bytes.to_vec())
            .map_err(|_| io::ErrorKind::WouldBlock.into())
    }
}

impl Drop for BackgroundEndpointCache {
    /// What was handed over is written, where the disk takes it.
    fn drop(&mut self) {
        self.ask = None;
        if let Some(ended) = self.ended.take() {
            let _ = ended.recv_timeout(END);
        }
    }
}

impl EndpointCache for FileEndpointCache {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        match fs::read(&self.0) {
            Ok(bytes) => {
                let written = fs::metadata(&self.0)?.modified()?;
                // A clock that was set back says nothing: then no time has passed.
                let passed = SystemTime::now()
                    .duration_since(written)
                    .unwrap_or(Duration::ZERO);
                Ok(Some((bytes, (passed.as_millis() * 10) as Time)))
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        // The whole name and more, or two lists that differ in what follows the point would share it.
        let mut beside = self.0.clone().into_os_string();
        beside.push(".new");
        let mut file = fs::File::create(&beside)?;
        file.write_all(bytes)?;
        // Without it a power cut may leave the new name with nothing behind it.
        file.sync_all()?;
        drop(file);
        fs::rename(&beside, &self.0)?;
        let folder = self.0.parent().filter(|f| !f.as_os_str().is_empty());
        fs::File::open(folder.unwrap_or(std::path::Path::new(".")))?.sync_all()
    }
}
