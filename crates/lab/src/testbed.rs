//! The set of a day: its stand-in servers, its list and its fronts, built but not yet started.

use crate::environment::{Environment, Title, titles};
use crate::fronts::{Fronts, Program};
use crate::scenario::Scenario;
use anyhow::{Context, Result};
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_fake_servers::server::{self, FakeServers};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

pub struct Testbed {
    pub day: Arc<Scenario>,
    pub titles: Arc<Vec<Title>>,
    pub boxes: FakeServers,
    pub fronts: Fronts,
    pub stage: Environment,
    pub log: Recorder,
}

impl Testbed {
    /// Starts the servers, and writes list, keys and rundowns into the folder.
    pub async fn build(day: Scenario, program: Program, folder: &Path) -> Result<Testbed> {
        std::fs::create_dir_all(folder).with_context(|| format!("{} can't be made", folder.display()))?;
        let (day, log) = (Arc::new(day), Recorder::default());
        let titles = Arc::new(titles(&day));
        let known = titles.iter().map(|t| {
            let product = &day.products[t.product];
            let title = server::Title { live: product.live, segment_ms: t.segment_ms, scale: product.scale };
            (t.name.clone(), title)
        });
        let products = day.products.iter().map(|p| p.name.clone()).collect();
        let boxes =
            FakeServers::start(day.ground(), day.builds(), known.collect(), products, day.seed, log.clone())
                .await?;
        let fronts = Fronts::new(&day, program, folder, log.clone())?;
        if let Some(authority) = &fronts.authority {
            for server in 0..day.fleet.servers {
                let paper = authority.issue_long_lived(&format!("m{server}"));
                boxes.set_tls(server, Some(authority.acceptor(&paper, Some(authority))?));
            }
        }
        let list = folder.join("list.json");
        let stage =
            Environment::new(day.clone(), titles.clone(), boxes.clone(), fronts.clone(), log.clone(), list)?;
        Ok(Testbed { day, titles, boxes, fronts, stage, log })
    }

    /// Starts all fronts; where each listens.
    pub async fn start(&self) -> Result<Vec<SocketAddr>> {
        let mut at = Vec::new();
        for front in 0..self.day.fronts {
            at.push(self.fronts.start(front).await?);
        }
        Ok(at)
    }
}
