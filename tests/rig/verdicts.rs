//! A fleet that votes on record servers: the servers are stand-ins that write down every call, callers keep every node busy,
//! and a stand-in voter speaks the wire. The checker reads what servers saw and what is told to who asks for a list, and
//! nothing else that nodes say of themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use sillflow::ejection::detection::Scope;
use sillflow::ejection::evidence::{Evidence, Item};
use sillflow::ejection::list::{List, ListEntry, Number, Stage, Why};
use sillflow::ejection::participant::Report;
use sillflow::ejection::wire::{
    Answer, MAX_REQUEST_BYTES, Request, RequestBody, receive, send, send_request,
};

use super::copies::Work;
use super::relay::VERDICTS;
use super::{PATIENCE, Rig, until, wait};
use crate::support::resp::FrontEnd;
use crate::support::{http_reply, try_id};

/// The lease of nodes here, in ms.
pub const LEASE_MS: u64 = 1500;
/// Callers of each node, and the pause of each between two requests.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
/// How long a call takes, in ms. Callers keep so many servers busy that some calls go to one that is avoided: without them a
/// node looks at a bad server every 20 s.
pub const TAKES_MS: u64 = 40;

static TRIES: AtomicU64 = AtomicU64::new(1);

/// What a server does with calls.
#[derive(Clone, Debug, Default)]
pub struct Mode {
    /// One in so many fails; none for 0.
    pub fails_one_in: u64,
    /// How long it takes, in ms.
    pub takes_ms: u64,
    /// The calls of these nodes break off.
    pub cut: BTreeSet<usize>,
}

/// A call, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub at_ms: u64,
    pub server: SocketAddr,
    /// The node that made it.
    pub node: usize,
    pub good: bool,
}

/// What was seen from outside, in the order in which it was.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A server saw a call.
    Call(Call),
    /// Somebody who asks as a voter was told this list.
    Told {
        at_ms: u64,
        by: usize,
        list: List,
    },
    /// A fault was begun by the test, for these nodes (all where it is none), or ended.
    Ill {
        at_ms: u64,
        server: SocketAddr,
        zone: Option<String>,
    },
    Well {
        at_ms: u64,
        server: SocketAddr,
    },
    /// A node heard nobody in this time: it was stopped, cut off or not there.
    Apart {
        from_ms: u64,
        until_ms: u64,
        node: usize,
    },
    /// It started again, and was well from there on.
    Restarted {
        at_ms: u64,
        server: SocketAddr,
    },
    /// The operator takes back that it is out: nodes may call it before the next list is told.
    WordTakenBack {
        at_ms: u64,
        server: SocketAddr,
    },
}

pub type History = Arc<Mutex<Vec<Seen>>>;

/// What breaks the promises.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// A server was removed by votes while it was well for those that it was removed for.
    Good { at_ms: u64, server: SocketAddr, scope: Scope },
    /// A server that was ill for all for long is not listed.
    Stays { at_ms: u64, server: SocketAddr },
    /// A list with a lower number was told after a higher one, by whoever.
    Back { told: Number, after: Number },
    /// Two lists have one number.
    Twice(Number),
    /// More are out than may be, by number or by capacity.
    Cap(Number),
    /// A call came to a server that all have known to be out for so long, in ms.
    Called { server: SocketAddr, node: usize, late_ms: u64 },
}

/// How long after a fault is over a removal may still be for it, in ms: so long evidence counts.
const LATE_MS: u64 = 256_000;
/// The same after a restart: until it is known to those that say who is bad.
const RESTARTED_MS: u64 = 10_000;
/// How long a server may be ill for all and not be listed.
const STAYS_MS: u64 = 180_000;
/// How long after a list is told calls to what it has removed may come, in ms: a period, a call under way, and a machine
/// that is busy.
pub const IN_FORCE_MS: u64 = 5_000;

/// The servers with their capacities, and the part of them that may be out.
#[derive(Clone, Debug)]
pub struct Allowed {
    pub capacity: BTreeMap<SocketAddr, f64>,
    pub most_out: f64,
}

impl Allowed {
    /// By number and by capacity; one may be while the others have half.
    fn may_be_out(&self, out: &BTreeSet<SocketAddr>) -> bool {
        let whole: f64 = self.capacity.values().sum();
        let lost: f64 = out.iter().filter_map(|server| self.capacity.get(server)).sum();
        match out.len() {
            0 => true,
            1 => lost <= 0.5 * whole,
            count => {
                count as f64 <= self.most_out * self.capacity.len() as f64 && lost <= self.most_out * whole
            }
        }
    }
}

fn at_of(event: &Seen) -> u64 {
    match event {
        Seen::Call(call) => call.at_ms,
        Seen::Apart { from_ms, .. } => *from_ms,
        Seen::Told { at_ms, .. }
        | Seen::Ill { at_ms, .. }
        | Seen::Well { at_ms, .. }
        | Seen::Restarted { at_ms, .. }
        | Seen::WordTakenBack { at_ms, .. } => *at_ms,
    }
}

fn by_votes(listed: &&ListEntry) -> bool {
    !matches!(listed.why, Why::Operator)
}

/// Judges what was seen.
pub fn judge(seen: &[Seen], allowed: &Allowed) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut lists: BTreeMap<Number, &List> = BTreeMap::new();
    let mut known: BTreeSet<(SocketAddr, Scope, u32)> = BTreeSet::new();
    let mut high = Number::default();
    for event in seen {
        let Seen::Told { at_ms, list, .. } = event else { continue };
        if list.number < high {
            broken.push(Broken::Back { told: list.number, after: high });
        }
        high = high.max(list.number);
        if lists.insert(list.number, list).is_some_and(|known| known != list) {
            broken.push(Broken::Twice(list.number));
        }
        let lines = || list.entries.iter().filter(by_votes);
        if !allowed.may_be_out(&lines().map(|listed| listed.server).collect()) {
            broken.push(Broken::Cap(list.number));
        }
        let now: BTreeSet<_> =
            lines().map(|listed| (listed.server, listed.scope.clone(), listed.times)).collect();
        for (server, scope, _) in now.difference(&known) {
            if !was_ill(seen, *at_ms, *server, scope) {
                broken.push(Broken::Good { at_ms: *at_ms, server: *server, scope: scope.clone() });
            }
        }
        known = now;
        let listed = |server: &SocketAddr| list.entries.iter().any(|listed| listed.server == *server);
        let stays = ill_for_long(seen, *at_ms).into_iter().filter(|server| !listed(server));
        broken.extend(stays.map(|server| Broken::Stays { at_ms: *at_ms, server }));
    }
    broken.extend(late_calls(seen));
    broken
}

/// Whether a server was ill lately for those of a scope.
fn was_ill(seen: &[Seen], at_ms: u64, of: SocketAddr, scope: &Scope) -> bool {
    let mut ill = false;
    for event in seen.iter().filter(|event| at_of(event) <= at_ms) {
        match event {
            Seen::Ill { server, zone, .. } if *server == of => {
                ill |= match (scope, zone) {
                    (Scope::Everywhere, Some(_)) => false,
                    (Scope::Zone(scope), Some(zone)) => scope == zone,
                    (_, None) => true,
                };
            }
            Seen::Well { at_ms: at, server } if *server == of => ill &= at_ms < at + LATE_MS,
            Seen::Restarted { at_ms: at, server } if *server == of => ill &= at_ms < at + RESTARTED_MS,
            _ => {}
        }
    }
    ill
}

/// Servers that have been ill for all for long.
fn ill_for_long(seen: &[Seen], at_ms: u64) -> Vec<SocketAddr> {
    let mut since: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for event in seen.iter().filter(|event| at_of(event) <= at_ms) {
        match event {
            Seen::Ill { at_ms, server, zone: None } => _ = since.entry(*server).or_insert(*at_ms),
            Seen::Well { server, .. } | Seen::Restarted { server, .. } => _ = since.remove(server),
            _ => {}
        }
    }
    since.into_iter().filter(|(_, since)| at_ms > since + STAYS_MS).map(|(server, _)| server).collect()
}

/// Calls to a server while lists have had it out for all, without a break, since long before.
fn late_calls(seen: &[Seen]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut out: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut events: Vec<&Seen> = seen.iter().collect();
    events.sort_by_key(|event| at_of(event));
    for event in events {
        match event {
            Seen::Told { at_ms, list, .. } => {
                let gone = |listed: &&ListEntry| {
                    listed.scope == Scope::Everywhere && matches!(listed.stage, Stage::Out)
                };
                let now: BTreeSet<SocketAddr> =
                    list.entries.iter().filter(gone).map(|listed| listed.server).collect();
                out.retain(|server, _| now.contains(server));
                now.iter().for_each(|server| _ = out.entry(*server).or_insert(*at_ms));
            }
            Seen::WordTakenBack { server, .. } => _ = out.remove(server),
            Seen::Call(Call { at_ms, server, node, .. }) => {
                let apart = seen.iter().any(|event| match event {
                    Seen::Apart { from_ms, until_ms, node: n } => {
                        n == node && (*from_ms..until_ms + IN_FORCE_MS).contains(at_ms)
                    }
                    _ => false,
                });
                let late = out.get(server).filter(|_| !apart).map_or(0, |since| at_ms.saturating_sub(*since));
                if late > IN_FORCE_MS {
                    broken.push(Broken::Called { server: *server, node: *node, late_ms: late });
                }
            }
            _ => {}
        }
    }
    broken
}

struct Inside {
    mode: Mode,
    began: Instant,
    incarnation: u64,
    calls: u64,
    open: Vec<TcpStream>,
}

/// A record server, on threads of its own.
pub struct Server {
    pub address: SocketAddr,
    inside: Arc<Mutex<Inside>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    clock: Instant,
    seen: History,
}

impl Server {
    fn new(at: SocketAddr, clock: Instant, seen: History) -> Self {
        let inside = Inside {
            mode: Mode { takes_ms: TAKES_MS, ..Mode::default() },
            began: Instant::now() - Duration::from_secs(3600).min(clock.elapsed()),
            incarnation: rand::random(),
            calls: 0,
            open: Vec::new(),
        };
        let (inside, stop) = (Arc::new(Mutex::new(inside)), Arc::default());
        let mut server = Self { address: at, inside, stop, thread: None, clock, seen };
        server.listen();
        server
    }

    fn listen(&mut self) {
        let listener = TcpListener::bind(self.address).expect("its address");
        self.address = listener.local_addr().expect("an address");
        self.stop = Arc::default();
        let (stop, inside) = (self.stop.clone(), self.inside.clone());
        let (at, clock, seen) = (self.address, self.clock, self.seen.clone());
        self.thread = Some(std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop.load(SeqCst) {
                    return;
                }
                let (inside, seen) = (inside.clone(), seen.clone());
                if let Ok(open) = stream.try_clone() {
                    inside.lock().expect("a lock").open.push(open);
                }
                std::thread::spawn(move || serve(stream, at, clock, &inside, &seen));
            }
        }));
    }

    pub fn mode(&self, change: impl Fn(&mut Mode)) {
        change(&mut self.inside.lock().expect("a lock").mode);
    }

    /// Its process dies: connections end, and none is taken.
    pub fn die(&mut self) {
        self.stop.store(true, SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let open = std::mem::take(&mut self.inside.lock().expect("a lock").open);
        open.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// It starts again.
    pub fn begin(&mut self) {
        {
            let mut inside = self.inside.lock().expect("a lock");
            (inside.began, inside.incarnation) = (Instant::now(), rand::random());
        }
        self.listen();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.die();
    }
}

/// The calls of one connection.
fn serve(
    stream: TcpStream,
    at: SocketAddr,
    clock: Instant,
    inside: &Mutex<Inside>,
    seen: &Mutex<Vec<Seen>>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(said) = line.strip_prefix("Content-Length: ") {
                length = said.trim().parse().ok()?;
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let node: usize = String::from_utf8(body).ok()?.parse().ok()?;
        let (mode, headers, nth) = {
            let mut inside = inside.lock().ok()?;
            inside.calls += 1;
            let up = inside.began.elapsed().as_millis();
            let headers = format!("Op-Incarnation: {:016x}\r\nOp-Up-Ms: {up}\r\n", inside.incarnation);
            (inside.mode.clone(), headers, inside.calls)
        };
        let cut = mode.cut.contains(&node);
        let fails = mode.fails_one_in > 0 && nth % mode.fails_one_in == 0;
        let at_ms = clock.elapsed().as_millis() as u64;
        seen.lock().ok()?.push(Seen::Call(Call { at_ms, server: at, node, good: !cut && !fails }));
        if cut {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        std::thread::sleep(Duration::from_millis(mode.takes_ms));
        let status = if fails { "500 Failed" } else { "200 OK" };
        stream.write_all(&http_reply(status, &headers, b"")).ok()?;
    }
}

/// A processor whose every run makes one call, and says from which node.
fn processor(node: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for link in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || process(node, link));
        }
    });
    address
}

fn process(node: usize, link: TcpStream) -> Option<()> {
    let _ = link.set_nodelay(true);
    let mut back = link.try_clone().ok()?;
    let mut seq = 0;
    for line in BufReader::new(link).lines().map_while(Result::ok) {
        let command: Value = serde_json::from_str(&line).ok()?;
        let id = &command["id"];
        let notice = match command["op"].as_str()? {
            "hello" => {
                seq = command["seq"].as_u64()?;
                json!({"op": "hi", "end": "warm", "ms": 5.0})
            }
            "usage" => json!({"op": "used", "tag": command["tag"], "values": [0.2, 0.5, 0.1, 3.0]}),
            "begin" => {
                seq += 1;
                json!({"op": "ask", "seq": seq, "id": id, "body": STANDARD.encode(node.to_string())})
            }
            "answer" | "without" => {
                seq += 1;
                json!({"op": "complete", "seq": seq, "id": id, "end": "ok", "ms": 1.0, "body": ""})
            }
            _ => continue,
        };
        back.write_all(format!("{notice}\n").as_bytes()).ok()?;
    }
    Some(())
}

/// A caller that asks one request after the other.
fn call(at: SocketAddr, stop: &AtomicBool, done: &AtomicU64) {
    let mut front: Option<FrontEnd> = None;
    while !stop.load(SeqCst) {
        std::thread::sleep(PAUSE);
        if front.is_none() {
            let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok();
            front = stream.and_then(|stream| FrontEnd::over(stream).ok());
        }
        let Some(open) = &mut front else { continue };
        let tag = TRIES.fetch_add(1, SeqCst);
        let req = try_id(tag << 20 | u64::from(std::process::id()) & 0xf_ffff);
        // A node that is stopped or gone takes no request.
        let asked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            open.ask(tag, "history", &req, "", b"x");
            open.answer_if_any()
        }));
        match asked {
            Ok(Some(answer)) if !open.closing => {
                done.fetch_add(u64::from(answer.word == "done"), SeqCst);
            }
            _ => front = None,
        }
    }
}

/// The servers and callers of a fleet that votes.
pub struct Site {
    pub servers: Vec<Server>,
    pub seen: History,
    pub done: Arc<AtomicU64>,
    pub clock: Instant,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    /// More for the table of verdicts of each node.
    pub more: String,
    /// Zones of the nodes, which go round them.
    pub zones: usize,
    /// Further nodes that belong and have no part, so that a stand-in can vote as each.
    pub guests: usize,
    /// An error in every node, where one is named.
    pub planted: &'static str,
}

impl Site {
    pub fn new(servers: usize, zones: usize) -> Self {
        let (clock, seen) = (Instant::now(), History::default());
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let servers = (0..servers).map(|_| Server::new(any, clock, seen.clone())).collect();
        let (done, stop) = (Arc::default(), Arc::default());
        Self {
            servers,
            seen,
            done,
            clock,
            stop,
            callers: Vec::new(),
            more: String::new(),
            zones,
            guests: 1,
            planted: "",
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    pub fn note(&self, event: Seen) {
        self.seen.lock().expect("a lock").push(event);
    }

    /// A fault begins, and is written down before it is in force.
    pub fn ill(&self, server: usize, zone: Option<usize>) {
        let zone = zone.map(|zone| format!("z{zone}"));
        self.note(Seen::Ill { at_ms: self.now_ms(), server: self.servers[server].address, zone });
    }

    pub fn well(&self, server: usize) {
        self.note(Seen::Well { at_ms: self.now_ms(), server: self.servers[server].address });
    }

    pub fn apart(&self, node: usize, from_ms: u64) {
        self.note(Seen::Apart { from_ms, until_ms: self.now_ms(), node });
    }

    pub fn restarted(&self, server: usize) {
        self.note(Seen::Restarted { at_ms: self.now_ms(), server: self.servers[server].address });
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.servers[server].address
    }

    /// Calls that a server has seen since then, of these nodes.
    pub fn calls(&self, server: usize, since_ms: u64, nodes: &[usize]) -> usize {
        let at = self.servers[server].address;
        let seen = self.seen.lock().expect("a lock");
        let of = |event: &&Seen| matches!(event, Seen::Call(call) if call.server == at && call.at_ms >= since_ms && nodes.contains(&call.node));
        seen.iter().filter(of).count()
    }

    /// Judges all that was seen.
    pub fn holds(&self) {
        let seen = self.seen.lock().expect("a lock").clone();
        let capacity = self.servers.iter().map(|server| (server.address, 1.0)).collect();
        assert_eq!(judge(&seen, &Allowed { capacity, most_out: 0.3 }), []);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.callers.drain(..).for_each(|caller| drop(caller.join()));
    }
}

impl Rig {
    /// The operator's file of a node that votes.
    pub fn votes_table(&self, n: usize, site: &Site) -> String {
        self.fleet_table(n, n % site.zones) + &self.votes_part(n, site)
    }

    /// What of it is beside the fleet's table.
    pub fn votes_part(&self, n: usize, site: &Site) -> String {
        let zone = n % site.zones;
        let mut file = format!(
            "[duties]\nlease_ms = {LEASE_MS}\ncold_ms = 0\n[verdicts]\nport = {VERDICTS}\n{}",
            site.more
        );
        file += &format!("\n[records.choice]\nmost_in_hand = 1.0\nzone = \"z{zone}\"\n");
        for server in &site.servers {
            file += &format!("[[records.servers]]\naddress = \"{}\"\n", server.address);
        }
        file
    }

    /// A fleet of so many that votes on these servers, each node with its callers, and the guests. It is returned when
    /// every node follows a list.
    pub fn voting(count: usize, site: &mut Site) -> Self {
        let whole = count + site.guests;
        let mut rig = Self::new(whole);
        let work = Work { due_ms: Some(1500), ..Work::default() };
        (1..=whole).for_each(|n| work.put(n, processor(n)));
        rig.work = Some(work);
        for n in 1..=count {
            let file = rig.votes_table(n, site);
            rig.start_with(n, &file, &format!("export SILLFLOW_PLANTED={};", site.planted));
        }
        (count + 1..=whole).for_each(|n| rig.join(n, n % site.zones));
        let all: Vec<usize> = (1..=count).collect();
        until("all belong", PATIENCE * 2, || rig.all_see(&all, whole));
        until("all follow a list", PATIENCE * 2, || {
            all.iter().all(|n| rig.votes(*n).is_some_and(|votes| votes.in_force))
        });
        for n in &all {
            rig.called(site, *n);
        }
        until("calls are made", PATIENCE, || site.done.load(SeqCst) > 50 * count as u64);
        rig
    }

    /// Puts other words into the files of all nodes, and has them read.
    pub fn words(&self, count: usize, site: &mut Site, more: &str) {
        site.more = more.to_owned();
        for n in 1..=count {
            let file = self.votes_table(n, site);
            std::fs::write(self.dir.join(format!("operator-{n}.toml")), file).expect("a file");
            self.signal(n, "-HUP");
        }
    }

    /// Callers of a node.
    fn called(&self, site: &mut Site, n: usize) {
        for _ in 0..CALLERS {
            let (at, stop, done) = (self.serves(n), site.stop.clone(), site.done.clone());
            site.callers.push(std::thread::spawn(move || call(at, &stop, &done)));
        }
    }

    /// What a node shows of the votes.
    pub fn votes(&self, n: usize) -> Option<Report> {
        self.seen(n)?.verdicts
    }

    /// Whether a node has the duty of counting, and may have only begun.
    pub fn has_duty(&self, n: usize) -> bool {
        let held = self.seen(n).and_then(|seen| seen.duties).unwrap_or_default().held;
        held.iter().any(|shown| shown.duty.as_str() == "verdicts")
    }

    /// Waits until one of these has the duty of counting.
    pub fn given_to(&self, among: &[usize]) -> usize {
        let mut found = None;
        until("a node has the duty", PATIENCE, || {
            found = among.iter().copied().find(|n| self.has_duty(*n));
            found.is_some()
        });
        found.expect("a node")
    }

    /// The node that counts, as all of these were told.
    pub fn counts(&self, among: &[usize]) -> Option<usize> {
        among.iter().copied().find(|n| self.votes(*n).is_some_and(|votes| votes.counts))
    }

    /// Waits for a node other than these that counts.
    pub fn counted_by(&self, among: &[usize], not: &[usize]) -> usize {
        let mut found = None;
        until("a node counts", PATIENCE, || {
            found = self.counts(among).filter(|n| !not.contains(n));
            found.is_some()
        });
        found.expect("a node")
    }

    /// Whether a node has a server listed.
    pub fn lists(&self, n: usize, server: SocketAddr) -> Option<ListEntry> {
        self.votes(n)?.entries.into_iter().find(|listed| listed.server == server)
    }
}

/// A voter that is none: it says what it likes in the name of a node, and is told lists.
pub struct StandIn {
    pub n: usize,
    number: u64,
    life: u64,
}

impl StandIn {
    pub fn new(n: usize) -> Self {
        Self { n, number: 0, life: rand::random() }
    }

    /// Says this to a node; its answer, and a list that is in it is written down.
    pub fn says(&mut self, rig: &Rig, site: &Site, to: usize, items: Vec<Item>) -> Option<Answer> {
        self.number += 1;
        let answer = self.as_from(rig, self.n, to, Evidence { number: self.number, items })?;
        if let Answer::Counted { list: Some(list), .. } = &answer {
            site.note(Seen::Told { at_ms: site.now_ms(), by: to, list: list.clone() });
        }
        Some(answer)
    }

    /// Says this to a node in the name that it has now, from the address of another one.
    pub fn as_from(&self, rig: &Rig, from: usize, to: usize, evidence: Evidence) -> Option<Answer> {
        let what = RequestBody::Evidence { evidence, trials: Vec::new(), have: Number::default() };
        let said = Request { from: format!("n{}", self.n), life: self.life, what };
        let at = SocketAddr::new(rig.fleet_address(to).ip(), VERDICTS);
        wait(send_request(at, rig.relayed(from).split(':').next()?.parse().ok()?, &said)).ok()
    }

    /// Asks the node that counts for its list, and writes it down.
    pub fn asks(&mut self, rig: &Rig, site: &Site, among: &[usize]) -> Option<List> {
        let holder = rig.counts(among)?;
        match self.says(rig, site, holder, Vec::new()) {
            Some(Answer::Counted { list, .. }) => list,
            _ => None,
        }
    }
}

/// A node that says that it counts, under a number that was never given, and has a list that nobody else has.
pub struct Pretender {
    n: usize,
    life: u64,
    number: u64,
}

impl Pretender {
    /// In the place of a node that belongs; the list has this server out for all.
    pub fn start(rig: &Rig, n: usize, out: SocketAddr) -> Self {
        let pretender = Self { n, life: rand::random(), number: u64::MAX / 4 };
        let why = Why::Operator;
        let listed =
            ListEntry { server: out, scope: Scope::Everywhere, stage: Stage::Out, times: 1, why, word: None };
        let at = SocketAddr::new(rig.fleet_address(n).ip(), VERDICTS);
        let listener = TcpListener::bind(at).expect("nobody else has it");
        listener.set_nonblocking(true).expect("a socket");
        let number = pretender.number;
        std::thread::spawn(move || {
            wait(async {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
                while let Ok((mut stream, _)) = listener.accept().await {
                    let listed = listed.clone();
                    let tells = async {
                        let said: Request = receive(&mut stream, MAX_REQUEST_BYTES).await.ok()?;
                        send(&mut stream, &lie(said.what, number, listed)).await.ok()
                    };
                    let _ = tokio::time::timeout(Duration::from_millis(500), tells).await;
                }
            })
        });
        pretender
    }

    /// Says to a node that it counts.
    pub fn claims(&self, rig: &Rig, to: usize) -> Option<Answer> {
        let what = RequestBody::Holds { fence: self.number, best: Number::default() };
        let said = Request { from: format!("n{}", self.n), life: self.life, what };
        let at = SocketAddr::new(rig.fleet_address(to).ip(), VERDICTS);
        wait(send_request(at, rig.relayed(self.n).split(':').next()?.parse().ok()?, &said)).ok()
    }
}

/// What the pretender answers: its list, to the next one that counts as the last of the one before.
fn lie(asked: RequestBody, number: u64, listed: ListEntry) -> Answer {
    let list = |fence| List { number: Number { fence, sequence: 1_000_000 }, entries: vec![listed] };
    match asked {
        RequestBody::Holds { fence, .. } => Answer::Known(Some(list(fence - 1))),
        RequestBody::Evidence { .. } => {
            let list = list(number);
            Answer::Counted { number: list.number, list: Some(list), ill: false, asked: Vec::new() }
        }
    }
}
