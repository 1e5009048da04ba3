//! Valid settings are converted to the scheduler's map; invalid ones are refused in one line with location
//! and field.
#![allow(clippy::unwrap_used)]
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_config::{scheduler_settings, script, settings, shared_settings};

const GOOD: &str = include_str!("../../../deploy/examples/small-site.txtpb");

#[test]
fn scheduler_settings_hold_the_names_that_the_scheduler_reads() {
    let s = settings("site", GOOD).unwrap();
    let map = scheduler_settings(&s, 0);
    let expected = [
        ("siblings", "1"),
        ("classes.count", "3"),
        ("classes.1.semantics", "idempotency_key"),
        ("classes.1.group", "zone"),
        ("classes.1.window-ms", "4000"),
        ("classes.2.semantics", "non_idempotent"),
        ("allowed.max-attempts", "3"),
        ("allowed.may-duplicate", "false"),
        ("extra.if-cold", "miss"),
        ("extra.load-share", "0.2"),
        ("rules.tip-multiple", "3"),
        ("reporting.how", "answers"),
        ("reporting.names", "rif,busy"),
        ("discovery", "pushed"),
    ];
    for (key, value) in expected {
        assert_eq!(map.get(key).map(String::as_str), Some(value), "{key}");
    }
    assert_eq!(s.section("limits").duration("connect_time_out_ms"), 2500);
}

const PAIR: &str = include_str!("../../../deploy/examples/pair-a.txtpb");
const PEER: &str = include_str!("../../../deploy/examples/pair-b.txtpb");

#[test]
fn both_files_of_a_pair_have_the_same_shared_settings() {
    let (a, b) = (settings("a", PAIR).unwrap(), settings("b", PEER).unwrap());
    assert_eq!(shared_settings(&a), shared_settings(&b));
    assert!(shared_settings(&a).contains(&"limits.max_launches = 3".to_string()));
    assert_ne!(
        a.section("pair").section("own").text("name"),
        b.section("pair").section("own").text("name")
    );
}

#[test_case("\"e0\", \"e1\"]", "\"e0\"]", "pair.voter", "odd number" ; "an even number of voters")]
#[test_case("\"e0\", \"e1\"]", "\"e0\", \"n0\"]", "pair.voter[4]", "twice" ; "a voter twice")]
#[test_case("127.0.0.3:7603", "127.0.0.2:7605", "pair.peer.vrrp_address", "told apart" ; "one IP for both")]
#[test_case("127.0.0.3:7604", "127.0.0.1:7600", "pair.peer.link_address", "taken" ; "an address twice")]
#[test_case("name: \"b\" priority", "name: \"a\" priority", "pair.peer.name", "twice" ; "a name twice")]
#[test_case("priority: 200", "priority: 255", "pair.own.priority", "within" ; "the priority of an address owner")]
#[test_case("interval_cs: 10", "interval_cs: 0", "pair.interval_cs", "within" ; "no interval")]
#[test_case("key_file: \"deploy/examples/pair.keys\"", "", "pair.key_file", "needed" ; "no keys")]
fn bad_pair_settings_are_reported_with_their_field(
    good: &str,
    bad: &str,
    field: &str,
    reason: &str,
) {
    assert!(PAIR.contains(good));
    let error = settings("site", &PAIR.replacen(good, bad, 1))
        .unwrap_err()
        .to_string();
    assert!(
        error.contains(field) && error.contains(reason) && !error.contains('\n'),
        "{error}"
    );
}

const COORDINATION: &str = include_str!("../../../deploy/examples/three-halls.txtpb");

#[test_case("\"east-a\", \"west-a\"]", "\"east-a\"]", "site:10:12: fleet_common.keeper", "odd number" ; "an even number of grantors")]
#[test_case("\"west-a\"]", "\"west-z\"]", "site:10:33: fleet_common.keeper[2]", "no gateway" ; "a grantor that is no member")]
#[test_case("\"west-a\"]", "\"east-a\"]", "site:10:33: fleet_common.keeper[2]", "twice" ; "a grantor twice")]
#[test_case("term_ms: 5000", "term_ms: 1000", "site:12:3: fleet_common.term_ms", "leaves 496.9 ms to act" ; "a lease duration that is mostly unusable")]
#[test_case("clocks_ppm: 1000", "clocks_ppm: 400000", "site:12:3: fleet_common.term_ms", "clocks_ppm" ; "clocks that differ by too much")]
#[test_case("period_ms: 500", "period_ms: 0", "site:15:3: fleet_common.period_ms", "within" ; "no period")]
#[test_case("period_ms: 500", "period_ms: 20000", "site:15:3: fleet_common.period_ms", "lost member" ; "a period far above the lease duration")]
#[test_case("bytes_per_s: 100000", "bytes_per_s: 200", "site:19:3: fleet_common.bytes_per_s", "within" ; "a budget under ten datagrams")]
#[test_case("datagrams_per_s: 500", "datagrams_per_s: 20", "site:18:3: fleet_common.datagrams_per_s", "renew" ; "a budget that cannot renew")]
#[test_case("key_file: \"deploy/examples/pair.keys\"", "", "fleet_common.key_file", "needed" ; "no keys")]
#[test_case(" common_address: \"127.0.0.1:7712\"", "", "gateway[2].common_address", "no address" ; "a member without an address")]
#[test_case("127.0.0.1:7712", "127.0.0.1:7711", "gateway[2].common_address", "taken" ; "an address twice")]
#[test_case("leases: 64", "leases: 0", "fleet_common.leases", "within" ; "no leases")]
fn bad_coordination_settings_are_reported_with_their_location(
    good: &str,
    bad: &str,
    location: &str,
    reason: &str,
) {
    assert!(settings("site", COORDINATION).is_ok() && COORDINATION.contains(good));
    let error = settings("site", &COORDINATION.replacen(good, bad, 1))
        .unwrap_err()
        .to_string();
    assert!(
        error.contains(location) && error.contains(reason) && !error.contains('\n'),
        "{error}"
    );
}

/// The line numbers are those of the shipped example with one replacement.
#[test_case("name: \"book\"", "nam: \"book\"", "site:21:3:", "nam" ; "an unknown field")]
#[test_case("benefit: 3", "benefit: x", "site:24:12:", "expected" ; "a word for a number")]
#[test_case("benefit: 3", "benefit: -1", "site:24:3: event_type[1].benefit", "within" ; "out of range")]
#[test_case("window_ms: 4000", "window_ms: 0", "site:27:3: event_type[1].window_ms", "window" ; "keyed without a window")]
#[test_case("max_age_ms: 5000", "max_age_ms: 500", "site:32:3: event_type[2].max_age_ms", "under target" ; "a deadline below the objective")]
#[test_case("zone: \"pantry\"\n  last", "zone: \"attic\"\n  last", "site:6:3: gateway[0].zone", "'attic'" ; "an unknown zone")]
#[test_case("127.0.0.1:7400", "10.0.0.1:7400", "site:5:3: gateway[0].address", "loopback" ; "not on loopback")]
#[test_case("127.0.0.1:7401", "127.0.0.1:7400", "site:10:10: roster.address", "taken" ; "an address twice")]
#[test_case("name: \"book\"", "name: \"print\"", "site:30:3: event_type[2].name", "twice" ; "a name twice")]
#[test_case("kind: \"box\" cores", "kind: \"tub\" cores", "site:42:", "'tub'" ; "an unknown kind")]
#[test_case("most: 24", "most: 2", "site:46:", "under capacity" ; "a depot limit below its capacity")]
#[test_case("zone: \"pantry\"\n  last", "zone: \"pantry\" amqp_address: \"127.0.0.1:7402\"\n  last", "site:6:18: gateway[0].amqp_address", "no amqp" ; "an AMQP address without an AMQP section")]
#[test_case("rules {", "amqp { user { name: \"u\" password_hash: \"secret\" } }\nrules {", "site:38:25: amqp.user[0].password_hash", "no hash" ; "a password in plain text")]
#[test_case("rules {", "amqp { }\nrules {", "site:38:1: amqp.user", "at least one" ; "no AMQP user")]
#[test_case("roster {", "roster [", "site:10:", "expected" ; "broken brackets")]
fn bad_settings_are_reported_with_their_location(
    good: &str,
    bad: &str,
    location: &str,
    reason: &str,
) {
    assert!(GOOD.contains(good));
    let error = settings("site", &GOOD.replacen(good, bad, 1))
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with(location) && error.contains(reason) && !error.contains('\n'),
        "{error}"
    );
}

#[test_case("fault { trouble: WORKER_KILL }", "s:1:1: fault[0].lasts_ms" ; "no duration")]
#[test_case("fault { trouble: BURST lasts_ms: 5 }", "s:1:1: fault[0].factor" ; "no factor")]
#[test_case("fault { trouble: DEPOT_STALL lasts_ms: 5 kind: \"box\" }", "s:1:42: fault[0].kind" ; "a kind for a fault that hits no workers")]
#[test_case("fault { trouble: EARTHQUAKE }", "s:1:18:" ; "an unknown fault")]
#[test_case("fault { lasts_ms: 5 }", "s:1:1: fault[0].trouble" ; "no fault named")]
fn bad_scripts_are_reported_with_their_location(text: &str, location: &str) {
    let error = script("s", text).unwrap_err().to_string();
    assert!(error.starts_with(location), "{error}");
}

/// Truncated, damaged and unrelated files are either accepted or refused in one line with a location; none
/// panics.
#[test_case(GOOD; "a small site")]
#[test_case(include_str!("../../../deploy/examples/pair-a.txtpb"); "a pair")]
#[test_case(COORDINATION; "several gateways with leases")]
#[test_case(include_str!("../../../deploy/examples/bad-terminals.txtpb"); "a script")]
fn damaged_files_are_refused_in_one_line(text: &str) {
    let check = |text: &str| {
        let errors = [settings("f", text).err(), script("f", text).err()];
        for error in errors
            .map(|error| error.map(String::from))
            .into_iter()
            .flatten()
        {
            let has_location = error
                .split(':')
                .skip(1)
                .take(2)
                .all(|n| n.parse::<u32>().is_ok());
            assert!(
                error.starts_with("f:") && has_location && !error.contains('\n'),
                "{error:?}"
            );
        }
    };
    for at in (0..text.len())
        .step_by(11)
        .filter(|at| text.is_char_boundary(*at))
    {
        check(&text[..at]);
        for inserted in ["\0", "}", "{", "-1e308", "\u{fffd}", "\""] {
            check(&format!("{}{inserted}{}", &text[..at], &text[at..]));
        }
    }
}

/// Compares every name and value of the map with a recorded one, for the settings that come with the
/// repository.
#[test_case("small-site", include_str!("../../../deploy/examples/small-site.txtpb"), include_str!("maps/small-site.txt"))]
#[test_case("day", include_str!("../../../deploy/examples/day.txtpb"), include_str!("maps/day.txt"))]
#[test_case("three-halls", include_str!("../../../deploy/examples/three-halls.txtpb"), include_str!("maps/three-halls.txt"))]
#[test_case("pair-a", include_str!("../../../deploy/examples/pair-a.txtpb"), include_str!("maps/pair-a.txt"))]
fn scheduler_settings_equal_the_recorded_ones(name: &str, text: &str, recorded: &str) {
    let section = settings(name, text).unwrap();
    let last = section.sections("gateway").len() - 1;
    let lines = |map: BTreeMap<String, String>| -> String {
        map.iter().map(|(k, v)| format!("{k}={v}\n")).collect()
    };
    assert_eq!(lines(scheduler_settings(&section, last)), recorded);
}
