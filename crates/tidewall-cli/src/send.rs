//! `send`: sends one request from the command line.
use crate::{input, Failure};
use clap::Args;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

#[derive(Args)]
pub struct Send {
    /// The gateway's address.
    #[arg(long, value_name = "ADDRESS")]
    to: SocketAddr,
    /// The event type.
    #[arg(long = "type", value_name = "NAME")]
    request_class: String,
    #[arg(long, value_name = "NAME")]
    function: String,
    #[arg(long, value_name = "NAME", default_value = "")]
    tenant: String,
    /// Memory of a loaded copy, and events that it runs at a time.
    #[arg(long, value_name = "MB", default_value_t = 0.0)]
    memory: f64,
    #[arg(long, value_name = "N", default_value_t = 1)]
    lanes: u64,
    /// How long to wait for the answer.
    #[arg(long, value_name = "MS", default_value_t = 4000)]
    max_age: u64,
    /// The mark by which a repeat is known.
    #[arg(long = "mark", value_name = "TEXT", default_value = "")]
    idempotency_key: String,
    #[arg(long, value_name = "TEXT", default_value = "")]
    payload: String,
}

pub fn send(args: &Send) -> Result<(), Failure> {
    let io_failure = |e: std::io::Error| Failure::Run(format!("{}: {e}", args.to));
    let timeout = Duration::from_millis(args.max_age + 500);
    let mut socket = TcpStream::connect_timeout(&args.to, timeout).map_err(io_failure)?;
    socket.set_read_timeout(Some(timeout)).map_err(io_failure)?;
    let mut out = Vec::new();
    wire::hello(&mut out, "client", "send", 1);
    let frame = Frame::new(&mut out, kind::EVENT)
        .whole(Field::Id, 1)
        .text(Field::Type, &args.request_class);
    let frame = frame
        .text(Field::Function, &args.function)
        .text(Field::Tenant, &args.tenant);
    let frame = frame
        .whole(Field::Lanes, args.lanes)
        .real(Field::Memory, args.memory);
    let frame = frame
        .whole(Field::Left, args.max_age * 10)
        .bytes(Field::Mark, args.idempotency_key.as_bytes());
    frame.bytes(Field::Payload, args.payload.as_bytes()).end();
    socket.write_all(&out).map_err(io_failure)?;
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((body, used)) = wire::frame(&received).map_err(input)? {
            let fields = Fields::read(body).map_err(input)?;
            match fields.kind().map_err(input)? {
                kind::ANSWER => return print_response(&fields).map_err(input),
                kind::ERROR => {
                    return Err(input(fields.text(Field::Reason).unwrap_or("").to_string()))
                }
                _ => {}
            }
            received.drain(..used);
        }
        let length = socket.read(&mut chunk).map_err(io_failure)?;
        if length == 0 {
            return Err(Failure::Run(format!(
                "{}: closed without an answer",
                args.to
            )));
        }
        received.extend_from_slice(&chunk[..length]);
    }
}

fn print_response(fields: &Fields) -> Result<(), String> {
    let took = fields.upto(Field::Took, u64::MAX, 0)? as f64 / 10.0;
    let retry_after = fields.upto(Field::ComeBack, u64::MAX, 0)? as f64 / 10.0;
    print!("{} after {took} ms", fields.text(Field::Word)?);
    if retry_after > 0.0 {
        print!(", come back in {retry_after} ms");
    }
    let (reason, payload) = (fields.word(Field::Reason)?, fields.bytes(Field::Payload)?);
    if !reason.is_empty() {
        print!(", {reason}");
    }
    println!();
    if !payload.is_empty() {
        println!("{}", String::from_utf8_lossy(payload));
    }
    Ok(())
}
