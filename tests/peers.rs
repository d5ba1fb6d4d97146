//! Servers that the operator names, and what nodes tell each other of them: real processes, scripted servers and
//! donors.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::{Node, config, next_call, operate, settings, try_id};

/// A server of the records service that answers every call alike, and counts them.
struct Server {
    address: String,
    calls: Arc<AtomicUsize>,
}

impl Server {
    /// Answers well after this time, from a process that is a minute old.
    fn after_ms(ms: u64) -> Self {
        let head = "HTTP/1.1 200 OK\r\nOp-Incarnation: 1f\r\nOp-Up-Ms: 60000\r\n";
        Self::start(ms, format!("{head}Content-Length: 5\r\n\r\nreply"))
    }

    /// Breaks off behind each call.
    fn breaking() -> Self {
        Self::start(0, String::new())
    }

    fn start(ms: u64, reply: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (reply, counted) = (reply.clone(), counted.clone());
                std::thread::spawn(move || serve(stream, ms, &reply, &counted));
            }
        });
        Self { address, calls }
    }

    fn count(&self) -> usize {
        self.calls.load(SeqCst)
    }
}

fn serve(mut stream: TcpStream, ms: u64, reply: &str, counted: &AtomicUsize) {
    while matches!(stream.peek(&mut [0]), Ok(1)) {
        let called = next_call(stream);
        counted.fetch_add(1, SeqCst);
        std::thread::sleep(Duration::from_millis(ms));
        stream = called.reply_raw(reply.as_bytes());
        if reply.is_empty() {
            return;
        }
    }
}

/// An address that nobody listens at.
fn nobody() -> String {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").to_string()
}

fn table(servers: &[&str]) -> String {
    let server = |address: &&str| format!("[[records.servers]]\naddress = {address:?}\n");
    format!("[records]\n{}", servers.iter().map(server).collect::<String>())
}

fn knowledge(donors: &[&str]) -> String {
    let allow = r#"allow = ["127.0.0.0/8"]"#;
    format!("[knowledge]\nlisten = \"127.0.0.1:0\"\n{allow}\ndonors = {donors:?}\ndeadline_ms = 400\n")
}

struct Play {
    node: Node,
    front: FrontEnd,
    told: String,
    tag: u64,
}

impl Play {
    /// A node with these tables of the operator's.
    fn start(tables: &str) -> Self {
        let mut node = Node::launch_with(settings(), tables);
        node.processor.greet("warm");
        node.reported("Ready");
        let told =
            if tables.contains("listen") { node.logged("questions about servers on") } else { String::new() };
        let told = told.rsplit(' ').next().unwrap_or_default().to_owned();
        let front = FrontEnd::connect(&node.resp);
        Self { node, front, told, tag: 0 }
    }

    /// Runs a request of this class up to its call.
    fn call(&mut self, class: &str, more: &str) {
        self.tag += 1;
        self.front.ask(self.tag, class, &try_id(self.tag), more, b"body");
        let id = self.node.processor.begun();
        self.node.processor.ask(&id, b"call");
    }

    /// So many requests whose call goes well.
    fn calls(&mut self, count: usize) {
        for _ in 0..count {
            self.call("history", "");
            let answer = self.node.processor.command("answer");
            self.node.processor.complete(answer["id"].as_str().expect("an id"), b"result");
            assert_eq!(self.front.answer().word, "done");
        }
    }

    fn beliefs(&self) -> Value {
        let (well, printed, problem) = operate(&["knowledge", "--json", "--at", &self.told]);
        assert!(well, "{problem}");
        serde_json::from_str(&printed).expect("JSON")
    }
}

#[rstest]
fn a_call_that_was_refused_goes_to_another_server_and_that_one_is_left_alone() {
    let (here, there) = (Server::after_ms(1), nobody());
    let mut play = Play::start(&(table(&[&here.address, &there]) + &knowledge(&[])));
    play.calls(40);
    assert_eq!(here.count(), 40, "every call was made, and once");
    let beliefs = play.beliefs();
    let gone = beliefs["servers"].as_array().expect("servers").iter();
    let gone = gone.clone().find(|server| server["spec"]["address"] == json!(there)).expect("it is listed");
    assert!(gone["failing"].as_f64().expect("a number") > 0.2, "{gone}");
}

#[rstest]
fn a_call_with_effects_that_may_have_begun_goes_to_no_other_server() {
    let servers = [Server::breaking(), Server::breaking()];
    let mut play = Play::start(&table(&[&servers[0].address, &servers[1].address]));
    play.call("pay-session", ",opkey=a");
    assert_eq!(play.front.answer().word, "error");
    assert_eq!(servers[0].count() + servers[1].count(), 1);
}

#[rstest]
fn a_newcomer_is_told_which_server_is_slow() {
    let servers = [Server::after_ms(60), Server::after_ms(2), Server::after_ms(2), Server::after_ms(2)];
    let addresses: Vec<&str> = servers.iter().map(|server| server.address.as_str()).collect();
    let mut old = Play::start(&(table(&addresses) + &knowledge(&[])));
    // It finds out in its own time; within a bound that no draw comes near.
    for _ in 0..100 {
        old.calls(10);
        if servers.iter().all(|server| server.count() > 0) {
            break;
        }
    }
    let mut new = Play::start(&(table(&addresses) + &knowledge(&[&old.told])));
    new.node.logged("told of");
    let slow = |beliefs: &Value| {
        let servers = beliefs["servers"].as_array().expect("servers");
        servers
            .iter()
            .find(|server| server["spec"]["address"] == json!(addresses[0]))
            .expect("it is there")
            .clone()
    };
    let belief = slow(&new.beliefs());
    assert_eq!(belief["heard"][0]["teller"], json!(old.told));
    assert!(belief["times"].as_f64() > Some(1.5) && belief["up_ms"].as_f64() > Some(59_000.0), "{belief}");
    let before = servers[0].count();
    new.calls(30);
    let went = servers[0].count() - before;
    assert!(went <= 3, "{went} of 30 calls to the slow one");
    let (well, printed, _) = operate(&["knowledge", "--at", &new.told]);
    assert!(well && printed.contains("is believed") && printed.contains(addresses[0]), "{printed}");
}

/// A donor that sends these bytes to whoever asks, and then keeps the connection.
fn donor(bytes: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let bytes = bytes.clone();
            std::thread::spawn(move || {
                let _ = stream.write_all(&bytes);
                let _ = stream.read_to_end(&mut Vec::new());
            });
        }
    });
    address
}

fn framed(message: &str) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("a short message").to_be_bytes();
    [&length[..], message.as_bytes()].concat()
}

fn digest(figure: &str) -> Vec<u8> {
    framed(&format!(
        r#"{{"digest":{{"teller":"d","level":4.0,"items":[{{"address":"127.0.0.1:1","log_time":{figure},
        "variance":0.1,"samples":9.0,"calls":9.0,"failed":0.0,"age_ms":1.0,"out":false,
        "run":{{"incarnation":null,"up_ms":null}}}}]}}}}"#
    ))
}

#[rstest]
#[case::silent(Vec::new(), "no whole answer in time")]
#[case::half_a_digest(digest("0.5")[..90].to_vec(), "no whole answer in time")]
#[case::garbage(b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(), "a frame of")]
#[case::no_json(framed("no, I do not"), "expected")]
#[case::of_100_mb(vec![6, 0, 0, 0, b'{'], "a frame of 100663296 bytes")]
#[case::another_version(framed(r#"{"version":7}"#), "it speaks version 7")]
#[case::no_number(digest("null"), "invalid type")]
#[case::negative(digest("-500.0"), "log_time of 127.0.0.1:1 is out of range: -500")]
#[case::huge(digest("1e300"), "log_time")]
fn a_donor_that_makes_no_sense_is_named_and_keeps_nobody_from_serving(
    #[case] says: Vec<u8>,
    #[case] problem: &str,
) {
    let server = Server::after_ms(1);
    let donor = donor(says);
    let mut play = Play::start(&(table(&[&server.address]) + &knowledge(&[&donor])));
    play.calls(3);
    let line = play.node.logged("is not believed");
    assert!(line.contains(&donor) && line.contains(problem), "{line}");
    assert_eq!(play.beliefs()["tellers"], json!([]));
}

#[rstest]
fn only_networks_that_may_ask_are_answered() {
    let tables = table(&[&nobody()]) + "[knowledge]\nlisten = \"127.0.0.1:0\"\nallow = [\"10.0.0.0/8\"]\n";
    let mut play = Play::start(&tables);
    let (well, printed, _) = operate(&["knowledge", "--at", &play.told]);
    assert!(!well && printed.is_empty());
    play.node.logged("1 queries for server statistics from addresses without permission");
}

/// Guards against a few connections that say nothing keeping all others from being answered until they are closed.
#[rstest]
fn connections_that_say_nothing_delay_no_question_about_servers() {
    let play = Play::start(&(table(&[&nobody()]) + &knowledge(&[])));
    let silent: Vec<TcpStream> =
        (0..32).map(|_| TcpStream::connect(&play.told).expect("a connection")).collect();
    let began = Instant::now();
    play.beliefs();
    assert!(began.elapsed() < Duration::from_millis(2_500), "answered after {:?}", began.elapsed());
    drop(silent);
}

#[rstest]
fn servers_change_on_sighup_and_a_bad_list_changes_nothing() {
    let (old, new) = (Server::after_ms(1), Server::after_ms(1));
    let mut play = Play::start(&table(&[&old.address]));
    play.calls(2);
    play.node.operator(&table(&[&old.address, &old.address]));
    play.node.retune(settings());
    let line = play.node.logged("the configuration stays as it was");
    assert!(line.contains("records.servers[1].address") && line.contains("is named twice"), "{line}");
    play.calls(2);
    play.node.operator(&table(&[&new.address]));
    play.node.retune(settings());
    play.node.logged("calls go to 1 servers");
    play.calls(3);
    assert_eq!((old.count(), new.count()), (4, 3));
}

#[rstest]
#[case::weight(
    "[records]\nservers = [{address = \"127.0.0.1:1\", weight = -1.0}]",
    "records.servers[0].weight: -1"
)]
#[case::none("[records]\nservers = []", "records.servers: 0")]
#[case::part(
    "[records]\nservers = [{address = \"127.0.0.1:1\"}]\nchoice = {most_out = 2.0}",
    "records.choice.most_out: 2"
)]
#[case::nan(
    "[records]\nservers = [{address = \"127.0.0.1:1\"}]\nchoice = {warm_ms = nan}",
    "records.choice.warm_ms: NaN"
)]
#[case::nobody_may(
    "[records]\nservers = [{address = \"127.0.0.1:1\"}]\n[knowledge]\nlisten = \"127.0.0.1:1\"",
    "knowledge.allow: []"
)]
#[case::network("[knowledge]\nallow = [\"10.0.0.0/40\"]", "10.0.0.0/40")]
#[case::itself(
    "[records]\nservers = [{address = \"127.0.0.1:1\"}]\n[knowledge]\nlisten = \"127.0.0.1:1\"\nallow = [\"::/0\"]\ndonors = [\"127.0.0.1:1\"]",
    "knowledge.donors[0]: 127.0.0.1:1"
)]
#[case::deadline(
    "[records]\nservers = [{address = \"127.0.0.1:1\"}]\n[knowledge]\ndeadline_ms = 0",
    "knowledge.deadline_ms: 0"
)]
#[case::no_servers("[knowledge]\ndonors = [\"127.0.0.1:1\"]", "without [records]")]
#[case::unknown("[records]\nserver = []", "server")]
fn a_value_that_cannot_be_used_is_named_with_its_file(#[case] tables: &str, #[case] named: &str) {
    let folder = std::env::temp_dir().join(format!("sillflow-bad-{}-{}", std::process::id(), tables.len()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, operator) = (folder.join("config.json"), folder.join("operator.toml"));
    std::fs::write(&file, config(settings()).to_string()).expect("a file");
    std::fs::write(&operator, tables).expect("a file");
    let (well, _, faults) = operate(&["check", operator.to_str().expect("a path")]);
    assert!(!well && faults.contains("operator.toml") && faults.contains(named), "{faults}");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sillflow"));
    let run =
        command.env("PROXY_CONFIG", &file).env("SILLFLOW_OPERATOR", &operator).output().expect("it runs");
    let _ = std::fs::remove_dir_all(&folder);
    let printed = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(
        !run.status.success() && printed.contains("operator.toml") && printed.contains(named),
        "{printed}"
    );
}

#[rstest]
fn a_check_names_every_fault_at_once_and_the_schema_has_every_table() {
    let folder = std::env::temp_dir().join(format!("sillflow-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("operator.toml");
    let text = "[ajp]\nlisten = 1\n[store]\npeers = [{id = 0, address = \"127.0.0.1:1\"}]\n[records]\n\
                servers = [{address = \"127.0.0.1:1\", weight = 0}, {address = \"127.0.0.1:1\"}]\n[frobs]\n";
    std::fs::write(&file, text).expect("a file");
    let path = file.to_str().expect("a path");
    let (well, _, printed) = operate(&["check", path]);
    let named = [
        "ajp: ",
        "store.directory: ",
        "store.listen: ",
        "store.peers[0].id: 0 ",
        "records.servers[0].weight: 0 ",
        "records.servers[1].address: 127.0.0.1:1 ",
        "frobs: ",
        "7 faults",
    ];
    for name in named {
        assert!(!well && printed.contains(name), "no '{name}' in {printed}");
    }
    std::fs::write(&file, include_str!("../deploy/operator.toml")).expect("a file");
    assert!(operate(&["check", path]).0, "the example is good");
    let _ = std::fs::remove_dir_all(&folder);
    let (_, schema, _) = operate(&["schema"]);
    let schema: Value = serde_json::from_str(&schema).expect("JSON");
    let tables = schema["properties"].as_object().expect("tables");
    assert!(["ajp", "store", "records", "knowledge"].iter().all(|table| tables.contains_key(*table)));
}
