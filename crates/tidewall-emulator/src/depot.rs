//! The emulated artifact store: concurrent fetches share its capacity, fetches beyond a limit are refused,
//! and a fault can stall or slow it.
use crate::{of, Ground};
use slab::Slab;
use std::net::SocketAddr;
use tidewall_config::Section;
use tidewall_net::{Conn, Listener, Net, Time};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};

pub struct Depot {
    pub listener: Listener,
    pub at: SocketAddr,
    capacity: usize,
    most: usize,
    fetches: Slab<(Conn, u64)>,
    /// No fetch completes before this time.
    pub stalled: Time,
    /// Factor by which fetches take longer.
    pub slow: f64,
}

impl Depot {
    pub fn new<N: Net>(g: &mut Ground<N>, settings: &Section) -> Result<Depot, String> {
        let at: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (listener, at) = g.net.listen(at).map_err(|e| format!("{at}: depot: {e}"))?;
        Ok(Depot {
            listener,
            at,
            capacity: settings.integer("capacity") as usize,
            most: settings.integer("most") as usize,
            fetches: Slab::new(),
            stalled: 0,
            slow: 1.0,
        })
    }

    pub fn frame<N: Net>(
        &mut self,
        g: &mut Ground<N>,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), String> {
        if fields.kind()? == kind::HELLO {
            wire::greeted(fields)?;
            return Ok(());
        }
        let (id, hint) = (
            fields.whole(Field::Id)?,
            fields.upto(Field::LoadHint, 1 << 32, 0)?,
        );
        fields.text(Field::Function)?;
        if self.fetches.len() >= self.most {
            self.answer(g, conn, id, "full");
            return Ok(());
        }
        let key = self.fetches.insert((conn, id));
        // A fetch slows down with the fetches in progress when it starts. Later ones don't change its
        // duration.
        let crowd = (self.fetches.len() as f64 / self.capacity as f64).max(1.0);
        let now = g.net.now();
        let at = now.max(self.stalled) + (hint as f64 * crowd * self.slow) as Time;
        g.net.set_timer(at, of::FETCHED | key as u64);
        Ok(())
    }

    pub fn done<N: Net>(&mut self, g: &mut Ground<N>, key: usize) {
        if g.net.now() < self.stalled {
            g.net.set_timer(self.stalled, of::FETCHED | key as u64);
            return;
        }
        let (conn, id) = self.fetches.remove(key);
        self.answer(g, conn, id, "ok");
    }

    fn answer<N: Net>(&self, g: &mut Ground<N>, conn: Conn, id: u64, outcome: &str) {
        g.out.clear();
        Frame::new(&mut g.out, kind::FETCHED)
            .whole(Field::Id, id)
            .text(Field::Outcome, outcome)
            .end();
        g.net.write(conn, &g.out);
    }
}
