//! Frames and channel methods (class channel).
use super::*;

impl Server {
    pub(super) fn frame<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        frame: &codec::RawFrame,
    ) -> Done {
        let p = &mut self.peers[conn];
        if p.state == State::Closing {
            // Only close-ok is still heard (and a close that crossed ours).
            if frame.kind == codec::METHOD
                && matches!(frame.payload, [0, 10, 0, 51, ..] | [0, 10, 0, 50, ..])
            {
                o.close(p.link);
                self.gone(conn);
            }
            return Ok(());
        }
        match frame.kind {
            codec::HEARTBEAT if frame.channel > 0 => Err(Fault::new(
                code::FRAME_ERROR,
                "heartbeats come on channel 0",
            )),
            codec::HEARTBEAT => Ok(()),
            codec::METHOD => {
                let mut args = Args::new(frame.payload);
                let (class, method) = (args.short()?, args.short()?);
                let done = self.method(o, conn, frame.channel, (class, method), &mut args);
                done.map_err(|f| Fault { class, method, ..f })
            }
            codec::HEADER => self.header(o, conn, frame.channel, frame.payload),
            _ => self.body(o, conn, frame.channel, frame.payload),
        }
    }

    pub(super) fn method<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        channel: u16,
        (class, method): (u16, u16),
        a: &mut Args,
    ) -> Done {
        let p = &mut self.peers[conn];
        if class == 10 {
            if channel > 0 {
                return Err(Fault::new(
                    code::COMMAND_INVALID,
                    "connection methods come on channel 0",
                ));
            }
            return self.connection(o, conn, method, a);
        }
        if p.state != State::Running {
            return Err(Fault::new(
                code::COMMAND_INVALID,
                "the connection is not open",
            ));
        }
        if channel == 0 || channel > p.channel_max {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {channel} is not to be had"),
            ));
        }
        if class == 20 && method == 10 {
            if p.channels.contains_key(&channel) {
                return Err(Fault::new(
                    code::CHANNEL_ERROR,
                    format!("channel {channel} is open already"),
                ));
            }
            self.counts += 1;
            p.channels.insert(
                channel,
                Channel {
                    count: self.counts,
                    ..Channel::default()
                },
            );
            self.say(o, conn, (channel, 20, 11), |m| m.long_str(b""));
            return Ok(());
        }
        let Some(c) = p.channels.get_mut(&channel) else {
            return Err(Fault::new(
                code::CHANNEL_ERROR,
                format!("channel {channel} is not open"),
            ));
        };
        if c.closing {
            // 1.4.2.5 (channel.close): everything but close-ok is dropped until then.
            if class == 20 && matches!(method, 40 | 41) {
                if method == 40 {
                    self.say(o, conn, (channel, 20, 41), |m| m);
                }
                self.peers[conn].channels.remove(&channel);
            }
            return Ok(());
        }
        if c.content.is_some() {
            return Err(Fault::new(
                code::UNEXPECTED_FRAME,
                "a method came within a content",
            ));
        }
        match (class, method) {
            (20, 20) => {
                let on = a.bit()?;
                c.flow_off = !on;
                self.say(o, conn, (channel, 20, 21), |m| m.bit(on));
                self.stir_channel(conn, channel);
                Ok(())
            }
            (20, 21) => Ok(()),
            (20, 40) => {
                self.end_channel(conn, channel);
                self.flush_confirms(o);
                self.peers[conn].channels.remove(&channel);
                self.say(o, conn, (channel, 20, 41), |m| m);
                Ok(())
            }
            (20, 41) => Ok(()),
            (40, _) => self.exchange(o, conn, channel, method, a),
            (50, _) => self.queue(o, conn, channel, method, a),
            (60, _) => self.basic(o, conn, channel, method, a),
            (85, 10) => {
                let no_wait = a.bit()?;
                c.confirm = true;
                if !no_wait {
                    self.say(o, conn, (channel, 85, 11), |m| m);
                }
                Ok(())
            }
            (90, _) => Err(Fault::new(
                code::NOT_IMPLEMENTED,
                "transactions are not served",
            )),
            _ => Err(Fault::new(code::COMMAND_INVALID, "the method is unknown")),
        }
    }

    /// Consumers of this channel may take more now.
    pub(super) fn stir_channel(&mut self, conn: usize, ch: u16) {
        let Some(p) = self.peers.get(conn) else {
            return;
        };
        let Some(c) = p.channels.get(&ch) else { return };
        let queues = c.consumers.values().map(|q| (p.vhost, q.0));
        self.stirred.extend(queues);
    }

    /// A channel ends: its consumers go, what was not acked goes back.
    pub(super) fn end_channel(&mut self, conn: usize, ch: u16) {
        let vhost = self.peers[conn].vhost;
        let Some(c) = self.peers[conn].channels.get_mut(&ch) else {
            return;
        };
        let (consumers, unacked) = (
            std::mem::take(&mut c.consumers),
            std::mem::take(&mut c.unacked),
        );
        c.reply_consumer = None;
        c.content = None;
        for (tag, (queue, _)) in consumers {
            if self.brokers[vhost].cancel(queue, conn, ch, &tag) {
                self.brokers[vhost].delete_queue(queue);
            }
        }
        unacked
            .into_iter()
            .rev()
            .for_each(|u| self.put_back(vhost, u));
    }

    pub(super) fn end_channels(&mut self, conn: usize) {
        let channels: Vec<u16> = self.peers[conn].channels.keys().copied().collect();
        channels
            .into_iter()
            .for_each(|ch| self.end_channel(conn, ch));
        self.peers[conn].channels.clear();
        let vhost = self.peers[conn].vhost;
        let own: Vec<usize> = {
            let queues = self.brokers[vhost].queues.iter();
            queues
                .filter(|q| q.1.exclusive == Some(conn))
                .map(|q| q.0)
                .collect()
        };
        for queue in own {
            self.brokers[vhost].delete_queue(queue);
        }
    }
}
