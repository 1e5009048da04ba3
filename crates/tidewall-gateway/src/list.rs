//! The list of workers as the roster tells it, and the last one kept on disk. Its form is a head (magic,
//! wall-clock time of writing, length, hash) and a roster frame's body; a torn or foreign file is not used.
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tidewall::host::{Standing, Time};
use tidewall::ids;
use tidewall_wire::{frame, kind, Entries, Field, Fields, Frame};

/// One worker as the roster tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub at: SocketAddr,
    pub zone: String,
    pub machine: String,
    pub cell: u32,
    pub standing: Standing,
    pub rating: f64,
    /// Counts its starts; a higher one is a later start.
    pub life: u64,
    /// How long ago it started; 0 where that is long ago or not told.
    pub age: Time,
}

pub fn entry(e: &Fields) -> Result<Entry, String> {
    let at = e.text(Field::Place)?;
    Ok(Entry {
        name: e.text(Field::Name)?.to_string(),
        at: at.parse().map_err(|_| format!("field place: '{at}' is no address and port"))?,
        zone: e.word(Field::Zone)?.to_string(),
        machine: e.word(Field::Machine)?.to_string(),
        cell: e.upto(Field::Cell, u64::from(u32::MAX), 0)? as u32,
        standing: crate::standing(e.text(Field::Standing)?)?,
        rating: e.real(Field::Rating, 1.0)?,
        life: e.upto(Field::Life, u64::MAX, 0)?,
        age: e.upto(Field::Age, u64::MAX >> 8, 0)?,
    })
}

/// Writes an entry's fields, for the last list and for rosters.
pub fn write<'a>(f: Frame<'a>, e: &Entry) -> Frame<'a> {
    let standing = match e.standing {
        Standing::On => "on",
        Standing::Draining => "draining",
        Standing::Gone => "gone",
    };
    let f = f.text(Field::Name, &e.name).text(Field::Place, &e.at.to_string()).text(Field::Zone, &e.zone);
    let f = f.text(Field::Machine, &e.machine).whole(Field::Cell, u64::from(e.cell));
    let f = f.text(Field::Standing, standing).real(Field::Rating, e.rating);
    f.whole(Field::Life, e.life).whole(Field::Age, e.age)
}

const MAGIC: &[u8; 8] = b"tdwlist1";

/// The bytes of a kept list, without the time of writing, which the shelf knows.
pub fn encode(entries: &[Entry]) -> Vec<u8> {
    let mut list = Entries::default();
    entries.iter().for_each(|e| list.add(|f| write(f, e)));
    let mut body = Vec::new();
    Frame::new(&mut body, kind::ROSTER).text(Field::Scope, "whole").entries(&list).end();
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&sum(&body).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

fn sum(bytes: &[u8]) -> u64 {
    // The hash of ids serves: it guards against torn files, not against forgers.
    let text: String = bytes.iter().map(|b| char::from(*b)).collect();
    ids::hash(&text)
}

/// `passed` is how long ago it was written: workers have aged since.
pub fn decode(bytes: &[u8], passed: Time) -> Result<Vec<Entry>, String> {
    let body = bytes.strip_prefix(MAGIC).ok_or("field magic: no list of this version")?;
    let (told, body) = body.split_first_chunk::<8>().ok_or("field sum: cut short")?;
    if sum(body) != u64::from_be_bytes(*told) {
        return Err("field sum: the list is torn".to_string());
    }
    let (body, _) = frame(body)?.ok_or("field length: cut short")?;
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
pub trait Shelf {
    /// What was written last, and how long ago.
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>>;
    /// Whole or not at all, whenever the process is killed.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Keeps nothing.
pub struct NoShelf;

impl Shelf for NoShelf {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        Ok(None)
    }

    fn write(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

/// A file, written beside and renamed: a kill in the middle leaves the one before.
pub struct FileShelf(pub PathBuf);

impl Shelf for FileShelf {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        match fs::read(&self.0) {
            Ok(bytes) => {
                let written = fs::metadata(&self.0)?.modified()?;
                // A clock that was set back says nothing: then no time has passed.
                let passed = SystemTime::now().duration_since(written).unwrap_or(Duration::ZERO);
                Ok(Some((bytes, (passed.as_millis() * 10) as Time)))
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.0.with_extension("new");
        let mut file = fs::File::create(&beside)?;
        file.write_all(bytes)?;
        drop(file);
        fs::rename(&beside, &self.0)
    }
}
