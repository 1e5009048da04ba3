//! Voters, and a host that notes what a seat calls for.
#![allow(dead_code)] // each test file uses a part
use tidewall_failover::claim::Ask;
use tidewall_failover::promise::{Claim, Promise};
use tidewall_failover::seat::Act;

/// What was asked of voters, until it is answered; and what else was called for, a word each.
#[derive(Default)]
pub struct Host {
    pub asked: Vec<(usize, u64, Option<Claim>)>,
    pub said: Vec<String>,
}

impl Ask<Claim> for Host {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        self.asked.push((voter, ballot, None));
    }
    fn accept(&mut self, voter: usize, claim: Claim) {
        self.asked.push((voter, claim.epoch, Some(claim)));
    }
}

impl Act for Host {
    fn vrrp(&mut self, on: bool) {
        self.said.push(format!("vrrp {on}"));
    }
    fn open(&mut self, claim: Claim, adopt: bool, forgot: bool) {
        self.said.push(format!(
            "open {} adopt {adopt} forgot {forgot}",
            claim.epoch
        ));
    }
    fn renewed(&mut self, claim: Claim, adopt: bool) {
        self.said
            .push(format!("renewed {} adopt {adopt}", claim.epoch));
    }
    fn retire(&mut self) {
        self.said.push("retire".to_string());
    }
    fn waits(&mut self, on: bool) {
        self.said.push(format!("waits {on}"));
    }
    fn copy(&mut self, new: bool) {
        self.said.push(format!("copy {new}"));
    }
    fn ask_yield(&mut self) {
        self.said.push("ask yield".to_string());
    }
    fn yielded(&mut self) {
        self.said.push("yielded".to_string());
    }
    fn again(&mut self, why: &'static str) {
        self.said.push(format!("again: {why}"));
    }
    fn gone(&mut self) {
        self.said.push("gone".to_string());
    }
}

/// A voter's answer to one question.
pub fn vote(voter: &mut Promise, question: (u64, Option<Claim>)) -> (bool, Promise) {
    let good = match question {
        (ballot, None) => voter.prepare(ballot),
        (_, Some(claim)) => voter.accept(claim),
    };
    (good, *voter)
}
