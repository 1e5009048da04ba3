//! The emulated worker executes an attempt with a known idempotency key once, whatever the key's length.
#![allow(clippy::unwrap_used, missing_docs)]
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;
use tidewall_emulator::{Fleet, NoGateways, Plan};
use tidewall_net::memory::{self, Memory, World};
use tidewall_net::{App, CloseReason, Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Field, Frame};

const SETTINGS: &str = include_str!("../../../deploy/examples/day.txtpb");

/// A function of the settings whose repeats are dropped by key.
const FUNCTION: &str = "book0";

const SECOND: Time = 10_000;

/// A gateway that sends frames to one worker and ignores the answers.
struct Sender {
    net: Memory,
}

impl App for Sender {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}
    fn timer_fired(&mut self, _: u64) {}
}

/// One emulated fleet without clients, and a gateway that is connected to its first worker.
struct Rig {
    world: Rc<RefCell<World>>,
    sender: Sender,
    fleet: Fleet<Memory>,
    conn: Conn,
}

impl Rig {
    fn new() -> Rig {
        let world = memory::world();
        let sender = Sender {
            net: Memory::join(&world),
        };
        let settings = tidewall_config::settings("day.txtpb", SETTINGS).unwrap();
        let plan = Plan {
            seed: 1,
            seconds: 0.0,
            clients: false,
            amqp: false,
            record: Box::new(io::sink()),
            gateways: Box::new(NoGateways),
            checks_epochs: true,
            forgets_votes: false,
            checks_task_epochs: true,
            wild_clocks: false,
        };
        let fleet = Fleet::new(Memory::join(&world), &settings, None, plan).unwrap();
        let worker = fleet.workers()[0].1;
        let mut rig = Rig {
            world,
            conn: Conn(0),
            sender,
            fleet,
        };
        rig.conn = rig.sender.net.connect(worker, SECOND);
        rig.advance(SECOND);
        let mut frame = Vec::new();
        Frame::new(&mut frame, kind::HELLO)
            .whole(Field::Version, wire::VERSION)
            .text(Field::Role, "gateway")
            .whole(Field::Life, 0)
            .end();
        rig.send(&frame);
        rig.load();
        rig
    }

    /// Loads an instance of the function.
    fn load(&mut self) {
        let mut frame = Vec::new();
        Frame::new(&mut frame, kind::HOLD)
            .whole(Field::Id, 100)
            .text(Field::Function, FUNCTION)
            .whole(Field::Copies, 1)
            .end();
        self.send(&frame);
        self.advance(2 * SECOND);
    }

    fn advance(&mut self, time: Time) {
        let until = self.sender.net.now() + time;
        memory::run(&self.world, &mut [&mut self.sender, &mut self.fleet], until);
    }

    fn send(&mut self, frame: &[u8]) {
        assert!(self.sender.net.write(self.conn, frame));
        self.advance(SECOND / 10);
    }

    /// Sends an attempt with this key, and lets it end.
    fn launch(&mut self, id: u64, key: &[u8]) {
        let mut frame = Vec::new();
        Frame::new(&mut frame, kind::LAUNCH)
            .whole(Field::Id, id)
            .whole(Field::Event, 1_000 + id)
            .whole(Field::Launch, 0)
            .text(Field::Function, FUNCTION)
            .whole(Field::Left, 20 * SECOND)
            .bytes(Field::Mark, key)
            .end();
        self.send(&frame);
    }

    /// Number of attempts that were dropped as repeats.
    fn repeats(&self) -> u64 {
        self.fleet.loads().2
    }
}

// Failure: a key of fewer than eight bytes counted as none, so that repeats over AMQP, whose keys are short
// message-ids, had their effect again; of a longer one only the first eight bytes counted.
#[test_case(b"", 0; "no key")]
#[test_case(b"7", 1; "1 byte")]
#[test_case(b"1234567", 1; "7 bytes")]
#[test_case(b"12345678", 1; "8 bytes")]
#[test_case(&[0; 8], 1; "8 zero bytes")]
#[test_case(&[b'k'; 64], 1; "64 bytes")]
fn a_repeat_with_the_same_key_is_dropped(key: &[u8], repeats: u64) {
    let mut rig = Rig::new();
    rig.launch(1, key);
    rig.launch(2, key);
    assert_eq!(rig.repeats(), repeats);
}

#[test]
fn keys_that_differ_after_eight_bytes_are_two_keys() {
    let mut rig = Rig::new();
    rig.launch(1, b"message-id-1");
    rig.launch(2, b"message-id-2");
    assert_eq!(rig.repeats(), 0);
}
