//! Voters, and a host that notes what a seat calls for.
#![allow(dead_code)] // each test file uses a part
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_failover::proposal::ProposerTransport;
use tidewall_failover::role::RoleActions;

/// What was asked of voters, until it is answered; and what else was called for, a word each.
#[derive(Default)]
pub struct Host {
    pub asked: Vec<(usize, u64, Option<Leadership>)>,
    pub said: Vec<String>,
}

impl ProposerTransport<Leadership> for Host {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        self.asked.push((voter, ballot, None));
    }
    fn accept(&mut self, voter: usize, claim: Leadership) {
        self.asked.push((voter, claim.epoch, Some(claim)));
    }
}

impl RoleActions for Host {
    fn set_vrrp_enabled(&mut self, on: bool) {
        self.said.push(format!("vrrp {on}"));
    }
    fn start_serving(&mut self, claim: Leadership, adopt: bool, forgot: bool) {
        self.said.push(format!(
            "open {} adopt {adopt} forgot {forgot}",
            claim.epoch
        ));
    }
    fn leadership_renewed(&mut self, claim: Leadership, adopt: bool) {
        self.said
            .push(format!("renewed {} adopt {adopt}", claim.epoch));
    }
    fn stop_accepting(&mut self) {
        self.said.push("retire".to_string());
    }
    fn set_replication_wait(&mut self, on: bool) {
        self.said.push(format!("waits {on}"));
    }
    fn start_replication(&mut self, new: bool) {
        self.said.push(format!("copy {new}"));
    }
    fn request_step_down(&mut self) {
        self.said.push("ask yield".to_string());
    }
    fn confirm_step_down(&mut self) {
        self.said.push("yielded".to_string());
    }
    fn restart_process(&mut self, why: &'static str) {
        self.said.push(format!("again: {why}"));
    }
    fn exit_process(&mut self) {
        self.said.push("gone".to_string());
    }
}

/// A voter's answer to one question.
pub fn vote(
    voter: &mut LeadershipAcceptor,
    question: (u64, Option<Leadership>),
) -> (bool, LeadershipAcceptor) {
    let good = match question {
        (ballot, None) => voter.prepare(ballot),
        (_, Some(claim)) => voter.accept(claim),
    };
    (good, *voter)
}
