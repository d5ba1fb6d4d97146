//! The fault rig: real processes of the program, each on a loopback address of its own, with a relay in front of each
//! that sees who calls and spoils what passes. What is done to them comes from a seed that is printed.
#![allow(dead_code)]

pub mod copied;
pub mod copies;
pub mod duties;
pub mod fleet;
pub mod history;
pub mod relay;
pub mod schedule;
pub mod sim;
pub mod target;
pub mod turns;
pub mod verdicts;

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::{Duration, Instant};

use rand::Rng;
use sillflow::store::{Answer, Change, MemberView, Query, Role, Status, Wish, ask};

use crate::support::{config, settings};
use relay::Relay;

/// Past this a test has failed: far longer than anything takes that it waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Every process has an address of its own, so all may listen on one port.
const PORT: u16 = 7070;

static RIGS: AtomicU32 = AtomicU32::new(0);

/// What runs one question of a client.
pub fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

/// Waits until something is so.
pub fn until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < within, "not in {within:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
    began.elapsed()
}

/// Some processes and the relay between them. Numbers begin with 1.
pub struct Rig {
    pub relay: Relay,
    pub dir: PathBuf,
    program: PathBuf,
    net: (u8, u8),
    is_direct: bool,
    children: Vec<Option<Child>>,
    /// Processes that others of the same node follow.
    before: BTreeMap<usize, Child>,
    /// Clients' sockets that outlive the processes.
    held: BTreeMap<usize, TcpListener>,
    /// More for the operator's table of each.
    pub more: String,
    /// The processors of nodes that serve.
    pub work: Option<copies::Work>,
    /// Given back when all processes are gone.
    _turn: turns::Turn,
}

impl Rig {
    /// Room for so many processes of this program; none is started.
    pub fn new(most: usize) -> Self {
        Self::of(most, Path::new(env!("CARGO_BIN_EXE_sillflow")))
    }

    /// The same with nothing between them: one relay is too slow for hundreds.
    pub fn direct(most: usize) -> Self {
        let mut rig = Self::with(most, Path::new(env!("CARGO_BIN_EXE_sillflow")), 0);
        rig.is_direct = true;
        rig
    }

    /// The same for another build of the program.
    pub fn of(most: usize, program: &Path) -> Self {
        Self::with(most, program, most)
    }

    /// The first so many have a relay before them.
    fn with(most: usize, program: &Path, relayed: usize) -> Self {
        let turn = turns::Turn::take(most);
        let name = format!("sillflow-rig-{}-{}", std::process::id(), RIGS.fetch_add(1, SeqCst));
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder");
        // Other rigs may run: the first addresses that are free are this one's.
        let (net, relay) = (0..100)
            .find_map(|_| {
                let net = (rand::rng().random_range(16..120) * 2, rand::rng().random_range(1..255));
                let at = |n: usize| SocketAddrV4::new(Ipv4Addr::new(127, net.0 + 1, net.1, n as u8), PORT);
                let to = |n: usize| SocketAddrV4::new(Ipv4Addr::new(127, net.0, net.1, n as u8), PORT);
                let all = (1..=relayed).map(|n| (n, at(n), to(n)));
                Relay::start(all.collect()).ok().map(|relay| (net, relay))
            })
            .expect("free addresses");
        let children = (0..=most).map(|_| None).collect();
        Self {
            relay,
            dir,
            program: program.to_owned(),
            net,
            is_direct: false,
            children,
            before: BTreeMap::new(),
            held: BTreeMap::new(),
            more: String::new(),
            work: None,
            _turn: turn,
        }
    }

    /// Where a process listens, with nothing between.
    pub fn address(&self, n: usize) -> String {
        format!("127.{}.{}.{n}:{PORT}", self.net.0, self.net.1)
    }

    /// Where the others reach it.
    pub fn relayed(&self, n: usize) -> String {
        if self.is_direct {
            return self.address(n);
        }
        format!("127.{}.{}.{n}:{PORT}", self.net.0 + 1, self.net.1)
    }

    pub fn directory(&self, n: usize) -> PathBuf {
        self.dir.join(format!("store-{n}"))
    }

    /// The table of a member that knows these others.
    pub fn table(&self, n: usize, peers: &[usize]) -> String {
        let mut table = format!("[store]\nid = {n}\nlisten = {:?}\n", self.address(n));
        table += &format!("address = {:?}\ndirectory = {:?}\n", self.relayed(n), self.directory(n));
        table += &self.more;
        for peer in peers.iter().filter(|peer| **peer != n) {
            table += &format!("[[store.peers]]\nid = {peer}\naddress = {:?}\n", self.relayed(*peer));
        }
        table
    }

    /// Starts a member that knows these others.
    pub fn start(&mut self, n: usize, peers: &[usize]) {
        let table = self.table(n, peers);
        self.start_with(n, &table, "");
    }

    /// Starts a process with this operator's file, behind what a shell does first.
    pub fn start_with(&mut self, n: usize, operator: &str, first: &str) {
        assert!(self.children[n].is_none(), "{n} runs");
        fs::write(self.dir.join(format!("operator-{n}.toml")), operator).expect("a file");
        self.spawn(n, first);
    }

    /// Starts a process again with the files that it had.
    pub fn again(&mut self, n: usize) {
        self.spawn(n, "");
    }

    /// Holds a node's socket for its clients, as a platform does that upgrades it.
    pub fn hold(&mut self, n: usize) {
        self.held.insert(n, TcpListener::bind(self.serves(n)).expect("a port"));
    }

    /// Starts the next process of a node, which waits until the one before is told to go.
    pub fn follow(&mut self, n: usize) {
        self.before.extend(self.children[n].take().map(|child| (n, child)));
        self.spawn(n, "");
        self.logged(n, "the next process is there");
    }

    /// Tells the process before to go.
    pub fn upgrade(&self, n: usize) {
        let pid = self.before[&n].id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    }

    /// Waits until the process before has ended.
    pub fn upgraded(&mut self, n: usize) {
        let mut before = self.before.remove(&n).expect("one was told to go");
        until("the process before has ended", PATIENCE, || before.try_wait().expect("a child").is_some());
    }

    /// Starts a process that goes by another's name.
    pub fn start_named(&mut self, n: usize, name: &str, operator: &str) {
        fs::write(self.dir.join(format!("operator-{n}.toml")), operator).expect("a file");
        self.spawn_named(n, name, "");
    }

    /// Starts another process of a node under a number that is free, waits until it is there, and tells the one before
    /// to go.
    pub fn upgrade_as(&mut self, n: usize, by: usize) {
        let socket = self.held[&n].try_clone().expect("a handle");
        self.held.insert(by, socket);
        let operator = fs::read_to_string(self.dir.join(format!("operator-{n}.toml"))).expect("a file");
        self.start_named(by, &format!("n{n}"), &operator);
        self.logged(n, "the next process is there");
        self.signal(n, "-TERM");
    }

    /// Waits until a process that was told to go has gone.
    pub fn left(&mut self, n: usize) {
        let mut child = self.children[n].take().expect("it runs");
        until("it goes", PATIENCE, || child.try_wait().expect("a child").is_some());
    }

    fn spawn(&mut self, n: usize, first: &str) {
        self.spawn_named(n, &format!("n{n}"), first);
    }

    fn spawn_named(&mut self, n: usize, name: &str, first: &str) {
        let mut file = config(settings());
        file["name"] = name.into();
        file["listen"] = match &self.work {
            Some(work) => {
                file["processor"] = work.processor(n).to_string().into();
                // Whatever a test does lies within one window.
                file["settings"]["classes"][2]["repeat-window"] = 60_000.0.into();
                file["settings"]["clients"]["marks-retry"] = (!work.unmarked).into();
                if let Some(due_ms) = work.due_ms {
                    file["settings"]["classes"][2]["hard-limit"] = f64::from(due_ms).into();
                    file["stop_ms"] = due_ms.into();
                }
                self.serves(n).to_string().into()
            }
            None => format!("127.{}.{}.{n}:0", self.net.0, self.net.1).into(),
        };
        file.as_object_mut().expect("an object").remove("admin_addr");
        let path = self.dir.join(format!("config-{n}.json"));
        fs::write(&path, file.to_string()).expect("a file");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_path(n)).expect("a file");
        let mut command = Command::new("sh");
        let program = self.program.display().to_string();
        match self.held.get(&n) {
            Some(socket) => {
                let socket = OwnedFd::from(socket.try_clone().expect("a handle"));
                command.args(["-c", &format!("{first} exec \"$0\" 4<&0 </dev/null"), &program]);
                command.stdin(socket).env("PROXY_FD", "4")
            }
            None => command.args(["-c", &format!("{first} exec \"$0\""), &program]).stdin(Stdio::null()),
        };
        let child = command
            .env("PROXY_CONFIG", path)
            .env("SILLFLOW_OPERATOR", self.dir.join(format!("operator-{n}.toml")))
            .env("TMPDIR", &self.dir)
            .env("SILLFLOW_FOLDER_FAULTS", self.faults_path(n))
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node starts");
        self.children[n] = Some(child);
    }

    fn log_path(&self, n: usize) -> PathBuf {
        self.dir.join(format!("log-{n}"))
    }

    pub fn log(&self, n: usize) -> String {
        fs::read_to_string(self.log_path(n)).unwrap_or_default()
    }

    /// Waits for a line of a process's log.
    pub fn logged(&self, n: usize, part: &str) {
        let began = Instant::now();
        while !self.log(n).contains(part) {
            assert!(began.elapsed() < PATIENCE, "no '{part}' in the log of {n}:\n{}", self.log(n));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn runs(&self, n: usize) -> bool {
        self.children[n].is_some()
    }

    /// Starts a process again, and waits until it answers.
    pub fn up(&mut self, n: usize) {
        self.again(n);
        until("it answers", PATIENCE, || self.status(n).is_some());
    }

    pub fn pid(&self, n: usize) -> u32 {
        self.children[n].as_ref().expect("it runs").id()
    }

    /// Ends a process with no notice. Connections through the relay end with it.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("a child");
            child.wait().expect("a child");
        }
    }

    pub fn signal(&self, n: usize, signal: &str) {
        if self.runs(n) {
            let sent = Command::new("kill").args([signal, &self.pid(n).to_string()]).status();
            assert!(sent.expect("kill runs").success());
        }
    }

    fn faults_path(&self, n: usize) -> PathBuf {
        self.dir.join(format!("faults-{n}"))
    }

    /// Has every folder of a process fail `write` (ENOSPC) or `sync` (EIO) until [`Self::folders_work`].
    pub fn folders_fail(&self, n: usize, operation: &str) {
        fs::write(self.faults_path(n), operation).expect("a file");
    }

    /// Has every sync of a process's folders take so much longer until [`Self::folders_work`].
    pub fn syncs_take(&self, n: usize, ms: u64) {
        fs::write(self.faults_path(n), format!("slow:{ms}")).expect("a file");
    }

    pub fn folders_work(&self, n: usize) {
        fs::remove_file(self.faults_path(n)).expect("a file");
    }

    /// Takes a stopped member's disk.
    pub fn wipe(&self, n: usize) {
        assert!(!self.runs(n));
        let _ = fs::remove_dir_all(self.directory(n));
    }

    /// Copies a member's file, whether it runs or not.
    pub fn copy(&self, n: usize, name: &str) {
        fs::create_dir_all(self.dir.join(name)).expect("a folder");
        let file = self.directory(n).join("store.redb");
        fs::copy(file, self.dir.join(name).join("store.redb")).expect("a copy");
    }

    /// Puts a copy back: into the file as it is, or as another file.
    pub fn put_back(&self, n: usize, name: &str, in_place: bool) {
        assert!(!self.runs(n));
        let (from, to) = (self.dir.join(name).join("store.redb"), self.directory(n).join("store.redb"));
        if !in_place {
            let _ = fs::remove_file(&to);
        }
        fs::copy(from, to).expect("a copy");
    }

    /// Takes what stands beside a directory and tells an old one.
    pub fn forget_witness(&self, n: usize) {
        fs::remove_file(self.dir.join(format!("store-{n}.witness"))).expect("a file");
    }

    pub fn ask(&self, n: usize, query: Query) -> Result<Answer, String> {
        wait(ask(&self.address(n), query)).map_err(|e| e.to_string())
    }

    pub fn set(&self, n: usize, key: &str, value: &str) -> Result<u64, String> {
        let change = Change { key: key.to_owned(), value: Some(value.to_owned()), expect: None };
        match self.ask(n, Query::Change(change))? {
            Answer::Changed(outcome) if outcome.changed => Ok(outcome.version),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until a write is acknowledged. What is promised is that one ends in time, not that the first does well: on a
    /// busy machine a sync takes seconds, and members stand for election. One that was unsure may have been done.
    pub fn writes(&self, n: usize, key: &str, value: &str) {
        let began = Instant::now();
        while let Err(said) = self.set(n, key, value) {
            assert!(began.elapsed() < PATIENCE, "{key} is not written at {n}: {said}\n{}", self.log(n));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn get(&self, n: usize, key: &str) -> Result<Option<String>, String> {
        match self.ask(n, Query::Read { prefix: key.to_owned(), local: false })? {
            Answer::Contents { entries, .. } => Ok(entries.get(key).map(|now| now.value.clone())),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until a read is answered; what it says has to be right the first time.
    pub fn reads(&self, n: usize, key: &str) -> Option<String> {
        let mut value = None;
        until("a read is answered", PATIENCE, || {
            let read = self.get(n, key);
            value = read.clone().unwrap_or_default();
            read.is_ok()
        });
        value
    }

    pub fn status(&self, n: usize) -> Option<Status> {
        match self.ask(n, Query::Status) {
            Ok(Answer::Status(status)) => Some(*status),
            _ => None,
        }
    }

    pub fn members(&self, n: usize) -> Option<Vec<MemberView>> {
        match self.ask(n, Query::Members) {
            Ok(Answer::Members(members)) => Some(members),
            _ => None,
        }
    }

    /// The numbers of those whose voice counts, as a member has it from the one that leads.
    pub fn voters(&self, n: usize) -> Vec<u64> {
        let members = self.members(n).unwrap_or_default();
        members.iter().filter(|view| view.role != Role::Learner).map(|view| view.place.number).collect()
    }

    pub fn wish(&self, n: usize, wish: Wish) -> Result<String, String> {
        match self.ask(n, Query::Wish(wish))? {
            Answer::Done(done) => Ok(done),
            other => Err(format!("{other:?}")),
        }
    }

    /// Waits until every member has the whole log.
    pub fn level(&self, n: usize) {
        until("all are level", PATIENCE, || {
            let members = self.members(n).unwrap_or_default();
            !members.is_empty() && members.iter().all(|view| view.behind == Some(0))
        });
    }

    /// The process that leads, as these see it.
    pub fn leader(&self, among: &[usize]) -> Option<usize> {
        let leads = |n: &usize| {
            self.status(*n).is_some_and(|status| status.role == Role::Leader && status.trouble.is_none())
        };
        among.iter().copied().find(leads)
    }

    /// Waits until one of these leads.
    pub fn led(&self, among: &[usize]) -> usize {
        let mut found = None;
        until("a member leads", PATIENCE, || {
            found = self.leader(among);
            found.is_some()
        });
        found.expect("a leader")
    }

    /// Starts members that form a store, and waits until they serve.
    pub fn form(&mut self, count: usize) {
        let all: Vec<usize> = (1..=count).collect();
        all.iter().for_each(|n| self.start(*n, &all));
        self.led(&all);
        all.iter().for_each(|n| self.writes(*n, "formed", "yes"));
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (1..self.children.len()).for_each(|n| self.kill(n));
        for child in self.before.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            eprintln!("what the processes left is in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// The address of a socket without its port.
pub fn host(address: SocketAddr) -> u8 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    }
}
