//! Content headers (section 4.2.6.1) and the properties of class basic (section 1.8).
use super::arguments::ArgumentReader;
use super::syntax_error;
use super::table::FieldTable;
use super::writer::FrameWriter;
use crate::ProtocolError;

/// The properties of class basic, in the order of their flags. An empty string or 0 means that the property
/// is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BasicProperties<'a> {
    /// MIME type of the body.
    pub content_type: &'a str,
    /// MIME encoding of the body.
    pub content_encoding: &'a str,
    /// The headers table.
    pub headers: Option<FieldTable<'a>>,
    /// 1 for transient, 2 for persistent.
    pub delivery_mode: u8,
    /// 0 to 9; messages of higher priority are delivered first.
    pub priority: u8,
    /// Lets the receiver of a reply find the request that it belongs to.
    pub correlation_id: &'a str,
    /// Queue to which the reply is sent.
    pub reply_to: &'a str,
    /// Time to live in milliseconds, as a decimal string.
    pub expiration: &'a str,
    /// Identifies the message.
    pub message_id: &'a str,
    /// Seconds since 1970.
    pub timestamp: Option<u64>,
    /// The property `type`.
    pub message_type: &'a str,
    /// The publishing user; must be the user that is logged in.
    pub user_id: &'a str,
    /// Identifies the publishing application.
    pub app_id: &'a str,
}

/// Bits of the property flags. Properties are encoded in the order of their bits, highest first.
mod flag {
    pub const CONTENT_TYPE: u16 = 1 << 15;
    pub const CONTENT_ENCODING: u16 = 1 << 14;
    pub const HEADERS: u16 = 1 << 13;
    pub const DELIVERY_MODE: u16 = 1 << 12;
    pub const PRIORITY: u16 = 1 << 11;
    pub const CORRELATION_ID: u16 = 1 << 10;
    pub const REPLY_TO: u16 = 1 << 9;
    pub const EXPIRATION: u16 = 1 << 8;
    pub const MESSAGE_ID: u16 = 1 << 7;
    pub const TIMESTAMP: u16 = 1 << 6;
    pub const MESSAGE_TYPE: u16 = 1 << 5;
    pub const USER_ID: u16 = 1 << 4;
    pub const APP_ID: u16 = 1 << 3;
    /// Reserved by the specification, which called it cluster-id in earlier versions; it is read and ignored.
    pub const CLUSTER_ID: u16 = 1 << 2;
    /// Another 16 bits of flags follow, which class basic does not have.
    pub const CONTINUED: u16 = 1;
}

/// The payload of a content header frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContentHeader<'a> {
    /// Class of the method that the content belongs to.
    pub class: u16,
    /// Size of the body in octets.
    pub body_size: u64,
    /// The properties, decoded.
    pub properties: BasicProperties<'a>,
    /// The properties as they were received.
    pub encoded_properties: &'a [u8],
}

/// Decodes the payload of a content header frame.
///
/// # Errors
/// SYNTAX_ERROR if it is malformed.
pub fn decode_content_header(payload: &[u8]) -> Result<ContentHeader<'_>, ProtocolError> {
    let mut arguments = ArgumentReader::new(payload);
    let class = arguments.short()?;
    let _weight = arguments.short()?;
    let body_size = arguments.long_long()?;
    let encoded_properties = arguments.rest();
    Ok(ContentHeader {
        class,
        body_size,
        properties: decode_properties(&mut arguments)?,
        encoded_properties,
    })
}

/// Decodes properties, which must reach to the end of the payload.
///
/// # Errors
/// SYNTAX_ERROR if they are malformed or octets follow them.
pub fn decode_properties<'a>(
    arguments: &mut ArgumentReader<'a>,
) -> Result<BasicProperties<'a>, ProtocolError> {
    let flags = arguments.short()?;
    if flags & flag::CONTINUED > 0 {
        return Err(syntax_error("class basic has no further property flags"));
    }
    let has = |flag: u16| flags & flag > 0;
    let text = |arguments: &mut ArgumentReader<'a>, flag| {
        if has(flag) {
            arguments.short_str()
        } else {
            Ok("")
        }
    };
    // The fields are evaluated in this order, which is that of the encoding.
    let properties = BasicProperties {
        content_type: text(arguments, flag::CONTENT_TYPE)?,
        content_encoding: text(arguments, flag::CONTENT_ENCODING)?,
        headers: has(flag::HEADERS).then(|| arguments.table()).transpose()?,
        delivery_mode: if has(flag::DELIVERY_MODE) {
            arguments.octet()?
        } else {
            0
        },
        priority: if has(flag::PRIORITY) {
            arguments.octet()?
        } else {
            0
        },
        correlation_id: text(arguments, flag::CORRELATION_ID)?,
        reply_to: text(arguments, flag::REPLY_TO)?,
        expiration: text(arguments, flag::EXPIRATION)?,
        message_id: text(arguments, flag::MESSAGE_ID)?,
        timestamp: has(flag::TIMESTAMP)
            .then(|| arguments.long_long())
            .transpose()?,
        message_type: text(arguments, flag::MESSAGE_TYPE)?,
        user_id: text(arguments, flag::USER_ID)?,
        app_id: text(arguments, flag::APP_ID)?,
    };
    text(arguments, flag::CLUSTER_ID)?;
    if arguments.remaining() > 0 {
        return Err(syntax_error("octets follow the properties"));
    }
    Ok(properties)
}

fn flags_of(properties: &BasicProperties) -> u16 {
    let present = [
        (flag::CONTENT_TYPE, !properties.content_type.is_empty()),
        (
            flag::CONTENT_ENCODING,
            !properties.content_encoding.is_empty(),
        ),
        (flag::HEADERS, properties.headers.is_some()),
        (flag::DELIVERY_MODE, properties.delivery_mode > 0),
        (flag::PRIORITY, properties.priority > 0),
        (flag::CORRELATION_ID, !properties.correlation_id.is_empty()),
        (flag::REPLY_TO, !properties.reply_to.is_empty()),
        (flag::EXPIRATION, !properties.expiration.is_empty()),
        (flag::MESSAGE_ID, !properties.message_id.is_empty()),
        (flag::TIMESTAMP, properties.timestamp.is_some()),
        (flag::MESSAGE_TYPE, !properties.message_type.is_empty()),
        (flag::USER_ID, !properties.user_id.is_empty()),
        (flag::APP_ID, !properties.app_id.is_empty()),
    ];
    // Computed without a branch for each property, as every message that is encoded comes through here.
    present.iter().fold(0, |flags, (flag, present)| {
        flags | (flag * u16::from(*present))
    })
}

/// Appends the property flags and the encoded properties.
pub fn encode_properties(output: &mut Vec<u8>, properties: &BasicProperties) {
    let mut writer = FrameWriter::unframed(output).short(flags_of(properties));
    for text in [properties.content_type, properties.content_encoding] {
        if !text.is_empty() {
            writer = writer.short_str(text);
        }
    }
    if let Some(table) = properties.headers {
        writer = writer.long_str(table.0);
    }
    for number in [properties.delivery_mode, properties.priority] {
        if number > 0 {
            writer = writer.octet(number);
        }
    }
    for text in [
        properties.correlation_id,
        properties.reply_to,
        properties.expiration,
        properties.message_id,
    ] {
        if !text.is_empty() {
            writer = writer.short_str(text);
        }
    }
    if let Some(seconds) = properties.timestamp {
        writer = writer.long_long(seconds);
    }
    for text in [
        properties.message_type,
        properties.user_id,
        properties.app_id,
    ] {
        if !text.is_empty() {
            writer = writer.short_str(text);
        }
    }
}
