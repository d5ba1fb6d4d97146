//! The program: a node, and the commands of its operator.

mod command;
mod report;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use log::error;
use sillflow::config::{Config, Operator};
use sillflow::node::Signals;
use sillflow::peers::wire::{Subject, Told, answer_bytes};
use sillflow::store::{Change, Query};
use sillflow::{haproxy, node, peers};
use tokio::task::LocalSet;

/// A service node with an overload controller inside. Without a command it runs the node that its environment
/// describes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the operator's file that HAProxy's configuration comes to, or each line that cannot be imported.
    Import {
        /// HAProxy's configuration.
        file: PathBuf,
    },
    /// Names everything that is wrong with an operator's file.
    Check {
        /// The operator's file.
        file: PathBuf,
    },
    /// Prints the JSON schema of the operator's file.
    Schema,
    /// Prints all keys of the store that begin so, with versions and values.
    Get {
        /// What they begin with.
        #[arg(default_value = "")]
        prefix: String,
        /// Where a member of the store listens.
        #[arg(long)]
        at: String,
        /// As this one member has them, without asking a majority; says how old that is.
        #[arg(long)]
        local: bool,
    },
    /// Prints what a node believes of each server, from whom and how old.
    Knowledge {
        /// Where the node listens for questions about servers.
        #[arg(long)]
        at: SocketAddr,
        /// As JSON rather than as a table.
        #[arg(long)]
        json: bool,
    },
    /// Sets a key of the store.
    Set {
        /// The key.
        key: String,
        /// Its value; without one the key is taken out.
        value: Option<String>,
        /// Only where the key is at this version, 0 for one that is not there.
        #[arg(long)]
        expect: Option<u64>,
        /// Where a member of the store listens.
        #[arg(long)]
        at: String,
    },
    /// Prints what a node sees of the fleet: who belongs, who is alive, who says so and since when.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Fleet(command::Fleet),
    /// Prints how the copies of keys and results stand, as a node sees it.
    Copies {
        /// Where the node listens for the fleet.
        #[arg(long)]
        at: SocketAddr,
        /// As JSON rather than as a table.
        #[arg(long)]
        json: bool,
    },
    /// The members of the store, and what it holds as a whole.
    #[command(subcommand)]
    Store(command::Store),
}

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let done = match Arguments::parse().command {
        None => serve(),
        Some(Command::Import { file }) => import(&file),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Schema) => schema(),
        Some(Command::Get { prefix, at, local }) => command::ask(&at, Query::Read { prefix, local }),
        Some(Command::Knowledge { at, json }) => knowledge(at, json),
        Some(Command::Set { key, value, expect, at }) => command::set(&at, Change { key, value, expect }),
        Some(Command::Store(store)) => store.run(),
        Some(Command::Fleet(fleet)) => fleet.run(),
        Some(Command::Copies { at, json }) => command::copies(at, json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("sillflow cannot go on: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn serve() -> Result<(), Failure> {
    runtime()?.block_on(LocalSet::new().run_until(async {
        // Ahead of all else: a signal that has no handler yet ends the process.
        let signals = Signals::install()?;
        node::run(Config::from_env()?, signals).await?;
        Ok(())
    }))
}

fn check(file: &Path) -> Result<(), Failure> {
    let faults = Operator::check(&std::fs::read_to_string(file)?);
    faults.iter().for_each(|fault| eprintln!("{}: {fault}", file.display()));
    if faults.is_empty() { Ok(()) } else { Err(format!("{} faults", faults.len()).into()) }
}

fn schema() -> Result<(), Failure> {
    println!("{}", serde_json::to_string_pretty(&Operator::schema())?);
    Ok(())
}

fn import(file: &PathBuf) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file)?;
    match haproxy::import(&text) {
        Ok(operator) => {
            print!("{}", haproxy::to_toml(&operator)?);
            Ok(())
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{}: {fault}", file.display()));
            Err(format!("{} lines cannot be imported", faults.len()).into())
        }
    }
}

/// How long a node has to tell an operator what it believes.
const PATIENCE: Duration = Duration::from_secs(5);
/// The longest answer that is read, in servers.
const MOST_SERVERS: usize = 10_000;

fn knowledge(at: SocketAddr, json: bool) -> Result<(), Failure> {
    let most = answer_bytes(MOST_SERVERS);
    let Told::Beliefs(beliefs) = runtime()?.block_on(peers::ask(at, Subject::Beliefs, most, PATIENCE))?
    else {
        return Err("it answers what was not asked".into());
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&beliefs)?);
    } else {
        print!("{}", report::servers(&beliefs));
    }
    Ok(())
}
