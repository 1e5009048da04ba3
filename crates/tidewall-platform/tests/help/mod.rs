//! What the codecs tell, as lines of text.
#![allow(dead_code)] // each test file uses a part
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidewall_platform::client::{self, Call, Commands};
use tidewall_platform::host::{self, Answers, Fields, Of};

pub const TRACE: &str = "9b1f03aa5c7e2d41";
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

#[derive(Default)]
pub struct Told(pub Vec<String>);

impl Commands for Told {
    fn call(&mut self, tag: u64, call: Result<Call, String>) {
        self.0.push(match call {
            Err(reason) => format!("{tag} bad {reason}"),
            Ok(c) => format!(
                "{tag} {:016x} {} {:?} {} {} {} {} {} {} {} {}",
                c.trace,
                c.typ,
                c.tenant,
                c.nonce,
                c.function,
                c.patience,
                c.hint,
                c.memory,
                c.lanes,
                c.load,
                c.body.len()
            ),
        });
    }
    fn cancel(&mut self, tag: u64) {
        self.0.push(format!("{tag} cancel"));
    }
    fn check(&mut self, tag: u64) {
        self.0.push(format!("{tag} check"));
    }
}

impl Answers for Told {
    fn answer(&mut self, of: Of, word: &str, fields: &Fields, body: &[u8]) -> Result<(), String> {
        self.0.push(format!(
            "{of:?} {word} {} {} {} {}",
            fields.note,
            fields.company,
            fields.copies,
            body.len()
        ));
        Ok(())
    }
}

/// A command of these words.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

pub fn usual() -> String {
    format!("trace={TRACE},patience=1500,customer=acme,nonce=n1,entity={FUNCTION},weight=8.2,extras=memory_mb:512;lanes:2")
}

/// Reads all whole commands; the bytes that are left, or the error.
pub fn commands(bytes: &[u8], told: &mut Told) -> Result<usize, String> {
    let mut used = 0;
    while let Some(len) = client::read(&bytes[used..], told)? {
        used += len;
    }
    Ok(bytes.len() - used)
}

pub fn answers(bytes: &[u8], told: &mut Told) -> Result<usize, String> {
    let mut used = 0;
    while let Some(len) = host::read(&bytes[used..], told)? {
        used += len;
    }
    Ok(bytes.len() - used)
}

/// With a fixed seed and budget.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}
