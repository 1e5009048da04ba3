//! Handles received datagrams: authentication, replay protection, and the dispatch of their items.
use super::LeaseTask;
use crate::codec::{self, DatagramError, DatagramItem, LeaseReply, LeaseRequest, INCARNATION_MASK};
use crate::{Time, SECOND};
use std::net::SocketAddr;
use tidewall_lease::acceptor::AcceptorState;
use tidewall_lease::ballot::ballot;
use tidewall_lease::grantor::{Grant, GrantorReply, LeaseOwner};
use tidewall_net::Net;
use tracing::warn;

/// The sender of the datagram being handled.
#[derive(Clone, Copy)]
struct Sender {
    member: usize,
    incarnation: u64,
}

impl Sender {
    fn ballot(self, ballot_count: u64) -> u64 {
        ballot(self.member, self.incarnation, ballot_count)
    }
}

impl<N: Net> LeaseTask<N> {
    /// Counts a rejected datagram, which has no other effect, and logs at most one per second: a flood of
    /// forged datagrams must not fill the log.
    pub(super) fn reject_datagram(&mut self, now: Time, from: SocketAddr, error: DatagramError) {
        self.counters.datagrams_rejected.inc();
        if now >= self.last_rejection_log + SECOND || self.last_rejection_log == 0 {
            self.last_rejection_log = now.max(1);
            let why = error.to_string();
            warn!(member = %self.config.member_name, %from, why, "datagram rejected");
        }
    }

    pub(super) fn handle_datagram(&mut self, now: Time, bytes: &[u8]) -> Result<(), DatagramError> {
        let body = codec::open(bytes, &self.keys)?;
        let (header, items_start) = codec::decode_header(body)?;
        if header.to != self.config.member {
            return Err(DatagramError::WrongReceiver);
        }
        if header.from >= self.replay_windows.len() || header.from == self.config.member {
            return Err(DatagramError::UnknownSender);
        }
        let own_incarnation = self.config.incarnation & INCARNATION_MASK;
        if header.to_incarnation != 0 && header.to_incarnation != own_incarnation {
            return Err(DatagramError::StaleReceiver);
        }
        // All items are checked before any takes effect, and before the sequence number is recorded as
        // received.
        let items = codec::decode_items(&body[items_start..])?;
        let sender = Sender {
            member: header.from,
            incarnation: header.sender.incarnation,
        };
        let admitted =
            self.replay_windows[sender.member].admit(sender.incarnation, header.sequence);
        if self.config.safety_checks.replay_protection {
            admitted?;
        }
        if !self
            .membership
            .sender_heard(now, &mut self.actions, sender.member, header.sender)
        {
            return Err(DatagramError::StaleSender);
        }
        self.actions
            .outgoing
            .set_incarnation(sender.member, sender.incarnation);
        // A member that announces its departure may hand over a lease in the same datagram.
        self.apply_membership_changes(now);
        self.counters.datagrams_received.inc();
        for item in items {
            self.dispatch(now, sender, item);
        }
        Ok(())
    }

    fn dispatch(&mut self, now: Time, sender: Sender, item: DatagramItem) {
        let (membership, actions) = (&mut self.membership, &mut self.actions);
        match item {
            DatagramItem::Ping { sequence } => {
                membership.ping_received(actions, sender.member, sequence);
            }
            DatagramItem::IndirectPing { target, sequence } => {
                membership.indirect_ping_received(actions, sender.member, target, sequence);
            }
            DatagramItem::Ack { subject, sequence } => {
                membership.ack_received(actions, sender.member, subject, sequence);
            }
            DatagramItem::Gossip { member, update } => {
                membership.gossip_received(now, actions, member, update);
            }
            DatagramItem::Request(request) => self.handle_request(now, sender, request),
            DatagramItem::Reply(reply) => self.handle_reply(now, sender.member, reply),
            DatagramItem::HandedOver { task } => self.lease_handed_over(now, task),
        }
    }

    /// Handles a request of a lease holder to this member as a grantor. It is ignored if this member is not a
    /// grantor.
    fn handle_request(&mut self, now: Time, sender: Sender, request: LeaseRequest) {
        let Some(grantor) = &mut self.grantor else {
            return;
        };
        let reply = match request {
            LeaseRequest::Prepare { task, ballot_count } => {
                let owner = LeaseOwner {
                    member: sender.member,
                    incarnation: sender.incarnation,
                };
                grantor
                    .prepare(now, task, sender.ballot(ballot_count), owner)
                    .map(|reply| LeaseReply::for_prepare(task, ballot_count, &reply))
            }
            LeaseRequest::Accept {
                task,
                ballot_count,
                tag,
            } => {
                let grant = Grant {
                    epoch: sender.ballot(ballot_count),
                    member: sender.member,
                    incarnation: sender.incarnation,
                };
                grantor.accept(now, task, grant).map(|reply| {
                    self.counters
                        .requests_granted
                        .inc_by(u64::from(reply.granted));
                    LeaseReply::for_accept(task, ballot_count, tag, &reply)
                })
            }
            LeaseRequest::Release { task, ballot_count } => {
                grantor.release(now, task, sender.ballot(ballot_count));
                None
            }
        };
        if let Some(reply) = reply {
            self.actions
                .outgoing
                .add(sender.member, &DatagramItem::Reply(reply));
        }
    }

    /// Handles a grantor's reply to this member as a lease holder.
    fn handle_reply(&mut self, now: Time, grantor: usize, reply: LeaseReply) {
        match reply {
            LeaseReply::Promised {
                task,
                ballot_count,
                accepted,
                remaining,
            } => {
                let ballot = self.own_ballot(ballot_count);
                let reply = granted_reply(ballot, accepted, remaining);
                self.handle_prepare_reply(now, grantor, task, ballot, reply);
            }
            LeaseReply::PrepareRejected {
                task,
                ballot_count,
                promised,
                accepted,
                remaining,
            } => {
                let ballot = self.own_ballot(ballot_count);
                let reply = rejected_reply(promised, accepted, remaining);
                self.handle_prepare_reply(now, grantor, task, ballot, reply);
            }
            LeaseReply::Accepted {
                task,
                ballot_count,
                tag,
            } => {
                let epoch = self.own_ballot(ballot_count);
                let accepted = Grant {
                    epoch: ballot_count,
                    ..Grant::default()
                };
                let reply = granted_reply(epoch, accepted, 0);
                self.handle_accept_reply(now, grantor, task, epoch, tag, reply);
            }
            LeaseReply::AcceptRejected {
                task,
                ballot_count,
                tag,
                promised,
                accepted,
                remaining,
            } => {
                let epoch = self.own_ballot(ballot_count);
                let reply = rejected_reply(promised, accepted, remaining);
                self.handle_accept_reply(now, grantor, task, epoch, tag, reply);
            }
        }
    }

    fn own_ballot(&self, ballot_count: u64) -> u64 {
        ballot(self.config.member, self.config.incarnation, ballot_count)
    }

    /// The previous holder has released the lease. It is claimed immediately if this member should hold it.
    fn lease_handed_over(&mut self, now: Time, task: usize) {
        if task < self.config.tasks && self.assignment.owner(task) == Some(self.config.member) {
            self.holder
                .set_wanted(now, &mut self.actions, task, true, true);
        }
    }
}

/// Builds the reply to a granted request. The promised ballot is the requested one, so it is not sent on the
/// wire.
fn granted_reply(ballot: u64, accepted: Grant, remaining: Time) -> GrantorReply {
    GrantorReply {
        granted: true,
        state: AcceptorState {
            promised: ballot,
            accepted,
        },
        remaining,
    }
}

fn rejected_reply(promised: u64, accepted: Grant, remaining: Time) -> GrantorReply {
    GrantorReply {
        granted: false,
        state: AcceptorState { promised, accepted },
        remaining,
    }
}
