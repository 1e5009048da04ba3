//! Exceptions: the end of a channel or connection by an error.
use super::*;

impl Server {
    /// Ends a channel or a connection with the exception's own words.
    pub(super) fn exception<O: Outside>(
        &mut self,
        o: &mut O,
        conn: usize,
        channel: u16,
        fault: Fault,
    ) {
        self.exceptions += 1;
        self.last_exception = format!(
            "{} {} (class {}, method {})",
            fault.code, fault.text, fault.class, fault.method
        );
        let Some(p) = self.peers.get_mut(conn) else {
            return;
        };
        let write = |m: Out<'_>| -> () {
            m.short(fault.code)
                .short_str(&fault.text)
                .short(fault.class)
                .short(fault.method)
                .end();
        };
        self.out.clear();
        if fault.soft()
            && channel > 0
            && p.state == State::Running
            && p.channels.contains_key(&channel)
        {
            write(Out::method(&mut self.out, channel, 20, 40));
            self.write(o, conn);
            self.end_channel(conn, channel);
            if let Some(c) = self.peers[conn].channels.get_mut(&channel) {
                *c = Channel {
                    count: c.count,
                    closing: true,
                    ..Channel::default()
                };
            }
            return;
        }
        if p.state == State::Closing {
            return;
        }
        if p.state as u8 <= State::Start as u8 && fault.code == code::FRAME_ERROR {
            // Before the connection is there the specification knows no close.
            o.close(p.link);
            return self.gone(conn);
        }
        write(Out::method(&mut self.out, 0, 10, 50));
        self.write(o, conn);
        self.end_channels(conn);
        let p = &mut self.peers[conn];
        p.state = State::Closing;
        p.came = self.now;
    }
}
