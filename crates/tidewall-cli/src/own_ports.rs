//! Addresses and ports for the listeners of a run, which no other run on the machine uses.
use std::net::Ipv4Addr;

/// The hosts of the settings whose ports may be 0.
const HOSTS: [&str; 3] = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];

/// The first port that is assigned. It is below the ports that systems give to outgoing connections, so that
/// none of these takes the port of a gateway that is down.
const FIRST_PORT: u16 = 10_000;

/// Number of bits of a process id on Linux.
const PROCESS_ID_BITS: u32 = 22;

/// The loopback address that stands for a host of the settings in this process alone, so that runs beside each
/// other cannot take each other's ports. `host` counts from 1.
fn own_address(host: u32, process: u32) -> Ipv4Addr {
    let low_bits = host << PROCESS_ID_BITS | process & ((1 << PROCESS_ID_BITS) - 1);
    Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 0, 0, 0)) | low_bits)
}

/// Replaces each address with port 0 by one of this process, with a port of its own.
pub fn assign_ports(text: &str, process: u32) -> String {
    let mut text = text.to_string();
    let mut port = FIRST_PORT;
    for (host, number) in HOSTS.iter().zip(1..) {
        let unassigned = format!("{host}:0\"");
        while text.contains(&unassigned) {
            let address = format!("{}:{port}\"", own_address(number, process));
            text = text.replacen(&unassigned, &address, 1);
            port += 1;
        }
    }
    text
}

#[cfg(test)]
mod tests;
