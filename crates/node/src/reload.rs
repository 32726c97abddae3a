//! The configuration file, read again on SIGHUP.

use crate::config::Config;
use crate::dns_client::DnsClient;
use crate::node::Node;
use crate::shares::{RETRY_DELAY_MS, is_resource_exhaustion};
use crate::state::Timer;
use std::net::SocketAddr;
use tracing::{info, warn};

impl Node {
    /// Reads the configuration file again and from then on queries the name service that it names. If this
    /// fails for lack of a descriptor, it is tried again: at once if a viewer's connection can be closed,
    /// otherwise after a delay.
    pub(crate) fn reload_config(&mut self, is_retry: bool) {
        let error = match self.apply_config_file() {
            Err(e) if is_out_of_resources(&e) && self.evict_viewer_connection() => {
                self.apply_config_file().err()
            }
            other => other.err(),
        };
        match error {
            Some(e) if is_out_of_resources(&e) => {
                if !is_retry {
                    warn!(target: "node", "the old configuration stays in force until there is a descriptor: {e:#}");
                }
                let retry_at = self.state.now() + RETRY_DELAY_MS;
                self.state.schedule(retry_at, Timer::ReloadConfig);
            }
            Some(e) => warn!(target: "node", "the old configuration stays in force: {e:#}"),
            None => self.query_list(),
        }
    }

    /// Checks the file, turns to the name service that it names, and applies its events if they are newer.
    fn apply_config_file(&mut self) -> anyhow::Result<()> {
        let config = Config::load(&self.state.config.path)?;
        let old = &self.state.config;
        // The file belongs to another node, and perhaps to another customer, so no part of it is applied.
        if (&config.name, config.listen) != (&old.name, old.listen) {
            let (name, listen) = (&old.name, old.listen);
            anyhow::bail!(
                "name, listen: the file is for {:?} at {}, this node is {name:?} at {listen}",
                config.name,
                config.listen
            );
        }
        if config.policy_settings != old.policy_settings {
            warn!(target: "node", "settings: they have changed; the settings from the start stay in force until a restart");
        }
        self.use_resolver(config.resolver)?;
        if self.dns_client.revision.is_none_or(|rev| config.known.revision > rev) {
            self.state.config.known = config.known;
            self.apply_initial_events();
        }
        Ok(())
    }

    /// Queries the name service at this address from now on. If that is the present one, the client is kept:
    /// responses to its queries may still be on the way.
    fn use_resolver(&mut self, resolver: SocketAddr) -> anyhow::Result<()> {
        let old_resolver = self.state.config.resolver;
        if resolver == old_resolver {
            info!(target: "names", %resolver, "name service unchanged");
            return Ok(());
        }
        let dns_client =
            DnsClient::new(&self.state, resolver, self.dns_client.revision, self.dns_client.has_response)?;
        let old_client = std::mem::replace(&mut self.dns_client, dns_client);
        self.state.loop_handle.remove(old_client.source);
        self.state.config.resolver = resolver;
        info!(target: "names", was = %old_resolver, %resolver, "name service changed");
        Ok(())
    }
}

/// Whether the error was caused by a lack of descriptors or memory.
fn is_out_of_resources(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| cause.downcast_ref().is_some_and(is_resource_exhaustion))
}
