//! Publisher confirms and the final answers of triggers.
use super::*;

impl Server {
    /// Nobody is told of this trigger any more: its client has given up. Its confirm is a nack at the next settle;
    /// without one a later ack of many would speak for it.
    pub fn forget(&mut self, ticket: u64) {
        if let Some(w) = self.waiting.try_remove(ticket as usize) {
            if let Some(p) = self.peers.get_mut(w.conn).filter(|p| p.link == w.link) {
                p.debts -= 1;
            }
            if w.seq > 0 {
                self.refused
                    .push((w.conn, w.link, w.channel, w.count, w.seq));
            }
        }
    }

    /// A confirm is due; acks wait to be told together, nacks are told at once.
    #[allow(clippy::too_many_arguments)] // each says where the publish came from
    pub(super) fn confirm<O: Outside>(
        &mut self,
        conn: usize,
        link: u64,
        ch: u16,
        count: u64,
        seq: u64,
        good: bool,
        o: &mut O,
    ) {
        let Some(p) = self.peers.get_mut(conn).filter(|p| p.link == link) else {
            return;
        };
        let Some(c) = p
            .channels
            .get_mut(&ch)
            .filter(|c| c.count == count && !c.closing)
        else {
            return;
        };
        if !c.out.remove(&seq) {
            return;
        }
        if good {
            if c.done.is_empty() {
                self.confirms.push((conn, ch));
            }
            c.done.insert(seq);
        } else {
            self.say(o, conn, (ch, 60, 120), |m| {
                m.long_long(seq).bit(false).bit(false)
            });
        }
    }

    pub(super) fn flush_confirms<O: Outside>(&mut self, o: &mut O) {
        for (conn, link, ch, count, seq) in std::mem::take(&mut self.refused) {
            self.confirm(conn, link, ch, count, seq, false, o);
        }
        for (conn, ch) in std::mem::take(&mut self.confirms) {
            let Some(c) = self
                .peers
                .get_mut(conn)
                .and_then(|p| p.channels.get_mut(&ch))
            else {
                continue;
            };
            let done = std::mem::take(&mut c.done);
            // Everything below the first that is still out can be told in one.
            let first_out = c.out.first().copied().unwrap_or(u64::MAX);
            let together = done.range(..first_out).next_back().copied();
            let rest: Vec<u64> = done.range(first_out..).copied().collect();
            if let Some(last) = together {
                self.say(o, conn, (ch, 60, 80), |m| m.long_long(last).bit(true));
            }
            for seq in rest {
                self.say(o, conn, (ch, 60, 80), |m| m.long_long(seq).bit(false));
            }
        }
    }

    /// The one final answer of a trigger: a message to its reply-to, and its confirm.
    pub fn answered<O: Outside>(
        &mut self,
        o: &mut O,
        ticket: u64,
        word: Word,
        come_back: Time,
        reason: &str,
        payload: &[u8],
    ) {
        let Some(w) = self.waiting.try_remove(ticket as usize) else {
            return;
        };
        if let Some(p) = self.peers.get_mut(w.conn).filter(|p| p.link == w.link) {
            p.debts -= 1;
        }
        if !w.reply_to.is_empty() {
            let mut headers = TableOut::default();
            headers.text("x-word", word.text());
            if !reason.is_empty() {
                headers.text("x-reason", reason);
            }
            if come_back > 0 {
                headers.whole("x-come-back-ms", come_back.div_ceil(10) as i64);
            }
            let mut properties = Vec::new();
            let p = Properties {
                headers: Some(codec::Table(&headers.0)),
                correlation_id: &w.correlation_id,
                typ: word.text(),
                ..Properties::default()
            };
            codec::write_properties(&mut properties, &p);
            let message = Message {
                exchange: "".into(),
                key: w.reply_to.as_str().into(),
                properties: properties.into(),
                body: payload.into(),
                priority: 0,
                expires: None,
                redelivered: false,
            };
            let told = if w.reply_to.starts_with(DIRECT) {
                self.direct(o, &w.reply_to, &message)
            } else {
                self.publish(w.vhost, "", message) > 0
            };
            self.unroutable += u64::from(!told);
        }
        if word == Word::DeadLettered && !self.limits.dead_letters.is_empty() {
            let exchange = self.limits.dead_letters.clone();
            let message = died(&w.message, &w.message.exchange.clone(), "maxlen", self.now);
            let message = Message {
                expires: None,
                ..message
            };
            self.publish(w.vhost, &exchange, message);
        }
        // What tells deferred and dead-lettered apart beside the nack.
        let there = self.peers.get(w.conn).is_some_and(|p| {
            p.link == w.link
                && p.channels
                    .get(&w.channel)
                    .is_some_and(|c| c.count == w.count && !c.closing)
        });
        if there && w.seq > 0 && word != Word::Handled {
            let text = match (word, come_back) {
                (Word::Deferred, 0) => format!("deferred {reason}"),
                (Word::Deferred, t) => format!("deferred come-back-ms={} {reason}", t.div_ceil(10)),
                _ => format!("{} {reason}", word.text()),
            };
            let dead = word == Word::DeadLettered;
            let code = if dead {
                code::INTERNAL_ERROR
            } else {
                code::RESOURCE_ERROR
            };
            self.give_back(o, w.conn, w.channel, (code, text.trim_end()), &w.message);
        }
        if w.seq > 0 {
            self.confirm(
                w.conn,
                w.link,
                w.channel,
                w.count,
                w.seq,
                word == Word::Handled,
                o,
            );
        }
    }
}
