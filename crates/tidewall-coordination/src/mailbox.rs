//! Bounded channels between tasks. Nobody waits at either end: what finds its channel full is not sent, and whoever sent it
//! tries again or does without (`docs/design/common.md` says which).
#[cfg(not(shuttle))]
use crossbeam_channel::{bounded, Receiver, Sender};
#[cfg(shuttle)]
use shuttle::sync::mpsc::{sync_channel as bounded, Receiver, SyncSender as Sender};
use std::net::SocketAddr;

/// From the one that holds leases to whoever acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorCommand {
    /// It may be acted on until then, of the common clock, under this epoch.
    LeaseAcquired { task: usize, epoch: u64, until: u64 },
    /// No longer; `Stopped` is awaited.
    LeaseLost { task: usize, epoch: u64 },
    /// The workers that are there, by name.
    EndpointsChanged(Vec<(String, SocketAddr)>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorEvent {
    /// Nothing of that task is on its way any more.
    ExecutionStopped { task: usize, epoch: u64 },
    /// A worker has seen this epoch, newer than ours.
    Seen { task: usize, epoch: u64 },
}

pub struct MailboxSender<T> {
    out: Sender<T>,
    /// Messages that found the channel full.
    pub full: u64,
}

pub struct MailboxReceiver<T>(Receiver<T>);

pub fn channel<T>(most: usize) -> (MailboxSender<T>, MailboxReceiver<T>) {
    let (out, inbox) = bounded(most);
    (MailboxSender { out, full: 0 }, MailboxReceiver(inbox))
}

impl<T> MailboxSender<T> {
    /// False where the channel is full, or the other task is gone.
    pub fn send(&mut self, message: T) -> bool {
        let sent = self.out.try_send(message).is_ok();
        self.full += u64::from(!sent);
        sent
    }

    /// A further sender of the same channel.
    pub fn clone_sender(&self) -> MailboxSender<T> {
        MailboxSender {
            out: self.out.clone(),
            full: 0,
        }
    }
}

impl<T> MailboxReceiver<T> {
    pub fn try_receive(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
