//! `status`: prints the state of both members of a pair, queried at their link addresses.
use crate::{input, settings, Failure};
use clap::Args;
use comfy_table::{presets, Table};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;
use tidewall_wire::{self as wire, kind, Field, Fields};

#[derive(Args)]
pub struct Status {
    /// The settings of a member; both members are asked.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// A member that does not respond within this time is reported as unreachable.
const TIMEOUT: Duration = Duration::from_secs(1);

fn query(address: SocketAddr) -> Result<Vec<u8>, String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut socket = TcpStream::connect_timeout(&address, TIMEOUT).map_err(failed)?;
    socket.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    let mut out = Vec::new();
    wire::hello(&mut out, "status", "status", 1);
    socket.write_all(&out).map_err(failed)?;
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some((body, _)) = wire::frame(&received)? {
            return Ok(body.to_vec());
        }
        match socket.read(&mut chunk).map_err(failed)? {
            0 => return Err("closed without an answer".to_string()),
            length => received.extend_from_slice(&chunk[..length]),
        }
    }
}

fn status_row(address: SocketAddr) -> Result<Vec<String>, String> {
    let body = query(address)?;
    let fields = Fields::read(&body)?;
    if fields.kind()? != kind::STATUS {
        return Err("it is no member of a pair".to_string());
    }
    let number = |field| fields.upto(field, u64::MAX, 0).map(|v| v.to_string());
    Ok(vec![
        fields.text(Field::Name)?.to_string(),
        fields.text(Field::Word)?.to_string(),
        tidewall_failover::proposal::epoch_number(fields.upto(Field::Epoch, u64::MAX, 0)?)
            .to_string(),
        if fields.flag(Field::On)? {
            "up"
        } else {
            "down"
        }
        .to_string(),
        number(Field::InFlight)?,
        number(Field::Copies)?,
        number(Field::Seq)?,
        number(Field::Waiting)?,
        number(Field::Ballot)?,
        fields.word(Field::Reason)?.to_string(),
    ])
}

pub fn status(args: &Status) -> Result<(), Failure> {
    let (_, settings) = settings(&args.config)?;
    if !settings.has("pair") {
        return Err(input(format!(
            "{}:1:1: pair: there is none in these settings",
            args.config.display()
        )));
    }
    let mut table = Table::new();
    table.load_preset(presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header([
        "member",
        "state",
        "epoch",
        "link",
        "held",
        "copies",
        "unrecorded",
        "waiting",
        "bad adverts",
        "disagrees",
    ]);
    let mut reached = 0;
    for part in ["own", "peer"] {
        let member = settings.section("pair").section(part);
        let address = member.text("link_address").parse().expect("checked");
        match status_row(address) {
            Ok(row) => {
                reached += 1;
                table.add_row(row);
            }
            Err(reason) => {
                table.add_row([member.text("name"), format!("unreachable: {reason}")]);
            }
        }
    }
    println!("{table}");
    if reached == 0 {
        return Err(Failure::Run("no member can be reached".to_string()));
    }
    Ok(())
}
