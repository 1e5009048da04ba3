//! The connection to the peer. The gateway whose name sorts last opens it. Both gateways send a greeting with
//! their incarnation, whether they serve, epoch and shared settings; if the settings differ, one of the two
//! may not take over. Heartbeats, replication records, acknowledgements and requests to step down follow. A
//! connection that is silent or too slow for a few advertisement intervals is reset, and the role state
//! machine then treats the peer as lost.
//!
//! The same listener answers `tidewall status`.
use super::control_messages::{PeerControl, PeerGreeting, PEER_ROLE, STATUS_ROLE};
use super::snapshot::SnapshotCursor;
use crate::error::ProtocolError;
use crate::{Gateway, Owner};
use tidewall_failover::role::Role;
use tidewall_net::{Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, Field, Fields, WireError};
use tracing::{info, trace, warn};

/// The member that may not take over if the settings differ: the one whose name sorts last.
const INELIGIBLE_MEMBER: usize = 1;

/// The member that opens the connection to its peer.
const DIALING_MEMBER: usize = 1;

/// The state of the connection to the peer. The connection itself is stored in the replicator.
pub(super) struct PeerLink {
    pub listener: Listener,
    /// A connection that this gateway opened and on which the peer's greeting has not been received yet.
    dialing: Option<Conn>,
    /// When the last message of the peer was received.
    last_message_at: Time,
    /// The total stall of the process at the last tick.
    total_stall: Time,
    /// The number of records received on this connection, and how many of them were acknowledged.
    records_received: u64,
    records_acknowledged: u64,
    pub snapshot: SnapshotCursor,
    /// The number of the last record written before actions began to wait for acknowledgements. The peer has
    /// caught up once it has acknowledged this record.
    pub wait_start_sequence: u64,
    /// The first setting that differs from the peer's.
    pub settings_mismatch: Option<String>,
}

impl PeerLink {
    pub fn new(listener: Listener, now: Time, total_stall: Time) -> PeerLink {
        PeerLink {
            listener,
            dialing: None,
            last_message_at: now,
            total_stall,
            records_received: 0,
            records_acknowledged: 0,
            snapshot: SnapshotCursor::Idle,
            wait_start_sequence: 0,
            settings_mismatch: None,
        }
    }

    /// Restarts the silence limit if the process has stalled since the last tick: silence during a stall says
    /// nothing about the peer.
    pub fn note_stall(&mut self, now: Time, total_stall: Time) {
        if total_stall > self.total_stall {
            self.total_stall = total_stall;
            self.last_message_at = now;
        }
    }
}

impl<N: Net> Gateway<N> {
    /// Called at each tick: sends a heartbeat, resets a connection that is silent or too slow, or opens a new
    /// one.
    pub(super) fn check_peer_connection(&mut self, now: Time) {
        let host = &mut self.context.scheduler.host;
        let (Some(node), Some(replicator)) = (&mut self.failover, &mut host.replicator) else {
            return;
        };
        let (state, role_machine) = (&mut node.state, &mut node.role_machine);
        let silent = now > state.link.last_message_at + state.config.silence_limit();
        match replicator.conn {
            Some(conn) if silent || replicator.is_peer_too_slow(now) => {
                let silence = now - state.link.last_message_at;
                let unacknowledged = replicator.last_sequence - replicator.acknowledged_sequence;
                warn!(
                    silent,
                    last_heard = silence,
                    unacknowledged,
                    "peer is silent or too slow"
                );
                role_machine.peer_too_slow(now);
                self.drop_peer_connection(conn);
            }
            Some(_) => {
                let synced_incarnation = match role_machine.state() {
                    Role::Replicating => role_machine.granted.synced_incarnations[1 - state.member],
                    _ => 0,
                };
                let heartbeat = PeerControl::Heartbeat {
                    serves: role_machine.state().serves(),
                    synced_incarnation,
                    epoch: role_machine.epoch(),
                };
                replicator.send_control(&mut host.net, &heartbeat);
            }
            None if state.member == DIALING_MEMBER && state.link.dialing.is_none() => {
                let timeout = state.config.advertisement_interval();
                let conn = host.net.connect(state.config.peer_link_address, timeout);
                state.link.dialing = Some(conn);
                self.set_owner(conn, Owner::Handshake);
            }
            None => {}
        }
    }

    fn drop_peer_connection(&mut self, conn: Conn) {
        self.context.net().reset(conn);
        self.set_owner(conn, Owner::Nobody);
        self.peer_connection_closed();
    }

    /// Sends this gateway's greeting: the first message on a connection that it opened, or the reply to the
    /// peer's greeting.
    pub(crate) fn send_peer_greeting(&mut self, conn: Conn) {
        let Some(node) = &self.failover else { return };
        let config = &node.state.config;
        let shared_settings = config.shared_settings.join("\n");
        let greeting = PeerGreeting {
            name: &config.name,
            incarnation: config.incarnation,
            serves: node.role_machine.state().serves(),
            epoch: node.role_machine.epoch(),
            shared_settings: shared_settings.as_bytes(),
        };
        let mut frame = Vec::new();
        greeting.encode(&mut frame);
        self.context.net().write(conn, &frame);
    }

    /// Handles a connection that was closed before its greeting was received. If this gateway opened it, the
    /// next tick opens a new one.
    pub(crate) fn handshake_closed(&mut self, conn: Conn) {
        if let Some(node) = &mut self.failover {
            let dialing = &mut node.state.link.dialing;
            if *dialing == Some(conn) {
                *dialing = None;
            }
        }
    }

    /// Handles the first frame of a connection that the link's listener accepted or that this gateway opened.
    ///
    /// # Errors
    /// The frame is not a greeting of the peer or of `tidewall status`.
    pub(crate) fn handshake_frame_received(
        &mut self,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        match wire::greeted(fields)? {
            STATUS_ROLE => {
                self.send_status(conn);
                Ok(())
            }
            PEER_ROLE => {
                let node = self.failover.as_ref();
                let expected = node.map(|node| node.state.config.peer_name.as_str());
                let greeting = PeerGreeting::decode(fields, expected)?;
                self.peer_greeted(conn, &greeting);
                Ok(())
            }
            other => {
                let problem = format!("{other} is not heard here");
                Err(WireError::invalid(Field::Role, problem).into())
            }
        }
    }

    /// Makes the connection the one to the peer. An older one, which the peer has given up, is reset.
    fn peer_greeted(&mut self, conn: Conn, greeting: &PeerGreeting) {
        let Some(node) = &mut self.failover else {
            return;
        };
        let peer_settings = String::from_utf8_lossy(greeting.shared_settings);
        let mismatch = first_difference(&node.state.config.shared_settings, &peer_settings);
        if node.state.link.dialing.take().is_none() {
            // The peer opened the connection and waits for this gateway's greeting.
            self.send_peer_greeting(conn);
        }
        let replicator = self.context.scheduler.host.replicator.as_ref();
        if let Some(older) = replicator.and_then(|replicator| replicator.conn) {
            self.drop_peer_connection(older);
        }
        let now = self.context.net().now();
        self.set_owner(conn, Owner::Peer);
        if let Some(node) = &mut self.failover {
            let link = &mut node.state.link;
            link.records_received = 0;
            link.records_acknowledged = 0;
            link.last_message_at = now;
            let ineligible = mismatch.is_some() && node.state.member == INELIGIBLE_MEMBER;
            if let Some(setting) = &mismatch {
                warn!(
                    setting,
                    barred = ineligible,
                    "settings differ from the peer's"
                );
            }
            link.settings_mismatch = mismatch;
            node.role_machine.set_ineligible(ineligible);
        }
        if let Some(replicator) = &mut self.context.scheduler.host.replicator {
            replicator.conn = Some(conn);
            replicator.sent_on_connection = 0;
        }
        let PeerGreeting {
            name,
            incarnation,
            serves,
            epoch,
            ..
        } = *greeting;
        info!(peer = name, incarnation, serves, "peer connected");
        self.with_role(|role_machine, now, actions| {
            role_machine.peer_connected(now, actions, incarnation, serves, epoch)
        });
    }

    /// Handles a connection to the peer that was closed or is being reset.
    pub(crate) fn peer_connection_closed(&mut self) {
        if let Some(replicator) = &mut self.context.scheduler.host.replicator {
            replicator.conn = None;
            replicator.streaming = false;
            replicator.connection_overflowed = false;
        }
        if let Some(node) = &mut self.failover {
            node.state.link.snapshot = SnapshotCursor::Idle;
        }
        warn!("peer connection closed");
        self.with_role(|role_machine, now, actions| role_machine.peer_disconnected(now, actions));
    }

    /// Acknowledges the records received since the last acknowledgement, once for all records that were read
    /// together.
    pub(crate) fn acknowledge_records(&mut self) {
        let Some(node) = &mut self.failover else {
            return;
        };
        let link = &mut node.state.link;
        if link.records_received > link.records_acknowledged {
            link.records_acknowledged = link.records_received;
            let sequence = link.records_received;
            let host = &mut self.context.scheduler.host;
            if let Some(replicator) = &mut host.replicator {
                replicator.send_control(&mut host.net, &PeerControl::Acknowledged { sequence });
            }
        }
    }

    /// Handles a frame of the peer after its greeting.
    ///
    /// # Errors
    /// The frame is malformed, or acknowledges records that were never sent.
    pub(crate) fn peer_frame_received(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let now = self.context.net().now();
        let Some(node) = &mut self.failover else {
            return Ok(());
        };
        node.state.link.last_message_at = now;
        match PeerControl::decode(fields)? {
            Some(PeerControl::Heartbeat {
                serves,
                synced_incarnation,
                epoch,
            }) => {
                let reports_us_synced = synced_incarnation == node.state.config.incarnation;
                self.with_role(|role_machine, now, actions| {
                    role_machine.peer_heartbeat(now, actions, serves, reports_us_synced, epoch)
                });
            }
            Some(PeerControl::Acknowledged { sequence }) => {
                return self.records_acknowledged(sequence)
            }
            Some(PeerControl::StepDownRequested) => {
                self.with_role(|role_machine, now, actions| {
                    role_machine.step_down_requested(now, actions)
                });
            }
            Some(PeerControl::SteppedDown) => {
                self.with_role(|role_machine, now, actions| {
                    role_machine.peer_stepped_down(now, actions)
                });
            }
            None if node.role_machine.fences_peer() => self.drop_fenced_peer(),
            None => {
                node.state.link.records_received += 1;
                return self.apply_record(fields);
            }
        }
        Ok(())
    }

    /// Resets the connection to a peer that still sends records although this member fences it. None of these
    /// records is acknowledged, and the greeting on the next connection informs the peer that this member
    /// serves.
    fn drop_fenced_peer(&mut self) {
        let replicator = self.context.scheduler.host.replicator.as_ref();
        if let Some(conn) = replicator.and_then(|replicator| replicator.conn) {
            warn!("record received from a fenced peer");
            self.drop_peer_connection(conn);
        }
    }

    /// Handles the peer's acknowledgement of all records up to `sequence`, counted on this connection.
    fn records_acknowledged(&mut self, sequence: u64) -> Result<(), ProtocolError> {
        let replicator = self.context.expect_replicator();
        let acknowledged = replicator.sequence_base + sequence;
        if acknowledged > replicator.last_sequence {
            let problem = format!("{sequence} was never told");
            return Err(WireError::invalid(Field::Seq, problem).into());
        }
        replicator.acknowledged_sequence = replicator.acknowledged_sequence.max(acknowledged);
        trace!(record = acknowledged, "records acknowledged");
        self.with_role(|role_machine, now, actions| {
            actions.gateway.send_pending_snapshot(actions.state);
            let acknowledged = actions.replicator().acknowledged_sequence;
            if let SnapshotCursor::Sent(last) = actions.state.link.snapshot {
                if acknowledged >= last {
                    actions.state.link.snapshot = SnapshotCursor::Idle;
                    role_machine.snapshot_acknowledged(now, actions);
                }
            }
            actions.confirm_synchronized(role_machine);
        });
        Ok(())
    }
}

/// Returns the first line, in sorted order, that only `ours` contains; if there is none, the first that only
/// `theirs` contains.
fn first_difference(ours: &[String], theirs: &str) -> Option<String> {
    let mut theirs: Vec<&str> = theirs.lines().collect();
    theirs.sort_unstable();
    let mut ours: Vec<&str> = ours.iter().map(String::as_str).collect();
    ours.sort_unstable();
    let only_in = |lines: &[&str], others: &[&str]| {
        let missing = |line: &&&str| others.binary_search(line).is_err();
        lines.iter().find(missing).map(|line| line.to_string())
    };
    only_in(&ours, &theirs).or_else(|| only_in(&theirs, &ours))
}
