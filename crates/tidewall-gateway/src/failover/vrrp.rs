//! VRRP on behalf of the gateway: datagrams, its timer, and its verdict on who wants to serve.
use super::*;

/// VRRP's acting: datagrams, one timer, and a word when the addresses come or go.
pub(super) struct Vrrp<'a, N: Net> {
    net: &'a mut N,
    at: &'a FailoverConfig,
    keys: &'a Keys,
    port: Option<DatagramSocket>,
    number: &'a mut u64,
    timer: &'a mut Option<TimerId>,
    wanted: &'a mut Option<bool>,
}

impl<N: Net> tidewall_vrrp::VrrpActions for Vrrp<'_, N> {
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16) {
        let Some(port) = self.port else { return };
        *self.number += 1;
        let mut out = Vec::new();
        packet::write(
            &mut out,
            (vrid, priority, interval),
            &[v4(self.at.shared_address)],
            *self.number,
            self.keys,
        );
        self.net
            .send_datagram(port, self.at.peer_vrrp_address, &out);
    }

    fn set_timer(&mut self, _vrid: u8, wait: Time) {
        if let Some(d) = self.timer.take() {
            self.net.cancel_timer(d);
        }
        let at = self.net.now() + wait;
        *self.timer = Some(self.net.set_timer(at, OF_VRRP));
    }

    fn cancel_timer(&mut self, _vrid: u8) {
        if let Some(d) = self.timer.take() {
            self.net.cancel_timer(d);
        }
    }

    fn become_active(&mut self, _vrid: u8, _accept: bool) {
        *self.wanted = Some(true);
    }

    fn become_backup(&mut self, _vrid: u8) {
        *self.wanted = Some(false);
    }
}

pub(super) fn v4(at: SocketAddr) -> Ipv4Addr {
    match at.ip() {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

impl Parts {
    pub(super) fn vrrp<N: Net>(&mut self, net: &mut N, f: impl FnOnce(&mut Router, &mut Vrrp<N>)) {
        let Parts {
            at,
            router,
            keys,
            port,
            number,
            timer,
            wanted,
            ..
        } = self;
        f(
            router,
            &mut Vrrp {
                net,
                at,
                keys,
                port: *port,
                number,
                timer,
                wanted,
            },
        );
    }
}

impl<N: Net> Gateway<N> {
    pub(crate) fn vrrp_timer_fired(&mut self) {
        self.with_role(|_, _, act| {
            act.parts.timer = None;
            let net = &mut act.gw.context.scheduler.host.net;
            // What was not heard while we stood still says nothing of the other one.
            let stood =
                net.total_stall() > std::mem::replace(&mut act.parts.vrrp_stood, net.total_stall());
            act.parts.vrrp(net, |router, vrrp| {
                if stood && router.state() == tidewall_vrrp::State::Backup {
                    tidewall_vrrp::VrrpActions::set_timer(vrrp, 0, router.active_down_interval());
                } else {
                    router.timer_fired(vrrp);
                }
            });
        });
    }

    pub(crate) fn vrrp_datagram_received(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.with_role(|_, now, act| {
            let parts = &mut *act.parts;
            let shared = [v4(parts.at.shared_address)];
            // The hash does not cover who sent it: a packet that was overheard must not come from elsewhere.
            let read = match v4(from) == v4(parts.at.peer_vrrp_address) {
                true => packet::read(bytes, v4(from), &shared, &parts.keys, &mut parts.guard),
                false => Err("from: not the other member"),
            };
            match read {
                Ok((vrid, advertisement)) if vrid == parts.at.vrid => {
                    let net = &mut act.gw.context.scheduler.host.net;
                    parts.vrrp(net, |router, vrrp| {
                        router.advertisement_received(vrrp, advertisement)
                    });
                }
                Ok(_) => {}
                Err(reason) => {
                    parts.bad += 1;
                    if now >= parts.bad_told + BAD || parts.bad_told == 0 {
                        parts.bad_told = now;
                        warn!(reason, %from, so_far = parts.bad, "an advertisement is ignored");
                    }
                }
            }
        });
    }
}
