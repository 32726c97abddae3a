//! `pulleystair-edge`: runs a front, or checks and shows the rundown it would run by.

use anyhow::Context;
use clap::{Parser, Subcommand, ValueEnum};
use pulleystair_edge::approved_versions;
use pulleystair_edge::config::Config;
use pulleystair_edge::edge::{self, read_list, stop_signals};
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
    /// How the log is written, to standard error
    #[arg(long, value_enum, default_value = "text", global = true)]
    log: Log,
    /// What is logged: a level, or targets with levels such as `play=info,server=debug`
    #[arg(long, default_value = "info", global = true)]
    level: String,
    /// Lines that may wait for whoever reads the log; further ones are dropped and counted
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
    /// Run a front by this rundown until SIGTERM
    Run { rundown: PathBuf },
    /// Run a front on the platform's protocol, by the posting that PROXY_CONFIG names, until SIGTERM
    Node,
    /// Check a rundown and its list of servers, and say what is wrong
    Check { rundown: PathBuf },
    /// Show a rundown with its defaults filled in, as JSON
    Show { rundown: PathBuf },
    /// Ask the running front of this rundown whether the fleet goes by what was approved; ends with 0 if so, 1 if a front
    /// does not, 2 if nobody can say
    Drift {
        rundown: PathBuf,
        /// All that the front tells, as JSON
        #[arg(long)]
        json: bool,
    },
}

/// Logs by a thread of its own, which writes what is left when the guard is dropped. A reader that is slow must not stall
/// viewers: what it does not take is dropped, and counted.
fn logs(command: &Command) -> anyhow::Result<(WorkerGuard, ErrorCounter)> {
    let filter = EnvFilter::try_new(&command.level)?;
    let lines = NonBlockingBuilder::default().buffered_lines_limit(command.log_lines).lossy(true);
    let (writer, guard) = lines.finish(std::io::stderr());
    let dropped = writer.error_counter();
    let to = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    match command.log {
        Log::Text => to.with_ansi(false).init(),
        Log::Json => to.json().flatten_event(true).init(),
    }
    Ok((guard, dropped))
}

fn run(command: Command) -> anyhow::Result<ExitCode> {
    let stop = stop_signals()?;
    let (_guard, dropped) = logs(&command)?;
    match command.job {
        Job::Drift { rundown, json } => {
            let told = status::query(&Config::read(&rundown)?)?;
            let text = if json { serde_json::to_string_pretty(&told)? + "\n" } else { status::table(&told) };
            std::io::stdout().write_all(text.as_bytes())?;
            return Ok(ExitCode::from(status::exit_code(&told)));
        }
        Job::Run { rundown } => edge::run(Config::read(&rundown)?, stop, dropped)?,
        Job::Node => {
            let path = std::env::var_os("PROXY_CONFIG").context("PROXY_CONFIG names no file")?;
            pulleystair_node::run(NodeConfig::read(Path::new(&path))?, stop)?;
        }
        Job::Check { rundown } => {
            let it = Config::read(&rundown)?;
            let list = read_list(&it)?;
            if let Some(file) = &it.sharing.approved {
                approved_versions::read(file, &it)?;
            }
            println!(
                "{}: good; {} products, {} rungs, {} servers, {} titles",
                rundown.display(),
                it.products.len(),
                it.ladder.len(),
                list.servers.len(),
                list.titles.len()
            );
        }
        Job::Show { rundown } => {
            println!("{}", serde_json::to_string_pretty(&Config::read(&rundown)?)?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let command = Command::parse();
    let drift = matches!(command.job, Job::Drift { .. });
    match run(command) {
        Ok(code) => code,
        Err(e) => {
            // Whoever should read it may be gone, which is no reason to end in a panic.
            let _ = writeln!(std::io::stderr(), "pulleystair-edge: {e:#}");
            // Whether a fleet is in step is not known where its front can't be asked.
            if drift { ExitCode::from(2) } else { ExitCode::FAILURE }
        }
    }
}
