//! The platform's notice board as the gateway's discovery source.
use crate::error::ReloadError;
use crate::unix_clock::UnixClock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use tidewall::interface::{EndpointState, Time};
use tidewall_gateway::endpoints::EndpointRecord;
use tidewall_gateway::error::ProtocolError;
use tidewall_gateway::protocol::{DiscoveryEvents, DiscoverySource, LocalIdentity};
use tidewall_platform::notice_board::{
    self, HostEntry, HostState, Json, NoticeBoardError, PollRequest,
};
use tracing::warn;

/// How long the board may hold a poll, in milliseconds. A change counts as known 2 s after the end of the wait that was
/// asked for, so a short wait keeps a silent board from making the endpoint list stale, at one poll a second.
const POLL_WAIT_MS: u64 = 1_000;

/// The wait of a poll by which the list is to be confirmed at once: the shortest that there is.
const CONFIRM_WAIT_MS: u64 = 1;

/// An answer is due so much later than the wait of its poll, in tenths of a millisecond: many round trips and late wake-ups, and
/// far less than any grace period.
const ANSWER_MARGIN: Time = 2_000;

/// Connections that ended in a row from which on the list is to be confirmed at once, also where it just was.
const FAILURES_TO_CONFIRM: u32 = 2;

/// A board that is silent for so much longer than the poll's wait hangs. Tenths of a millisecond: of the 2 s that are left
/// by then, the rest is for the next connection.
const SILENCE_MARGIN: Time = 7_000;

/// The delay of the second retry in a row, in tenths of a millisecond; the first one comes at once.
const BASE_RETRY_DELAY: Time = 200;

/// The longest retry delay, in tenths of a millisecond: half a second.
const MAX_RETRY_DELAY: Time = 5_000;

/// The retry delay is doubled at most so often; it has reached its maximum before.
const MAX_DOUBLINGS: u32 = 8;

/// Reads the notice board's address from the configuration as it is now.
pub type ReadAddress = Box<dyn FnMut() -> Result<SocketAddr, ReloadError>>;

/// The notice board, polled over one connection at a time.
pub struct NoticeBoardSource {
    address: SocketAddr,
    /// The address as text, for the polls.
    host: String,
    /// The revision of the last response that was used; 0 asks for the complete list.
    revision: u64,
    /// Whether another poll may be sent on the connection.
    keep_alive: bool,
    /// Connections that ended since the last response.
    failures: u32,
    /// How long the board may hold the last poll.
    wait_ms: u64,
    /// The last answer was to a poll without a wait.
    answered_at_once: bool,
    /// The list is to be confirmed at once: after the start, and where the board's address has changed.
    confirm_at_once: bool,
    random: ChaCha8Rng,
    clock: UnixClock,
    read_address: ReadAddress,
}

impl NoticeBoardSource {
    /// A source at `address` that knows all notices up to `revision`. `clock` is that of the hosts' starts, `seed` that of
    /// the jitter of retry delays; `read_address` is called when the configuration is to be read again.
    pub fn new(
        address: SocketAddr,
        revision: u64,
        clock: UnixClock,
        seed: u64,
        read_address: ReadAddress,
    ) -> NoticeBoardSource {
        NoticeBoardSource {
            address,
            host: address.to_string(),
            revision,
            keep_alive: true,
            failures: 0,
            wait_ms: 0,
            answered_at_once: false,
            confirm_at_once: true,
            random: ChaCha8Rng::seed_from_u64(seed),
            clock,
            read_address,
        }
    }

    fn write_poll(&mut self, out: &mut Vec<u8>) {
        // A board that ends each connection behind its answer must not be asked without end.
        let has_broken = self.failures > 0 && !self.answered_at_once;
        let confirm = self.confirm_at_once || has_broken || self.failures >= FAILURES_TO_CONFIRM;
        self.wait_ms = if confirm {
            CONFIRM_WAIT_MS
        } else {
            POLL_WAIT_MS
        };
        let poll = PollRequest {
            host: &self.host,
            revision: self.revision,
            wait_ms: self.wait_ms,
        };
        poll.encode(out);
    }
}

/// One host as the gateway's endpoint list has it. A host that is removed may come without an address. `is_change`: it comes by
/// a change of the list, not by a complete one.
fn endpoint_record(
    host: &HostEntry,
    clock: &UnixClock,
    is_change: bool,
) -> Result<EndpointRecord, NoticeBoardError> {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    Ok(EndpointRecord {
        name: host.id.to_string(),
        address: host.socket_address()?.unwrap_or(unspecified),
        zone: host.zone.to_string(),
        machine: host.machine.to_string(),
        cell: host.cell.min(u64::from(u32::MAX)) as u32,
        state: match host.state {
            HostState::Up => EndpointState::Active,
            HostState::Draining => EndpointState::Draining,
            HostState::Removed => EndpointState::Removed,
        },
        rating: host.weight,
        incarnation: host.started_ms,
        // At least 1 for a known start, as 0 stands for a start long ago.
        age: if host.started_ms == 0 {
            0
        } else {
            (clock.age_ms(host.started_ms, is_change) * 10).max(1)
        },
    })
}

/// Endpoints that are handed to the gateway together.
struct EndpointUpdate {
    records: Vec<EndpointRecord>,
    complete: bool,
}

impl EndpointUpdate {
    /// Replaces the records of the same names, and adds the others.
    fn merge(&mut self, records: Vec<EndpointRecord>) {
        // Looked up only: iterating over a hash map would make runs differ.
        let mut positions: FxHashMap<String, usize> = FxHashMap::default();
        for (position, record) in self.records.iter().enumerate() {
            positions.insert(record.name.clone(), position);
        }
        for record in records {
            match positions.get(&record.name) {
                Some(position) => self.records[*position] = record,
                None => {
                    positions.insert(record.name.clone(), self.records.len());
                    self.records.push(record);
                }
            }
        }
    }
}

/// Hands the notices behind `last_revision` to the gateway, all of a response or none. Gives back the last revision, or
/// `None` where notices between are missing: then nothing was handed over, and the complete list is to be asked for.
pub fn deliver_notices(
    json: &Json,
    last_revision: u64,
    clock: &UnixClock,
    events: &mut dyn DiscoveryEvents,
) -> Result<Option<u64>, NoticeBoardError> {
    let Some(notices) = notice_board::decode_notices(json, last_revision)? else {
        return Ok(None);
    };
    let mut updates: Vec<EndpointUpdate> = Vec::new();
    for list in notices.lists {
        let records = list
            .hosts
            .iter()
            .map(|host| endpoint_record(host, clock, last_revision > 0 && !list.complete))
            .collect::<Result<Vec<_>, _>>()?;
        match updates.last_mut() {
            // What follows a complete list in one response belongs to it: no endpoint is gone in between.
            Some(last) if last.complete && !list.complete => last.merge(records),
            _ => updates.push(EndpointUpdate {
                records,
                complete: list.complete,
            }),
        }
    }
    for update in updates {
        events.endpoints_received(&update.records, update.complete);
    }
    Ok(Some(notices.revision))
}

impl DiscoverySource for NoticeBoardSource {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn write_subscription(&mut self, out: &mut Vec<u8>, _identity: &LocalIdentity, _follows: bool) {
        self.write_poll(out);
    }

    fn max_message_length(&self) -> Option<usize> {
        // Twice the body: it may come in chunks, and its head stands before it.
        Some(2 * notice_board::MAX_BODY)
    }

    fn read_message(
        &mut self,
        bytes: &[u8],
        events: &mut dyn DiscoveryEvents,
    ) -> Result<Option<usize>, ProtocolError> {
        let decoded = notice_board::decode_response(bytes).map_err(ProtocolError::other)?;
        let Some(response) = decoded else {
            return Ok(None);
        };
        let json = notice_board::parse_json(&response.body).map_err(ProtocolError::other)?;
        let revision = deliver_notices(&json, self.revision, &self.clock, events)
            .map_err(ProtocolError::other)?;
        if revision.is_none() {
            warn!(
                last = self.revision,
                "notice board skipped revisions: requesting the complete endpoint list"
            );
        }
        if let Some(now_known) = revision {
            // Without news the board has waited as long as it was asked to; news may have come at once.
            let is_unchanged = now_known == self.revision;
            events.list_confirmed(if is_unchanged { self.wait_ms * 10 } else { 0 });
        }
        self.revision = revision.unwrap_or(0);
        self.keep_alive = response.keep_alive;
        (self.failures, self.confirm_at_once) = (0, false);
        self.answered_at_once = self.wait_ms == CONFIRM_WAIT_MS;
        Ok(Some(response.length))
    }

    fn write_next_poll(&mut self, out: &mut Vec<u8>) -> bool {
        if self.keep_alive {
            self.write_poll(out);
        }
        self.keep_alive
    }

    fn answer_due(&self) -> Option<Time> {
        Some(POLL_WAIT_MS * 10 + ANSWER_MARGIN)
    }

    fn silence_timeout(&self) -> Option<Time> {
        Some(POLL_WAIT_MS * 10 + SILENCE_MARGIN)
    }

    fn retry_delay(&mut self) -> Time {
        let delay = if self.failures == 0 {
            1
        } else {
            (BASE_RETRY_DELAY << self.failures.min(MAX_DOUBLINGS)).min(MAX_RETRY_DELAY)
        };
        self.failures += 1;
        // Jitter of a quarter either way, so that gateways do not come back together.
        delay * 3 / 4 + self.random.random_range(0..=delay / 2)
    }

    fn reload(&mut self) -> bool {
        match (self.read_address)() {
            Ok(address) => {
                let changed = address != self.address;
                (self.address, self.host, self.failures) = (address, address.to_string(), 0);
                self.confirm_at_once |= changed;
                changed
            }
            Err(error) => {
                warn!(reason = error.to_string(), "configuration reload failed");
                false
            }
        }
    }
}
