//! The parts of a scenario: its fake servers, its server list and its fronts. Fronts are configured but not yet
//! started.

use crate::environment::{Environment, Title, titles};
use crate::fronts::{Fronts, Program};
use crate::scenario::Scenario;
use anyhow::{Context, Result};
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_fake_servers::server::{self, FakeServers};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// The parts of a scenario, ready to run.
pub struct Testbed {
    pub scenario: Arc<Scenario>,
    pub titles: Arc<Vec<Title>>,
    /// The fake media servers.
    pub servers: FakeServers,
    pub fronts: Fronts,
    /// The server list and the injection of faults.
    pub environment: Environment,
    /// The log of observations.
    pub recorder: Recorder,
}

impl Testbed {
    /// Starts the servers, and writes the server list, keys and configurations of the fronts to the folder.
    pub async fn build(scenario: Scenario, program: Program, folder: &Path) -> Result<Testbed> {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("failed to create the folder {}", folder.display()))?;
        let (scenario, recorder) = (Arc::new(scenario), Recorder::default());
        let titles = Arc::new(titles(&scenario));
        let server_titles = titles.iter().map(|t| {
            let product = &scenario.products[t.product];
            let title = server::Title { live: product.live, segment_ms: t.segment_ms, scale: product.scale };
            (t.name.clone(), title)
        });
        let products = scenario.products.iter().map(|p| p.name.clone()).collect();
        let servers = FakeServers::start(
            scenario.server_fleet_spec(),
            scenario.server_specs(),
            server_titles.collect(),
            products,
            scenario.seed,
            recorder.clone(),
        )
        .await?;
        let fronts = Fronts::new(&scenario, program, folder, recorder.clone())?;
        if let Some(authority) = &fronts.authority {
            for server in 0..scenario.fleet.servers {
                let certificate = authority.issue_long_lived(&format!("m{server}"));
                servers.set_tls(server, Some(authority.acceptor(&certificate, Some(authority))?));
            }
        }
        let list_file = folder.join("list.json");
        let environment = Environment::new(
            scenario.clone(),
            titles.clone(),
            servers.clone(),
            fronts.clone(),
            recorder.clone(),
            list_file,
        )?;
        Ok(Testbed { scenario, titles, servers, fronts, environment, recorder })
    }

    /// Starts all fronts and returns their listening addresses.
    pub async fn start(&self) -> Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for front in 0..self.scenario.fronts {
            addresses.push(self.fronts.start(front).await?);
        }
        Ok(addresses)
    }
}
