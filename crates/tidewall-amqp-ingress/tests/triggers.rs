//! AMQP clients, the gateway with its AMQP ingress, and scripted workers on the in-memory network: each
//! request gets exactly one answer and has no second effect, whatever fails in between.
#[path = "../../tidewall-gateway/tests/help/mod.rs"]
#[allow(dead_code)] // some of it is used by the gateway's tests only
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

const INGRESS_ADDRESS: &str = "127.0.0.1:702";

#[derive(Default)]
struct Observed {
    ready: bool,
    answers: Vec<(u64, String, u64)>,
    confirms: Vec<(u64, bool)>,
}

impl AmqpClientHandler for Observed {
    fn ready(&mut self) {
        self.ready = true;
    }
    fn answer(&mut self, event: u64, disposition: &str, retry_after: u64) {
        self.answers
            .push((event, disposition.to_string(), retry_after));
    }
    fn confirmed(&mut self, event: u64, good: bool) {
        self.confirms.push((event, good));
    }
}

/// A client that publishes requests over one connection.
struct Publisher {
    net: Memory,
    conn: Option<Conn>,
    terminal: AmqpClient,
    observed: Observed,
    errors: Vec<String>,
}

impl App for Publisher {
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
                .frame(&bytes[used..], &mut out, &mut self.observed)
            {
                Ok(0) => break,
                Ok(length) => used += length,
                Err(error) => {
                    self.errors.push(error);
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

/// The site of the gateway's tests, with publishers.
struct Fixture {
    site: Site,
    publishers: Vec<Publisher>,
}

/// A hash with the least argon2 cost, as tests wait for the check in real time.
fn password_hash() -> String {
    let argon2 = Argon2::new(
        Algorithm::Argon2id,
        Version::V0x13,
        Params::new(8, 1, 1, None).unwrap(),
    );
    let salt = SaltString::encode_b64(b"0123456789abcdef").unwrap();
    argon2
        .hash_password(b"terminal", &salt)
        .unwrap()
        .to_string()
}

fn new_fixture(behaviors: &[Behavior], publishers: usize, extra_settings: &str) -> Fixture {
    let mut site = site(behaviors);
    let text = format!(
        r#"
        gateway {{ name: "g0" address: "127.0.0.1:700" amqp_address: "{INGRESS_ADDRESS}" zone: "z" }}
        roster {{ address: "127.0.0.1:701" }}
        zone: "z"
        event_type {{ name: "check" target_time_ms: 500 max_age_ms: 2000 redelivery: REDELIVERABLE }}
        event_type {{ name: "record" target_time_ms: 500 max_age_ms: 2000 redelivery: KEYED window_ms: 4000 }}
        event_type {{ name: "issue" target_time_ms: 500 max_age_ms: 2000 redelivery: AT_MOST_ONCE }}
        amqp {{ user {{ name: "terminal" password_hash: "{}" }} {extra_settings} }}"#,
        password_hash()
    );
    let settings = tidewall_config::settings("test", &text).unwrap();
    site.gateway
        .add_ingress(address(INGRESS_ADDRESS), Box::new(Amqp::new(1, &settings)))
        .unwrap();
    let publisher = |_| Publisher {
        net: Memory::join(&site.world),
        conn: None,
        terminal: AmqpClient::default(),
        observed: Observed::default(),
        errors: Vec::new(),
    };
    let publishers = (0..publishers).map(publisher).collect();
    let mut fixture = Fixture { site, publishers };
    (0..fixture.publishers.len()).for_each(|index| fixture.connect(index));
    fixture.wait_for_logins();
    fixture
}

impl Fixture {
    fn connect(&mut self, index: usize) {
        let publisher = &mut self.publishers[index];
        publisher.observed.ready = false;
        publisher.conn = Some(publisher.net.connect(address(INGRESS_ADDRESS), 10_000));
    }

    /// Waits until all logins have ended. Passwords are checked in real time, which the simulated clock waits
    /// for: it runs no faster, so that no handshake times out where the machine is busy.
    fn wait_for_logins(&mut self) {
        for _ in 0..9_000 {
            self.run_for(10);
            if self
                .publishers
                .iter()
                .all(|publisher| publisher.observed.ready || publisher.conn.is_none())
            {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("a login did not end");
    }

    fn run_for(&mut self, duration: Time) {
        let until = self.site.gateway_net.now() + duration;
        let mut apps: Vec<&mut dyn App<Net = Memory>> =
            vec![&mut self.site.gateway, &mut self.site.discovery];
        self.site
            .workers
            .iter_mut()
            .for_each(|worker| apps.push(worker));
        apps.push(&mut self.site.client);
        self.publishers
            .iter_mut()
            .for_each(|publisher| apps.push(publisher));
        memory::run(&self.site.world, &mut apps, until);
    }

    fn publish(&mut self, index: usize, event: u64, key: &str, remaining_ms: u64, message_id: u64) {
        let publisher = &mut self.publishers[index];
        let mut out = Vec::new();
        publisher.terminal.publish(
            &mut out,
            event,
            key,
            remaining_ms,
            message_id,
            false,
            b"body",
        );
        let conn = publisher.conn.unwrap();
        assert!(publisher.net.write(conn, &out));
    }

    fn dispositions(&self, publisher: usize, event: u64) -> Vec<&str> {
        self.publishers[publisher]
            .observed
            .answers
            .iter()
            .filter(|a| a.0 == event)
            .map(|a| a.1.as_str())
            .collect()
    }

    fn confirms(&self, publisher: usize) -> &[(u64, bool)] {
        &self.publishers[publisher].observed.confirms
    }

    fn launches(&self) -> usize {
        self.site.workers.iter().map(Peer::attempts).sum()
    }
}

#[test_case("check.f", Behavior::Answers, "handled", true ; "handled")]
#[test_case("check.f", Behavior::Nothing, "deferred", false ; "deferred")]
#[test_case("issue.f", Behavior::Nothing, "dead-lettered", false ; "dead lettered")]
#[test_case("odd.f", Behavior::Answers, "turned-away", false ; "unknown event type")]
#[test_case("check", Behavior::Answers, "turned-away", false ; "no function")]
fn a_publish_gets_one_answer_and_the_matching_confirm(
    key: &str,
    behavior: Behavior,
    disposition: &str,
    acked: bool,
) {
    let mut fixture = new_fixture(&[behavior], 1, "");
    fixture.publish(0, 7, key, 1_500, 70);
    fixture.run_for(40_000);
    assert_eq!(
        (fixture.dispositions(0, 7), fixture.confirms(0)),
        (vec![disposition], &[(7, acked)][..])
    );
    assert_eq!(
        (
            fixture.site.gateway.requests_in_flight(),
            fixture.site.gateway.calls_in_flight()
        ),
        (0, 0)
    );
}

#[test_case(0, "turned-away", 0 ; "expiration 0")]
#[test_case(3_600_000, "deferred", 20_000 ; "expiration beyond max_age_ms is reduced to it")]
fn expiration_limits_the_remaining_time(ms: u64, disposition: &str, within: Time) {
    let mut fixture = new_fixture(&[Behavior::Nothing], 1, "");
    fixture.publish(0, 7, "check.f", ms, 70);
    fixture.run_for(within + 100);
    assert_eq!(fixture.dispositions(0, 7), [disposition]);
}

/// The connection is lost between publish and confirm, and the client repeats the message-id on a new
/// connection.
#[test]
fn a_message_id_on_a_new_connection_joins_the_request_in_flight() {
    let mut fixture = new_fixture(&[Behavior::AnswersAfter(8_000)], 1, "");
    fixture.publish(0, 7, "record.f", 1_900, 70);
    fixture.run_for(100);
    let conn = fixture.publishers[0].conn.take().unwrap();
    fixture.publishers[0].net.reset(conn);
    fixture.run_for(100);
    fixture.connect(0);
    fixture.wait_for_logins();
    fixture.publish(0, 8, "record.f", 1_900, 70);
    fixture.run_for(20_000);
    assert_eq!(
        (
            fixture.launches(),
            fixture.dispositions(0, 7).len(),
            fixture.dispositions(0, 8)
        ),
        (1, 0, vec!["handled"])
    );
    assert_eq!(fixture.confirms(0), [(8, true)]);
    assert_eq!(fixture.site.gateway.requests_in_flight(), 0);
}

#[test]
fn two_publishers_with_one_message_id_share_one_execution() {
    let mut fixture = new_fixture(&[Behavior::AnswersAfter(2_000)], 2, "");
    fixture.publish(0, 7, "record.f", 1_900, 70);
    fixture.run_for(500);
    fixture.publish(1, 8, "record.f", 1_900, 70);
    fixture.run_for(20_000);
    assert_eq!(
        (
            fixture.launches(),
            fixture.dispositions(0, 7),
            fixture.dispositions(1, 8)
        ),
        (1, vec!["handled"], vec!["handled"])
    );
}

/// A repeat within the window gets the recorded answer; after the window it is a new request.
#[test_case(39_000, 1 ; "within the window")]
#[test_case(41_500, 2 ; "just after the window")]
fn a_completed_message_id_is_repeated(wait: Time, launches: usize) {
    let mut fixture = new_fixture(&[Behavior::Answers], 1, "");
    fixture.publish(0, 7, "record.f", 1_900, 70);
    fixture.run_for(wait);
    fixture.publish(0, 8, "record.f", 1_900, 70);
    fixture.run_for(5_000);
    assert_eq!(
        (fixture.dispositions(0, 7), fixture.dispositions(0, 8)),
        (vec!["handled"], vec!["handled"])
    );
    assert_eq!(fixture.launches(), launches);
}

/// The workers never respond; the client repeats the message-id before and after the answer.
#[test]
fn a_keyed_request_is_repeated_while_its_worker_is_silent() {
    let mut fixture = new_fixture(&[Behavior::Nothing, Behavior::Nothing], 1, "");
    fixture.publish(0, 7, "record.f", 1_500, 70);
    fixture.run_for(5_000);
    fixture.publish(0, 8, "record.f", 1_500, 70);
    fixture.run_for(40_000);
    assert_eq!(
        (fixture.dispositions(0, 7), fixture.dispositions(0, 8)),
        (vec!["dead-lettered"], vec!["dead-lettered"])
    );
    let before = fixture.launches();
    fixture.publish(0, 9, "record.f", 1_500, 70);
    fixture.run_for(1_000);
    assert_eq!(
        (fixture.dispositions(0, 9), fixture.launches()),
        (vec!["dead-lettered"], before),
        "the recorded answer is sent and nothing is executed"
    );
}

/// A rejection asks the client to retry, and the retry is executed.
#[test]
fn a_rejected_message_id_may_be_retried_at_once() {
    let mut fixture = new_fixture(&[Behavior::AnswersOutcome("full")], 1, "");
    fixture.publish(0, 7, "record.f", 1_500, 70);
    fixture.run_for(20_000);
    assert_eq!(fixture.dispositions(0, 7), ["deferred"]);
    fixture.site.workers[0].behavior = Behavior::Answers;
    fixture.publish(0, 8, "record.f", 1_500, 70);
    fixture.run_for(20_000);
    assert_eq!(fixture.dispositions(0, 8), ["handled"]);
}

/// The connection is reset after every number of bytes of a publish: no incomplete publish is accepted, and
/// the gateway goes on serving others.
#[test]
fn a_connection_is_reset_at_every_byte_of_a_publish() {
    let mut fixture = new_fixture(&[Behavior::Answers], 2, "");
    let mut publish_frames = Vec::new();
    AmqpClient::default().publish(&mut publish_frames, 7, "issue.f", 1_500, 70, false, b"body");
    for length in 0..publish_frames.len() {
        let conn = fixture.publishers[0].conn.unwrap();
        fixture.publishers[0]
            .net
            .write(conn, &publish_frames[..length]);
        fixture.run_for(20);
        fixture.publishers[0].net.reset(conn);
        fixture.run_for(20);
        fixture.connect(0);
        fixture.wait_for_logins();
    }
    assert_eq!(fixture.launches(), 0);
    fixture.publish(1, 8, "check.f", 1_500, 80);
    fixture.run_for(5_000);
    assert_eq!(fixture.dispositions(1, 8), ["handled"]);
}

#[test]
fn a_wrong_password_is_refused_and_others_are_served() {
    let mut fixture = new_fixture(&[Behavior::Answers], 1, "");
    fixture.site.client.role = "raw";
    let mut out = tidewall_amqp::codec::PROTOCOL_HEADER.to_vec();
    let start_ok = tidewall_amqp::codec::FrameWriter::method(
        &mut out,
        0,
        tidewall_amqp::codec::MethodId::new(10, 11),
    );
    start_ok
        .long_str(b"")
        .short_str("PLAIN")
        .long_str(b"\0terminal\0guess")
        .short_str("en_US")
        .finish();
    let conn = fixture
        .site
        .client
        .net
        .connect(address(INGRESS_ADDRESS), 10_000);
    fixture.site.client.net.write(conn, &out);
    for _ in 0..200 {
        fixture.run_for(200);
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    fixture.publish(0, 7, "check.f", 1_500, 70);
    fixture.run_for(5_000);
    assert_eq!(fixture.dispositions(0, 7), ["handled"]);
    let launches = fixture.site.workers[0]
        .received_frames
        .iter()
        .filter(|frame| frame.kind == kind::LAUNCH)
        .count();
    assert_eq!(launches, 1);
}

/// A thousand logins at once wait for the thread that checks passwords; requests of connections that are
/// logged in are answered meanwhile.
#[test]
fn many_logins_at_once_do_not_delay_requests() {
    let mut fixture = new_fixture(&[Behavior::Answers], 1, "logins: 20");
    let mut net = fixture.site.client.net.clone();
    fixture.site.client.role = "raw";
    let mut out = tidewall_amqp::codec::PROTOCOL_HEADER.to_vec();
    let start_ok = tidewall_amqp::codec::FrameWriter::method(
        &mut out,
        0,
        tidewall_amqp::codec::MethodId::new(10, 11),
    );
    start_ok
        .long_str(b"")
        .short_str("PLAIN")
        .long_str(b"\0nobody\0x")
        .short_str("en_US")
        .finish();
    for _ in 0..1_000 {
        let conn = net.connect(address(INGRESS_ADDRESS), 10_000);
        net.write(conn, &out);
    }
    for event in 0..20 {
        fixture.publish(0, event, "check.f", 1_500, event + 1);
        fixture.run_for(500);
    }
    fixture.run_for(5_000);
    assert!((0..20).all(|event| fixture.dispositions(0, event) == ["handled"]));
}

/// A connection that publishes beyond its limit of pending requests is not read for a while, and loses no
/// request.
#[test]
fn a_connection_at_its_limit_of_pending_requests_is_not_read() {
    let mut fixture = new_fixture(
        &[Behavior::AnswersAfter(1_000), Behavior::AnswersAfter(1_000)],
        1,
        "in_hand: 4",
    );
    for event in 0..40 {
        fixture.publish(0, event, "check.f", 1_900, event + 1);
        fixture.run_for(3);
    }
    assert!(
        fixture.site.gateway.requests_in_flight() <= 5,
        "{}",
        fixture.site.gateway.requests_in_flight()
    );
    fixture.run_for(200_000);
    assert!((0..40).all(|event| fixture.dispositions(0, event).len() == 1));
    assert_eq!(fixture.confirms(0).len(), 40);
}

/// A repeat joins the request in flight, which may end after the repeat's own deadline.
#[test]
fn a_repeat_with_less_time_is_answered_by_its_own_deadline() {
    let mut fixture = new_fixture(&[Behavior::AnswersAfter(12_000)], 1, "");
    fixture.publish(0, 7, "issue.f", 1_900, 70);
    fixture.run_for(1_000);
    fixture.publish(0, 8, "issue.f", 400, 70);
    fixture.run_for(4_000);
    assert_eq!(
        fixture.dispositions(0, 8),
        ["dead-lettered"],
        "its client stops waiting now"
    );
    fixture.run_for(20_000);
    assert_eq!(
        (
            fixture.dispositions(0, 7).len(),
            fixture.dispositions(0, 8).len(),
            fixture.launches()
        ),
        (1, 1, 1)
    );
}

/// Guards against forgetting a message-id when its answer is too late to be sent: the next repeat would be
/// executed again.
#[test_case("issue", 1, "dead-lettered"; "at most once is not executed again")]
#[test_case("record", 1, "dead-lettered"; "keyed is not executed again, as it is unknown where it was executed")]
#[test_case("check", 2, "handled"; "redeliverable is executed again")]
fn a_request_that_expired_in_a_standstill_is_recorded(
    event_type: &str,
    launches: usize,
    disposition: &str,
) {
    let mut fixture = new_fixture(&[Behavior::AnswersAfter(3_000)], 1, "");
    fixture.publish(0, 7, &format!("{event_type}.f"), 1_500, 70);
    fixture.run_for(100);
    fixture.site.gateway_net.still(true);
    fixture.run_for(18_000);
    fixture.site.gateway_net.still(false);
    fixture.run_for(1_000);
    assert!(
        fixture.dispositions(0, 7).is_empty(),
        "its client had stopped waiting"
    );
    fixture.publish(0, 8, &format!("{event_type}.f"), 1_500, 70);
    fixture.run_for(10_000);
    assert_eq!(
        (fixture.launches(), fixture.dispositions(0, 8)),
        (launches, vec![disposition])
    );
}

/// Guards against dropping a repeat together with the request that it joined, although the repeat had more
/// time left.
#[test]
fn a_repeat_of_a_request_that_expired_in_a_standstill_is_answered() {
    let mut fixture = new_fixture(&[Behavior::AnswersAfter(12_000)], 1, "");
    fixture.publish(0, 7, "issue.f", 1_000, 70);
    fixture.run_for(3_000);
    fixture.publish(0, 8, "issue.f", 1_900, 70);
    fixture.run_for(100);
    fixture.site.gateway_net.still(true);
    fixture.run_for(12_000);
    fixture.site.gateway_net.still(false);
    fixture.run_for(1_000);
    assert_eq!(
        (fixture.dispositions(0, 7).len(), fixture.dispositions(0, 8)),
        (0, vec!["dead-lettered"])
    );
    fixture.run_for(20_000);
    assert_eq!(
        (fixture.dispositions(0, 8).len(), fixture.launches()),
        (1, 1)
    );
}

/// Guards against accepting a publish that may have waited unread for more than a quarter of its time. The
/// ingress of the native protocol does not accept these either.
#[test]
fn a_publish_that_may_have_waited_too_long_is_not_accepted() {
    let mut fixture = new_fixture(&[Behavior::Answers], 1, "");
    fixture.site.gateway_net.still(true);
    fixture.publish(0, 7, "check.f", 500, 70);
    fixture.publish(0, 8, "check.f", 1_900, 80);
    fixture.run_for(4_000);
    fixture.site.gateway_net.still(false);
    fixture.run_for(10_000);
    assert_eq!(
        (fixture.dispositions(0, 7), fixture.dispositions(0, 8)),
        (vec!["turned-away"], vec!["handled"])
    );
}

/// A rejection always gives a time to retry after, of at least a millisecond, which is the unit of AMQP.
#[test]
fn a_rejection_gives_a_time_to_retry_after() {
    let mut fixture = new_fixture(&[Behavior::Nothing], 1, "");
    fixture.publish(0, 7, "check.f", 700, 70);
    fixture.run_for(10_000);
    assert_eq!(fixture.dispositions(0, 7), ["deferred"]);
    assert!(
        fixture.publishers[0]
            .observed
            .answers
            .iter()
            .any(|a| a.0 == 7 && a.2 > 0),
        "{:?}",
        fixture.publishers[0].observed.answers
    );
}

#[test_case("check"; "redeliverable")]
#[test_case("issue"; "at most once")]
fn a_request_without_any_worker_is_answered_early(event_type: &str) {
    let mut fixture = new_fixture(&[], 1, "");
    fixture.publish(0, 7, &format!("{event_type}.f"), 1_900, 70);
    fixture.run_for(800);
    assert_eq!(fixture.dispositions(0, 7), ["deferred"]);
    assert!(
        fixture.publishers[0]
            .observed
            .answers
            .iter()
            .all(|a| a.2 > 0),
        "{:?}",
        fixture.publishers[0].observed.answers
    );
}
