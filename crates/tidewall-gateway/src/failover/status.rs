//! What `tidewall status` asks for.
use super::*;

impl<N: Net> Gateway<N> {
    /// What `tidewall status` asks for.
    pub(super) fn send_status(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let host = &self.context.scheduler.host;
        let (Some(pair), Some(copy)) = (&self.failover, &host.replicator) else {
            return;
        };
        let f = Frame::new(&mut out, kind::STATUS).text(Field::Name, &pair.state.at.name);
        let f = f
            .text(Field::Word, pair.role_machine.state().text())
            .whole(Field::Epoch, pair.role_machine.epoch());
        let f = f
            .flag(Field::On, copy.conn.is_some())
            .whole(Field::Life, pair.state.at.incarnation);
        let f = f
            .whole(Field::InFlight, host.in_flight as u64)
            .whole(Field::Waiting, copy.waiting_count() as u64);
        let kept = pair.state.theirs.iter().flatten().count() as u64;
        let f = f
            .whole(Field::Copies, kept)
            .whole(Field::Seq, copy.last_sequence - copy.acknowledged_sequence);
        let f = f.whole(Field::Ballot, pair.state.bad);
        f.text(Field::Reason, pair.state.disagrees.as_deref().unwrap_or(""))
            .end();
        self.context.net().write(conn, &out);
    }
}
