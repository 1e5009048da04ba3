//! The side effects of membership and leases: their calls become datagrams, commands to the executor task, or queue entries that the
//! lease task handles after the current event.
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

/// A lease request to the grantor that this member is itself: no datagram goes out.
pub(super) enum LocalRequest {
    Prepare { task: usize, ballot: u64 },
    Accept { task: usize, epoch: u64, tag: u32 },
    Release { task: usize, epoch: u64 },
}

/// A change of the membership that is not applied to the assignment of tasks yet.
pub(super) enum MembershipChange {
    Joined {
        member: usize,
        incarnation: u64,
    },
    Lost {
        member: usize,
        /// It announced that it leaves.
        left: bool,
    },
}

/// The output side of the lease task.
pub(super) struct TaskActions {
    pub outgoing: OutgoingDatagrams,
    /// Members that grant leases, by the grantor's index.
    grantors: Vec<usize>,
    pub local_requests: VecDeque<LocalRequest>,
    pub commands: MailboxSender<ExecutorCommand>,
    /// Tasks whose acquired lease found the executor's mailbox full.
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
    fn ack(&mut self, to: usize, of: usize, seq: u32) {
        let item = DatagramItem::Ack {
            subject: of,
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
    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
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
        // Where the mailbox is full it is announced at a later tick; until then nothing is executed under it.
        let command = ExecutorCommand::LeaseAcquired { task, epoch, until };
        if !self.commands.send(command) {
            self.unannounced.insert(task);
        }
    }
    fn lease_lost(&mut self, task: usize, epoch: u64) {
        self.commands
            .send(ExecutorCommand::LeaseLost { task, epoch });
    }
    fn random_below(&mut self, below: Time) -> Time {
        self.rng.random_range(0..below.max(1))
    }
}
