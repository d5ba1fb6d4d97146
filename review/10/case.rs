//! Standby is called at the next process of an upgrade, which says yes, and forgets it when its turn comes.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::net::TcpListener;
use std::thread::sleep;
use std::time::Instant;

use stand::*;

const STOP_MS: u64 = 3700;
/// Answering good so long after the call breaks the rule, in ms.
const DRAINS_MS: f64 = 4000.0;

fn main() {
    let world = World::new();
    let folder = Folder::new();
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = held.local_addr().expect("an address").to_string();
    let cores = Cores::new(6, 0.6);
    let plan = |_: &str, _: &Sent| Plan { steps: vec![Step::Work(200.0)], end: "ok" };
    let control = control();
    let start = |name: &'static str, processor: &str| {
        let admin = free_address();
        let to = Addresses {
            listen: &listen,
            admin: &admin,
            processor,
            control: &control,
            records: "127.0.0.1:1",
        };
        let file = folder.0.join(format!("{name}.json"));
        replace_file(&file, &configuration(&to, &almaty(), STOP_MS));
        let node = Node::start(name, &world, &file, &folder.0, Some(&held), &[]);
        if !within(ms(6000), || call(&admin, "GET", "/status") == Some(200)) {
            finish(&world, 2, "a process does not say yes within 6 s");
        }
        (node, admin)
    };
    let first = Processor::start("processor 0", &world, &cores, plan);
    let (old, admin) = start("process-0", &first.address);
    if !within(ms(5000), || health(&listen).as_deref() == Some("healthy")) {
        finish(&world, 2, "the node does not come up");
    }
    sleep(ms(2000));
    let second = Processor::start("processor 1", &world, &cores, plan);
    // With the upgrade the call goes to the next process, which has said yes; without, to the one that serves.
    let (_next, admin) = match trouble() {
        true => {
            let (next, admin) = start("process-1", &second.address);
            (Some(next), admin)
        }
        false => (None, admin),
    };
    let standby = call(&admin, "POST", "/standby");
    let called = unix_ms();
    world.note(format!("POST /standby: {standby:?}"));
    if standby != Some(200) {
        finish(&world, 0, "the call is turned down, so nothing is promised");
    }
    if trouble() {
        sleep(ms(500));
        old.signal(TERM);
        let told = Instant::now();
        while told.elapsed() < ms(STOP_MS) && !old.has_ended() {
            sleep(ms(5));
        }
        if !old.has_ended() {
            old.signal(KILL);
        }
    }
    let (mut good, mut asked) = (0, 0);
    while unix_ms() < called + 14_000.0 {
        let word = health(&listen);
        let after = unix_ms() - called;
        if after > DRAINS_MS + 50.0 {
            asked += 1;
            if word.as_deref() == Some("healthy") {
                good += 1;
            }
        }
        world.note(format!("a health check {after:.0} ms after the call: {word:?}"));
        sleep(ms(100));
    }
    world.note(format!("GET /status: {:?}", call(&admin, "GET", "/status")));
    if asked == 0 {
        finish(&world, 2, "no check was answered");
    }
    let verdict =
        format!("{good} of {asked} health checks later than 4 s after the call are answered as good");
    finish(&world, i32::from(good > 0), &verdict)
}
