//! Implements the side effects of membership and leases. Calls become datagrams, commands to the executor
//! task, or queue entries that the lease task handles after the current event.
use super::outgoing::OutgoingDatagrams;
use crate::codec::{DatagramItem, LeaseRequest};
use crate::mailbox::{ExecutorCommand, MailboxSender};
use crate::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};
use tidewall_lease::ballot::ballot_count;
use tidewall_lease::lease::LeaseActions;
use tidewall_membership::MembershipActions;

/// A lease request of this member to its own grantor, which needs no datagram.
pub(super) enum LocalRequest {
    Prepare { task: usize, ballot: u64 },
    Accept { task: usize, epoch: u64, tag: u32 },
    Release { task: usize, epoch: u64 },
}

/// A membership change that is not yet applied to the assignment of tasks.
pub(super) enum MembershipChange {
    Joined {
        member: usize,
        incarnation: u64,
    },
    Lost {
        member: usize,
        /// Whether the member announced its departure.
        left: bool,
    },
}

/// Receives the output of the membership and the leases.
pub(super) struct TaskActions {
    pub outgoing: OutgoingDatagrams,
    /// The members that grant leases, by grantor index.
    grantors: Vec<usize>,
    pub local_requests: VecDeque<LocalRequest>,
    pub commands: MailboxSender<ExecutorCommand>,
    /// Tasks whose acquired lease is still to be announced because the executor's mailbox was full.
    pub unannounced: BTreeSet<usize>,
    rng: ChaCha8Rng,
    pub membership_changes: Vec<MembershipChange>,
}

impl TaskActions {
    pub fn new(
        outgoing: OutgoingDatagrams,
        grantors: Vec<usize>,
        commands: MailboxSender<ExecutorCommand>,
        rng: ChaCha8Rng,
    ) -> TaskActions {
        TaskActions {
            outgoing,
            grantors,
            local_requests: VecDeque::new(),
            commands,
            unannounced: BTreeSet::new(),
            rng,
            membership_changes: Vec::new(),
        }
    }

    fn request(&mut self, grantor: usize, local: LocalRequest, remote: LeaseRequest) {
        let member = self.grantors[grantor];
        if member == self.outgoing.own_member() {
            self.local_requests.push_back(local);
        } else {
            self.outgoing.add(member, &DatagramItem::Request(remote));
        }
    }
}

impl MembershipActions for TaskActions {
    fn ping(&mut self, to: usize, seq: u32) {
        let item = DatagramItem::Ping { sequence: seq };
        self.outgoing.add_probe(to, &item);
    }
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32) {
        let item = DatagramItem::IndirectPing {
            target,
            sequence: seq,
        };
        self.outgoing.add_probe(via, &item);
    }
    fn ack(&mut self, to: usize, alive_member: usize, seq: u32) {
        let item = DatagramItem::Ack {
            subject: alive_member,
            sequence: seq,
        };
        self.outgoing.add_probe(to, &item);
    }
    fn member_joined(&mut self, member: usize, incarnation: u64) {
        self.membership_changes.push(MembershipChange::Joined {
            member,
            incarnation,
        });
    }
    fn member_lost(&mut self, member: usize, left: bool) {
        self.membership_changes
            .push(MembershipChange::Lost { member, left });
    }
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }
}

impl LeaseActions for TaskActions {
    fn prepare(&mut self, grantor: usize, task: usize, ballot: u64) {
        let remote = LeaseRequest::Prepare {
            task,
            ballot_count: ballot_count(ballot),
        };
        self.request(grantor, LocalRequest::Prepare { task, ballot }, remote);
    }
    fn accept(&mut self, grantor: usize, task: usize, epoch: u64, tag: u32) {
        let remote = LeaseRequest::Accept {
            task,
            ballot_count: ballot_count(epoch),
            tag,
        };
        self.request(grantor, LocalRequest::Accept { task, epoch, tag }, remote);
    }
    fn release(&mut self, grantor: usize, task: usize, epoch: u64) {
        let remote = LeaseRequest::Release {
            task,
            ballot_count: ballot_count(epoch),
        };
        self.request(grantor, LocalRequest::Release { task, epoch }, remote);
    }
    fn lease_acquired(&mut self, task: usize, epoch: u64, until: Time) {
        // If the mailbox is full, the lease is announced at a later tick. Until then nothing is executed
        // under it.
        let command = ExecutorCommand::LeaseAcquired { task, epoch, until };
        if !self.commands.send(command) {
            self.unannounced.insert(task);
        }
    }
    fn lease_lost(&mut self, task: usize, epoch: u64) {
        self.commands
            .send(ExecutorCommand::LeaseLost { task, epoch });
    }
    fn random_below(&mut self, bound: Time) -> Time {
        self.rng.random_range(0..bound.max(1))
    }
}
