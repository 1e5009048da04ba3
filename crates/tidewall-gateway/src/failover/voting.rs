//! Votes of the workers, and fencing of attempts made under older epochs.
use super::*;

impl<N: Net> Acting<'_, N> {
    pub(super) fn ask(
        &mut self,
        voter: Option<usize>,
        wk: Option<usize>,
        ballot: u64,
        accepting: bool,
    ) {
        let host = &mut self.gw.context.scheduler.host;
        let within = host.net.now() + SILENT * Time::from(self.parts.at.interval) * CENTISECOND;
        match (wk.filter(|wk| host.has_address(*wk)), voter) {
            (Some(wk), _) => {
                let key = host.start_call(
                    CallKind::Vote {
                        voter,
                        ballot,
                        accepting,
                    },
                    wk,
                    0,
                    within,
                );
                host.assign_connection(key);
            }
            (None, Some(voter)) => self
                .copy()
                .missing_votes
                .push_back((voter, (ballot, accepting))),
            _ => {}
        }
    }

    pub(super) fn voter(&self, voter: usize) -> Option<usize> {
        self.gw
            .context
            .scheduler
            .host
            .worker_names
            .get(&self.parts.at.voters[voter])
    }

    /// All workers hear who serves, not only the voters.
    pub(super) fn spread(&mut self, claim: Leadership) {
        self.copy().leadership = claim;
        let all = self.gw.context.scheduler.host.workers.len();
        self.parts.fenced.resize(all, false);
        for wk in 0..all {
            if !self.parts.fenced[wk] {
                self.ask(None, Some(wk), claim.epoch, true);
            }
        }
    }
}

impl<N: Net> ProposerTransport<Leadership> for Acting<'_, N> {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        let wk = self.voter(voter);
        self.ask(Some(voter), wk, ballot, false);
    }

    fn accept(&mut self, voter: usize, claim: Leadership) {
        self.copy().leadership = claim;
        let wk = self.voter(voter);
        self.ask(Some(voter), wk, claim.epoch, true);
    }
}

impl<N: Net> Gateway<N> {
    /// Whether nothing of former lives is out at any worker.
    pub(super) fn update_fencing_complete(&mut self, parts: &Parts) {
        let host = &mut self.context.scheduler.host;
        let fenced = |wk: usize| parts.fenced.get(wk).copied().unwrap_or(false);
        let mut wks = host.workers.iter().enumerate();
        let all = wks.all(|(wk, w)| w.state() == EndpointState::Removed || fenced(wk));
        if let Some(copy) = &mut host.replicator {
            copy.all_workers_fenced = all;
        }
    }

    pub(crate) fn vote_missing(&mut self, voter: Option<usize>, of: (u64, bool)) {
        if let (Some(voter), Some(copy)) = (voter, &mut self.context.scheduler.host.replicator) {
            copy.missing_votes.push_back((voter, of));
        }
    }

    pub(crate) fn epoch_rejected(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            copy.epoch_rejected = true;
        }
    }

    pub(crate) fn vote_received(
        &mut self,
        link: usize,
        wk: usize,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        let host = &mut self.context.scheduler.host;
        let Some(key) = host.call_key(CallName::CallId(fields.whole(Field::Id)?), link)? else {
            return Ok(());
        };
        let CallKind::Vote {
            voter,
            ballot,
            accepting,
        } = host.calls[key].kind
        else {
            return Ok(());
        };
        let over = host.calls[key].ended;
        let good = fields.flag(Field::On)?;
        let whole = |field| fields.upto(field, u64::MAX, 0);
        let accepted = Leadership {
            epoch: whole(Field::Epoch)?,
            member: fields.upto(Field::Member, 2, 1)?.max(1) as usize - 1,
            synced_incarnations: [whole(Field::SyncA)?, whole(Field::SyncB)?],
            fencing_floor: whole(Field::Floor)?,
        };
        let promise = LeadershipAcceptor {
            promised: whole(Field::Ballot)?,
            accepted,
        };
        host.remove_call(key);
        self.with_role(|seat, now, act| {
            if let Some(voter) = voter.filter(|_| !over) {
                seat.vote_received(now, act, voter, (ballot, accepting), good, promise);
            }
            if accepting
                && good
                && accepted.epoch >= seat.epoch()
                && accepted.member == act.parts.me
            {
                let parts = &mut *act.parts;
                if parts.fenced.len() <= wk {
                    parts.fenced.resize(wk + 1, false);
                }
                if !std::mem::replace(&mut parts.fenced[wk], true) && parts.adopting {
                    act.gw.take_over_requests(act.parts);
                }
            }
        });
        Ok(())
    }
}
