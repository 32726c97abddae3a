//! `pulleystair-edge`: the command line. Runs a front, checks or shows its configuration, or queries a running front.

use anyhow::Context;
use clap::{Parser, Subcommand, ValueEnum};
use pulleystair_edge::approved_versions;
use pulleystair_edge::config::Config;
use pulleystair_edge::edge::{self, block_signals, read_list};
use pulleystair_edge::status;
use pulleystair_node::Config as NodeConfig;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(
    name = "pulleystair-edge",
    version,
    about = "Answers players and sets their plays up at media servers"
)]
struct Command {
    /// Format of the log, which is written to standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log: Log,
    /// What is logged: a level, or targets with levels, such as `play=info,server=debug`
    #[arg(long, default_value = "info", global = true)]
    level: String,
    /// Log lines that may wait for a slow reader; further lines are dropped and counted
    #[arg(long, default_value_t = 65_536, global = true)]
    log_lines: usize,
    #[command(subcommand)]
    job: Job,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Log {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Job {
    /// Run a front with this configuration file until SIGTERM
    Run {
        #[arg(value_name = "RUNDOWN")]
        config: PathBuf,
    },
    /// Run a front on the platform's protocol, with the configuration file that PROXY_CONFIG names, until SIGTERM
    Node,
    /// Check a configuration file and its list of servers, and print the first error
    Check {
        #[arg(value_name = "RUNDOWN")]
        config: PathBuf,
    },
    /// Print a configuration file with its defaults filled in, as JSON
    Show {
        #[arg(value_name = "RUNDOWN")]
        config: PathBuf,
    },
    /// Query the running front of this configuration file for whether the fleet runs the approved version; the exit code is 0
    /// if so, 1 if a front does not, 2 if that is unknown
    Drift {
        #[arg(value_name = "RUNDOWN")]
        config: PathBuf,
        /// Print the whole status report, as JSON
        #[arg(long)]
        json: bool,
    },
}

/// Starts logging on a separate thread, which writes the remaining lines when the returned guard is dropped. A slow reader
/// of the log must not stall viewers: lines that it does not read in time are dropped and counted.
fn init_logging(command: &Command) -> anyhow::Result<(WorkerGuard, ErrorCounter)> {
    let filter = EnvFilter::try_new(&command.level)?;
    let writer_builder = NonBlockingBuilder::default().buffered_lines_limit(command.log_lines).lossy(true);
    let (writer, guard) = writer_builder.finish(std::io::stderr());
    let dropped_lines = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    match command.log {
        Log::Text => subscriber.with_ansi(false).init(),
        Log::Json => subscriber.json().flatten_event(true).init(),
    }
    Ok((guard, dropped_lines))
}

/// Runs a subcommand and returns the exit code.
fn run(command: Command) -> anyhow::Result<ExitCode> {
    let stop = block_signals()?;
    let (_guard, dropped_lines) = init_logging(&command)?;
    match command.job {
        Job::Drift { config, json } => {
            let report = status::query(&Config::load(&config)?)?;
            let text =
                if json { serde_json::to_string_pretty(&report)? + "\n" } else { status::table(&report) };
            std::io::stdout().write_all(text.as_bytes())?;
            return Ok(ExitCode::from(status::exit_code(&report)));
        }
        Job::Run { config } => edge::run(Config::load(&config)?, stop, dropped_lines)?,
        Job::Node => {
            let path = std::env::var_os("PROXY_CONFIG").context("PROXY_CONFIG is not set")?;
            pulleystair_node::run(NodeConfig::load(Path::new(&path))?, stop)?;
        }
        Job::Check { config: config_file } => {
            let config = Config::load(&config_file)?;
            let list = read_list(&config)?;
            if let Some(file) = &config.sharing.approved {
                approved_versions::load(file, &config)?;
            }
            println!(
                "{}: valid; {} products, {} rungs, {} servers, {} titles",
                config_file.display(),
                config.products.len(),
                config.ladder.len(),
                list.servers.len(),
                list.titles.len()
            );
        }
        Job::Show { config } => {
            println!("{}", serde_json::to_string_pretty(&Config::load(&config)?)?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let command = Command::parse();
    let is_drift = matches!(command.job, Job::Drift { .. });
    match run(command) {
        Ok(code) => code,
        Err(e) => {
            // A failed write to standard error must not cause a panic: its reader may have exited.
            let _ = writeln!(std::io::stderr(), "pulleystair-edge: {e:#}");
            // Whether the fleet is in step is unknown if its front can't be queried.
            if is_drift { ExitCode::from(2) } else { ExitCode::FAILURE }
        }
    }
}
