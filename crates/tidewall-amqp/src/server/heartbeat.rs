//! What is due by the clock.
use super::*;

impl Server {
    /// Heartbeats both ways, handshakes that take too long, closes that are not answered, messages that expire.
    pub fn tick<O: Outside>(&mut self, o: &mut O) {
        let now = self.now;
        let all: Vec<usize> = self.peers.iter().map(|p| p.0).collect();
        for conn in all {
            let p = &self.peers[conn];
            let running = matches!(p.state, State::Running);
            let slow = !running && now > p.came + self.limits.handshake;
            // 4.2.7: a peer that was silent for two intervals is gone.
            if slow || running && p.heartbeat > 0 && now > p.read + 2 * p.heartbeat {
                o.close(p.link);
                self.gone(conn);
            } else if running && p.heartbeat > 0 && now >= p.wrote + p.heartbeat / 2 {
                self.out.clear();
                codec::heartbeat(&mut self.out);
                self.write(o, conn);
            }
        }
        for vhost in 0..self.brokers.len() {
            let queues: Vec<usize> = self.brokers[vhost].queues.iter().map(|q| q.0).collect();
            queues
                .into_iter()
                .for_each(|queue| self.expire(o, vhost, queue));
        }
        self.settle(o);
    }
}
