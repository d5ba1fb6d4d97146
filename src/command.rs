//! The commands that an operator gives to the store and the fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Subcommand;
use sillflow::fleet;
use sillflow::fleet::wire::{Question, Told};
use sillflow::store::{
    self, Answer, Backup, Change, Denied, MemberView, Outcome, Query, Status, Truth, Wish,
};

use crate::{Failure, report, runtime};

/// What an operator asks of the fleet.
#[derive(clap::Args)]
pub(crate) struct Fleet {
    /// Where a node listens for the fleet.
    #[arg(long, required = true)]
    at: Option<SocketAddr>,
    /// As JSON rather than as a table.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    change: Option<FleetChange>,
}

/// Takes a node out of the view.
#[derive(Subcommand)]
enum FleetChange {
    /// A node goes in order.
    Leave {
        /// Its name.
        name: String,
        /// Where a node listens for the fleet.
        #[arg(long)]
        at: SocketAddr,
    },
    /// A node is lost, and whatever it held is given up.
    DeclareLost {
        /// Its name.
        name: String,
        /// Where a node listens for the fleet.
        #[arg(long)]
        at: SocketAddr,
    },
}

impl Fleet {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let (at, question) = match self.change {
            Some(FleetChange::Leave { name, at }) => (at, Question::Leave(name)),
            Some(FleetChange::DeclareLost { name, at }) => (at, Question::DeclareLost(name)),
            None => (self.at.ok_or("--at is missing")?, Question::Report),
        };
        match runtime()?.block_on(fleet::wire::ask(at, &question))? {
            Told::Report(seen) if self.json => println!("{}", serde_json::to_string_pretty(&seen)?),
            Told::Report(seen) => print!("{}", report::fleet(&seen)),
            Told::Done(done) => println!("{done}"),
            Told::Failed(problem) => return Err(problem.into()),
            other => return Err(format!("it answers what was not asked: {other:?}").into()),
        }
        Ok(())
    }
}

/// Prints how a node's copies stand.
pub(crate) fn copies(at: SocketAddr, json: bool) -> Result<(), Failure> {
    match runtime()?.block_on(fleet::wire::ask(at, &Question::Copies))? {
        Told::Copies(seen) if json => println!("{}", serde_json::to_string_pretty(&seen)?),
        Told::Copies(seen) => print!("{}", report::replication(&seen)),
        Told::Failed(problem) => return Err(problem.into()),
        other => return Err(format!("it answers what was not asked: {other:?}").into()),
    }
    Ok(())
}

/// What an operator does with the members of the store.
#[derive(Subcommand)]
pub(crate) enum Store {
    /// Takes in the blank member that listens at an address, as a learner.
    Join {
        /// Where it listens for the store.
        address: String,
        #[command(flatten)]
        member: At,
    },
    /// Lets a learner vote.
    Promote {
        /// Its number.
        number: u64,
        #[command(flatten)]
        member: At,
    },
    /// Takes a member out.
    Leave {
        /// Its number.
        number: u64,
        #[command(flatten)]
        member: At,
    },
    /// Lets a learner take a voter's place.
    Replace {
        /// The voter's number.
        number: u64,
        /// The learner's number.
        #[arg(long)]
        by: u64,
        #[command(flatten)]
        member: At,
    },
    /// Prints the members, as the one that leads sees them.
    Members {
        #[command(flatten)]
        member: At,
        /// As JSON rather than as a table.
        #[arg(long)]
        json: bool,
    },
    /// Prints how one member stands; ends with a failure where nothing can be changed.
    Status {
        #[command(flatten)]
        member: At,
        /// As JSON rather than as lines.
        #[arg(long)]
        json: bool,
    },
    /// Writes all that the store holds to a file.
    Backup {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        member: At,
    },
    /// Makes an empty directory the first member of a new cluster that holds what a backup does.
    Restore {
        /// The backup.
        file: PathBuf,
        /// The directory.
        #[arg(long)]
        directory: PathBuf,
        /// The number of the member.
        #[arg(long)]
        id: u64,
        /// Where other members reach it.
        #[arg(long)]
        address: String,
    },
    /// Reads a backup, or the directory of a member that does not run, and checks all of it.
    Verify {
        /// A backup's file or a member's directory.
        path: PathBuf,
    },
}

/// Whom to ask.
#[derive(clap::Args)]
pub(crate) struct At {
    /// Where a member of the store listens.
    #[arg(long)]
    at: String,
}

impl Store {
    pub(crate) fn run(self) -> Result<(), Failure> {
        match self {
            Self::Join { address, member } => ask(&member.at, Query::Wish(Wish::Join(address))),
            Self::Promote { number, member } => ask(&member.at, Query::Wish(Wish::Promote(number))),
            Self::Leave { number, member } => ask(&member.at, Query::Wish(Wish::Leave(number))),
            Self::Replace { number, by, member } => {
                ask(&member.at, Query::Wish(Wish::Replace { old: number, by }))
            }
            Self::Members { member, json } => match answer(&member.at, Query::Members)? {
                Answer::Members(members) => members_out(&members, json),
                other => show(other),
            },
            Self::Status { member, json } => match answer(&member.at, Query::Status)? {
                Answer::Status(status) => status_out(&status, json),
                other => show(other),
            },
            Self::Backup { file, member } => match answer(&member.at, Query::Backup)? {
                Answer::Backup(backup) => {
                    backup.verify()?;
                    backup.write(&file)?;
                    println!("{} keys as of entry {}", backup.entries.len(), backup.applied);
                    Ok(())
                }
                other => show(other),
            },
            Self::Restore { file, directory, id, address } => {
                let backup = Backup::read(&file)?;
                store::restore(&backup, &directory, id, &address)?;
                println!("{} keys of cluster {} in a new cluster", backup.entries.len(), backup.cluster);
                Ok(())
            }
            Self::Verify { path } => verify(&path),
        }
    }
}

fn verify(path: &std::path::Path) -> Result<(), Failure> {
    if path.is_dir() {
        println!("{}", serde_json::to_string_pretty(&store::verify_directory(path)?)?);
        return Ok(());
    }
    let backup = Backup::read(path)?;
    println!("{} keys of cluster {} as of entry {}", backup.entries.len(), backup.cluster, backup.applied);
    Ok(())
}

fn members_out(members: &[MemberView], json: bool) -> Result<(), Failure> {
    match json {
        true => println!("{}", serde_json::to_string_pretty(members)?),
        false => print!("{}", report::store_members(members)),
    }
    Ok(())
}

fn status_out(status: &Status, json: bool) -> Result<(), Failure> {
    match json {
        true => println!("{}", serde_json::to_string_pretty(status)?),
        false => print!("{}", report::store_status(status)),
    }
    match &status.trouble {
        Some(trouble) => Err(trouble.clone().into()),
        None => Ok(()),
    }
}

fn answer(at: &str, query: Query) -> Result<Answer, Failure> {
    Ok(runtime()?.block_on(store::ask(at, query))?)
}

/// Asks a member and prints what it answers.
pub(crate) fn ask(at: &str, query: Query) -> Result<(), Failure> {
    show(answer(at, query)?)
}

/// Sets a key.
pub(crate) fn set(at: &str, change: Change) -> Result<(), Failure> {
    ask(at, Query::Change(change))
}

fn show(answer: Answer) -> Result<(), Failure> {
    match answer {
        Answer::Contents { entries, truth } => {
            entries.iter().for_each(|(key, now)| println!("{key}\t{}\t{}", now.version, now.value));
            match truth {
                Truth::Linearizable => {}
                Truth::Local { age_ms: Some(age) } => eprintln!("local: as of {age} ms ago, or later"),
                Truth::Local { age_ms: None } => eprintln!("local: never level with a member that leads"),
            }
            Ok(())
        }
        Answer::Changed(outcome) => changed(&outcome),
        Answer::Done(done) => {
            println!("{done}");
            Ok(())
        }
        Answer::NotDone(why) => Err(format!("not done: {why}").into()),
        Answer::Unsure(why) => Err(format!("it may be done or not: {why}").into()),
        Answer::Failed(problem) => Err(problem.into()),
        other => Err(format!("it answers what was not asked: {other:?}").into()),
    }
}

fn changed(outcome: &Outcome) -> Result<(), Failure> {
    match outcome {
        Outcome { changed: true, version, .. } => {
            println!("{version}");
            Ok(())
        }
        Outcome { denied: Some(Denied::Full), .. } => Err("not changed: the store is full".into()),
        Outcome { denied: Some(Denied::Late), .. } => Err("not changed: it came too late".into()),
        Outcome { version, .. } => Err(format!("not changed: the key is at version {version}").into()),
    }
}
