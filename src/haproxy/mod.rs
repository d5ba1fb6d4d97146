//! Imports HAProxy's configuration: what of it a node can do becomes an operator's file. Each line that is
//! malformed or has no counterpart is named by its number, and then nothing is imported.
//!
//! | section | directive | becomes |
//! | --- | --- | --- |
//! | `global` | `localpeer NAME` | which `peer` line is this node: `store.id` and `store.listen` |
//! | `defaults`, `frontend` | `mode http` | nothing: it is the one mode there is |
//! | `defaults`, `frontend` | `maxconn N` | `ajp.connections` |
//! | `defaults`, `frontend` | `timeout http-request TIME` | `ajp.body_wait_ms` |
//! | `defaults`, `frontend` | `monitor-uri PATH` | `ajp.health` |
//! | `frontend` | `bind ADDRESS:PORT` | `ajp.listen` |
//! | `peers` | `peer NAME ADDRESS:PORT` | `store.peers`, numbered from 1 in the order of the file |
//!
//! One `frontend` and one `peers` section are taken. A setting of the frontend goes before one of the defaults.

mod words;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use crate::config::{Ajp, Operator, Peer, StoreOptions};
use words::split;

/// What is wrong with one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Section {
    Global,
    Defaults,
    Frontend,
    Peers,
    /// One that is not known: its own line is named, and so is each in it.
    Unknown,
}

/// What has been read so far.
#[derive(Default)]
struct Import {
    section: Option<Section>,
    listen: Option<SocketAddr>,
    /// Settings of the defaults, and of the frontend.
    defaults: Settings,
    frontend: Settings,
    frontends: usize,
    peer_sections: usize,
    local: Option<(usize, String)>,
    peers: Vec<(String, SocketAddr)>,
}

#[derive(Default)]
struct Settings {
    connections: Option<usize>,
    body_wait_ms: Option<u64>,
    health: Option<String>,
}

/// Reads a whole file.
///
/// # Errors
/// Every line that cannot be imported.
pub fn import(text: &str) -> Result<Operator, Vec<Fault>> {
    let mut import = Import::default();
    let mut faults = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let taken = split(line).and_then(|words| {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            if words.is_empty() { Ok(()) } else { import.take(number, &words) }
        });
        if let Err(problem) = taken {
            faults.push(Fault { line: number, problem });
        }
    }
    match import.finish() {
        Ok(operator) if faults.is_empty() => Ok(operator),
        Ok(_) => Err(faults),
        Err(fault) => {
            faults.push(fault);
            faults.sort_by_key(|fault| fault.line);
            Err(faults)
        }
    }
}

/// The operator's file as text.
///
/// # Errors
/// A value has no form in TOML.
pub fn to_toml(operator: &Operator) -> Result<String, toml::ser::Error> {
    #[derive(Serialize)]
    struct Whole<'a> {
        #[serde(skip_serializing_if = "Option::is_none")]
        ajp: Option<&'a Ajp>,
        #[serde(skip_serializing_if = "Option::is_none")]
        store: Option<&'a StoreOptions>,
    }
    let store = Some(&operator.store).filter(|store| store.listen.is_some());
    toml::to_string(&Whole { ajp: operator.ajp.as_ref(), store })
}

impl Import {
    fn take(&mut self, number: usize, words: &[&str]) -> Result<(), String> {
        if let Some(section) = section(words[0]) {
            self.section = Some(section);
            return self.begin(section, words);
        }
        match self.section {
            Some(Section::Global) => self.global(number, words),
            Some(Section::Defaults) => set(&mut self.defaults, words),
            Some(Section::Frontend) => match words {
                ["bind", address] => once(&mut self.listen, parse_address(address)?, "bind"),
                ["bind", _, option, ..] => Err(format!("the option '{option}' of 'bind' is not mapped")),
                _ => set(&mut self.frontend, words),
            },
            Some(Section::Peers) => self.peer(words),
            Some(Section::Unknown) => Err(format!("'{}' is not mapped", words[0])),
            None => Err(format!("'{}' stands before any section", words[0])),
        }
    }

    fn begin(&mut self, section: Section, words: &[&str]) -> Result<(), String> {
        let count = match section {
            Section::Unknown => return Err(format!("the section '{}' is not mapped", words[0])),
            Section::Global | Section::Defaults => return Ok(()),
            Section::Frontend => &mut self.frontends,
            Section::Peers => &mut self.peer_sections,
        };
        *count += 1;
        match (words.len(), *count) {
            (2, 1) => Ok(()),
            (2, _) => Err(format!("a second section '{}' is not mapped", words[0])),
            _ => Err(format!("'{}' takes one name", words[0])),
        }
    }

    fn global(&mut self, number: usize, words: &[&str]) -> Result<(), String> {
        match words {
            ["localpeer", name] => once(&mut self.local, (number, (*name).to_owned()), "localpeer"),
            ["localpeer", ..] => Err("'localpeer' takes one name".to_owned()),
            _ => Err(format!("'{}' is not mapped", words[0])),
        }
    }

    fn peer(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            ["peer", name, address] if self.peers.iter().all(|(known, _)| known != name) => {
                self.peers.push(((*name).to_owned(), parse_address(address)?));
                Ok(())
            }
            ["peer", name, _] => Err(format!("the peer '{name}' is there twice")),
            ["peer", ..] => Err("'peer' takes a name and an address".to_owned()),
            _ => Err(format!("'{}' is not mapped", words[0])),
        }
    }

    fn finish(self) -> Result<Operator, Fault> {
        let (front, defaults) = (self.frontend, self.defaults);
        let ajp = self.listen.map(|listen| Ajp {
            listen,
            secret: None,
            health: front.health.or(defaults.health).unwrap_or_else(Ajp::health_path),
            connections: front.connections.or(defaults.connections),
            body_wait_ms: front.body_wait_ms.or(defaults.body_wait_ms),
        });
        let mut store = StoreOptions::default();
        if let Some((line, local)) = self.local {
            let Some(own) = self.peers.iter().position(|(name, _)| *name == local) else {
                return Err(Fault { line, problem: format!("there is no peer '{local}'") });
            };
            store.id = own as u64 + 1;
            store.listen = Some(self.peers[own].1);
            let others = (1..).zip(&self.peers).filter(|(id, _)| *id != store.id);
            store.peers = others.map(|(id, (_, address))| Peer { id, address: *address }).collect();
            // Members with peers keep their votes on disk; HAProxy's file names no place for that.
            store.directory = Some(PathBuf::from("/var/lib/sillflow"));
        } else if !self.peers.is_empty() {
            let problem = "'peers' without 'localpeer' in 'global' does not tell which one this is";
            return Err(Fault { line: 1, problem: problem.to_owned() });
        }
        Ok(Operator { ajp, store, ..Operator::default() })
    }
}

fn section(word: &str) -> Option<Section> {
    Some(match word {
        "global" => Section::Global,
        "defaults" => Section::Defaults,
        "frontend" => Section::Frontend,
        "peers" => Section::Peers,
        "backend" | "listen" | "resolvers" | "mailers" | "userlist" | "cache" | "program" | "ring"
        | "http-errors" | "fcgi-app" | "log-forward" | "crt-store" | "traces" => Section::Unknown,
        _ => return None,
    })
}

fn set(settings: &mut Settings, words: &[&str]) -> Result<(), String> {
    match words {
        ["mode", "http"] => Ok(()),
        ["mode", mode] => Err(format!("the mode '{mode}' is not mapped")),
        ["maxconn", number] => {
            let number = number.parse().map_err(|_| format!("'{number}' is not a number"))?;
            once(&mut settings.connections, number, "maxconn")
        }
        ["timeout", "http-request", time] => once(&mut settings.body_wait_ms, parse_time(time)?, "timeout"),
        ["timeout", which, ..] => Err(format!("'timeout {which}' is not mapped")),
        ["monitor-uri", path] if path.starts_with('/') => {
            once(&mut settings.health, (*path).to_owned(), "monitor-uri")
        }
        ["mode" | "maxconn" | "monitor-uri" | "timeout" | "bind", ..] => {
            Err(format!("'{}' is malformed", words.join(" ")))
        }
        _ => Err(format!("'{}' is not mapped", words[0])),
    }
}

fn once<T>(slot: &mut Option<T>, value: T, name: &str) -> Result<(), String> {
    match slot.replace(value) {
        None => Ok(()),
        Some(_) => Err(format!("a second '{name}' is not mapped")),
    }
}

/// An address with a port; `*` or nothing before the port stands for all addresses.
fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let bare = text.strip_prefix("ipv4@").or_else(|| text.strip_prefix("ipv6@")).unwrap_or(text);
    let whole = match bare.strip_prefix('*').unwrap_or(bare) {
        port if port.starts_with(':') => format!("0.0.0.0{port}"),
        _ => bare.to_owned(),
    };
    whole.parse().map_err(|_| format!("'{text}' is not an address with a port"))
}

/// A time in ms, which is also the unit where none is given.
fn parse_time(text: &str) -> Result<u64, String> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &text[digits.len()..] {
        "" | "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return Err(format!("'{text}' is not a time")),
    };
    let number: Option<u64> = digits.parse().ok();
    number.and_then(|n| n.checked_mul(factor)).ok_or_else(|| format!("'{text}' is not a time"))
}
