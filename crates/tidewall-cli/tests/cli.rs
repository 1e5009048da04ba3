//! The command line as a process: invalid input is reported in one line with exit code 2, and nothing is
//! started.
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const GOOD: &str = include_str!("../../../deploy/examples/small-site.txtpb");

fn tidewall(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tidewall"))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// Writes the example's settings, with free ports and this change, to a file.
fn settings(name: &str, change: impl Fn(String) -> String) -> PathBuf {
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .to_string()
    };
    let text = GOOD
        .replace("127.0.0.1:7400", &free())
        .replace("127.0.0.1:7401", &free());
    let path =
        std::env::temp_dir().join(format!("tidewall-cli-{name}-{}.txtpb", std::process::id()));
    let text = text.replace(
        "tidewall-g0.list",
        path.with_extension("list").to_str().unwrap(),
    );
    std::fs::File::create(&path)
        .unwrap()
        .write_all(change(text).as_bytes())
        .unwrap();
    path
}

fn assert_refused(output: &Output, reason: &str) {
    let stderr = String::from_utf8_lossy(&output.stderr);
    let lines: Vec<&str> = stderr.lines().filter(|l| !l.contains(" INFO ")).collect();
    assert_eq!(
        (output.status.code(), lines.len()),
        (Some(2), 1),
        "{stderr}"
    );
    assert!(lines[0].contains(reason), "{stderr}");
}

#[test]
fn bad_settings_are_refused_with_their_location() {
    let good = settings("good", |t| t);
    let output = tidewall(&["check", "--config", good.to_str().unwrap()]);
    assert_eq!((output.status.code(), output.stderr.len()), (Some(0), 0));
    let bad = settings("bad", |t| t.replace("window_ms: 4000", "window_ms: -1"));
    let path = bad.to_str().unwrap();
    for command in ["check", "serve", "standins"] {
        assert_refused(
            &tidewall(&[command, "--config", path]),
            &format!("{path}:27:3: event_type[1].window_ms"),
        );
    }
    assert_refused(
        &tidewall(&["check", "--config", "/nonexistent.txtpb"]),
        "/nonexistent.txtpb",
    );
    assert_refused(
        &tidewall(&[
            "serve",
            "--config",
            good.to_str().unwrap(),
            "--gateway",
            "g9",
        ]),
        "'g9'",
    );
}

#[test]
fn a_port_in_use_is_reported() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap().to_string();
    let path = settings("port", |t| {
        let from = t.find("address: \"").unwrap() + "address: \"".len();
        let end = from + t[from..].find('"').unwrap();
        format!("{}{at}{}", &t[..from], &t[end..])
    });
    assert_refused(
        &tidewall(&["serve", "--config", path.to_str().unwrap()]),
        &at,
    );
}

/// Runs a gateway and an emulated fleet as processes, sends a request with `send`, and stops both with
/// SIGTERM.
#[test]
fn a_request_from_the_command_line_is_handled_and_sigterm_exits_with_success() {
    let path = settings("run", |t| t.replace("window_ms: 10000", "window_ms: 0"));
    let text = std::fs::read_to_string(&path).unwrap();
    let from = text.find("address: \"").unwrap() + "address: \"".len();
    let at = &text[from..from + text[from..].find('"').unwrap()];
    let start = |command: &str| {
        let mut started = Command::new(env!("CARGO_BIN_EXE_tidewall"));
        started
            .args([
                command,
                "--log",
                "error",
                "--config",
                path.to_str().unwrap(),
            ])
            .spawn()
            .unwrap()
    };
    let mut processes = [start("standins"), start("serve")];
    let send = [
        "send",
        "--to",
        at,
        "--type",
        "look-up",
        "--function",
        "shelf0",
        "--memory",
        "90",
    ];
    let mut answer = tidewall(&send);
    for _ in 0..40 {
        if answer.status.success() && String::from_utf8_lossy(&answer.stdout).starts_with("handled")
        {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(250));
        answer = tidewall(&send);
    }
    let response = String::from_utf8_lossy(&answer.stdout).to_string();
    assert_refused(
        &tidewall(&["send", "--to", at, "--type", "nope", "--function", "f"]),
        "field type: 'nope'",
    );
    for child in &processes {
        // SAFETY: the process is our child and has not been waited for.
        unsafe { libc::kill(child.id() as i32, libc::SIGTERM) };
    }
    let codes = processes.each_mut().map(|c| c.wait().unwrap().code());
    assert!(response.starts_with("handled after"), "{response}");
    assert_eq!(codes, [Some(0), Some(0)]);
}

#[test_case(&["sim", "--fleet", "--members", "2"], "--members: 2 is not within 3 to 50" ; "too few members")]
#[test_case(&["sim", "--fleet", "--leases", "0"], "--leases: 0 is not within 1 to 10000" ; "no leases")]
#[test_case(&["sim", "--fleet", "--seeds", "x"], "--seeds: 'x' is neither a seed nor A..B" ; "no seeds")]
#[test_case(&["sim", "--fleet", "--shrink", "--seeds", "0..2"], "--shrink: a single seed is needed" ; "several seeds to shrink")]
fn invalid_options_of_a_fleet_run_are_refused(args: &[&str], reason: &str) {
    assert_refused(&tidewall(args), reason);
}
