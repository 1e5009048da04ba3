//! `send`: one event from the shell.
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
    typ: String,
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
    #[arg(long, value_name = "TEXT", default_value = "")]
    mark: String,
    #[arg(long, value_name = "TEXT", default_value = "")]
    payload: String,
}

pub fn send(args: &Send) -> Result<(), Failure> {
    let run = |e: std::io::Error| Failure::Run(format!("{}: {e}", args.to));
    let wait = Duration::from_millis(args.max_age + 500);
    let mut socket = TcpStream::connect_timeout(&args.to, wait).map_err(run)?;
    socket.set_read_timeout(Some(wait)).map_err(run)?;
    let mut out = Vec::new();
    wire::hello(&mut out, "client", "send", 1);
    let f = Frame::new(&mut out, kind::EVENT)
        .whole(Field::Id, 1)
        .text(Field::Type, &args.typ);
    let f = f
        .text(Field::Function, &args.function)
        .text(Field::Tenant, &args.tenant);
    let f = f
        .whole(Field::Lanes, args.lanes)
        .real(Field::Memory, args.memory);
    let f = f
        .whole(Field::Left, args.max_age * 10)
        .bytes(Field::Mark, args.mark.as_bytes());
    f.bytes(Field::Payload, args.payload.as_bytes()).end();
    socket.write_all(&out).map_err(run)?;
    let (mut got, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((body, used)) = wire::frame(&got).map_err(input)? {
            let fields = Fields::read(body).map_err(input)?;
            match fields.kind().map_err(input)? {
                kind::ANSWER => return answer(&fields).map_err(input),
                kind::ERROR => {
                    return Err(input(fields.text(Field::Reason).unwrap_or("").to_string()))
                }
                _ => {}
            }
            got.drain(..used);
        }
        let n = socket.read(&mut chunk).map_err(run)?;
        if n == 0 {
            return Err(Failure::Run(format!(
                "{}: closed without an answer",
                args.to
            )));
        }
        got.extend_from_slice(&chunk[..n]);
    }
}

fn answer(fields: &Fields) -> Result<(), String> {
    let took = fields.upto(Field::Took, u64::MAX, 0)? as f64 / 10.0;
    let come_back = fields.upto(Field::ComeBack, u64::MAX, 0)? as f64 / 10.0;
    print!("{} after {took} ms", fields.text(Field::Word)?);
    if come_back > 0.0 {
        print!(", come back in {come_back} ms");
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
