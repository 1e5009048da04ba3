//! Terminals, the gateway with its AMQP door, and scripted workers on the network in memory: one answer for each
//! event, and no second effect, whatever happens between.
#[path = "../../tidewall-gateway/tests/help/mod.rs"]
#[allow(dead_code)] // a part of it is for the gateway's own tests
mod help;

use argon2::password_hash::{PasswordHasher, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use help::*;
use std::net::SocketAddr;
use test_case::test_case;
use tidewall_amqp_ingress::Amqp;
use tidewall_emulator::terminal::{AmqpClient, AmqpClientHandler};
use tidewall_net::memory::{self, Memory};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_wire::kind;

const DOOR: &str = "127.0.0.1:702";

#[derive(Default)]
struct Told {
    ready: bool,
    answers: Vec<(u64, String, u64)>,
    confirms: Vec<(u64, bool)>,
}

impl AmqpClientHandler for Told {
    fn ready(&mut self) {
        self.ready = true;
    }
    fn answer(&mut self, evt: u64, word: &str, come_back: u64) {
        self.answers.push((evt, word.to_string(), come_back));
    }
    fn confirmed(&mut self, evt: u64, good: bool) {
        self.confirms.push((evt, good));
    }
}

/// A terminal at its desk.
struct Desk {
    net: Memory,
    conn: Option<Conn>,
    terminal: AmqpClient,
    told: Told,
    over: Vec<String>,
}

impl App for Desk {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, conn: Conn) {
        let mut out = Vec::new();
        self.terminal.connected(&mut out);
        self.net.write(conn, &out);
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let (mut used, mut out) = (0, Vec::new());
        loop {
            match self
                .terminal
                .frame(&bytes[used..], &mut out, &mut self.told)
            {
                Ok(0) => break,
                Ok(n) => used += n,
                Err(e) => {
                    self.over.push(e);
                    return bytes.len();
                }
            }
        }
        self.net.write(conn, &out);
        used
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {
        self.conn = None;
    }
    fn timer_fired(&mut self, _: u64) {}
}

struct Yard {
    site: Site,
    desks: Vec<Desk>,
}

/// A hash that costs nothing: tests wait for it in real time.
fn hash() -> String {
    let cheap = Argon2::new(
        Algorithm::Argon2id,
        Version::V0x13,
        Params::new(8, 1, 1, None).unwrap(),
    );
    let salt = SaltString::encode_b64(b"0123456789abcdef").unwrap();
    cheap.hash_password(b"terminal", &salt).unwrap().to_string()
}

fn yard(does: &[Behavior], desks: usize, more: &str) -> Yard {
    let mut site = site(does);
    let text = format!(
        r#"
        gateway {{ name: "g0" address: "127.0.0.1:700" amqp_address: "{DOOR}" zone: "z" }}
        roster {{ address: "127.0.0.1:701" }}
        zone: "z"
        event_type {{ name: "check" target_time_ms: 500 max_age_ms: 2000 redelivery: REDELIVERABLE }}
        event_type {{ name: "record" target_time_ms: 500 max_age_ms: 2000 redelivery: KEYED window_ms: 4000 }}
        event_type {{ name: "issue" target_time_ms: 500 max_age_ms: 2000 redelivery: AT_MOST_ONCE }}
        amqp {{ user {{ name: "terminal" password_hash: "{}" }} {more} }}"#,
        hash()
    );
    let settings = tidewall_config::settings("test", &text).unwrap();
    site.gateway
        .add_ingress(address(DOOR), Box::new(Amqp::new(1, &settings)))
        .unwrap();
    let desk = |_| Desk {
        net: Memory::join(&site.world),
        conn: None,
        terminal: AmqpClient::default(),
        told: Told::default(),
        over: Vec::new(),
    };
    let desks = (0..desks).map(desk).collect();
    let mut yard = Yard { site, desks };
    (0..yard.desks.len()).for_each(|d| yard.connect(d));
    yard.ready();
    yard
}

impl Yard {
    fn connect(&mut self, d: usize) {
        let desk = &mut self.desks[d];
        desk.told.ready = false;
        desk.conn = Some(desk.net.connect(address(DOOR), 10_000));
    }

    /// Passwords are checked in real time: the world's clock waits for them.
    fn ready(&mut self) {
        for _ in 0..2_000 {
            self.pass(200);
            if self.desks.iter().all(|d| d.told.ready || d.conn.is_none()) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("a login never ended");
    }

    fn pass(&mut self, time: Time) {
        let until = self.site.gateway_net.now() + time;
        let mut apps: Vec<&mut dyn App<Net = Memory>> =
            vec![&mut self.site.gateway, &mut self.site.discovery];
        self.site.workers.iter_mut().for_each(|w| apps.push(w));
        apps.push(&mut self.site.client);
        self.desks.iter_mut().for_each(|d| apps.push(d));
        memory::run(&self.site.world, &mut apps, until);
    }

    fn publish(&mut self, d: usize, evt: u64, key: &str, left_ms: u64, mark: u64) {
        let desk = &mut self.desks[d];
        let mut out = Vec::new();
        desk.terminal
            .publish(&mut out, evt, key, left_ms, mark, false, b"body");
        let conn = desk.conn.unwrap();
        assert!(desk.net.write(conn, &out));
    }

    fn words(&self, d: usize, evt: u64) -> Vec<&str> {
        self.desks[d]
            .told
            .answers
            .iter()
            .filter(|a| a.0 == evt)
            .map(|a| a.1.as_str())
            .collect()
    }

    fn confirms(&self, d: usize) -> &[(u64, bool)] {
        &self.desks[d].told.confirms
    }

    fn launches(&self) -> usize {
        self.site.workers.iter().map(Peer::attempts).sum()
    }
}

#[test_case("check.f", Behavior::Answers, "handled", true ; "handled")]
#[test_case("check.f", Behavior::Nothing, "deferred", false ; "deferred")]
#[test_case("issue.f", Behavior::Nothing, "dead-lettered", false ; "dead lettered")]
#[test_case("odd.f", Behavior::Answers, "turned-away", false ; "unknown type")]
#[test_case("check", Behavior::Answers, "turned-away", false ; "no function")]
fn a_publish_gets_one_answer_and_a_confirm_that_says_the_same(
    key: &str,
    does: Behavior,
    word: &str,
    acked: bool,
) {
    let mut y = yard(&[does], 1, "");
    y.publish(0, 7, key, 1_500, 70);
    y.pass(40_000);
    assert_eq!(
        (y.words(0, 7), y.confirms(0)),
        (vec![word], &[(7, acked)][..])
    );
    assert_eq!(
        (
            y.site.gateway.requests_in_flight(),
            y.site.gateway.calls_in_flight()
        ),
        (0, 0)
    );
}

#[test_case(0, "turned-away", 0 ; "expiration 0")]
#[test_case(3_600_000, "deferred", 20_000 ; "expiration beyond the max age is cut to it")]
fn expirations(ms: u64, word: &str, within: Time) {
    let mut y = yard(&[Behavior::Nothing], 1, "");
    y.publish(0, 7, "check.f", ms, 70);
    y.pass(within + 100);
    assert_eq!(y.words(0, 7), [word]);
}

/// The connection is lost between publish and confirm; the same message-id comes on a new one.
#[test]
fn a_message_id_on_a_new_connection_meets_the_event_in_hand() {
    let mut y = yard(&[Behavior::AnswersAfter(8_000)], 1, "");
    y.publish(0, 7, "record.f", 1_900, 70);
    y.pass(100);
    let conn = y.desks[0].conn.take().unwrap();
    y.desks[0].net.reset(conn);
    y.pass(100);
    y.connect(0);
    y.ready();
    y.publish(0, 8, "record.f", 1_900, 70);
    y.pass(20_000);
    assert_eq!(
        (y.launches(), y.words(0, 7).len(), y.words(0, 8)),
        (1, 0, vec!["handled"])
    );
    assert_eq!(y.confirms(0), [(8, true)]);
    assert_eq!(y.site.gateway.requests_in_flight(), 0);
}

#[test]
fn two_publishers_with_one_message_id_share_one_running() {
    let mut y = yard(&[Behavior::AnswersAfter(2_000)], 2, "");
    y.publish(0, 7, "record.f", 1_900, 70);
    y.pass(500);
    y.publish(1, 8, "record.f", 1_900, 70);
    y.pass(20_000);
    assert_eq!(
        (y.launches(), y.words(0, 7), y.words(1, 8)),
        (1, vec!["handled"], vec!["handled"])
    );
}

/// Within its window the recorded answer is given again; after it the event is a new one.
#[test_case(39_000, 1 ; "within the window")]
#[test_case(41_500, 2 ; "just after the window")]
fn a_handled_message_id_comes_again(wait: Time, launches: usize) {
    let mut y = yard(&[Behavior::Answers], 1, "");
    y.publish(0, 7, "record.f", 1_900, 70);
    y.pass(wait);
    y.publish(0, 8, "record.f", 1_900, 70);
    y.pass(5_000);
    assert_eq!(
        (y.words(0, 7), y.words(0, 8)),
        (vec!["handled"], vec!["handled"])
    );
    assert_eq!(y.launches(), launches);
}

/// The worker goes silent; the terminal asks again with the same message-id before and after its answer.
#[test]
fn a_record_is_resent_while_its_worker_is_silent() {
    let mut y = yard(&[Behavior::Nothing, Behavior::Nothing], 1, "");
    y.publish(0, 7, "record.f", 1_500, 70);
    y.pass(5_000);
    y.publish(0, 8, "record.f", 1_500, 70);
    y.pass(40_000);
    assert_eq!(
        (y.words(0, 7), y.words(0, 8)),
        (vec!["dead-lettered"], vec!["dead-lettered"])
    );
    let before = y.launches();
    y.publish(0, 9, "record.f", 1_500, 70);
    y.pass(1_000);
    assert_eq!(
        (y.words(0, 9), y.launches()),
        (vec!["dead-lettered"], before),
        "the record answers, nothing runs"
    );
}

/// A deferral invites the next try, which runs.
#[test]
fn a_deferred_message_id_may_come_again_at_once() {
    let mut y = yard(&[Behavior::AnswersOutcome("full")], 1, "");
    y.publish(0, 7, "record.f", 1_500, 70);
    y.pass(20_000);
    assert_eq!(y.words(0, 7), ["deferred"]);
    y.site.workers[0].behavior = Behavior::Answers;
    y.publish(0, 8, "record.f", 1_500, 70);
    y.pass(20_000);
    assert_eq!(y.words(0, 8), ["handled"]);
}

/// Cut at every byte of a publish: nothing half is taken, and the gateway serves on.
#[test]
fn a_terminal_is_cut_at_every_byte() {
    let mut y = yard(&[Behavior::Answers], 2, "");
    let mut whole = Vec::new();
    AmqpClient::default().publish(&mut whole, 7, "issue.f", 1_500, 70, false, b"body");
    for cut in 0..whole.len() {
        let conn = y.desks[0].conn.unwrap();
        y.desks[0].net.write(conn, &whole[..cut]);
        y.pass(20);
        y.desks[0].net.reset(conn);
        y.pass(20);
        y.connect(0);
        y.ready();
    }
    assert_eq!(y.launches(), 0);
    y.publish(1, 8, "check.f", 1_500, 80);
    y.pass(5_000);
    assert_eq!(y.words(1, 8), ["handled"]);
}

#[test]
fn a_wrong_password_is_refused_and_others_serve_on() {
    let mut y = yard(&[Behavior::Answers], 1, "");
    y.site.client.role = "raw";
    let mut out = tidewall_amqp::codec::PROTOCOL_HEADER.to_vec();
    let m = tidewall_amqp::codec::FrameWriter::method(
        &mut out,
        0,
        tidewall_amqp::codec::MethodId::new(10, 11),
    );
    m.long_str(b"")
        .short_str("PLAIN")
        .long_str(b"\0terminal\0guess")
        .short_str("en_US")
        .finish();
    let conn = y.site.client.net.connect(address(DOOR), 10_000);
    y.site.client.net.write(conn, &out);
    for _ in 0..200 {
        y.pass(200);
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    y.publish(0, 7, "check.f", 1_500, 70);
    y.pass(5_000);
    assert_eq!(y.words(0, 7), ["handled"]);
    let launches = y.site.workers[0]
        .received_frames
        .iter()
        .filter(|g| g.kind == kind::LAUNCH)
        .count();
    assert_eq!(launches, 1);
}

/// A thousand logins at once wait on their own thread; events of those who are in are answered meanwhile.
#[test]
fn a_storm_of_logins_does_not_stop_events() {
    let mut y = yard(&[Behavior::Answers], 1, "logins: 20");
    let mut net = y.site.client.net.clone();
    y.site.client.role = "raw";
    let mut out = tidewall_amqp::codec::PROTOCOL_HEADER.to_vec();
    let m = tidewall_amqp::codec::FrameWriter::method(
        &mut out,
        0,
        tidewall_amqp::codec::MethodId::new(10, 11),
    );
    m.long_str(b"")
        .short_str("PLAIN")
        .long_str(b"\0nobody\0x")
        .short_str("en_US")
        .finish();
    for _ in 0..1_000 {
        let conn = net.connect(address(DOOR), 10_000);
        net.write(conn, &out);
    }
    for evt in 0..20 {
        y.publish(0, evt, "check.f", 1_500, evt + 1);
        y.pass(500);
    }
    y.pass(5_000);
    assert!((0..20).all(|evt| y.words(0, evt) == ["handled"]));
}

/// One that asks for more than it may have in hand is not read meanwhile, and loses nothing.
#[test]
fn beyond_its_debts_a_connection_is_not_read() {
    let mut y = yard(
        &[Behavior::AnswersAfter(1_000), Behavior::AnswersAfter(1_000)],
        1,
        "in_hand: 4",
    );
    for evt in 0..40 {
        y.publish(0, evt, "check.f", 1_900, evt + 1);
        y.pass(3);
    }
    assert!(
        y.site.gateway.requests_in_flight() <= 5,
        "{}",
        y.site.gateway.requests_in_flight()
    );
    y.pass(200_000);
    assert!((0..40).all(|evt| y.words(0, evt).len() == 1));
    assert_eq!(y.confirms(0).len(), 40);
}

/// A repeat joins the event in hand, which may end after the repeat's own time.
#[test]
fn a_repeat_with_less_time_is_answered_in_its_own_time() {
    let mut y = yard(&[Behavior::AnswersAfter(12_000)], 1, "");
    y.publish(0, 7, "issue.f", 1_900, 70);
    y.pass(1_000);
    y.publish(0, 8, "issue.f", 400, 70);
    y.pass(4_000);
    assert_eq!(y.words(0, 8), ["dead-lettered"], "its client gives up now");
    y.pass(20_000);
    assert_eq!(
        (y.words(0, 7).len(), y.words(0, 8).len(), y.launches()),
        (1, 1, 1)
    );
}

/// The memory of a message-id was given up with the answer that came too late: the next try ran it again.
#[test_case("issue", 1, "dead-lettered"; "at most once is not run again")]
#[test_case("record", 1, "dead-lettered"; "keyed neither: nobody knows where it ran")]
#[test_case("check", 2, "handled"; "redeliverable is")]
fn an_event_whose_time_passed_in_a_standstill_is_remembered(
    typ: &str,
    launches: usize,
    word: &str,
) {
    let mut y = yard(&[Behavior::AnswersAfter(3_000)], 1, "");
    y.publish(0, 7, &format!("{typ}.f"), 1_500, 70);
    y.pass(100);
    y.site.gateway_net.still(true);
    y.pass(18_000);
    y.site.gateway_net.still(false);
    y.pass(1_000);
    assert!(y.words(0, 7).is_empty(), "its client had given up");
    y.publish(0, 8, &format!("{typ}.f"), 1_500, 70);
    y.pass(10_000);
    assert_eq!((y.launches(), y.words(0, 8)), (launches, vec![word]));
}

/// A repeat with more time than the event that it joined was forgotten with it.
#[test]
fn a_repeat_whose_event_passed_its_time_in_a_standstill_is_answered() {
    let mut y = yard(&[Behavior::AnswersAfter(12_000)], 1, "");
    y.publish(0, 7, "issue.f", 1_000, 70);
    y.pass(3_000);
    y.publish(0, 8, "issue.f", 1_900, 70);
    y.pass(100);
    y.site.gateway_net.still(true);
    y.pass(12_000);
    y.site.gateway_net.still(false);
    y.pass(1_000);
    assert_eq!(
        (y.words(0, 7).len(), y.words(0, 8)),
        (0, vec!["dead-lettered"])
    );
    y.pass(20_000);
    assert_eq!((y.words(0, 8).len(), y.launches()), (1, 1));
}

/// The native door does not take what may have lain unread for more than a quarter of its time; this one did.
#[test]
fn a_publish_that_may_have_waited_past_its_time_is_not_taken() {
    let mut y = yard(&[Behavior::Answers], 1, "");
    y.site.gateway_net.still(true);
    y.publish(0, 7, "check.f", 500, 70);
    y.publish(0, 8, "check.f", 1_900, 80);
    y.pass(4_000);
    y.site.gateway_net.still(false);
    y.pass(10_000);
    assert_eq!(
        (y.words(0, 7), y.words(0, 8)),
        (vec!["turned-away"], vec!["handled"])
    );
}

/// What a deferral tells is at least a millisecond, the unit of the door, and never none.
#[test]
fn a_deferral_says_when_to_come_back() {
    let mut y = yard(&[Behavior::Nothing], 1, "");
    y.publish(0, 7, "check.f", 700, 70);
    y.pass(10_000);
    assert_eq!(y.words(0, 7), ["deferred"]);
    assert!(
        y.desks[0].told.answers.iter().any(|a| a.0 == 7 && a.2 > 0),
        "{:?}",
        y.desks[0].told.answers
    );
}

#[test_case("check"; "redeliverable")]
#[test_case("issue"; "at most once")]
fn what_has_no_hope_is_answered_early_by_the_amqp_door(typ: &str) {
    let mut y = yard(&[], 1, "");
    y.publish(0, 7, &format!("{typ}.f"), 1_900, 70);
    y.pass(800);
    assert_eq!(y.words(0, 7), ["deferred"]);
    assert!(
        y.desks[0].told.answers.iter().all(|a| a.2 > 0),
        "{:?}",
        y.desks[0].told.answers
    );
}
