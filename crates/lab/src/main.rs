//! `pulleystair-lab`: runs test scenarios with real fronts and fake media servers, and checks the rules.

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use pulleystair_dash::{address, token::EntryClaims};
use pulleystair_lab::fronts::{Program, portal_keys};
use pulleystair_lab::testbed::Testbed;
use pulleystair_lab::{baseline, load, report, scenario::Scenario, scenario_run};
use pulleystair_rule_checker::history::History;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "pulleystair-lab", version, about = "Test scenarios on loopback, with the rules checked")]
struct Command {
    #[command(subcommand)]
    job: Job,
}

#[derive(Subcommand)]
enum Job {
    /// Run a scenario; the exit status is 0 if all rules were kept, 1 if one was broken
    Day {
        script: PathBuf,
        /// Seed to use instead of the script's
        #[arg(long)]
        seed: Option<u64>,
        /// Folder for reports and logs
        #[arg(long, default_value = "found/day")]
        out: PathBuf,
        /// Program to run as the front; pulleystair-edge beside this program if omitted
        #[arg(long)]
        edge: Option<PathBuf>,
        /// Run the baseline front instead, which draws holders evenly and plays the lowest rung
        #[arg(long, conflicts_with = "edge")]
        baseline: bool,
    },
    /// Measure the cost of a front: set-up time, plays per second, CPU, memory, relayed bytes
    Load {
        /// Duration of each measured rate, in seconds
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        #[arg(long, default_value = "found/load")]
        out: PathBuf,
        /// Use TLS between players, front and servers
        #[arg(long)]
        tls: bool,
        #[arg(long)]
        edge: Option<PathBuf>,
    },
    /// Run only the fake servers of a scenario, with all files that a front needs, to try it by hand
    Boxes {
        script: PathBuf,
        #[arg(long, default_value = "found/boxes")]
        out: PathBuf,
    },
    /// Run as a baseline front, as started by `day --baseline`
    #[command(hide = true)]
    Baseline {
        #[arg(value_name = "RUNDOWN")]
        config: PathBuf,
    },
}

/// The path of the front that was built with this program.
fn find_edge_binary() -> Result<PathBuf> {
    let this_program = std::env::current_exe()?;
    let edge = this_program.with_file_name("pulleystair-edge");
    edge.exists()
        .then_some(edge)
        .context("pulleystair-edge was not found beside this program; build the workspace")
}

/// Runs the fake servers until interrupted, and prints an entry URL for the first title of each product.
async fn run_fake_servers(scenario: Scenario, out: &Path) -> Result<()> {
    let testbed = Testbed::build(scenario, Program::edge(PathBuf::new()), out).await?;
    println!(
        "{} servers are running; the server list, keys and configurations are in {}",
        testbed.scenario.fleet.servers,
        out.display()
    );
    println!("start a front with: pulleystair-edge run {}", out.join("front-0.json").display());
    let scheme = if testbed.scenario.tls { "https" } else { "http" };
    println!("then request one of these URLs within an hour, with the front's address in place of FRONT:");
    for (product, product_config) in testbed.scenario.products.iter().enumerate() {
        let Some(title) = testbed.titles.iter().find(|t| t.product == product) else { continue };
        let entry = portal_keys().sign(&EntryClaims {
            jti: format!("by-hand-{product}"),
            sub: "by-hand".into(),
            product: product_config.name.clone(),
            title: title.name.clone(),
            top: testbed.scenario.ladder.len() - 1,
            exp: (testbed.recorder.now() / 1000.0) as u64 + 3600,
        });
        println!(
            "  {scheme}://FRONT{}",
            address::play_request_target(&product_config.name, &title.name, &entry)
        );
    }
    Ok(tokio::signal::ctrl_c().await?)
}

/// Runs a subcommand; false if a rule was broken.
fn run(command: Command) -> Result<bool> {
    match command.job {
        Job::Day { script, seed, out, edge, baseline } => {
            let mut scenario = Scenario::load(&script)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let program = if baseline {
                Program { path: std::env::current_exe()?, args: vec!["baseline".into()] }
            } else {
                Program::edge(edge.map_or_else(find_edge_binary, Ok)?)
            };
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let result = runtime.block_on(scenario_run::run(scenario.clone(), program, &out))?;
            let summary = report::summarize(&scenario, &result)?;
            print!("{}", summary.text());
            std::fs::write(out.join("report.json"), serde_json::to_string_pretty(&summary)?)?;
            report::plot(&scenario, &result, &out.join("plays.svg"))?;
            let broken_rules: Vec<u8> = result.breaches.iter().map(|breach| breach.rule).collect();
            let description = format!("{}, seed {}", script.display(), scenario.seed);
            let history =
                History::new(&description, &broken_rules, scenario.rule_params(), result.observations);
            std::fs::write(out.join("seen.jsonl"), history.to_text()?)?;
            println!(
                "report.json, plays.svg, seen.jsonl and the logs of the fronts are in {}",
                out.display()
            );
            Ok(result.breaches.is_empty())
        }
        Job::Load { seconds, out, tls, edge } => {
            let program = Program::edge(edge.map_or_else(find_edge_binary, Ok)?);
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let costs = runtime.block_on(load::run(program, &out, seconds, tls))?;
            print!("{}", costs.text());
            std::fs::write(out.join("load.json"), serde_json::to_string_pretty(&costs)?)?;
            Ok(true)
        }
        Job::Boxes { script, out } => {
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            runtime.block_on(run_fake_servers(Scenario::load(&script)?, &out))?;
            Ok(true)
        }
        Job::Baseline { config: config_file } => {
            tokio::runtime::Runtime::new()?.block_on(baseline::run(&config_file))?;
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Command::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("pulleystair-lab: {e:#}");
            ExitCode::from(2)
        }
    }
}
