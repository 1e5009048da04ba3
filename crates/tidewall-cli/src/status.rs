//! `status`: how a member of a pair stands, asked over its link address.
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

/// A member that does not answer within this is called unreachable.
const WAIT: Duration = Duration::from_secs(1);

fn ask(at: SocketAddr) -> Result<Vec<u8>, String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut socket = TcpStream::connect_timeout(&at, WAIT).map_err(failed)?;
    socket.set_read_timeout(Some(WAIT)).map_err(failed)?;
    let mut out = Vec::new();
    wire::hello(&mut out, "status", "status", 1);
    socket.write_all(&out).map_err(failed)?;
    let (mut got, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some((body, _)) = wire::frame(&got)? {
            return Ok(body.to_vec());
        }
        match socket.read(&mut chunk).map_err(failed)? {
            0 => return Err("closed without an answer".to_string()),
            n => got.extend_from_slice(&chunk[..n]),
        }
    }
}

fn row(at: SocketAddr) -> Result<Vec<String>, String> {
    let body = ask(at)?;
    let f = Fields::read(&body)?;
    if f.kind()? != kind::STATUS {
        return Err("it is no member of a pair".to_string());
    }
    let whole = |field| f.upto(field, u64::MAX, 0).map(|v| v.to_string());
    Ok(vec![
        f.text(Field::Name)?.to_string(),
        f.text(Field::Word)?.to_string(),
        tidewall_failover::proposal::epoch_number(f.upto(Field::Epoch, u64::MAX, 0)?).to_string(),
        if f.flag(Field::On)? { "up" } else { "down" }.to_string(),
        whole(Field::InFlight)?,
        whole(Field::Copies)?,
        whole(Field::Seq)?,
        whole(Field::Waiting)?,
        whole(Field::Ballot)?,
        f.word(Field::Reason)?.to_string(),
    ])
}

pub fn status(args: &Status) -> Result<(), Failure> {
    let (_, s) = settings(&args.config)?;
    if !s.has("pair") {
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
        let member = s.section("pair").section(part);
        let at = member.text("link_address").parse().expect("checked");
        match row(at) {
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
