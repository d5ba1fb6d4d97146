//! The importer as an operator runs it.

mod support;

use rstest::rstest;
use support::operate;

fn import(name: &str, text: &str) -> (bool, String, String) {
    let file = std::env::temp_dir().join(format!("sillflow-{name}-{}.cfg", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let done = operate(&["import", file.to_str().expect("a path")]);
    let _ = std::fs::remove_file(&file);
    done
}

const WHOLE: &str = "\
# A site's file.
global
    localpeer n2

defaults
    mode http
    maxconn 100
    timeout http-request 5s

frontend web   # the one in use
    bind '127.0.0.1:8009'
    maxconn 200
    monitor-uri \"/up\"

peers store
    peer n1 127.0.0.1:7001
    peer n2 127.0.0.1:7002
    peer n3 [::1]:7003
";

#[rstest]
fn what_is_mapped_becomes_an_operators_file() {
    let (well, printed, problem) = import("whole", WHOLE);
    assert!(well, "{problem}");
    let expected = r#"[ajp]
listen = "127.0.0.1:8009"
health = "/up"
connections = 200
body_wait_ms = 5000

[store]
id = 2
listen = "127.0.0.1:7002"
directory = "/var/lib/sillflow"

[[store.peers]]
id = 1
address = "127.0.0.1:7001"

[[store.peers]]
id = 3
address = "[::1]:7003"
"#;
    assert_eq!(printed, expected);
}

#[rstest]
#[case::unknown_section("backend servers\n    balance roundrobin\n", &["line 1: the section 'backend'", "line 2: 'balance'"])]
#[case::unknown_directive("frontend f\n bind :80\n option httplog\n", &["line 3: 'option' is not mapped"])]
#[case::other_mode("defaults\n mode tcp\n", &["line 2: the mode 'tcp'"])]
#[case::bind_option("frontend f\n bind :80 ssl crt /x\n", &["line 2: the option 'ssl' of 'bind'"])]
#[case::bad_address("frontend f\n bind nowhere\n", &["line 2: 'nowhere' is not an address"])]
#[case::bad_number("defaults\n maxconn many\n", &["line 2: 'many' is not a number"])]
#[case::bad_time("defaults\n timeout http-request 5 s\n", &["line 2: 'timeout http-request' is not mapped"])]
#[case::bad_unit("defaults\n timeout http-request 5w\n", &["line 2: '5w' is not a time"])]
#[case::open_quote("frontend f\n bind \"127.0.0.1:80\n", &["line 2: quotes"])]
#[case::no_section("mode http\n", &["line 1: 'mode' stands before any section"])]
#[case::stranger("global\n localpeer n9\npeers p\n peer n1 127.0.0.1:1\n", &["line 2: there is no peer 'n9'"])]
#[case::twice("frontend f\n bind :80\n bind :81\n", &["line 3: a second 'bind'"])]
#[case::two_frontends("frontend f\nfrontend g\n", &["line 2: a second section 'frontend'"])]
fn every_other_line_is_named_and_nothing_is_printed(#[case] text: &str, #[case] named: &[&str]) {
    let name = named[0].replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    let (well, printed, problems) = import(&name, text);
    assert!(!well && printed.is_empty());
    for part in named {
        assert!(problems.contains(part), "{problems}");
    }
}
