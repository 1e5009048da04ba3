//! Logs that cannot be written, on the shipped binary: the gateway serves on, and no open call is lost.
mod platform_rig;

use platform_rig::*;
use std::fs::File;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

/// What happens to the log.
#[derive(Clone, Copy, PartialEq)]
enum LogFailure {
    /// The reader of its pipe has ended.
    ReaderEnded,
    /// The reader of its pipe has stopped reading, and the pipe is full.
    ReaderStopped,
    /// Its device is full.
    DeviceFull,
    /// Standard error is closed from the start.
    Closed,
}

/// Connections with unreadable data and calls that are open meanwhile. With the log level of the test each of the former
/// takes several lines, which are more than a pipe holds.
const UNREADABLE: usize = 2_000;
const OPEN_CALLS: usize = 20;

// Failure: the first line that cannot be written ends the gateway; or a pipe that nobody reads stops it.
#[test_case(LogFailure::ReaderEnded, 46; "reader ended")]
#[test_case(LogFailure::ReaderStopped, 47; "reader stopped")]
#[test_case(LogFailure::DeviceFull, 48; "device full")]
#[test_case(LogFailure::Closed, 49; "standard error closed")]
fn a_gateway_serves_on_when_its_log_cannot_be_written(failure: LogFailure, last: u8) {
    let (listen, folder) = (free(last), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(listen, board(Arc::default()), &[echo_host()])).unwrap();
    let (mut reader, pipe) = std::io::pipe().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "debug", "platform"])
        .env("ROUTER_CONFIG", &file)
        .stdout(Stdio::null());
    match failure {
        LogFailure::ReaderEnded | LogFailure::ReaderStopped => {
            command.stderr(OwnedFd::from(pipe));
        }
        LogFailure::DeviceFull => {
            command.stderr(File::options().write(true).open("/dev/full").unwrap());
        }
        LogFailure::Closed => {
            // SAFETY: close is async-signal-safe.
            unsafe {
                command.pre_exec(|| {
                    libc::close(libc::STDERR_FILENO);
                    Ok(())
                });
            }
        }
    }
    let (mut gateway, conn) = started(command, listen);
    let mut conn = BufReader::new(conn);
    if failure == LogFailure::ReaderEnded {
        reader.read_exact(&mut [0]).unwrap();
        drop(reader);
    }
    for number in 0..UNREADABLE {
        let mut bad = TcpStream::connect(listen).unwrap();
        bad.write_all(b"no array\r\n").unwrap();
        if number % (UNREADABLE / OPEN_CALLS) == 0 {
            let tag = number + 1;
            conn.get_mut()
                .write_all(call(tag, "issue").as_bytes())
                .unwrap();
            conn.get_ref()
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            assert_eq!(answer(&mut conn), (tag, "OK".to_string()));
        }
    }
    assert_eq!(gateway.0.try_wait().unwrap(), None);
}
