//! The transitions of the role state machine: when a member serves, and how leadership passes to the other
//! member.
mod support;

use support::{Reply, SentRequests};
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_failover::proposal::ProposerTransport;
use tidewall_failover::role::{Role, RoleActions, RoleStateMachine};

/// Stores requests to voters until they are replied to, and records all other actions as one line each.
#[derive(Default)]
struct RecordedActions {
    requests: SentRequests,
    calls: Vec<String>,
}

impl ProposerTransport<Leadership> for RecordedActions {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        self.requests.prepare(voter, ballot);
    }

    fn accept(&mut self, voter: usize, proposal: Leadership) {
        self.requests.accept(voter, proposal);
    }
}

impl RoleActions for RecordedActions {
    fn set_vrrp_enabled(&mut self, enabled: bool) {
        self.calls.push(format!("vrrp {enabled}"));
    }

    fn start_serving(&mut self, leadership: Leadership, take_over: bool, lost_state: bool) {
        let epoch = leadership.epoch;
        self.calls.push(format!(
            "serve {epoch} take over {take_over} lost state {lost_state}"
        ));
    }

    fn leadership_renewed(&mut self, leadership: Leadership, take_over: bool) {
        let epoch = leadership.epoch;
        self.calls
            .push(format!("renewed {epoch} take over {take_over}"));
    }

    fn stop_accepting(&mut self) {
        self.calls.push("stop accepting".to_string());
    }

    fn set_replication_wait(&mut self, enabled: bool) {
        self.calls.push(format!("replication wait {enabled}"));
    }

    fn start_replication(&mut self, updates_only: bool) {
        self.calls
            .push(format!("replicate, updates only {updates_only}"));
    }

    fn request_step_down(&mut self) {
        self.calls.push("request step-down".to_string());
    }

    fn confirm_step_down(&mut self) {
        self.calls.push("confirm step-down".to_string());
    }

    fn restart_process(&mut self, reason: &'static str) {
        self.calls.push(format!("restart: {reason}"));
    }

    fn exit_process(&mut self) {
        self.calls.push("exit".to_string());
    }
}

const INTERVAL: u64 = 1_000;

/// Lets the voters reply to all requests, including those that their replies cause.
fn reply_to_all(
    machine: &mut RoleStateMachine,
    actions: &mut RecordedActions,
    voters: &mut [LeadershipAcceptor],
    now: u64,
) {
    while let Some(sent) = actions.requests.0.pop() {
        let Reply { agreed, acceptor } = sent.reply(&mut voters[sent.voter]);
        let reply_to = sent.reply_to();
        machine.vote_received(now, actions, sent.voter, reply_to, agreed, acceptor);
    }
}

/// Returns member 0, which serves with the other member synchronised, and an empty record of its actions.
fn replicating(voters: &mut [LeadershipAcceptor]) -> (RoleStateMachine, RecordedActions) {
    let (mut machine, mut actions) = (
        RoleStateMachine::new(0, 7, 3, INTERVAL, 0),
        RecordedActions::default(),
    );
    machine.peer_connected(0, &mut actions, 9, false, 0);
    machine.tick(0, &mut actions);
    machine.vrrp_became_active(10, &mut actions);
    reply_to_all(&mut machine, &mut actions, voters, 10);
    assert_eq!(machine.state(), Role::Solo);
    machine.snapshot_acknowledged(20, &mut actions);
    machine.replication_caught_up(&mut actions);
    reply_to_all(&mut machine, &mut actions, voters, 20);
    assert_eq!(
        (machine.state(), machine.granted.synced_incarnations),
        (Role::Replicating, [7, 9])
    );
    actions.calls.clear();
    (machine, actions)
}

#[test]
fn an_active_member_that_lost_its_peer_waits_for_the_voters() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    machine.peer_disconnected(100, &mut actions);
    assert_eq!((machine.state(), actions.calls.len()), (Role::PeerLost, 0));
    reply_to_all(&mut machine, &mut actions, &mut voters, 110);
    assert_eq!(
        (machine.state(), machine.granted.synced_incarnations),
        (Role::Solo, [7, 0])
    );
    assert!(actions
        .calls
        .contains(&"replication wait false".to_string()));
}

#[test]
fn a_member_without_peer_and_majority_restarts() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    machine.peer_disconnected(100, &mut actions);
    for now in (200..30_000).step_by(250) {
        for sent in std::mem::take(&mut actions.requests.0) {
            machine.vote_missing(now, &mut actions, sent.voter, sent.reply_to());
        }
        machine.tick(now, &mut actions);
    }
    assert_eq!(machine.state(), Role::Stopped);
    assert_eq!(
        actions
            .calls
            .iter()
            .filter(|s| s.starts_with("restart"))
            .count(),
        1
    );
    assert!(!actions
        .calls
        .contains(&"replication wait false".to_string()));
}

#[test]
fn a_superseded_member_restarts() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    let other_leadership = Leadership {
        epoch: 99 << 24,
        member: 1,
        synced_incarnations: [0, 9],
        fencing_floor: 99 << 24,
    };
    voters
        .iter_mut()
        .for_each(|voter| assert!(voter.accept(other_leadership)));
    machine.epoch_rejected(&mut actions);
    reply_to_all(&mut machine, &mut actions, &mut voters, 200);
    assert_eq!(machine.state(), Role::Stopped);
}

#[test]
fn a_peer_takes_over_after_a_step_down_and_what_is_in_flight_drains() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    machine.step_down_requested(100, &mut actions);
    assert_eq!(
        (machine.state(), actions.calls.join(", ")),
        (
            Role::Draining,
            "stop accepting, confirm step-down".to_string()
        )
    );
    let (mut peer, mut peer_actions) = (
        RoleStateMachine::new(1, 9, 3, INTERVAL, 0),
        RecordedActions::default(),
    );
    peer.peer_connected(100, &mut peer_actions, 7, true, machine.epoch());
    peer.peer_heartbeat(100, &mut peer_actions, true, true, machine.epoch());
    peer.tick(100, &mut peer_actions);
    peer.vrrp_became_active(110, &mut peer_actions);
    assert_eq!(
        (peer.state(), peer_actions.calls.join(", ")),
        (
            Role::RequestingStepDown,
            "vrrp true, request step-down".to_string()
        )
    );
    peer.peer_stepped_down(120, &mut peer_actions);
    reply_to_all(&mut peer, &mut peer_actions, &mut voters, 130);
    assert_eq!(
        (peer.state(), peer.granted.synced_incarnations),
        (Role::Replicating, [7, 9])
    );
    // The calls of the draining member are not fenced.
    assert!(peer.granted.fencing_floor < peer.granted.epoch);
    assert!(peer_actions
        .calls
        .iter()
        .any(|s| s.ends_with("take over false lost state false")));
    machine.drained(200, &mut actions);
    assert_eq!(machine.state(), Role::Standby);
}

#[test]
fn a_shutdown_that_nobody_takes_over_ends_alone_after_a_timeout() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    assert!(machine.shutdown_requested(100, &mut actions));
    assert!(!machine.exits_without_peer(10_100));
    assert!(machine.exits_without_peer(10_101));
}

#[test]
fn a_draining_member_serves_again_when_nobody_took_over() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut machine, mut actions) = replicating(&mut voters);
    machine.step_down_requested(100, &mut actions);
    machine.peer_disconnected(200, &mut actions);
    machine.vrrp_became_active(300, &mut actions);
    machine.tick(300, &mut actions);
    reply_to_all(&mut machine, &mut actions, &mut voters, 310);
    assert_eq!(machine.state(), Role::Solo);
}

#[test]
fn a_standby_that_is_not_counted_as_synchronised_is_no_candidate() {
    let (mut machine, mut actions) = (
        RoleStateMachine::new(1, 9, 3, INTERVAL, 0),
        RecordedActions::default(),
    );
    machine.peer_connected(0, &mut actions, 7, true, 4 << 24);
    machine.tick(100, &mut actions);
    assert!(actions.calls.is_empty());
    machine.peer_heartbeat(200, &mut actions, true, true, 4 << 24);
    machine.tick(300, &mut actions);
    assert_eq!(actions.calls, ["vrrp true"]);
}

#[test]
fn an_ineligible_member_is_no_candidate() {
    let (mut machine, mut actions) = (
        RoleStateMachine::new(1, 9, 3, INTERVAL, 0),
        RecordedActions::default(),
    );
    machine.set_ineligible(true);
    machine.peer_connected(0, &mut actions, 7, false, 0);
    (0..100).for_each(|i| machine.tick(i * 250, &mut actions));
    assert!(actions.calls.is_empty());
}

#[test]
fn a_refused_takeover_is_retried_with_growing_hold_offs() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let other_leadership = Leadership {
        epoch: 9 << 24,
        member: 0,
        synced_incarnations: [7, 0],
        fencing_floor: 9 << 24,
    };
    voters
        .iter_mut()
        .for_each(|voter| assert!(voter.accept(other_leadership)));
    let (mut machine, mut actions) = (
        RoleStateMachine::new(1, 9, 3, INTERVAL, 0),
        RecordedActions::default(),
    );
    let mut attempts = Vec::new();
    for now in (0..200_000).step_by(250) {
        machine.tick(now, &mut actions);
        if actions.calls.last().is_some_and(|s| s == "vrrp true") {
            actions.calls.clear();
            attempts.push(now);
            machine.vrrp_became_active(now, &mut actions);
            reply_to_all(&mut machine, &mut actions, &mut voters, now);
        }
    }
    let gaps: Vec<u64> = attempts.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(gaps[..4], [5_000, 10_000, 20_000, 40_000]);
    assert_eq!(machine.state(), Role::Standby);
}
