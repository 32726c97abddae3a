//! What hosts may read of the open plays and the settings, for their records. Nothing here changes the dispatcher.

use crate::Dispatcher;
use pulleystair::{Play, Settings};
use std::collections::{BTreeMap, BTreeSet};

impl Dispatcher {
    /// Whether the settings name this product. A play of any other product must not be added.
    pub fn has_product(&self, product: usize) -> bool {
        self.policy.has_product(product)
    }

    /// The open play with this id, for the host's records.
    pub fn play(&self, play_id: u64) -> Option<&Play> {
        self.by_id.get(&play_id).map(|play_index| &self.plays[*play_index])
    }

    /// Number of open plays: waiting, set up or playing.
    pub fn play_count(&self) -> usize {
        self.by_id.len()
    }

    /// Number of set-ups and running plays on a server, for the host's records.
    pub fn play_count_at(&self, server_id: u32) -> usize {
        let Some(&server_index) = self.servers.by_id.get(&server_id) else { return 0 };
        self.by_id.values().filter(|play_index| self.plays[**play_index].server == Some(server_index)).count()
    }

    /// Numbers of set-ups in flight and of running plays, by server and product.
    pub fn play_counts(&self) -> BTreeMap<(u32, usize), (u32, u32)> {
        let mut counts: BTreeMap<(u32, usize), (u32, u32)> = BTreeMap::new();
        for play in self.by_id.values().map(|play_index| &self.plays[*play_index]) {
            let Some(server_index) = play.server else { continue };
            let count = counts.entry((self.servers.ids[server_index], play.product)).or_default();
            if play.playing { count.1 += 1 } else { count.0 += 1 }
        }
        counts
    }

    /// The servers in whose queues plays wait.
    pub fn awaited_servers(&self) -> BTreeSet<u32> {
        self.waiting
            .iter()
            .filter_map(|play_index| Some(self.servers.ids[self.plays[*play_index].waiting_for?]))
            .collect()
    }

    /// All settings, with the defaults in effect filled in as [`Policy::active_settings`] describes.
    pub fn active_settings(&self) -> Settings {
        self.policy.active_settings()
    }
}
