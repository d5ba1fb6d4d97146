//! Crossings on the clients' side: a request, an answer, a close or a signal that comes in the moment of another one. Each
//! order is forced: a side is held at the point in question and let go when the other one has been seen to be there.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;
use sillflow::config::Descriptors;
use socket2::SockRef;
use support::ajp::{WebServer, forward};
use support::resp::{FrontEnd, array};
use support::{Node, PATIENCE, settings, try_id, unix_ms};

/// A whole request as it stands on the wire.
fn request(tag: u64, class: &str, req: &str, more: &str) -> Vec<u8> {
    let fields =
        format!("req={req},ts={},via=4,owner=almaty,ms=12.50,need=24.5,level=0.6250{more}", unix_ms());
    array(&[b"ASK", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), b"body"])
}

/// A node with one request on a connection that its processor has begun to run.
fn running() -> (Node, FrontEnd, String) {
    running_with(settings())
}

fn running_with(settings: Value) -> (Node, FrontEnd, String) {
    let mut node = Node::start_with(settings);
    let mut front = FrontEnd::connect(&node.resp);
    let req = try_id(1);
    front.ask(1, "plate-check", &req, "", b"body");
    assert_eq!(node.processor.begun(), req);
    (node, front, req)
}

/// Settings whose requests outlast every wait for a message.
fn patient() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = 15_000.0.into();
        class["aim"] = 7_000.0.into();
    }
    settings
}

/// What is left to read until the connection ends; fails where it is reset.
fn rest_of(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("an end without a reset");
    rest
}

#[rstest]
#[case::no_array(b"GARBAGE\r\n")]
#[case::unknown_verb(b"*2\r\n$4\r\nSING\r\n$1\r\n7\r\n")]
#[case::no_tag(b"*2\r\n$6\r\nSTATUS\r\n$1\r\nx\r\n")]
#[case::negative_length(b"*2\r\n$-5\r\n")]
#[case::tag_in_use(b"*4\r\n$3\r\nASK\r\n$1\r\n1\r\n$7\r\nhistory\r\n$20\r\nreq=00000000000000ff\r\n")]
fn a_request_ahead_of_a_malformed_message_gets_its_answer(#[case] malformed: &[u8]) {
    let (mut node, mut front, req) = running_with(patient());
    front.stream.write_all(malformed).expect("a write");
    // The run ends once the node has taken the message in.
    node.logged("1 connections closed for protocol errors");
    node.processor.complete(&req, b"result");
    let answer = front.answer();
    assert_eq!((answer.tag.as_str(), answer.word.as_str(), &answer.body[..]), ("1", "done", &b"result"[..]));
    assert!(front.is_closed(), "the connection serves on behind what cannot be read");
}

#[rstest]
fn a_request_ahead_of_half_a_message_and_the_end_gets_its_answer() {
    let (mut node, mut front, req) = running_with(patient());
    let next = request(2, "plate-check", &try_id(2), "");
    front.stream.write_all(&next[..next.len() / 2]).expect("a write");
    front.stream.shutdown(Shutdown::Write).expect("an end");
    node.logged("1 connections closed, as no complete message arrived in time");
    node.processor.complete(&req, b"result");
    assert_eq!(front.answer().word, "done");
    assert!(front.is_closed());
}

#[rstest]
fn a_request_ahead_of_half_a_message_that_stands_still_gets_its_answer() {
    let (mut node, mut front, req) = running_with(patient());
    let next = request(2, "plate-check", &try_id(2), "");
    front.stream.write_all(&next[..next.len() / 2]).expect("a write");
    // A second connection that does the same, with nothing open, shows when the node has lost its patience.
    let mut other = TcpStream::connect(&node.resp).expect("a connection");
    other.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    other.write_all(&next[..next.len() / 2]).expect("a write");
    assert_eq!(rest_of(&mut other), b"");
    node.processor.complete(&req, b"result");
    assert_eq!(front.answer().word, "done");
    assert!(front.is_closed());
}

#[rstest]
fn an_answer_outlives_a_close_over_bytes_that_were_not_read() {
    let (mut node, mut front, req) = running_with(patient());
    // More than is read in one go, so that some of it lies in the socket when the connection is closed.
    let mut malformed = b"GARBAGE\r\n".to_vec();
    malformed.resize(32 * 1024, b'x');
    front.stream.write_all(&malformed).expect("a write");
    node.logged("1 connections closed for protocol errors");
    node.processor.complete(&req, b"result");
    let mut stream = front.stream.try_clone().expect("a handle");
    // Read only once the node has closed its half: a reset would have taken the answer away.
    let mut far_end = [0; 1];
    assert_eq!(stream.peek(&mut far_end).expect("an answer"), 1);
    let answer = rest_of(&mut stream);
    assert!(answer.ends_with(b"result\r\n"), "{:?}", String::from_utf8_lossy(&answer));
}

#[rstest]
fn a_refusal_outlives_a_body_that_is_not_read_on_ajp() {
    let node = Node::start();
    let mut web = WebServer::connect(&node.ajp);
    let length = 8 * 1024 * 1024;
    web.send(&forward("/v1/plate-check", &[("Op-Owner", "almaty")], Some(length)));
    web.send(&vec![0; 16 * 1024]);
    let response = web.response();
    assert_eq!((response.status, response.reuse), (413, false));
    assert_eq!(rest_of(&mut web.stream), b"");
}

/// A node whose front has no room for a further connection, with all that it has.
fn full() -> (Node, Vec<FrontEnd>) {
    const DESCRIPTORS: usize = 128;
    let mut config = support::config(settings());
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let mut node = Node::launch_as(config, "");
    node.processor.greet("warm");
    node.reported("Ready");
    // AJP has half of the room.
    let most = Descriptors::of(DESCRIPTORS).clients / 2;
    let fronts = (0..most).map(|_| FrontEnd::connect(&node.resp)).collect();
    (node, fronts)
}

#[rstest]
fn a_request_in_the_instant_in_which_its_connection_makes_room_is_answered() {
    let (mut node, mut fronts) = full();
    for front in &mut fronts {
        assert_eq!(front.answer_to_status().word, "healthy");
    }
    // All bytes are there before the node can look at any of them.
    node.pause();
    let newcomer = TcpStream::connect(&node.resp).expect("a connection");
    let req = try_id(1);
    fronts[0].ask(1, "plate-check", &req, "", b"body");
    node.resume();
    assert_eq!(node.processor.begun(), req);
    node.processor.complete(&req, b"result");
    assert_eq!(fronts[0].answer().word, "done");
    drop(newcomer);
}

#[rstest]
fn what_was_written_ahead_of_the_notice_to_leave_is_answered() {
    let mut node = Node::start();
    node.processor.automatic();
    let mut at_rest = FrontEnd::connect(&node.resp);
    assert_eq!(at_rest.answer_to_status().word, "healthy");
    // In the buffer of a connection that is open, on one in the accept queue, and in pieces.
    node.pause();
    at_rest.ask(1, "plate-check", &try_id(1), "", b"body");
    let mut queued = FrontEnd::connect(&node.resp);
    queued.ask(1, "plate-check", &try_id(2), "", b"body");
    let mut pieces = FrontEnd::connect(&node.resp);
    let whole = request(1, "plate-check", &try_id(3), "");
    pieces.stream.write_all(&whole[..20]).expect("a write");
    node.terminate();
    node.resume();
    for front in [&mut at_rest, &mut queued] {
        assert_eq!(front.answer().word, "done");
    }
    node.logged("draining");
    pieces.stream.write_all(&whole[20..]).expect("a write");
    assert_eq!(pieces.answer().word, "done");
}

#[rstest]
#[case::of_now(0)]
#[case::of_before_the_end_of_the_grace(550)]
fn a_request_in_the_instant_its_connection_is_given_back_is_answered_and_not_run_after_the_grace(
    #[case] ago_ms: u64,
) {
    let mut node = Node::start_with(patient());
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(front.answer_to_status().word, "healthy");
    node.terminate();
    let words = front.words();
    assert_eq!(words[1], b"closing", "the connection is given back first");
    // The grace was over 300 ms before, whatever the request says of when it was sent: it is answered, and never run.
    front.ask_at(unix_ms() - ago_ms, 1, "plate-check", &try_id(1), "", b"body");
    assert_eq!(front.answer().word, "later");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_message_in_pieces_of_one_byte_is_served_beside_others() {
    let node = Node::start();
    node.processor.automatic();
    let mut slow = FrontEnd::connect(&node.resp);
    slow.stream.set_nodelay(true).expect("an option");
    let mut quick = FrontEnd::connect(&node.resp);
    let whole = request(1, "plate-check", &try_id(1), "");
    for (at, byte) in whole.iter().enumerate() {
        slow.stream.write_all(&[*byte]).expect("a write");
        if at % 50 == 0 {
            quick.ask(at as u64 + 1, "plate-check", &try_id(1000 + at as u64), "", b"body");
            assert_eq!(quick.answer().word, "done");
        }
    }
    assert_eq!(slow.answer().word, "done");
}

#[rstest]
fn a_caller_that_never_reads_leaves_others_their_answers() {
    let node = Node::start();
    node.processor.automatic();
    let deaf = TcpStream::connect(&node.resp).expect("a connection");
    deaf.set_nonblocking(true).expect("an option");
    let mut flood = deaf.try_clone().expect("a handle");
    let (mut tag, mut written) = (0, 0);
    // Until the node reads no further: answers pile up on both sides of the connection, and no further.
    loop {
        tag += 1;
        let check = array(&[b"STATUS", tag.to_string().as_bytes(), b""]);
        match flood.write(&check) {
            Ok(length) if length == check.len() && written < 64 * 1024 * 1024 => written += length,
            Err(problem) if problem.kind() != ErrorKind::WouldBlock => panic!("{problem}"),
            _ => break,
        }
    }
    assert!(written < 64 * 1024 * 1024, "the node reads on without end");
    let mut front = FrontEnd::connect(&node.resp);
    front.ask(1, "plate-check", &try_id(1), "", b"body");
    assert_eq!(front.answer().word, "done");
}

#[rstest]
fn a_request_taken_back_in_the_instant_of_its_answer_leaves_its_connection_in_use() {
    let (mut node, mut front, req) = running();
    // Both cross: the answer is on its way when the request is taken back.
    node.pause();
    node.processor.complete(&req, b"result");
    front.send(&[b"NEVERMIND", b"1"]);
    front.ask(2, "plate-check", &try_id(2), "", b"body");
    node.resume();
    assert_eq!(node.processor.begun(), try_id(2));
    node.processor.complete(&try_id(2), b"other");
    let first = front.answer();
    let second = if first.tag == "1" { front.answer() } else { first };
    assert_eq!((second.tag.as_str(), &second.body[..]), ("2", &b"other"[..]));
}

/// How long the node has to see that a front end has closed its connection: far less than its requests wait.
const LEFT_WITHIN: Duration = Duration::from_secs(2);

/// Requests of these numbers as they stand on the wire.
fn requests(numbers: impl Iterator<Item = u64>) -> Vec<u8> {
    numbers.flat_map(|number| request(number, "plate-check", &try_id(number), "")).collect()
}

/// Sends requests and leaves; no answer is read.
fn send_and_leave(mut stream: TcpStream, requests: &[u8], reset: bool) {
    stream.write_all(requests).expect("a write");
    if reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }
    leave(stream);
}

/// Closes a connection and waits until its end has come to the other side. A process that is being started at the moment
/// keeps a copy of the socket for a while.
fn leave(stream: TcpStream) {
    let port = stream.local_addr().expect("an address").port();
    let other_port = stream.peer_addr().expect("an address").port();
    drop(stream);
    let is_open = |row: &str| {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let ends_at = |address: &str, port: u16| address.ends_with(&format!(":{port:04X}"));
        // Others may have connections from a port of this number.
        matches!(columns[..], [_, local, other, "01", ..] if ends_at(local, port) && ends_at(other, other_port))
    };
    let until = Instant::now() + PATIENCE;
    while std::fs::read_to_string("/proc/net/tcp").expect("a table").lines().any(is_open) {
        assert!(Instant::now() < until, "the connection from port {port} stays open");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The requests that a front end asks next are the first that the node runs.
fn runs_first(node: &mut Node, req: &str) {
    let mut other = FrontEnd::connect(&node.resp);
    (0..10).for_each(|_| drop(other.answer_to_status()));
    other.ask(1, "plate-check", req, "", b"body");
    assert_eq!(node.processor.begun(), req);
}

/// Guards against runs of requests whose front end has reset or closed the connection before they were read.
#[rstest]
#[case::as_many_as_the_protocol_allows(32)]
#[case::more_than_may_be_open(200)]
fn requests_on_a_connection_that_was_left_are_not_run(
    #[case] count: u64,
    #[values(true, false)] reset: bool,
) {
    let mut node = Node::start();
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(front.answer_to_status().word, "healthy");
    let stream = front.stream.try_clone().expect("a handle");
    drop(front);
    node.pause();
    send_and_leave(stream, &requests(1..=count), reset);
    node.resume();
    runs_first(&mut node, &try_id(9000));
}

/// Guards against runs of requests that were read and held when their front end closed the connection.
#[rstest]
fn requests_that_are_held_when_their_front_end_leaves_are_not_run() {
    let mut node = Node::start_with(patient());
    let mut running: Vec<FrontEnd> = (0..4).map(|_| FrontEnd::connect(&node.resp)).collect();
    for (number, front) in (1..).zip(&mut running) {
        front.ask(number, "plate-check", &try_id(number), "", b"body");
        node.processor.begun();
    }
    let mut leaver = FrontEnd::connect(&node.resp);
    assert_eq!(leaver.answer_to_status().word, "healthy");
    let descriptors = node.descriptors();
    leaver.stream.write_all(&requests(100..120)).expect("a write");
    // Other connections are read meanwhile: so is this one.
    (0..10).for_each(|_| drop(running[0].answer_to_status()));
    let stream = leaver.stream.try_clone().expect("a handle");
    drop(leaver);
    leave(stream);
    let until = Instant::now() + LEFT_WITHIN;
    while node.descriptors() >= descriptors {
        assert!(Instant::now() < until, "the node keeps a connection that its front end has closed");
        std::thread::sleep(Duration::from_millis(5));
    }
    (1..=4).for_each(|number| node.processor.complete(&try_id(number), b"result"));
    runs_first(&mut node, &try_id(9000));
}

/// Guards against requests that are dropped because their front end has closed its half alone.
#[rstest]
fn requests_ahead_of_the_end_of_their_front_ends_half_are_answered() {
    let node = Node::start();
    node.processor.automatic();
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(front.answer_to_status().word, "healthy");
    node.pause();
    front.stream.write_all(&requests(1..=32)).expect("a write");
    front.stream.shutdown(Shutdown::Write).expect("an end");
    node.resume();
    let mut answered: Vec<String> = (0..32).map(|_| front.answer().tag).collect();
    answered.sort_by_key(|tag| tag.parse::<u64>().expect("a number"));
    assert_eq!(answered, (1..=32).map(|tag: u64| tag.to_string()).collect::<Vec<_>>());
    assert!(front.is_closed());
}

/// Guards against runs of requests whose web server has closed the connection before they were read.
#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn requests_whose_web_servers_have_left_are_not_run(#[case] reset: bool) {
    let mut node = Node::start();
    node.pause();
    for number in 1..=8 {
        let (server, req) = (WebServer::connect(&node.ajp), try_id(number));
        let left = forward("/v1/plate-check", &[("Op-Req", req.as_str())], Some(0));
        send_and_leave(server.stream, &left, reset);
    }
    node.resume();
    runs_first(&mut node, &try_id(9000));
}

/// Guards against requests that are sent on behind one whose web server has left with more unread than the node keeps.
#[rstest]
fn what_a_web_server_sent_early_is_not_run_once_it_has_left() {
    let mut node = Node::start_with(patient());
    let mut server = WebServer::connect(&node.ajp);
    let ask = |number: u64| {
        let req = try_id(number);
        forward("/v1/plate-check", &[("Op-Req", req.as_str())], Some(0))
    };
    server.send(&ask(1));
    assert_eq!(node.processor.begun(), try_id(1));
    let early: Vec<u8> = (2..=200).flat_map(ask).collect();
    server.send(&early);
    leave(server.stream);
    node.processor.complete(&try_id(1), b"result");
    runs_first(&mut node, &try_id(9000));
}
