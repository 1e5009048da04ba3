use super::*;
use std::collections::BTreeSet;

const SETTINGS: &str =
    r#"address: "127.0.0.1:0" address: "127.0.0.1:0" peer: "127.0.0.2:0" fixed: "127.0.0.1:80""#;

/// The addresses in a text.
fn addresses(text: &str) -> Vec<String> {
    let quoted = text.split('"').skip(1).step_by(2);
    quoted.map(str::to_string).collect()
}

#[test]
fn each_listener_gets_an_address_of_its_own_and_fixed_ports_stay() {
    let assigned = addresses(&assign_ports(SETTINGS, 7));
    let different: BTreeSet<&String> = assigned.iter().collect();
    assert_eq!(different.len(), 4);
    assert_eq!(assigned[3], "127.0.0.1:80");
    assert!(assigned[..3].iter().all(|address| !address.ends_with(":0")));
}

// Failure: a run takes the port of another run's gateway while that is down.
#[test]
fn processes_share_no_address() {
    let ids = [1, 2, 255, 256, 65_536, (1 << PROCESS_ID_BITS) - 1];
    let used: Vec<String> = ids
        .iter()
        .flat_map(|id| addresses(&assign_ports(SETTINGS, *id))[..3].to_vec())
        .collect();
    let different: BTreeSet<&String> = used.iter().collect();
    assert_eq!(different.len(), used.len());
    assert!(used.iter().all(|address| address.starts_with("127.")));
}
