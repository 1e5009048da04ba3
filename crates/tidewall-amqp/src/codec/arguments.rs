//! Reading of method arguments and properties (section 4.2.5).
use super::table::FieldTable;
use super::{syntax_error, MethodId};
use crate::ProtocolError;

/// Bits of an octet.
const BITS: u8 = 8;

/// Arguments of a method, read one after the other. Each call fails with SYNTAX_ERROR where the payload ends too early.
#[derive(Clone)]
pub struct ArgumentReader<'a> {
    bytes: &'a [u8],
    /// Consecutive bits share an octet (4.2.5.2); this is the latest.
    bit_octet: u8,
    /// Bits of it that were read; 8 starts a new octet.
    bits_read: u8,
}

impl<'a> ArgumentReader<'a> {
    /// Reads from the start of `bytes`.
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

    /// Octets that were not read.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    /// What was not read.
    pub(super) fn rest(&self) -> &'a [u8] {
        self.bytes
    }

    /// Class and method, with which the payload of a method frame begins (4.2.4).
    pub fn method_id(&mut self) -> Result<MethodId, ProtocolError> {
        Ok(MethodId::new(self.short()?, self.short()?))
    }

    /// Unsigned 8 bits.
    pub fn octet(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.take(1)?[0])
    }

    /// Unsigned 16 bits.
    pub fn short(&mut self) -> Result<u16, ProtocolError> {
        let octets = self.take(2)?;
        Ok(u16::from_be_bytes([octets[0], octets[1]]))
    }

    /// Unsigned 32 bits.
    pub fn long(&mut self) -> Result<u32, ProtocolError> {
        let octets = self.take(4)?;
        Ok(u32::from_be_bytes([
            octets[0], octets[1], octets[2], octets[3],
        ]))
    }

    /// Unsigned 64 bits.
    pub fn long_long(&mut self) -> Result<u64, ProtocolError> {
        let (high, low) = (self.long()?, self.long()?);
        Ok(u64::from(high) << 32 | u64::from(low))
    }

    /// One bit; consecutive ones come from the same octet, lowest first.
    pub fn bit(&mut self) -> Result<bool, ProtocolError> {
        if self.bits_read == BITS {
            self.bit_octet = self.octet()?;
            self.bits_read = 0;
        }
        let bit = self.bit_octet >> self.bits_read & 1 == 1;
        self.bits_read += 1;
        Ok(bit)
    }

    /// Up to 255 octets of UTF-8; other octets are a SYNTAX_ERROR.
    pub fn short_str(&mut self) -> Result<&'a str, ProtocolError> {
        let length = self.octet()? as usize;
        std::str::from_utf8(self.take(length)?)
            .map_err(|_| syntax_error("a short string is not UTF-8"))
    }

    /// Any octets, up to the frame's end.
    pub fn long_str(&mut self) -> Result<&'a [u8], ProtocolError> {
        let length = self.long()? as usize;
        self.take(length)
    }

    /// A field table, checked throughout, so that reading its fields cannot fail.
    pub fn table(&mut self) -> Result<FieldTable<'a>, ProtocolError> {
        FieldTable::decode(self.long_str()?)
    }
}
