//! What only AJP13 has: packets, chunks of bodies, pings, statuses.

mod support;

use rstest::rstest;
use support::ajp::{WebServer, chunk, forward, packet};
use support::{Node, try_id, unix_ms};

fn started() -> (Node, WebServer) {
    let node = Node::start();
    let web = WebServer::connect(&node.ajp);
    (node, web)
}

/// Answers the next run with the body that came with it.
fn echo(node: &mut Node) -> Vec<u8> {
    use base64::Engine;
    let begin = node.processor.command("begin");
    let body = begin["body"].as_str().expect("a body");
    let body = base64::engine::general_purpose::STANDARD.decode(body).expect("base64");
    node.processor.complete(begin["id"].as_str().expect("an id"), &body);
    body
}

#[rstest]
#[case::in_one_packet(vec![2000], Some(2000))]
#[case::over_three_packets(vec![700, 1, 1299], Some(2000))]
#[case::of_unknown_length(vec![1500, 500, 0], None)]
#[case::larger_than_a_packet(vec![8184, 8184, 632], Some(17_000))]
fn a_body_arrives_whole_however_it_is_split(#[case] chunks: Vec<usize>, #[case] length: Option<usize>) {
    let (mut node, mut web) = started();
    let body: Vec<u8> = (0..chunks.iter().sum()).map(|i: usize| (i % 251) as u8).collect();
    web.send(&forward("/plate-check", &[], length));
    let (mut at, mut left) = (0, length.unwrap_or(8184));
    for (i, size) in chunks.iter().enumerate() {
        if i > 0 || length.is_none() {
            let wanted = left.min(8184) as u16;
            assert_eq!(web.packet(), [&[6], &wanted.to_be_bytes()[..]].concat(), "the node asks for more");
        }
        // A packet may itself be split anywhere on its way.
        let whole = chunk(&body[at..at + size]);
        let (head, tail) = whole.split_at(whole.len() / 3);
        web.send(head);
        web.send(tail);
        at += size;
        left -= if length.is_some() { size } else { &0 };
    }
    assert_eq!(echo(&mut node), body);
    let response = web.response();
    assert_eq!((response.status, response.reuse), (200, true));
    assert_eq!(response.body, body);
}

#[rstest]
fn a_ping_is_answered_between_requests() {
    let (mut node, mut web) = started();
    for _ in 0..2 {
        web.send(&packet(&[10]));
        assert_eq!(web.packet(), [9]);
        web.ask("plate-check", &[], b"x");
        echo(&mut node);
        assert_eq!(web.response().status, 200);
    }
}

#[rstest]
fn a_refusal_says_when_to_come_back() {
    let (_node, mut web) = started();
    // It has waited unread for most of its time: a flood, to the module.
    let ts = (unix_ms() - 1200).to_string();
    web.ask("plate-check", &[("Op-Ts", &ts)], b"x");
    let refusal = web.response();
    assert_eq!((refusal.status, refusal.reuse), (503, true));
    let seconds: u64 = refusal.header("Retry-After").expect("advice").parse().expect("whole seconds");
    let exact: u64 = refusal.header("Op-Holdoff-Ms").expect("advice").parse().expect("whole milliseconds");
    assert!(seconds * 1000 >= exact && exact > 0, "{refusal:?}");
}

#[rstest]
#[case::unknown_class("/nothing", &[], 404)]
#[case::key_missing("/pay-session", &[], 400)]
#[case::bad_try("/plate-check", &[("Op-Req", "xyz")], 400)]
#[case::bad_number("/plate-check", &[("Op-Work-Ms", "much")], 400)]
#[case::out_of_range("/plate-check", &[("Op-Need-Kb", "-1")], 400)]
#[case::unknown_tenant("/plate-check", &[("Op-Owner", "nobody")], 400)]
#[case::health("/health", &[], 200)]
fn what_needs_no_run_is_answered_at_once(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let (mut node, mut web) = started();
    web.send(&forward(path, headers, Some(0)));
    let response = web.response();
    assert_eq!((response.status, response.reuse), (status, true));
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_web_server_that_goes_frees_what_it_asked_for() {
    let (mut node, mut web) = started();
    let req = try_id(1);
    web.ask("history", &[("Op-Req", &req)], b"x");
    assert_eq!(node.processor.begun(), req);
    node.processor.ask(&req, b"call");
    let mut call = node.records.call();
    drop(web);
    assert!(call.given_up(), "the call is given up with the request");
    node.processor.end(&req, "halted");
    let mut web = WebServer::connect(&node.ajp);
    web.ask("plate-check", &[], b"y");
    echo(&mut node);
    assert_eq!(web.response().status, 200);
}

#[rstest]
#[case::no_magic(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::too_long(vec![0x12, 0x34, 0xff, 0xff])]
#[case::not_a_request(packet(&[2, 2, 0, 9, b'x']))]
#[case::unknown_kind(packet(&[99]))]
fn bad_input_closes_its_connection_alone(#[case] bytes: Vec<u8>) {
    let (mut node, mut web) = started();
    web.send(&packet(&[10]));
    assert_eq!(web.packet(), [9]);
    let mut bad = WebServer::connect(&node.ajp);
    bad.send(&bytes);
    node.logged("1 connections closed for protocol errors");
    use std::io::Read;
    assert!(matches!(bad.stream.read(&mut [0]), Ok(0) | Err(_)));
    web.ask("plate-check", &[], b"x");
    echo(&mut node);
    assert_eq!(web.response().status, 200);
}

#[rstest]
#[case::silent(b"")]
#[case::half_a_packet(&[0x12, 0x34, 0, 9, 2])]
fn a_web_server_that_ends_no_first_packet_is_closed(#[case] bytes: &[u8]) {
    use std::io::Read;
    let (mut node, mut web) = started();
    web.ask("plate-check", &[], b"x");
    echo(&mut node);
    assert_eq!(web.response().status, 200);
    let mut bad = WebServer::connect(&node.ajp);
    let since = std::time::Instant::now();
    bad.send(bytes);
    assert!(matches!(bad.stream.read(&mut [0]), Ok(0) | Err(_)));
    assert!(since.elapsed() < std::time::Duration::from_secs(3));
    web.ask("plate-check", &[], b"x");
    echo(&mut node);
    assert_eq!(web.response().status, 200, "one that has asked may rest");
}

#[rstest]
fn a_request_without_the_secret_is_forbidden() {
    let mut node = Node::launch_with(support::settings(), "secret = \"open sesame\"\n");
    node.processor.greet("warm");
    let mut web = WebServer::connect(&node.ajp);
    web.ask("plate-check", &[], b"x");
    assert_eq!(web.response().status, 403);
    assert_eq!(node.processor.count("begin"), 0);
}
