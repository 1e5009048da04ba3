use super::*;
use std::collections::VecDeque;

/// Takes lines, or fails as often as told.
#[derive(Default)]
struct FailingOutput {
    failures: VecDeque<i32>,
    written: Vec<u8>,
}

impl Write for FailingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(error) = self.failures.pop_front() {
            return Err(io::Error::from_raw_os_error(error));
        }
        self.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines_after_failures(json: bool) -> String {
    let mut sink = LogSink {
        output: FailingOutput::default(),
        json,
        failed: 0,
        overflow: Arc::default(),
        told: 0,
    };
    sink.write_all(b"first\n").unwrap();
    sink.output.failures = [libc::ENOSPC, libc::EIO, libc::EPIPE].into();
    for line in [
        &b"second\n"[..],
        b"third\n",
        b"fourth\n",
        b"fifth\n",
        b"sixth\n",
    ] {
        sink.write_all(line).unwrap();
    }
    String::from_utf8(sink.output.written).unwrap()
}

// Failure: lines that could not be written are missing from the log, and nothing tells of it.
#[test]
fn one_line_tells_how_many_were_lost_once_writing_works_again() {
    let expected = "first\n\nWARN log lines lost lost=3 so_far=3\nfifth\nsixth\n";
    assert_eq!(lines_after_failures(false), expected);
    let json = lines_after_failures(true);
    assert!(json
        .contains("{\"level\":\"WARN\",\"message\":\"log lines lost\",\"lost\":3,\"so_far\":3}\n"));
}
