//! A client whose tags are new but do not rise.
#[path = "../common/standins.rs"]
mod standins;
use standins::*;
use std::thread;
use std::time::Duration;

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

fn main() {
    set_panic_hook();
    let record = Record::create(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| cannot_run("no record file")),
    );
    let hosts: Vec<String> = (0..10)
        .map(|i| SoundHost::start(&record, &format!("s-{i}"), b"done".to_vec(), true))
        .collect();
    let gateway = Gateway::start(&record, LIMITS, SETTINGS, start_board(1), &hosts);
    let client =
        Client::connect(gateway.listen, &record, "client").unwrap_or_else(|| cannot_run("no connection"));
    let send = |tag: u64| {
        let class = if tag % 3 == 0 {
            "signoff-post"
        } else {
            "logbook-read"
        };
        let fields = format!(
            "trace={:016x},patience=2000,entity=7f3a9c21e0b4d655,extras=memory_mb:512;lanes:2",
            0xab00 + tag
        );
        record.line(format!("client: CALL {tag} {class}"));
        client.send(&call(tag, class, &fields, b"body"));
        thread::sleep(Duration::from_millis(10));
    };
    (1..=8).for_each(send);
    thread::sleep(Duration::from_millis(2000));
    // Threads of the client number their requests from one counter; with trouble, the one that has 9 is the last to
    // write. Every tag is used once.
    let tags = if has_trouble() {
        [10, 11, 12, 9]
    } else {
        [9, 10, 11, 12]
    };
    tags.into_iter().for_each(send);
    thread::sleep(Duration::from_millis(3000));
    let lost: Vec<u64> = (1..=12)
        .filter(|tag| !client.state().replies.contains_key(tag))
        .collect();
    let ended = client.state().ended.clone().map(|ended| ended.1);
    record.line(format!(
        "never answered: {} {lost:?}; end of the connection: {ended:?}",
        lost.len()
    ));
    record.line(if lost.is_empty() {
        "the rule held"
    } else {
        "BROKEN: requests are lost"
    });
    drop(gateway);
    std::process::exit(i32::from(!lost.is_empty()));
}
