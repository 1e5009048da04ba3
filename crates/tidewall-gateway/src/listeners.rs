//! The ingresses' listeners.
use crate::error::StartError;
use crate::ingress::Ingress;
use crate::Gateway;
use std::io;
use std::net::SocketAddr;
use tidewall_net::{Listener, Net};
use tracing::info;

impl<N: Net> Gateway<N> {
    /// Adds an ingress, starts listening for it and returns the address that it listens on. A member of a
    /// failover pair starts listening when it begins to serve.
    ///
    /// # Errors
    /// If listening on the address fails; the error names the address.
    pub fn add_ingress(
        &mut self,
        address: SocketAddr,
        ingress: Box<dyn Ingress<N>>,
    ) -> Result<SocketAddr, StartError> {
        self.context
            .scheduler
            .host
            .ingress_accepts_late
            .push(ingress.accepts_late_response());
        self.ingresses.push(ingress);
        self.addresses.push(address);
        self.listeners.push(None);
        let index = self.ingresses.len() - 1;
        if self.failover.is_none() {
            self.listen(index)
                .map_err(|source| StartError::Listen { address, source })?;
        }
        self.ingresses[index].started(&mut self.context);
        Ok(self.addresses[index])
    }

    pub(crate) fn listen(&mut self, ingress: usize) -> io::Result<()> {
        let (listener, address) = self.context.net().listen(self.addresses[ingress])?;
        self.listeners[ingress] = Some(listener);
        self.addresses[ingress] = address;
        info!(gateway = self.name, %address, "listening");
        Ok(())
    }

    /// Stops listening; open connections stay open.
    pub(crate) fn stop_listening(&mut self) {
        self.closed_listeners.clear();
        for (ingress, listener) in self.listeners.iter_mut().enumerate() {
            if let Some(listener) = listener.take() {
                self.context.scheduler.host.net.stop_listening(listener);
                self.closed_listeners.push((listener, ingress));
            }
        }
    }

    /// Returns the ingress that a listener belongs to, or belonged to until it was closed.
    pub(crate) fn ingress_of(&self, listener: Listener) -> Option<usize> {
        let open = self
            .listeners
            .iter()
            .position(|known| *known == Some(listener));
        open.or_else(|| {
            self.closed_listeners
                .iter()
                .find(|(closed, _)| *closed == listener)
                .map(|(_, ingress)| *ingress)
        })
    }
}
