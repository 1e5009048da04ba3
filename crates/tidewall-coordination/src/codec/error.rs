//! Why datagrams are rejected.

/// Why a datagram is rejected. The texts appear in the log and in the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Longer than `MAX_DATAGRAM`.
    #[error("length: over 256")]
    TooLong,
    /// Too short to hold a key id and an HMAC.
    #[error("length: cut short")]
    TooShort,
    /// Sealed with an unknown key.
    #[error("key: unknown")]
    UnknownKey,
    /// The HMAC does not match.
    #[error("hash: wrong")]
    WrongMac,
    /// The header ends early, or holds something else than unsigned integers.
    #[error("head: no number")]
    MalformedHeader,
    /// Of another version of the protocol.
    #[error("version: not 1")]
    UnknownVersion,
    /// A number of the header is too large.
    #[error("head: a number is out of range")]
    HeaderOutOfRange,
    /// An item does not begin with an unsigned integer.
    #[error("item: no kind")]
    MissingKind,
    /// An item of a kind that there is not.
    #[error("item: unknown kind")]
    UnknownKind,
    /// An item ends early, or holds something else than unsigned integers.
    #[error("item: no number")]
    MalformedItem,
    /// A number of an item is too large.
    #[error("item: a number is out of range")]
    ItemOutOfRange,
    /// Addressed to another member.
    #[error("to: another member")]
    WrongReceiver,
    /// Addressed to a former incarnation of the receiver.
    #[error("to: a former life")]
    StaleReceiver,
    /// From no member, or from the receiver itself.
    #[error("from: no other member")]
    UnknownSender,
    /// From an incarnation that its sender has left behind.
    #[error("life: a former one")]
    StaleSender,
    /// Received before, or too old to tell.
    #[error("number: heard before")]
    Replayed,
}
