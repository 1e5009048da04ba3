//! The kind numbers that identify items on the wire.

/// `DatagramItem::Ping`.
pub const PING: u64 = 1;
/// `DatagramItem::IndirectPing`.
pub const INDIRECT_PING: u64 = 2;
/// `DatagramItem::Ack`.
pub const ACK: u64 = 3;
/// `DatagramItem::Gossip`.
pub const GOSSIP: u64 = 4;
/// `LeaseRequest::Prepare`.
pub const PREPARE: u64 = 5;
/// `LeaseReply::Promised`.
pub const PROMISED: u64 = 6;
/// `LeaseReply::PrepareRejected`.
pub const PREPARE_REJECTED: u64 = 7;
/// `LeaseRequest::Accept`.
pub const ACCEPT: u64 = 8;
/// `LeaseReply::Accepted`.
pub const ACCEPTED: u64 = 9;
/// `LeaseReply::AcceptRejected`.
pub const ACCEPT_REJECTED: u64 = 10;
/// `LeaseRequest::Release`.
pub const RELEASE: u64 = 11;
/// `DatagramItem::HandedOver`.
pub const HANDED_OVER: u64 = 12;
/// Indexed by kind: how many numbers follow it; 0 if there is no such kind.
pub const FIELD_COUNTS: [usize; 13] = [0, 1, 2, 2, 4, 2, 6, 7, 3, 3, 8, 2, 1];
