//! Decoding of method arguments and properties (section 4.2.5).
use super::table::FieldTable;
use super::{syntax_error, MethodId};
use crate::ProtocolError;

/// Bits in an octet.
const BITS: u8 = 8;

/// Reads the arguments of a method one after the other. Each call fails with SYNTAX_ERROR if the payload is
/// too short.
#[derive(Clone)]
pub struct ArgumentReader<'a> {
    bytes: &'a [u8],
    /// The octet from which bits are read; consecutive bits share one (4.2.5.2).
    bit_octet: u8,
    /// Number of bits of `bit_octet` that were read. At 8 the next bit is read from a new octet.
    bits_read: u8,
}

impl<'a> ArgumentReader<'a> {
    /// A reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> ArgumentReader<'a> {
        ArgumentReader {
            bytes,
            bit_octet: 0,
            bits_read: BITS,
        }
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], ProtocolError> {
        self.bits_read = BITS;
        let taken = self.bytes.split_at_checked(count);
        let (taken, rest) = taken.ok_or_else(|| syntax_error("the arguments end too early"))?;
        self.bytes = rest;
        Ok(taken)
    }

    /// Number of octets that were not read yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    /// The octets that were not read yet.
    pub(super) fn rest(&self) -> &'a [u8] {
        self.bytes
    }

    /// The class and method numbers at the start of a method frame's payload (4.2.4).
    pub fn method_id(&mut self) -> Result<MethodId, ProtocolError> {
        Ok(MethodId::new(self.short()?, self.short()?))
    }

    /// An unsigned integer of 8 bits.
    pub fn octet(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.take(1)?[0])
    }

    /// An unsigned integer of 16 bits.
    pub fn short(&mut self) -> Result<u16, ProtocolError> {
        let octets = self.take(2)?;
        Ok(u16::from_be_bytes([octets[0], octets[1]]))
    }

    /// An unsigned integer of 32 bits.
    pub fn long(&mut self) -> Result<u32, ProtocolError> {
        let octets = self.take(4)?;
        Ok(u32::from_be_bytes([
            octets[0], octets[1], octets[2], octets[3],
        ]))
    }

    /// An unsigned integer of 64 bits.
    pub fn long_long(&mut self) -> Result<u64, ProtocolError> {
        let (high, low) = (self.long()?, self.long()?);
        Ok(u64::from(high) << 32 | u64::from(low))
    }

    /// One bit. Consecutive bits are read from the same octet, lowest first.
    pub fn bit(&mut self) -> Result<bool, ProtocolError> {
        if self.bits_read == BITS {
            self.bit_octet = self.octet()?;
            self.bits_read = 0;
        }
        let bit = self.bit_octet >> self.bits_read & 1 == 1;
        self.bits_read += 1;
        Ok(bit)
    }

    /// A string of up to 255 octets; SYNTAX_ERROR if it is not UTF-8.
    pub fn short_str(&mut self) -> Result<&'a str, ProtocolError> {
        let length = self.octet()? as usize;
        std::str::from_utf8(self.take(length)?)
            .map_err(|_| syntax_error("a short string is not UTF-8"))
    }

    /// A string of any octets, as long as the payload allows.
    pub fn long_str(&mut self) -> Result<&'a [u8], ProtocolError> {
        let length = self.long()? as usize;
        self.take(length)
    }

    /// A field table. All of it is validated, so that reading its fields cannot fail later.
    pub fn table(&mut self) -> Result<FieldTable<'a>, ProtocolError> {
        FieldTable::decode(self.long_str()?)
    }
}
