//! The connection to the peer.
use super::*;

impl<N: Net> Gateway<N> {
    pub(crate) fn send_peer_greeting(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let Some(pair) = &self.failover else { return };
        let at = &pair.state.at;
        let f = Frame::new(&mut out, kind::HELLO).whole(Field::Version, wire::VERSION);
        let f = f
            .text(Field::Role, "pair")
            .text(Field::Name, &at.name)
            .whole(Field::Life, at.incarnation);
        let f = f
            .flag(Field::On, pair.role_machine.state().serves())
            .whole(Field::Epoch, pair.role_machine.epoch());
        f.bytes(Field::Payload, at.shared_settings.join("\n").as_bytes())
            .end();
        self.context.net().write(conn, &out);
    }

    pub(crate) fn handshake_closed(&mut self, conn: Conn) {
        if let Some(pair) = self
            .failover
            .as_mut()
            .filter(|p| p.state.dialing == Some(conn))
        {
            pair.state.dialing = None;
        }
    }

    /// The first frame of a connection to the link's listener, or of the one that we dialled.
    pub(crate) fn handshake_frame_received(
        &mut self,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        match wire::greeted(fields)? {
            "status" => {
                self.send_status(conn);
                return Ok(());
            }
            "pair" => {}
            other => {
                return Err(
                    WireError::invalid(Field::Role, format!("{other} is not heard here")).into(),
                )
            }
        }
        let (name, life) = (fields.text(Field::Name)?, fields.whole(Field::Life)?);
        let (serves, epoch) = (
            fields.flag(Field::On)?,
            fields.upto(Field::Epoch, u64::MAX, 0)?,
        );
        let Some(pair) = &mut self.failover else {
            return Err(WireError::invalid(Field::Role, "no pair here").into());
        };
        if name != pair.state.at.peer_name {
            return Err(
                WireError::invalid(Field::Name, format!("{name} is not the other member")).into(),
            );
        }
        let theirs = String::from_utf8_lossy(fields.bytes(Field::Payload)?).into_owned();
        let differs = disagree(&pair.state.at.shared_settings, &theirs);
        if pair.state.dialing.take().is_none() {
            // They dialled: they hear who we are.
            self.send_peer_greeting(conn);
        }
        if let Some(old) = self
            .context
            .scheduler
            .host
            .replicator
            .as_ref()
            .and_then(|c| c.conn)
        {
            self.context.net().reset(old);
            self.set_owner(old, Owner::Nobody);
            self.peer_connection_closed();
        }
        let now = self.context.net().now();
        self.set_owner(conn, Owner::Peer);
        if let Some(pair) = &mut self.failover {
            (pair.state.got, pair.state.recorded, pair.state.heard) = (0, 0, now);
            // The lower priority keeps off, or the later name.
            let bar = differs.is_some() && pair.state.me == 1;
            if let Some(line) = &differs {
                warn!(
                    setting = line,
                    refuses = bar,
                    "settings disagree with the other member's"
                );
            }
            pair.state.disagrees = differs;
            pair.role_machine.set_barred(bar);
        }
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.conn, copy.sent_on_connection) = (Some(conn), 0);
        }
        info!(name, life, serves, "the other member is there");
        self.with_role(|seat, now, act| seat.peer_connected(now, act, life, serves, epoch));
        Ok(())
    }

    pub(crate) fn peer_connection_closed(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.conn, copy.streaming, copy.connection_overflowed) = (None, false, false);
        }
        if let Some(pair) = &mut self.failover {
            pair.state.cursor = SnapshotCursor::Off;
        }
        warn!("the link to the other member is gone");
        self.with_role(|seat, now, act| seat.peer_disconnected(now, act));
    }

    /// Tells the other member how much of what came is recorded.
    pub(crate) fn acknowledge_records(&mut self) {
        let Some(pair) = &mut self.failover else {
            return;
        };
        let parts = &mut pair.state;
        if parts.got > parts.recorded {
            parts.recorded = parts.got;
            let (host, got) = (&mut self.context.scheduler.host, parts.got);
            if let Some(copy) = &mut host.replicator {
                copy.send_control(&mut host.net, kind::RECORDED, |f| {
                    f.whole(Field::Seq, got).end()
                });
            }
        }
    }

    pub(crate) fn peer_frame_received(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let now = self.context.net().now();
        let Some(pair) = &mut self.failover else {
            return Ok(());
        };
        pair.state.heard = now;
        match fields.kind()? {
            kind::PING => {
                let counted = fields.upto(Field::SyncA, u64::MAX, 0)?;
                let (serves, counts) = (
                    fields.flag(Field::On)?,
                    counted == pair.state.at.incarnation,
                );
                let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                self.with_role(|seat, now, act| {
                    seat.peer_heartbeat(now, act, serves, counts, epoch)
                });
            }
            kind::RECORDED => {
                let seq = fields.whole(Field::Seq)?;
                let copy = self
                    .context
                    .scheduler
                    .host
                    .replicator
                    .as_mut()
                    .expect("a pair copies");
                if copy.sequence_base + seq > copy.last_sequence {
                    return Err(
                        WireError::invalid(Field::Seq, format!("{seq} was never told")).into(),
                    );
                }
                copy.acknowledged_sequence =
                    copy.acknowledged_sequence.max(copy.sequence_base + seq);
                self.with_role(|seat, now, act| {
                    act.gw.send_pending_snapshot(act.parts);
                    let acked = act.copy().acknowledged_sequence;
                    if let SnapshotCursor::Finished(all) = act.parts.cursor {
                        if acked >= all {
                            act.parts.cursor = SnapshotCursor::Off;
                            seat.snapshot_acknowledged(now, act);
                        }
                    }
                    if seat.state() == Role::Synchronizing && acked >= act.parts.began {
                        seat.replication_caught_up(act);
                    }
                });
            }
            kind::YIELD => self.with_role(|seat, now, act| seat.step_down_requested(now, act)),
            kind::YIELDED => self.with_role(|seat, now, act| seat.peer_stepped_down(now, act)),
            _ => {
                pair.state.got += 1;
                return self.apply_record(fields);
            }
        }
        Ok(())
    }
}

/// The first setting that the other member has otherwise.
fn disagree(ours: &[String], theirs: &str) -> Option<String> {
    let mut theirs: Vec<&str> = theirs.lines().collect();
    theirs.sort_unstable();
    let mut mine: Vec<&str> = ours.iter().map(String::as_str).collect();
    mine.sort_unstable();
    let only = |a: &[&str], b: &[&str]| {
        a.iter()
            .find(|l| b.binary_search(l).is_err())
            .map(|l| l.to_string())
    };
    only(&mine, &theirs).or_else(|| only(&theirs, &mine))
}
