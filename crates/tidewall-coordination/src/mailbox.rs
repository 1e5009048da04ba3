//! Bounded channels between the tasks. Nobody waits at either end: a message that finds its channel full is not sent, and the sender
//! either tries again or does without it (`docs/design/common.md` says which). Each end belongs to one thread; further senders of
//! a channel are made by [`MailboxSender::clone_sender`].
#[cfg(not(shuttle))]
use crossbeam_channel::{bounded, Receiver, Sender};
#[cfg(shuttle)]
use shuttle::sync::mpsc::{sync_channel as bounded, Receiver, SyncSender as Sender};
use std::net::SocketAddr;

/// From the lease task, and from the gateway's discovery, to the executor task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorCommand {
    /// The lease of a task is held here, anew or renewed.
    LeaseAcquired {
        /// The task whose lease it is.
        task: usize,
        /// Under which its effects go out.
        epoch: u64,
        /// When it expires, in tenths of a millisecond of the clock that both tasks read.
        until: u64,
    },
    /// The lease is not held any more; `ExecutionStopped` is awaited.
    LeaseLost {
        /// The task whose lease it was.
        task: usize,
        /// Of the lost lease.
        epoch: u64,
    },
    /// The complete list of workers, each by name and address.
    EndpointsChanged(Vec<(String, SocketAddr)>),
}

/// From the executor task to the lease task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorEvent {
    /// No effect of the task can take place any more.
    ExecutionStopped {
        /// The task that has stopped.
        task: usize,
        /// Of the lost lease.
        epoch: u64,
    },
    /// A worker has seen a higher epoch than that of the lease held here.
    HigherEpochSeen {
        /// The task whose effect was rejected.
        task: usize,
        /// The epoch that the worker knows.
        epoch: u64,
    },
}

/// The sending end.
pub struct MailboxSender<T> {
    sender: Sender<T>,
    /// How many messages of this sender found the channel full or the receiver gone.
    pub dropped: u64,
}

/// The receiving end.
pub struct MailboxReceiver<T>(Receiver<T>);

/// A channel that holds up to `capacity` messages.
pub fn channel<T>(capacity: usize) -> (MailboxSender<T>, MailboxReceiver<T>) {
    let (sender, receiver) = bounded(capacity);
    let sender = MailboxSender { sender, dropped: 0 };
    (sender, MailboxReceiver(receiver))
}

impl<T> MailboxSender<T> {
    /// Never waits. False where the channel is full, or the other task is gone.
    pub fn send(&mut self, message: T) -> bool {
        let sent = self.sender.try_send(message).is_ok();
        self.dropped += u64::from(!sent);
        sent
    }

    /// A further sender of the same channel, with a count of its own.
    pub fn clone_sender(&self) -> MailboxSender<T> {
        MailboxSender {
            sender: self.sender.clone(),
            dropped: 0,
        }
    }
}

impl<T> MailboxReceiver<T> {
    /// Never waits.
    pub fn try_receive(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
