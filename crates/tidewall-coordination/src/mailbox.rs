//! Bounded channels between the tasks. Neither end ever blocks: a message that finds its channel full is not
//! sent, and the sender either retries or does without it (`docs/design/common.md` says which). Each end
//! belongs to one thread; further senders of a channel are created by [`MailboxSender::clone_sender`].
#[cfg(not(shuttle))]
use crossbeam_channel::{bounded, Receiver, Sender};
#[cfg(shuttle)]
use shuttle::sync::mpsc::{sync_channel as bounded, Receiver, SyncSender as Sender};
use std::net::SocketAddr;

/// A message to the executor task, from the lease task or from the gateway's discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorCommand {
    /// This member holds the lease of a task, newly acquired or renewed.
    LeaseAcquired {
        /// The task whose lease it is.
        task: usize,
        /// The epoch under which effects of the task are sent.
        epoch: u64,
        /// When the lease expires, in tenths of a millisecond of the clock that both tasks read.
        until: u64,
    },
    /// The lease is lost. The lease task expects an `ExecutionStopped` in response.
    LeaseLost {
        /// The task whose lease it was.
        task: usize,
        /// The epoch of the lost lease.
        epoch: u64,
    },
    /// The complete list of workers, each with name and address.
    EndpointsChanged(Vec<(String, SocketAddr)>),
}

/// A message from the executor task to the lease task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorEvent {
    /// No effect of the task can take place any more.
    ExecutionStopped {
        /// The task whose execution stopped.
        task: usize,
        /// The epoch of the lost lease.
        epoch: u64,
    },
    /// A worker has seen a higher epoch than that of the lease held by this member.
    HigherEpochSeen {
        /// The task whose effect was rejected.
        task: usize,
        /// The highest epoch known to the worker.
        epoch: u64,
    },
}

/// The sending end.
pub struct MailboxSender<T> {
    sender: Sender<T>,
    /// How many messages of this sender were dropped because the channel was full or the receiver gone.
    pub dropped: u64,
}

/// The receiving end.
pub struct MailboxReceiver<T>(Receiver<T>);

/// Creates a channel that holds up to `capacity` messages.
pub fn channel<T>(capacity: usize) -> (MailboxSender<T>, MailboxReceiver<T>) {
    let (sender, receiver) = bounded(capacity);
    let sender = MailboxSender { sender, dropped: 0 };
    (sender, MailboxReceiver(receiver))
}

impl<T> MailboxSender<T> {
    /// Sends without blocking. Returns false if the channel is full or the receiver is gone.
    pub fn send(&mut self, message: T) -> bool {
        let sent = self.sender.try_send(message).is_ok();
        self.dropped += u64::from(!sent);
        sent
    }

    /// Creates another sender of the same channel, with its own `dropped` count.
    pub fn clone_sender(&self) -> MailboxSender<T> {
        MailboxSender {
            sender: self.sender.clone(),
            dropped: 0,
        }
    }
}

impl<T> MailboxReceiver<T> {
    /// Receives without blocking.
    pub fn try_receive(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
