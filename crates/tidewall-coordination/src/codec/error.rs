//! The reasons for rejecting datagrams.

/// The reason why a datagram is rejected. The texts appear in the log and in the operator documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than `MAX_DATAGRAM`.
    #[error("length: over 256")]
    TooLong,
    /// The datagram is too short for a key id and an HMAC.
    #[error("length: cut short")]
    TooShort,
    /// The datagram is sealed with an unknown key.
    #[error("key: unknown")]
    UnknownKey,
    /// The HMAC does not match.
    #[error("hash: wrong")]
    WrongMac,
    /// The header is truncated or contains something other than unsigned integers.
    #[error("head: no number")]
    MalformedHeader,
    /// The datagram is of another protocol version.
    #[error("version: not 1")]
    UnknownVersion,
    /// A number in the header is out of range.
    #[error("head: a number is out of range")]
    HeaderOutOfRange,
    /// An item does not begin with an unsigned integer.
    #[error("item: no kind")]
    MissingKind,
    /// The kind of an item does not exist.
    #[error("item: unknown kind")]
    UnknownKind,
    /// An item is truncated or contains something other than unsigned integers.
    #[error("item: no number")]
    MalformedItem,
    /// A number in an item is out of range.
    #[error("item: a number is out of range")]
    ItemOutOfRange,
    /// The datagram is addressed to another member.
    #[error("to: another member")]
    WrongReceiver,
    /// The datagram is addressed to a previous incarnation of the receiver.
    #[error("to: a former life")]
    StaleReceiver,
    /// The sender is not a member, or is the receiver itself.
    #[error("from: no other member")]
    UnknownSender,
    /// The datagram is from a previous incarnation of its sender.
    #[error("life: a former one")]
    StaleSender,
    /// The datagram was received before, or its sequence number is too old to tell.
    #[error("number: heard before")]
    Replayed,
}
