//! A web server on AJP13.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::PATIENCE;

pub struct WebServer {
    pub stream: TcpStream,
}

#[derive(Debug, Default, PartialEq)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub reuse: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

fn string(text: &str) -> Vec<u8> {
    [&(text.len() as u16).to_be_bytes()[..], text.as_bytes(), &[0]].concat()
}

pub fn packet(payload: &[u8]) -> Vec<u8> {
    [&[0x12, 0x34][..], &(payload.len() as u16).to_be_bytes(), payload].concat()
}

/// A chunk of a body; an empty one ends it.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    packet(&[&(bytes.len() as u16).to_be_bytes()[..], bytes].concat())
}

/// A forwarded POST with these headers, one of them under its number, and a secret as an attribute.
pub fn forward(path: &str, headers: &[(&str, &str)], length: Option<usize>) -> Vec<u8> {
    let mut payload = vec![2, 4];
    for text in ["HTTP/1.1", path, "127.0.0.1", "", "node"] {
        payload.extend(string(text));
    }
    payload.extend([0, 80, 0]);
    payload.extend((headers.len() as u16 + 2).to_be_bytes());
    // A header of the browser's, in Latin-1: none of the node's business.
    payload.extend([&[0xa0, 0x0e][..], &[0, 4], b"caf\xe9\0"].concat());
    for (name, value) in headers {
        payload.extend([string(name), string(value)].concat());
    }
    match length {
        Some(length) => payload.extend([&[0xa0, 8][..], &string(&length.to_string())].concat()),
        None => payload.extend([string("Transfer-Encoding"), string("chunked")].concat()),
    }
    payload.extend([&[0x0c][..], &string("hush"), &[0x0a], &string("A"), &string("B"), &[0xff]].concat());
    packet(&payload)
}

impl WebServer {
    pub fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream.set_nodelay(true).expect("an option");
        Self { stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("a write");
    }

    /// A whole request with its body in one chunk.
    pub fn ask(&mut self, class: &str, headers: &[(&str, &str)], body: &[u8]) {
        self.send(&forward(&format!("/v1/{class}"), headers, Some(body.len())));
        if !body.is_empty() {
            self.send(&chunk(body));
        }
    }

    /// The next packet of the node.
    pub fn packet(&mut self) -> Vec<u8> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).expect("a packet");
        assert_eq!(head[..2], *b"AB");
        let mut payload = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]]))];
        self.stream.read_exact(&mut payload).expect("a whole packet");
        payload
    }

    pub fn response(&mut self) -> Response {
        let mut response = Response::default();
        loop {
            let payload = self.packet();
            match payload[0] {
                4 => {
                    response.status = u16::from_be_bytes([payload[1], payload[2]]);
                    let mut rest = &payload[3..];
                    take_string(&mut rest);
                    let count = take_u16(&mut rest);
                    let mut pair = || (take_string(&mut rest), take_string(&mut rest));
                    response.headers = (0..count).map(|_| pair()).collect();
                }
                3 => {
                    let length = usize::from(u16::from_be_bytes([payload[1], payload[2]]));
                    response.body.extend_from_slice(&payload[3..3 + length]);
                }
                5 => {
                    response.reuse = payload[1] == 1;
                    return response;
                }
                other => panic!("a packet of type {other}"),
            }
        }
    }
}

fn take_u16(rest: &mut &[u8]) -> usize {
    let value = u16::from_be_bytes([rest[0], rest[1]]);
    *rest = &rest[2..];
    usize::from(value)
}

fn take_string(rest: &mut &[u8]) -> String {
    let length = take_u16(rest);
    let text = String::from_utf8(rest[..length].to_vec()).expect("text");
    *rest = &rest[length + 1..];
    text
}
