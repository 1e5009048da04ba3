//! The gateway's discovery source for the platform's notice board.
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

/// Wait of a poll: how long the board may delay its answer, in milliseconds. A change counts as
/// known 2 s after the end of the requested wait, so a short wait keeps the endpoint list from
/// becoming stale when the board is silent. It costs one poll per second.
const POLL_WAIT_MS: u64 = 1_000;

/// Wait of a poll that confirms the endpoint list at once: the shortest possible, in milliseconds.
const CONFIRM_WAIT_MS: u64 = 1;

/// How long after the end of a poll's wait its answer is due, in tenths of a millisecond: many
/// round trips and late wake-ups, but far less than any grace period.
const ANSWER_MARGIN: Time = 2_000;

/// Number of consecutive connections that ended without a response after which the list is
/// confirmed at once, even if the last poll already did that.
const FAILURES_TO_CONFIRM: u32 = 2;

/// How long after the end of a poll's wait a silent board is considered hung, in tenths of a
/// millisecond. The rest of the 2 s after which a change counts as known is left for the next
/// connection.
const SILENCE_MARGIN: Time = 7_000;

/// Base of the retry delay, in tenths of a millisecond. The first retry is immediate; each later
/// one doubles the base once for each earlier failure.
const BASE_RETRY_DELAY: Time = 200;

/// Maximum retry delay, half a second, in tenths of a millisecond.
const MAX_RETRY_DELAY: Time = 5_000;

/// Maximum number of doublings of the retry delay, which reaches its maximum earlier.
const MAX_DOUBLINGS: u32 = 8;

/// Reads the notice board's address from the current configuration.
pub type ReadAddress = Box<dyn FnMut() -> Result<SocketAddr, ReloadError>>;

/// The notice board, polled on one connection at a time.
pub struct NoticeBoardSource {
    address: SocketAddr,
    /// The address as text, for the `Host` header.
    host: String,
    /// Revision of the last response that was used; 0 requests the complete list.
    revision: u64,
    /// Whether the connection can be used for another poll.
    keep_alive: bool,
    /// Number of connections that ended since the last response.
    failures: u32,
    /// Requested wait of the last poll.
    wait_ms: u64,
    /// Whether the last response was to a poll with the shortest wait, [`CONFIRM_WAIT_MS`].
    answered_at_once: bool,
    /// Whether to confirm the list at once: true after startup and after a change of the board's
    /// address.
    confirm_at_once: bool,
    random: ChaCha8Rng,
    clock: UnixClock,
    read_address: ReadAddress,
}

impl NoticeBoardSource {
    /// Creates a source that polls the board at `address` and knows all notices up to `revision`.
    /// `clock` is used for the ages of hosts, `seed` for the jitter of retry delays, and
    /// `read_address` is called when the configuration is reloaded.
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
        // After a failure the list is confirmed at once, unless the last response already did that.
        // Otherwise a board that closes each connection after its answer would be polled in a tight
        // loop.
        let has_unconfirmed_failure = self.failures > 0 && !self.answered_at_once;
        let confirm =
            self.confirm_at_once || has_unconfirmed_failure || self.failures >= FAILURES_TO_CONFIRM;
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

/// Converts a host's entry to an endpoint record of the gateway. A removed host may have no
/// address. `is_change` tells that the entry comes from a change of the list, not from a complete
/// list.
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
        // At least 1 for a known start time, as 0 stands for a start long ago.
        age: if host.started_ms == 0 {
            0
        } else {
            (clock.age_ms(host.started_ms, is_change) * 10).max(1)
        },
    })
}

/// Endpoint records that are passed to the gateway together.
struct EndpointUpdate {
    records: Vec<EndpointRecord>,
    complete: bool,
}

impl EndpointUpdate {
    /// Replaces the records that have the same names, and appends the others.
    fn merge(&mut self, records: Vec<EndpointRecord>) {
        // Only used for lookups: iterating over a hash map would make runs nondeterministic.
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

/// Passes the notices after `last_revision` to the gateway, all notices of the response or none.
/// Returns the last revision, or `None` if notices in between are missing. Then nothing was passed
/// on, and the caller has to request the complete list.
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
            // Changes that follow a complete list in the same response are merged into it, so that
            // no endpoint disappears in between.
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
        // Twice the maximum body length: the head precedes the body, and chunks add to its length.
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
        if let Some(new_revision) = revision {
            // If nothing is new, the board has waited for the whole requested time. News may have
            // been sent without any wait.
            let is_unchanged = new_revision == self.revision;
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
        // Jitter of 25 % up or down, so that gateways do not reconnect at the same time.
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
