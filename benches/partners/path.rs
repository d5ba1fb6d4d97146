//! What the table of routes costs on the path of a request: two nodes as real processes, one that follows 100,000 routes of 20
//! partners and one that follows none, asked in turn. A line a figure, with its bar.

#[path = "../../tests/rig/path.rs"]
#[allow(dead_code)]
mod path;
#[path = "../shared/report.rs"]
#[allow(dead_code)]
mod report;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use path::{Deed, History, Offer, Server, document};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use report::Report;
use support::resp::FrontEnd;
use support::{Node, config, settings, try_id};

const PARTNERS: usize = 20;
const ROUTES: usize = 100_000;
/// Requests of each node, those before the first that counts, and how many in a row.
const REQUESTS: usize = 6_000;
const WARM: usize = 500;
const IN_A_ROW: usize = 20;
/// After this it is looked whether a request was turned away.
const LOOK: Duration = Duration::from_millis(50);

/// A node with what it takes to ask it.
struct Asked {
    node: Node,
    front: FrontEnd,
    times: Histogram<u64>,
    tag: u64,
}

impl Asked {
    fn start(calls_to: SocketAddr, tables: &str) -> Self {
        let mut config = config(settings());
        config["calls_to"] = calls_to.to_string().into();
        let mut node = Node::launch_as(config, tables);
        node.processor.greet("warm");
        node.reported("Ready");
        let front = FrontEnd::connect(&node.resp);
        Self { node, front, times: Histogram::new(3).expect("a histogram"), tag: 0 }
    }

    /// One request with a call, from its first byte to its answer.
    fn ask(&mut self, subject: u64) {
        self.tag += 1;
        let of = try_id(self.tag);
        let began = Instant::now();
        self.front.ask(self.tag, "history", &of, &format!(",subject={subject:x}"), b"body");
        if !self.is_begun() {
            return;
        }
        self.node.processor.ask(&of, b"call");
        self.node.processor.command("answer");
        self.node.processor.complete(&of, b"result");
        assert_eq!(self.front.answer().word, "done");
        self.times.record(began.elapsed().as_micros() as u64).expect("in range");
    }

    /// Whether the request is run, and not turned away as a busy machine has it.
    fn is_begun(&mut self) -> bool {
        let mut look = Instant::now() + LOOK;
        while self.node.processor.count("begin") == 0 {
            if Instant::now() >= look {
                if self.front.try_answer_within_ms(1).is_some() {
                    return false;
                }
                look = Instant::now() + LOOK;
            }
            std::thread::sleep(Duration::from_micros(20));
        }
        self.node.processor.begun();
        true
    }

    fn p99(&self) -> f64 {
        self.times.value_at_quantile(0.99) as f64
    }
}

/// A route of one of the partners, for requests like those that are asked or for others: four lengths of prefix and six
/// widths of range.
fn offer(rng: &mut SmallRng, partner: usize) -> Offer {
    let length = [8, 16, 20, 24][rng.random_range(0..4usize)];
    let first: u64 = rng.random_range(0..1 << 20);
    let width = 1u64 << [0, 4, 8, 10, 12, 16][rng.random_range(0..6usize)];
    let net: ipnet::IpNet =
        format!("10.{}.{}.0/{length}", rng.random::<u8>(), rng.random::<u8>()).parse().expect("a prefix");
    Offer {
        subjects: Some((first, first + width - 1)),
        addresses: Some(net.trunc()),
        class: match rng.random_range(0..50) {
            0 => Some("history".to_owned()),
            class => Some(format!("class-{class}")),
        },
        ..Offer::new(&format!("site-{partner}"), &[SocketAddr::from(([127, 0, 0, 1], 9))], 1)
    }
}

/// Writes a table for each partner, the first of which serves what no other does; the operator's table for them.
fn write_tables(folder: &Path, server: SocketAddr) -> String {
    let mut rng = SmallRng::seed_from_u64(27);
    let mut tables = "[routes]\nsite = \"home\"\n".to_owned();
    for partner in 0..PARTNERS {
        let site = format!("site-{partner}");
        let mut offers: Vec<Offer> = (1..ROUTES / PARTNERS).map(|_| offer(&mut rng, partner)).collect();
        offers.push(Offer::new(&site, &[server], 1));
        let file = folder.join(&site);
        std::fs::write(&file, document(&site, &offers).to_string()).expect("a file");
        tables += &format!("[[routes.files]]\nof = {site:?}\nfile = {file:?}\n");
    }
    tables
}

fn main() -> ExitCode {
    let mut report = Report::default();
    let history = History::default();
    let server = Server::start("all", Deed::Serve, &history);
    let folder = std::env::temp_dir().join(format!("sillflow-path-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let tables = write_tables(&folder, server.address);
    let mut off = Asked::start(server.address, "");
    let mut on = Asked::start(path::nobody(), &tables);
    on.node.logged(&format!("calls follow {ROUTES} routes"));
    // A connection that says nothing at first is closed, and the second node took long to start.
    for asked in [&mut off, &mut on] {
        asked.front = FrontEnd::connect(&asked.node.resp);
    }
    let mut rng = SmallRng::seed_from_u64(9);
    for round in 0..(REQUESTS + WARM) / IN_A_ROW {
        for asked in [&mut off, &mut on] {
            if round * IN_A_ROW == WARM {
                asked.times.clear();
            }
            (0..IN_A_ROW).for_each(|_| asked.ask(rng.random_range(0..1 << 20)));
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    let (without, with) = (off.p99() / 1000.0, on.p99() / 1000.0);
    report.plain("99th percentile without routes, ms", without);
    report.plain(&format!("99th percentile with {ROUTES} routes, ms"), with);
    report.most("99th percentile with routes, times that without", with / without, 1.05);
    report.end()
}
