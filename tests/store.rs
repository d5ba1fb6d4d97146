//! The store over real processes: changes on one member, reads on another, one lost and back.

mod support;

use std::net::TcpListener;
use std::path::PathBuf;

use rstest::rstest;
use support::{Node, operate, settings};

/// Three members with a directory each. Their addresses are this test's alone, so a free port stays free.
struct Members {
    addresses: Vec<String>,
    directory: PathBuf,
}

impl Members {
    fn new() -> Self {
        let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
        let address = |n| {
            let listener = TcpListener::bind(format!("127.{}.{high}.{low}:0", 100 + n)).expect("a port");
            listener.local_addr().expect("an address").to_string()
        };
        let directory = std::env::temp_dir().join(format!("sillflow-store-{}", std::process::id()));
        Self { addresses: (1..=3).map(address).collect(), directory }
    }

    fn launch(&self, id: usize) -> Node {
        let mut table = format!("[store]\nid = {id}\nlisten = {:?}\n", self.addresses[id - 1]);
        table += &format!("directory = {:?}\n", self.directory.join(id.to_string()));
        for (other, address) in (1..).zip(&self.addresses).filter(|(other, _)| *other != id) {
            table += &format!("[[store.peers]]\nid = {other}\naddress = {address:?}\n");
        }
        let mut node = Node::launch_with(settings(), &table);
        node.logged("listens for the store on");
        node
    }

    fn set(&self, id: usize, more: &[&str]) -> Result<(), String> {
        let (well, _, problem) = operate(&[&["set", "--at", &self.addresses[id - 1]], more].concat());
        if well { Ok(()) } else { Err(problem) }
    }

    fn get(&self, id: usize, prefix: &str) -> Vec<String> {
        let (well, printed, problem) = operate(&["get", prefix, "--at", &self.addresses[id - 1]]);
        assert!(well, "{problem}");
        // Each line is a key, its version and its value.
        let pair = |line: &str| line.split('\t').step_by(2).collect::<Vec<_>>().join("=");
        printed.lines().map(pair).collect()
    }
}

impl Drop for Members {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[rstest]
fn what_is_set_on_one_member_is_read_on_another_and_by_one_that_was_lost() {
    let members = Members::new();
    let mut nodes: Vec<Node> = (1..=3).map(|id| members.launch(id)).collect();
    assert_eq!(members.set(1, &["a", "one"]), Ok(()));
    assert_eq!(members.get(2, "a"), ["a=one"]);
    let refused = members.set(3, &["a", "two", "--expect", "0"]);
    assert!(refused.is_err_and(|problem| problem.contains("the key is at version")));
    nodes[2].kill();
    assert_eq!(members.set(2, &["b", "while one is lost"]), Ok(()));
    assert_eq!(members.set(1, &["a"]), Ok(()), "a key is taken out");
    nodes[2] = members.launch(3);
    assert_eq!(members.get(3, "b"), ["b=while one is lost"]);
    assert!(members.get(3, "a").is_empty());
    // All are lost; what was set is on their disks.
    nodes.iter_mut().for_each(Node::kill);
    let _nodes: Vec<Node> = (1..=3).map(|id| members.launch(id)).collect();
    assert_eq!(members.get(1, "b"), ["b=while one is lost"]);
}

#[rstest]
fn a_node_keeps_its_configuration_and_follows_its_operator() {
    let table = "[store]\nlisten = \"127.0.0.1:0\"\n";
    let mut node = Node::launch_with(settings(), &format!("secret = \"hush\"\n{table}"));
    node.processor.greet("warm");
    node.reported("Ready");
    let at = node.logged("listens for the store on").rsplit(' ').next().unwrap_or_default().to_owned();
    node.logged("the configuration is kept");
    let (_, kept, _) = operate(&["get", "config/n1", "--at", &at]);
    assert!(kept.contains("\"ajp\"") && !kept.contains("hush"), "{kept}");
    let key = "state/n1/maintenance";
    assert!(operate(&["set", key, "on", "--at", &at]).0);
    node.reported("NotReady");
    assert!(operate(&["set", key, "--at", &at]).0);
    node.reported("Ready");
}

#[rstest]
fn peers_without_a_directory_are_not_accepted() {
    let file = std::env::temp_dir().join(format!("sillflow-operator-{}.toml", std::process::id()));
    let config = file.with_extension("json");
    std::fs::write(&config, support::config(settings()).to_string()).expect("a file");
    let table = "[store]\nlisten = \"127.0.0.1:0\"\n[[store.peers]]\nid = 2\naddress = \"127.0.0.1:1\"\n";
    std::fs::write(&file, table).expect("a file");
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_sillflow"))
        .env("SILLFLOW_OPERATOR", &file)
        .env("PROXY_CONFIG", &config)
        .output()
        .expect("the program runs");
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&config));
    assert!(!run.status.success());
    assert!(String::from_utf8_lossy(&run.stderr).contains("needs a directory"));
}
