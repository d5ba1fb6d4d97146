//! An upgrade under load: requests that the old process has read are due later than it is stopped.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use stand::*;

/// SIGKILL comes so long after SIGTERM, in ms: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
const STOP_MS: u64 = 3700;
/// Upgrades, and the time between the ends of two, in ms.
const UPGRADES: usize = 2;
const APART_MS: u64 = 11_000;
/// Time between two arrivals, in ms: what the cores can do takes them all up.
const GAP_MS: f64 = 100.0;
/// Six cores of the older kind, and how many times slower they are for a while.
const SPEED: f64 = 0.5;
const SLOWER: f64 = 7.0;
const SLOW_FROM_MS: u64 = 8_500;
const SLOW_FOR_MS: u64 = 25_000;

/// The work of a request as its body tells it, in ms.
fn work(sent: &Sent) -> f64 {
    String::from_utf8_lossy(&sent.body).rsplit(' ').next().and_then(|work| work.parse().ok()).unwrap_or(300.0)
}

fn main() {
    let world = World::new();
    let folder = Folder::new();
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = held.local_addr().expect("an address").to_string();
    let cores = Cores::new(6, SPEED);
    let plan = |_: &str, sent: &Sent| {
        let work = work(sent);
        let half = Step::Work(work / 2.0);
        let steps = match sent.class.as_str() {
            "pay-session" => vec![half.clone(), Step::Call(b"write".to_vec()), half],
            _ => vec![Step::Work(work)],
        };
        Plan { steps, end: "ok" }
    };
    let records =
        records(|_, _| Reply { after: ms(40), status: "200 OK", body: b"written".to_vec(), behind: None });
    let control = control();
    let start = |number: usize| {
        let names = ["process 0", "process 1", "process 2", "process 3", "process 4"];
        let processor = Processor::start(names[number], &world, &cores, plan);
        let admin = free_address();
        let to = Addresses {
            listen: &listen,
            admin: &admin,
            processor: &processor.address,
            control: &control,
            records: &records,
        };
        let file = folder.0.join(format!("config-{number}.json"));
        replace_file(&file, &configuration(&to, &almaty(), STOP_MS));
        let node = Node::start(names[number], &world, &file, &folder.0, Some(&held), &[]);
        let ready = within(ms(6000), || call(&admin, "GET", "/status") == Some(200));
        (node, processor, ready)
    };
    let (mut node, _first, ready) = start(0);
    if !ready || !within(ms(5000), || health(&listen).as_deref() == Some("healthy")) {
        finish(&world, 2, "the node does not come up");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let load = spawn({
        let (world, listen, stop) = (world.clone(), listen.clone(), stop.clone());
        move || send_all(&world, &listen, &stop)
    });
    spawn({
        let (world, cores) = (world.clone(), cores.clone());
        move || {
            sleep(ms(SLOW_FROM_MS));
            world.note(format!("the cores are {SLOWER} times slower"));
            cores.turn_to(SPEED / SLOWER);
            sleep(ms(SLOW_FOR_MS));
            world.note("the cores are as fast as before");
            cores.turn_to(SPEED);
        }
    });
    let mut processors = Vec::new();
    for number in 1..=UPGRADES {
        sleep(ms(APART_MS));
        if !trouble() {
            continue;
        }
        let (next, processor, ready) = start(number);
        if !ready {
            finish(&world, 2, "the next process does not say yes within 6 s");
        }
        node.signal(TERM);
        let told = Instant::now();
        let open = locked(&world.requests).values().filter(|sent| !sent.is_over()).count();
        world.note(format!("{open} requests are open"));
        while told.elapsed() < ms(STOP_MS) && !node.has_ended() {
            sleep(ms(1));
        }
        if !node.has_ended() {
            node.signal(KILL);
        }
        node = next;
        processors.push(processor);
    }
    sleep(ms(8000));
    stop.store(true, SeqCst);
    let _ = load.join();
    // All is due by then.
    sleep(ms(9400 + 500));
    let slack = 80.0 + 50.0;
    let lost = world.lost(slack);
    let all = locked(&world.requests).len();
    for (id, what) in &lost {
        let sent = world.get(id).unwrap_or_default();
        world.note(format!(
            "lost: {id} of {}, read {:.0} ms after the start: {what}",
            sent.class,
            sent.at - world.start
        ));
    }
    let share = lost.len() as f64 / all as f64;
    let verdict = format!(
        "{} of {all} requests have no final answer in their time ({:.1} in 1,000)",
        lost.len(),
        share * 1e3
    );
    finish(&world, i32::from(share > 0.003), &verdict)
}

/// Sends what the site's callers do, on three connections, each used until the node gives it back.
fn send_all(world: &Arc<World>, listen: &str, stop: &AtomicBool) {
    let mut draws = Draws(0x5117_f10e_0000_0006);
    let mut fronts: Vec<Option<Arc<Front>>> = vec![None; 3];
    let mut next = Instant::now();
    let mut turn = 0;
    while !stop.load(SeqCst) {
        next += Duration::from_secs_f64(draws.gap(GAP_MS) / 1000.0);
        sleep(next.saturating_duration_since(Instant::now()));
        turn += 1;
        let kind = draws.unit();
        let (class, mean, cv, limit) = match kind {
            _ if kind < 0.39 => ("history", 330.0, 0.8, 9400.0),
            _ if kind < 0.75 => ("plate-check", 330.0, 0.8, 5700.0),
            _ => ("pay-session", 200.0, 0.9, 5700.0),
        };
        let work = draws.lognormal(mean, cv);
        let key =
            (class == "pay-session").then(|| format!("{:032x}", (world.start as u128) << 32 | turn as u128));
        let ask = Ask {
            class: class.to_owned(),
            key,
            body: format!("request {turn} {work:.0}").into_bytes(),
            limit,
            resent: false,
            more: format!(",ms={work:.2},owner=almaty"),
        };
        let front = &mut fronts[turn % 3];
        for _ in 0..3 {
            if let Some(front) = front.as_ref()
                && front.ask(&ask).is_some()
            {
                break;
            }
            *front = Front::connect(listen, world).ok();
        }
    }
}
