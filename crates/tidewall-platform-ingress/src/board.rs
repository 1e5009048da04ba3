//! The notice board at the gateway's seam.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tidewall::interface::{EndpointState, Time};
use tidewall_gateway::endpoints::EndpointRecord;
use tidewall_gateway::error::ProtocolError;
use tidewall_gateway::protocol::{DiscoveryEvents, DiscoverySource, LocalIdentity};
use tidewall_platform::board;
use tracing::warn;

/// How long a poll may wait, in milliseconds: what the board would have told counts as told 2 s after the end of the wait that
/// was asked for, so a short wait keeps a silent board from making the list stale, at one poll a second.
const LINGER_MS: u64 = 1_000;

/// Silent for so much longer than that: it hangs. Half of the 2 s that are left by then, for the next attempt.
const MARGIN: Time = 7_000;

/// After a break it is asked again at once; after further ones each wait is twice as long, half a second at the most.
const WAIT: Time = 200;
const WAIT_MOST: Time = 5_000;

pub struct Board {
    at: SocketAddr,
    host: String,
    /// The last event that was taken whole.
    rev: u64,
    goes_on: bool,
    breaks: u32,
    chance: ChaCha8Rng,
    /// Reads the board's address again.
    again: Box<dyn FnMut() -> Result<SocketAddr, String>>,
}

impl Board {
    pub fn new(
        at: SocketAddr,
        rev: u64,
        seed: u64,
        again: Box<dyn FnMut() -> Result<SocketAddr, String>>,
    ) -> Board {
        let chance = ChaCha8Rng::seed_from_u64(seed);
        Board {
            at,
            host: at.to_string(),
            rev,
            goes_on: true,
            breaks: 0,
            chance,
            again,
        }
    }

    fn ask(&self, out: &mut Vec<u8>) {
        board::ask(out, &self.host, self.rev, LINGER_MS);
    }
}

/// Unix time in milliseconds.
fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// One host as the gateway's list has it. One that is removed may be told without an address.
fn entry(host: &board::Host, now: u64) -> Result<EndpointRecord, String> {
    let standing = match host.state {
        "up" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        _ => EndpointState::Removed,
    };
    let nowhere = || SocketAddr::from(([0, 0, 0, 0], 0));
    let at = match host.at.parse() {
        Ok(at) => at,
        Err(_) if standing == EndpointState::Removed => nowhere(),
        Err(_) => {
            return Err(format!(
                "field servers.addr: '{}'",
                tidewall_platform::shown(host.at)
            ))
        }
    };
    Ok(EndpointRecord {
        name: host.id.to_string(),
        address: at,
        zone: host.zone.to_string(),
        machine: host.kind.to_string(),
        cell: host.cell.min(u64::from(u32::MAX)) as u32,
        state: standing,
        rating: host.weight,
        incarnation: host.started,
        // A start is never so young that it counts as one of long ago.
        age: if host.started == 0 {
            0
        } else {
            (now.saturating_sub(host.started) * 10).max(1)
        },
    })
}

/// Takes events over, all of an answer or nothing. Gives back the number of the last one, or none where some between were
/// not told: then nothing is taken, and the whole is to be asked for.
pub fn take(
    json: &board::Json,
    last: u64,
    told: &mut dyn DiscoveryEvents,
) -> Result<Option<u64>, String> {
    let (now, mut lists) = (unix(), Vec::new());
    let rev = board::notices(json, last, &mut |hosts, full| {
        lists.push((
            hosts
                .iter()
                .map(|h| entry(h, now))
                .collect::<Result<Vec<_>, _>>(),
            full,
        ));
    })?;
    let Some(rev) = rev else { return Ok(None) };
    let mut good: Vec<(Vec<EndpointRecord>, bool)> = Vec::new();
    for (entries, full) in lists {
        let entries = entries?;
        match good.last_mut().filter(|_| !full) {
            // What follows a whole list in one answer is part of it: nobody is gone in between.
            Some((whole, true)) => entries.into_iter().for_each(|e| {
                match whole.iter_mut().find(|w| w.name == e.name) {
                    Some(known) => *known = e,
                    None => whole.push(e),
                }
            }),
            _ => good.push((entries, full)),
        }
    }
    for (entries, full) in good {
        told.endpoints_received(&entries, full);
    }
    Ok(Some(rev))
}

impl DiscoverySource for Board {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn write_subscription(&mut self, out: &mut Vec<u8>, _me: &LocalIdentity, _follows: bool) {
        self.ask(out);
    }

    fn read_message(
        &mut self,
        bytes: &[u8],
        told: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((len, goes_on, body)) = board::read(bytes).map_err(ProtocolError::other)? else {
            return Ok(None);
        };
        let json = board::json(&body).map_err(ProtocolError::other)?;
        let rev = take(&json, self.rev, told).map_err(ProtocolError::other)?;
        if rev.is_none() {
            warn!(
                last = self.rev,
                "the board's numbers do not follow each other: the whole list is asked for"
            );
        }
        self.rev = rev.unwrap_or(0);
        (self.goes_on, self.breaks) = (goes_on, 0);
        Ok(Some(len))
    }

    fn write_next_poll(&mut self, out: &mut Vec<u8>) -> bool {
        if self.goes_on {
            self.ask(out);
        }
        self.goes_on
    }

    fn silence_timeout(&self) -> Option<Time> {
        Some(LINGER_MS * 10 + MARGIN)
    }

    fn retry_delay(&mut self) -> Time {
        let wait = if self.breaks == 0 {
            1
        } else {
            (WAIT << self.breaks.min(8)).min(WAIT_MOST)
        };
        self.breaks += 1;
        wait * 3 / 4 + self.chance.random_range(0..=wait / 2)
    }

    fn reload(&mut self) -> bool {
        match (self.again)() {
            Ok(at) => {
                let other = at != self.at;
                (self.at, self.host, self.breaks) = (at, at.to_string(), 0);
                other
            }
            Err(reason) => {
                warn!(reason, "the configuration was not taken over");
                false
            }
        }
    }
}
