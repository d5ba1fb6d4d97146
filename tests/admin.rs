//! The operators' door, and the socket that the platform hands down.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::resp::FrontEnd;
use support::{Node, settings, try_id};

#[rstest]
fn a_node_on_standby_is_sick_and_not_ready_yet_answers_as_always() {
    let mut node = Node::start();
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!((node.call("GET", "/status"), front.answer_to_status().word.as_str()), (200, "healthy"));
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/standby"), 200);
        assert_eq!((node.call("GET", "/status"), front.answer_to_status().word.as_str()), (503, "sick"));
        node.reported("NotReady");
        front.ask(1, "plate-check", &try_id(1), "", b"body");
        let req = node.processor.begun();
        node.processor.complete(&req, b"served");
        assert_eq!(front.answer().body, b"served");
        assert_eq!(node.call("POST", "/active"), 200);
        assert_eq!((node.call("GET", "/status"), front.answer_to_status().word.as_str()), (200, "healthy"));
        node.reported("Ready");
    }
}

#[rstest]
fn a_node_whose_processor_is_not_up_is_not_ready() {
    let mut node = Node::launch(settings());
    assert_eq!(node.call("GET", "/status"), 503);
    node.processor.greet("cold");
    node.reported("Ready");
    assert_eq!(node.call("GET", "/status"), 200);
}

#[rstest]
#[case("GET", "/standby", 405)]
#[case("POST", "/status", 405)]
#[case("GET", "/", 404)]
#[case("no\tcall", "/status", 400)]
fn what_is_no_call_is_refused_and_changes_nothing(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
) {
    let node = Node::start();
    assert_eq!(node.call(method, path), status);
    assert_eq!(node.call("GET", "/status"), 200);
}

#[rstest]
#[case(b"")]
#[case(b"GET /status HTTP/1.1\r\nHo")]
fn callers_that_do_not_finish_keep_nobody_waiting_and_are_closed(#[case] half: &[u8]) {
    let node = Node::start();
    let mut silent: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(&node.admin).expect("a connection");
            stream.write_all(half).expect("a write");
            stream
        })
        .collect();
    let asked = Instant::now();
    assert_eq!(node.call("GET", "/status"), 200);
    assert!(asked.elapsed() < Duration::from_secs(1));
    let last = silent.last_mut().expect("one of them");
    last.set_read_timeout(Some(support::PATIENCE)).expect("a timeout");
    assert!(matches!(last.read(&mut [0]), Ok(0) | Err(_)));
    assert!(asked.elapsed() < Duration::from_secs(3));
}

#[rstest]
fn a_socket_that_the_platform_hands_down_is_served() {
    let mut node = Node::launch_held(settings());
    node.processor.greet("warm");
    node.reported("Ready");
    assert_eq!(FrontEnd::connect(&node.resp).answer_to_status().word, "healthy");
}
