//! Runs the adapter as a process: frames of the documented wire format, malformed input, and independent instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sillflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    // After an error the adapter may already have closed its input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let mut out = vec![code];
    out.extend((fields.len() as u32).to_be_bytes());
    out.extend(fields);
    out
}

fn batch(now: f64, seq: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(now.to_be_bytes());
    out.extend(seq.to_be_bytes());
    out.extend(body);
    out
}

const ENV: &str = "family-info.cpus=2\nfamily-info.gauges=core_use,on_cores\nclasses.count=1\nclasses.0.aim=500.0\n\
                   classes.0.hard-limit=2000.0\nsome.later=thing\n";

fn attach(seed: u64, env: &str) -> Vec<u8> {
    let mut fields = seed.to_be_bytes().to_vec();
    fields.extend((env.len() as u32).to_be_bytes());
    fields.extend(env.as_bytes());
    record(5, &fields)
}

fn about(instance: u16) -> Vec<u8> {
    record(2, &instance.to_be_bytes())
}

fn parse_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|c| u8::from_str_radix(std::str::from_utf8(c).unwrap(), 16).unwrap()).collect()
}

/// The request record of the documentation of the wire format.
const SUBMIT: &str = "06 00000036 5d3a91c4 00 0000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 41c40000 \
                      3f200000 01 0011 3ffd99999999999a 00000000";

#[test]
fn empty_batch_gets_an_empty_reply() {
    let out = run_adapter(&parse_hex("00000000 00000000 40c06e2000000000 00000001"));
    assert!(out.status.success());
    assert_eq!(out.stdout, parse_hex("00000000 00000000 00000001"));
}

#[test]
fn request_runs_under_its_own_id() {
    let input = batch(8412.25, 12, &[about(3), attach(7, ENV), parse_hex(SUBMIT)]);
    let out = run_adapter(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.stdout[8..12], 12u32.to_be_bytes());
    assert_eq!(out.stdout[12..19], parse_hex("10 00000002 0003")[..]);
    let run_action = parse_hex("01 00000004 5d3a91c4");
    assert!(out.stdout.windows(run_action.len()).any(|window| window == run_action));
}

#[test]
fn identical_instances_act_alike_and_independently() {
    let alone = run_adapter(&batch(100.0, 1, &[about(1), attach(7, ENV), parse_hex(SUBMIT)])).stdout;
    let both = [about(1), attach(7, ENV), parse_hex(SUBMIT), about(2), attach(7, ENV), parse_hex(SUBMIT)];
    let both = run_adapter(&batch(100.0, 1, &both)).stdout;
    let length = alone.len() - 12;
    assert_eq!(both[12..12 + length], alone[12..]);
    assert_eq!(both[12 + length + 7..], alone[12 + 7..], "all but the number of the instance");
}

#[test]
fn instance_restarted_in_one_batch_starts_afresh() {
    let first = batch(100.0, 1, &[about(1), attach(7, ENV), parse_hex(SUBMIT)]);
    let second = batch(200.0, 2, &[about(1), record(4, &[]), attach(7, ENV), parse_hex(SUBMIT)]);
    let out = run_adapter(&[first, second].concat()).stdout;
    let (a, b) = out.split_at(out.len() / 2);
    assert_eq!(a[12..], b[12..]);
}

#[test]
fn malformed_input_ends_with_one_error_line_and_no_output() {
    let attached = |more: Vec<u8>| batch(100.0, 1, &[about(1), attach(7, ENV), more]);
    let cases = [
        ("header", vec![0; 7]),
        ("inside a batch", batch(1.0, 1, &[about(1)])[..22].to_vec()),
        ("unknown record code", attached(record(77, &[]))),
        ("unknown outcome", attached(record(9, &parse_hex("00000001 0063 0000000000000000")))),
        ("cut short", attached(record(1, &[0, 0]))),
        ("left over", attached(record(1, &[0; 9]))),
        ("cannot fit", parse_hex("00000000 ffffffff 40c06e2000000000 00000001")),
        ("never attached", batch(1.0, 1, &[about(9), record(1, &[0; 4])])),
        ("before any ABOUT", batch(1.0, 1, &[record(1, &[0; 4])])),
        ("classes.0.aim", attached(attach(1, "classes.count=1\nclasses.0.aim=soon\n"))),
        ("aim and deadline", attached(attach(1, "classes.count=1\n"))),
        ("classes.count", attached(attach(1, "classes.count=99999999999\n"))),
    ];
    for (expected, input) in cases {
        let out = run_adapter(&input);
        let message = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && out.stdout.is_empty(), "{expected}: accepted");
        assert!(message.contains(expected) && message.lines().count() == 1, "{expected}: {message}");
    }
}
