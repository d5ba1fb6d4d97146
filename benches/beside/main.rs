//! What a node's part in a fleet costs its callers: two nodes as real processes on one core in turn, one in a fleet and one
//! alone, each asked by as many callers as keep it busy. A line a figure, with its bar. PART=fleet, duties, votes or copies
//! measures one; ROUNDS=N turns of each.

#[path = "../shared/report.rs"]
mod report;
#[path = "../../tests/rig/mod.rs"]
mod rig;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use report::Report;
use rig::copies::Work;
use rig::target::Target;
use rig::verdicts::Site;
use rig::{PATIENCE, Rig, until};
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::try_id;

/// Nodes of the fleet; the one that is asked is no member of its store.
const NODES: usize = 6;
const ASKED: usize = 5;
const ALONE: usize = 7;
/// Callers, each with one request after the other, and how long a node is asked at a time.
const CALLERS: usize = 8;
const TURN: Duration = Duration::from_millis(100);
/// Turns of each before the first that counts.
const WARM: u64 = 10;

static TRIES: AtomicU64 = AtomicU64::new(1);

/// A processor that is done at once.
fn processor() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for link in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || process(link));
        }
    });
    address
}

fn process(link: TcpStream) -> Option<()> {
    link.set_nodelay(true).ok()?;
    let mut back = link.try_clone().ok()?;
    let mut seq = 0;
    for line in BufReader::new(link).lines().map_while(Result::ok) {
        let command: Value = serde_json::from_str(&line).ok()?;
        let notice = match command["op"].as_str()? {
            "hello" => {
                seq = command["seq"].as_u64()?;
                json!({"op": "hi", "end": "warm", "ms": 5.0})
            }
            "usage" => json!({"op": "used", "tag": command["tag"], "values": [0.5, 1.0, 0.1, 3.0]}),
            "begin" => {
                seq += 1;
                json!({"op": "complete", "seq": seq, "id": command["id"], "end": "ok", "ms": 0.1, "body": ""})
            }
            _ => continue,
        };
        back.write_all(format!("{notice}\n").as_bytes()).ok()?;
    }
    Some(())
}

/// Times of one node's requests, in us, and those that were not served.
struct Times {
    all: Histogram<u64>,
    lost: u64,
}

impl Times {
    fn new() -> Self {
        Self { all: Histogram::new(3).expect("a histogram"), lost: 0 }
    }

    fn add(&mut self, other: &Self) {
        self.all.add(&other.all).expect("they are alike");
        self.lost += other.lost;
    }

    fn p99(&self) -> f64 {
        self.all.value_at_quantile(0.99) as f64 / 1000.0
    }
}

/// Asks a node for a turn.
fn ask(fronts: &mut [FrontEnd]) -> Times {
    let end = Instant::now() + TURN;
    let mut whole = Times::new();
    std::thread::scope(|scope| {
        let asking: Vec<_> = fronts
            .iter_mut()
            .map(|front| {
                scope.spawn(move || {
                    let mut times = Times::new();
                    while Instant::now() < end {
                        let tag = TRIES.fetch_add(1, SeqCst);
                        let began = Instant::now();
                        front.ask(tag, "plate-check", &try_id(tag), "", b"body");
                        match front.answer().word.as_str() {
                            "done" => _ = times.all.record(began.elapsed().as_micros() as u64),
                            _ => times.lost += 1,
                        }
                    }
                    times
                })
            })
            .collect();
        asking.into_iter().for_each(|asking| whole.add(&asking.join().expect("a caller")));
    });
    whole
}

fn fronts(rig: &Rig, n: usize) -> Vec<FrontEnd> {
    (0..CALLERS).map(|_| FrontEnd::connect(&rig.serves(n).to_string())).collect()
}

/// A node in such a fleet beside one alone, in turn.
fn beside(report: &mut Report, name: &str, rig: &Rig) {
    let rounds = std::env::var("ROUNDS").ok().and_then(|rounds| rounds.parse().ok()).unwrap_or(100) + WARM;
    let (mut within, mut alone) = (Times::new(), Times::new());
    let (mut to_one, mut to_other) = (fronts(rig, ASKED), fronts(rig, ALONE));
    for round in 0..rounds {
        let (one, other) = (ask(&mut to_one), ask(&mut to_other));
        if round >= WARM {
            within.add(&one);
            alone.add(&other);
        }
    }
    report.plain(&format!("{name}: requests of each node"), (within.all.len().min(alone.all.len())) as f64);
    report.plain(&format!("{name}: 99th percentile of a node alone, ms"), alone.p99());
    report.plain(&format!("{name}: of one in a fleet, ms"), within.p99());
    report.most(
        &format!("{name}: 99th percentile beside that of a node alone"),
        within.p99() / alone.p99(),
        1.05,
    );
    let rate = within.all.len() as f64 / alone.all.len() as f64;
    report.least(&format!("{name}: requests served beside those of a node alone"), rate, 0.95);
    let turned_away = |times: &Times| times.lost as f64 / (times.lost + times.all.len()) as f64;
    report.plain(
        &format!("{name}: part that a node alone turns away, as more is asked than it can do"),
        turned_away(&alone),
    );
    report.plain(&format!("{name}: the same of one in a fleet"), turned_away(&within));
}

/// A fleet with such tables at each node, and a node alone. Both that are asked have one core, the same.
fn fleet(mut rig: Rig, more: &dyn Fn(&Rig, usize) -> String) -> Rig {
    let work = Work::default();
    (1..=ALONE).for_each(|n| work.put(n, processor()));
    rig.work = Some(work);
    let core = std::thread::available_parallelism().map_or(1, usize::from) - 1;
    let pinned = format!("taskset -p -c {core} $$ >/dev/null;");
    for n in 1..=NODES {
        let file = rig.fleet_table(n, n % 3) + &more(&rig, n);
        rig.start_with(n, &file, if n == ASKED { &pinned } else { "" });
    }
    rig.start_with(ALONE, "", &pinned);
    let all: Vec<usize> = (1..=NODES).collect();
    until("all belong", PATIENCE * 2, || rig.all_see(&all, NODES));
    for n in [ASKED, ALONE] {
        rig.logged(n, "the processor is up");
    }
    rig
}

fn duties(target: &str) -> String {
    let beats =
        (0..12).map(|n| format!("[[duties.beats]]\nname = \"d{n}\"\naddress = {target:?}\nevery_ms = 100\n"));
    format!("[duties]\nlease_ms = 3000\ncold_ms = 0\n{}", beats.collect::<String>())
}

fn the_view(report: &mut Report) {
    beside(report, "the fleet's view", &fleet(Rig::new(ALONE), &|_, _| String::new()));
}

fn twelve_duties(report: &mut Report) {
    let rig = Rig::new(ALONE);
    let at = rig.address(ALONE);
    let (target, table) = (Target::start(&at, None), duties(&at));
    let rig = fleet(rig, &|_, _| table.clone());
    until("all duties are acted under", PATIENCE * 2, || target.acted().len() == 12);
    beside(report, "twelve duties", &rig);
}

fn votes(report: &mut Report) {
    let site = Site::new(5, 3);
    let rig = fleet(Rig::new(ALONE), &|rig, n| rig.votes_part(n, &site));
    let follows = |n: usize| rig.votes(n).is_some_and(|votes| votes.in_force);
    until("all follow a list", PATIENCE * 2, || (1..=NODES).all(follows));
    beside(report, "votes", &rig);
}

fn copies(report: &mut Report) {
    let rig = fleet(Rig::new(ALONE), &|_, _| "[copies]\n".to_owned());
    rig.settled(&(1..=NODES).collect::<Vec<_>>());
    beside(report, "copies, requests without a key", &rig);
}

type Part = fn(&mut Report);

fn main() -> ExitCode {
    let mut report = Report::default();
    let part = std::env::var("PART").ok();
    let parts: [(&str, Part); 4] =
        [("fleet", the_view), ("duties", twelve_duties), ("votes", votes), ("copies", copies)];
    for (name, measure) in parts {
        if part.as_ref().is_none_or(|part| part == name) {
            measure(&mut report);
        }
    }
    report.end()
}
