//! Outgoing datagrams. The items for one member that are produced while an event is handled are packed into
//! as few datagrams as possible, gossip fills the remaining space, and all datagrams are sent once the event
//! has been handled.
use super::LeaseTask;
use crate::codec::{self, DatagramHeader, DatagramItem, INCARNATION_MASK, MAX_DATAGRAM};
use std::collections::VecDeque;
use tidewall_membership::MemberUpdate;
use tidewall_net::Net;

/// The maximum number of membership updates in one datagram: about a dozen bytes each, beside a batch of
/// lease requests.
const MAX_GOSSIP: usize = 6;

/// The datagram being packed for one member. Its body is empty if there is no item for the member.
#[derive(Clone, Default)]
struct Draft {
    body: Vec<u8>,
    /// Whether the datagram contains a probe or an ack. Only such datagrams carry gossip: with batches of
    /// renewals, each update would be sent repeatedly to the same few grantors and reach no other member.
    carries_probe: bool,
    /// The member's incarnation; 0 if unknown.
    incarnation: u64,
}

struct PackedDatagram {
    to: usize,
    body: Vec<u8>,
}

pub(super) struct OutgoingDatagrams {
    own_member: usize,
    last_sequence: u64,
    /// The draft of each member, indexed by member.
    drafts: Vec<Draft>,
    /// Members with a draft, in the order in which the drafts were started. A member whose draft was filled
    /// appears once per draft.
    draft_order: Vec<usize>,
    packed: VecDeque<PackedDatagram>,
    /// This member's state, for the headers.
    own_update: MemberUpdate,
}

impl OutgoingDatagrams {
    pub fn new(own_member: usize, members: usize, own_update: MemberUpdate) -> OutgoingDatagrams {
        OutgoingDatagrams {
            own_member,
            last_sequence: 0,
            drafts: vec![Draft::default(); members],
            draft_order: Vec::new(),
            packed: VecDeque::new(),
            own_update,
        }
    }

    pub fn own_member(&self) -> usize {
        self.own_member
    }

    pub fn set_incarnation(&mut self, member: usize, incarnation: u64) {
        self.drafts[member].incarnation = incarnation;
    }

    /// Adds an item for a member. Items for this member itself and for unknown members are dropped.
    pub fn add(&mut self, to: usize, item: &DatagramItem) {
        if to == self.own_member || to >= self.drafts.len() {
            return;
        }
        if self.drafts[to].body.is_empty() {
            self.start_draft(to);
        }
        if !codec::encode_item(&mut self.drafts[to].body, item) {
            self.finish_draft(to);
            self.start_draft(to);
            // A header and one item always fit.
            codec::encode_item(&mut self.drafts[to].body, item);
        }
    }

    /// Adds a ping or an ack. Its datagram may carry gossip.
    pub fn add_probe(&mut self, to: usize, item: &DatagramItem) {
        self.add(to, item);
        self.drafts[to].carries_probe = true;
    }

    fn start_draft(&mut self, to: usize) {
        self.last_sequence += 1;
        let draft = &mut self.drafts[to];
        let header = DatagramHeader {
            from: self.own_member,
            to,
            to_incarnation: draft.incarnation & INCARNATION_MASK,
            sender: self.own_update,
            sequence: self.last_sequence,
        };
        codec::encode_header(&mut draft.body, &header);
        self.draft_order.push(to);
    }

    fn finish_draft(&mut self, to: usize) {
        let body = std::mem::take(&mut self.drafts[to].body);
        if !body.is_empty() {
            self.packed.push_back(PackedDatagram { to, body });
        }
    }
}

impl<N: Net> LeaseTask<N> {
    /// Fills the remaining space of all drafts with gossip and sends them.
    pub(super) fn send_datagrams(&mut self) {
        while let Some(to) = self.actions.outgoing.draft_order.pop() {
            if !self.actions.outgoing.drafts[to].body.is_empty() {
                self.add_gossip(to);
                self.actions.outgoing.finish_draft(to);
            }
        }
        while let Some(PackedDatagram { to, mut body }) = self.actions.outgoing.packed.pop_front() {
            codec::seal(&mut body, &self.keys);
            debug_assert!(body.len() <= MAX_DATAGRAM);
            self.counters.datagrams_sent.inc();
            self.counters.bytes_sent.inc_by(body.len() as u64);
            self.budget.spend_datagram(body.len());
            self.net
                .send_datagram(self.socket, self.config.member_addresses[to], &body);
        }
        self.actions.outgoing.own_update = self.membership.own_update();
    }

    /// Adds gossip to the draft for a member. The update about the receiver goes first and with any kind of
    /// datagram: a suspected receiver has to learn of the suspicion to refute it.
    fn add_gossip(&mut self, to: usize) {
        let draft = &mut self.actions.outgoing.drafts[to];
        let mut about_receiver = self.membership.update_for(to).map(|update| (to, update));
        let limit = if std::mem::take(&mut draft.carries_probe) {
            MAX_GOSSIP
        } else {
            usize::from(about_receiver.is_some())
        };
        for _ in 0..limit {
            let next = about_receiver
                .take()
                .or_else(|| self.membership.next_gossip());
            let Some((member, update)) = next else {
                break;
            };
            if !codec::encode_item(&mut draft.body, &DatagramItem::Gossip { member, update }) {
                break;
            }
        }
    }
}
