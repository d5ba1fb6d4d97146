//! Stand-ins for the cases of the second review: clients, processor, records service, control plane and platform, on the
//! standard library alone. They follow the protocol page; where that is silent they behave like sound peers.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Notices that the processor keeps.
const KEPT_NOTICES: usize = 4000;

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// One request as it was sent, with all that came of it.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// When its last byte was written, in Unix ms; also its `ts`.
    pub at: f64,
    /// How long its caller waits, in ms.
    pub limit: f64,
    /// Answers on its connection: when, word and body.
    pub answers: Vec<(f64, String, Vec<u8>)>,
    /// When its caller reset the connection or gave up, which frees it of an answer.
    pub excused: bool,
    /// When its connection ended without an answer.
    pub cut: Option<f64>,
    /// When processors were told to run it and did.
    pub runs: Vec<f64>,
    /// The ends of those runs.
    pub ends: Vec<(f64, String)>,
    /// Replies to its calls as the processor got them.
    pub replies: Vec<Vec<u8>>,
}

impl Sent {
    /// Whether nobody waits for it any more.
    pub fn is_over(&self) -> bool {
        !self.answers.is_empty() || self.excused
    }
}

/// What was sent, answered and run, and the record of it.
pub struct World {
    pub requests: Mutex<BTreeMap<String, Sent>>,
    ids: AtomicU64,
    lines: Mutex<Vec<(f64, String)>>,
    folder: PathBuf,
    pub start: f64,
}

impl World {
    pub fn new() -> Arc<Self> {
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
        let (requests, lines) = (Mutex::default(), Mutex::default());
        // Where a stand-in fails the case could not run, and all that it started is to end with it.
        std::panic::set_hook(Box::new(|what| {
            eprintln!("the case could not run: {what}");
            if let Ok(mut started) = STARTED.try_lock() {
                started.iter_mut().for_each(|child| drop(child.kill()));
            }
            std::process::exit(2)
        }));
        // No case may last longer.
        spawn(|| {
            sleep(ms(115_000));
            for child in locked(&STARTED).iter_mut() {
                let _ = child.kill();
            }
            locked(&FOLDERS).iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
            println!("the case took too long");
            std::process::exit(2)
        });
        // Ids are new in every run.
        let start = unix_ms();
        let ids = AtomicU64::new(((start as u64) << 20) | u64::from(std::process::id() & 0xfff) << 8);
        Arc::new(Self { requests, ids, lines, folder, start })
    }

    pub fn new_id(&self) -> String {
        format!("{:016x}", self.ids.fetch_add(1, SeqCst))
    }

    pub fn note(&self, line: impl Into<String>) {
        let (at, line) = (unix_ms(), line.into());
        if std::env::var_os("SHOW").is_some() {
            eprintln!("{:9.1} {line}", at - self.start);
        }
        locked(&self.lines).push((at, line));
    }

    pub fn change(&self, id: &str, change: impl FnOnce(&mut Sent)) {
        if let Some(sent) = locked(&self.requests).get_mut(id) {
            change(sent);
        }
    }

    pub fn get(&self, id: &str) -> Option<Sent> {
        locked(&self.requests).get(id).cloned()
    }

    /// Writes `record.txt`.
    pub fn write_record(&self) {
        let mut out = String::new();
        let mut lines = locked(&self.lines).clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (at, line) in lines {
            let _ = writeln!(out, "{:9.1} ms  {line}", at - self.start);
        }
        if let Err(problem) = std::fs::write(self.folder.join("record.txt"), out) {
            eprintln!("the record cannot be written: {problem}");
        }
    }

    /// Requests without exactly one answer in their time, with `slack` ms of it.
    pub fn lost(&self, slack: f64) -> Vec<(String, String)> {
        let requests = locked(&self.requests);
        let judged = requests.iter().filter(|(_, sent)| !sent.excused);
        judged
            .filter_map(|(id, sent)| match sent.answers.as_slice() {
                [] => Some((id.clone(), "no answer".to_owned())),
                [(at, word, _)] if *at > sent.at + sent.limit + slack => {
                    Some((id.clone(), format!("'{word}' {:.0} ms late", at - sent.at - sent.limit)))
                }
                [_] => None,
                answers => Some((id.clone(), format!("{} answers", answers.len()))),
            })
            .collect()
    }
}

/// Processes that were started and folders that were made, for the end.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the case: 0 where the rule held, 1 where it was broken, 2 where the case could not run.
pub fn finish(world: &World, code: i32, verdict: &str) -> ! {
    world.note(format!("verdict: {verdict}"));
    world.write_record();
    for child in locked(&STARTED).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP").is_none() {
        locked(&FOLDERS).iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    }
    println!("{verdict}");
    std::process::exit(code)
}

// ---- base64 and flat JSON ----

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

pub fn decode(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        (word, bits) = (word << 6 | digit as u32, bits + 6);
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits & 255) as u8);
        }
    }
    out
}

/// A value of a flat JSON object without escapes, as the node writes them.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = &line[line.find(&format!("\"{name}\":"))? + name.len() + 3..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next(),
    }
}

// ---- the processor ----

/// What a run does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Works for so many ms on one core of the yardstick speed.
    Work(f64),
    /// Waits for a call with this body.
    Call(Vec<u8>),
}

/// The whole of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub steps: Vec<Step>,
    /// `ok` or `failed`.
    pub end: &'static str,
}

struct Run {
    steps: VecDeque<Step>,
    end: &'static str,
    since: Instant,
    waits: Option<u64>,
    /// Work that is left of this step, in ms on one core of the yardstick speed.
    left: f64,
}

#[derive(Default)]
struct Inner {
    notices: VecDeque<(u64, String)>,
    seq: u64,
    link: Option<(u64, TcpStream)>,
    links: u64,
    runs: HashMap<String, Run>,
    began: HashMap<String, u32>,
}

/// A processor, which knows the requests of one world.
pub struct Processor {
    pub name: &'static str,
    pub address: String,
    world: Arc<World>,
    inner: Mutex<Inner>,
    plan: Box<dyn Fn(&str, &Sent) -> Plan + Send + Sync>,
    cores: Arc<Cores>,
    up: Instant,
}

/// The cores of one machine: all that runs shares them, whichever address it was begun at.
pub struct Cores {
    pub count: f64,
    /// The speed of a core, in thousandths of the yardstick's.
    speed: AtomicU64,
    /// Runs that want a core, at all addresses.
    wanted: AtomicU64,
}

impl Cores {
    pub fn new(count: u32, speed: f64) -> Arc<Self> {
        let speed = AtomicU64::new((speed * 1000.0) as u64);
        Arc::new(Self { count: f64::from(count), speed, wanted: AtomicU64::new(0) })
    }

    /// Runs at another speed from now on.
    pub fn turn_to(&self, speed: f64) {
        self.speed.store((speed * 1000.0) as u64, SeqCst);
    }

    /// How much of the yardstick's core each run gets.
    fn share(&self) -> f64 {
        let wanted = self.wanted.load(SeqCst) as f64;
        self.speed.load(SeqCst) as f64 / 1000.0 * (self.count / wanted.max(1.0)).min(1.0)
    }
}

impl Processor {
    pub fn start(
        name: &'static str,
        world: &Arc<World>,
        cores: &Arc<Cores>,
        plan: impl Fn(&str, &Sent) -> Plan + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let processor = Arc::new(Self {
            name,
            address,
            world: world.clone(),
            inner: Mutex::default(),
            plan: Box::new(plan),
            cores: cores.clone(),
            up: Instant::now(),
        });
        let (accepts, ticks) = (processor.clone(), processor.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let processor = accepts.clone();
                spawn(move || processor.serve(stream));
            }
        });
        spawn(move || {
            let mut last = Instant::now();
            loop {
                sleep(ms(1));
                let now = Instant::now();
                ticks.tick((now - last).as_secs_f64() * 1000.0);
                last = now;
            }
        });
        processor
    }

    /// Breaks the link: what it has not delivered is gone.
    pub fn break_link(&self) {
        if let Some((_, stream)) = locked(&self.inner).link.take() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Runs under way.
    pub fn running(&self) -> usize {
        locked(&self.inner).runs.len()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = {
            let mut inner = locked(&self.inner);
            inner.links += 1;
            inner.links
        };
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(length) if length > 0 && line.ends_with('\n') => {}
                _ => break,
            }
            self.command(line.trim_end(), number, &stream);
        }
        let mut inner = locked(&self.inner);
        if inner.link.as_ref().is_some_and(|(of, _)| *of == number) {
            inner.link = None;
        }
    }

    fn write(inner: &mut Inner, line: &str) {
        if let Some((_, stream)) = &mut inner.link {
            let _ = stream.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn notify(inner: &mut Inner, line: impl FnOnce(u64) -> String) -> u64 {
        inner.seq += 1;
        let (seq, line) = (inner.seq, line(inner.seq));
        Self::write(inner, &line);
        inner.notices.push_back((seq, line));
        if inner.notices.len() > KEPT_NOTICES {
            inner.notices.pop_front();
        }
        seq
    }

    fn command(&self, line: &str, number: u64, stream: &TcpStream) {
        let mut guard = locked(&self.inner);
        let inner = &mut *guard;
        let id = field(line, "id").unwrap_or_default().to_owned();
        match field(line, "op") {
            Some("hello") => {
                let after: u64 = field(line, "seq").and_then(|seq| seq.parse().ok()).unwrap_or(0);
                if let Some((_, before)) = inner.link.take() {
                    let _ = before.shutdown(std::net::Shutdown::Both);
                }
                inner.link = stream.try_clone().ok().map(|stream| (number, stream));
                let up = self.up.elapsed().as_millis();
                Self::write(inner, &format!("{{\"op\":\"hi\",\"end\":\"warm\",\"ms\":{up}}}"));
                let missed: Vec<String> = inner
                    .notices
                    .iter()
                    .filter(|(seq, _)| *seq > after)
                    .map(|(_, line)| line.clone())
                    .collect();
                missed.iter().for_each(|line| Self::write(inner, line));
            }
            Some("usage") => {
                let tag = field(line, "tag").unwrap_or_default();
                let busy = self.cores.wanted.load(SeqCst) as f64;
                let share = (busy / self.cores.count).min(1.0);
                let used =
                    format!("{{\"op\":\"used\",\"tag\":\"{tag}\",\"values\":[{share},{busy},0.1,3.0]}}");
                Self::write(inner, &used);
            }
            Some("begin") => self.begin(inner, &id, line),
            Some("answer") => {
                let waits = inner.runs.get_mut(&id).is_some_and(|run| run.waits.take().is_some());
                if waits {
                    let body = decode(field(line, "body").unwrap_or_default());
                    self.world.note(format!(
                        "{}: the run of {id} gets the reply {:?}",
                        self.name,
                        String::from_utf8_lossy(&body)
                    ));
                    self.world.change(&id, |sent| sent.replies.push(body));
                    self.advance(inner, &id);
                } else {
                    self.world.note(format!("{}: an answer to {id}, which waits for none", self.name));
                    Self::write(inner, &format!("{{\"op\":\"reject\",\"end\":\"answer\",\"id\":\"{id}\"}}"));
                }
            }
            Some("without") => {
                let of: u64 = field(line, "seq").and_then(|seq| seq.parse().ok()).unwrap_or(0);
                let waits =
                    inner.runs.get_mut(&id).is_some_and(|run| run.waits.take_if(|seq| *seq == of).is_some());
                if waits {
                    self.advance(inner, &id);
                }
            }
            _ => {
                self.world.note(format!("{}: what is no command: {line}", self.name));
                if let Some((_, stream)) = inner.link.take() {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
            }
        }
    }

    fn begin(&self, inner: &mut Inner, id: &str, line: &str) {
        let known = self.world.get(id);
        let body = decode(field(line, "body").unwrap_or_default());
        let Some(sent) = known.filter(|sent| field(line, "class") == Some(&sent.class) && sent.body == body)
        else {
            self.world.note(format!("{}: rejects {id}", self.name));
            return Self::write(inner, &format!("{{\"op\":\"reject\",\"end\":\"begin\",\"id\":\"{id}\"}}"));
        };
        if inner.runs.contains_key(id) {
            return;
        }
        // One that has run here to its end is over for the processor as well.
        if sent.is_over() || inner.began.contains_key(id) {
            self.world.note(format!("{}: nothing is begun of {id}, which is over", self.name));
            Self::notify(inner, |seq| {
                format!(
                    "{{\"op\":\"complete\",\"seq\":{seq},\"id\":\"{id}\",\"end\":\"void\",\"ms\":0,\"body\":\"\"}}"
                )
            });
            return;
        }
        self.world.note(format!("{}: runs {id} of {}, key {:?}", self.name, sent.class, sent.key));
        self.world.change(id, |sent| sent.runs.push(unix_ms()));
        *inner.began.entry(id.to_owned()).or_default() += 1;
        let Plan { steps, end } = (self.plan)(id, &sent);
        let run = Run { steps: steps.into(), end, since: Instant::now(), waits: None, left: 0.0 };
        inner.runs.insert(id.to_owned(), run);
        self.advance(inner, id);
    }

    fn complete(&self, inner: &mut Inner, id: &str, end: &str) {
        let Some(run) = inner.runs.remove(id) else { return };
        let took = run.since.elapsed().as_millis();
        let body = if end == "ok" { encode(result(id).as_bytes()) } else { String::new() };
        self.world.note(format!("{}: the run of {id} ends '{end}' after {took} ms", self.name));
        self.world.change(id, |sent| sent.ends.push((unix_ms(), end.to_owned())));
        Self::notify(inner, |seq| {
            format!(
                "{{\"op\":\"complete\",\"seq\":{seq},\"id\":\"{id}\",\"end\":\"{end}\",\"ms\":{took},\"body\":\"{body}\"}}"
            )
        });
    }

    fn advance(&self, inner: &mut Inner, id: &str) {
        let Some(run) = inner.runs.get_mut(id) else { return };
        match run.steps.pop_front() {
            Some(Step::Work(work)) => {
                run.left = work.max(0.001);
                self.cores.wanted.fetch_add(1, SeqCst);
            }
            Some(Step::Call(_)) if self.world.get(id).is_some_and(|sent| sent.is_over()) => {
                self.complete(inner, id, "halted");
            }
            Some(Step::Call(body)) => {
                let body = encode(&body);
                let seq = Self::notify(inner, |seq| {
                    format!("{{\"op\":\"ask\",\"seq\":{seq},\"id\":\"{id}\",\"body\":\"{body}\"}}")
                });
                if let Some(run) = inner.runs.get_mut(id) {
                    run.waits = Some(seq);
                }
            }
            None => {
                let end = run.end;
                self.complete(inner, id, end);
            }
        }
    }

    fn tick(&self, passed: f64) {
        let mut guard = locked(&self.inner);
        let inner = &mut *guard;
        let done = passed * self.cores.share();
        let mut due = Vec::new();
        for (id, run) in inner.runs.iter_mut().filter(|(_, run)| run.left > 0.0) {
            run.left -= done;
            if run.left <= 0.0 {
                self.cores.wanted.fetch_sub(1, SeqCst);
                due.push(id.clone());
            }
        }
        due.iter().for_each(|id| self.advance(inner, id));
    }
}

/// The result of a request's run.
pub fn result(id: &str) -> String {
    format!("result of {id}")
}

// ---- front ends ----

/// One connection of a front end.
pub struct Front {
    world: Arc<World>,
    stream: Mutex<TcpStream>,
    open: Arc<Mutex<HashMap<u64, String>>>,
    tags: AtomicU64,
    pub closing: Arc<AtomicBool>,
    pub ended: Arc<AtomicBool>,
}

fn read_array(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut number = |reader: &mut dyn BufRead, mark: char| -> Option<usize> {
        line.clear();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let words = number(reader, '*')?;
    (0..words)
        .map(|_| {
            let mut word = vec![0; number(reader, '$')? + 2];
            reader.read_exact(&mut word).ok()?;
            word.truncate(word.len() - 2);
            Some(word)
        })
        .collect()
}

pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// What a request says beside its class and body.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub limit: f64,
    pub resent: bool,
    pub more: String,
}

impl Front {
    pub fn connect(address: &str, world: &Arc<World>) -> std::io::Result<Arc<Self>> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let front = Arc::new(Self {
            world: world.clone(),
            stream: Mutex::new(stream.try_clone()?),
            open: Arc::default(),
            tags: AtomicU64::new(1),
            closing: Arc::default(),
            ended: Arc::default(),
        });
        let (open, world) = (front.open.clone(), world.clone());
        let (closing, ended) = (front.closing.clone(), front.ended.clone());
        spawn(move || {
            let Ok(half) = stream.try_clone() else { return };
            let mut reader = BufReader::new(half);
            while let Some(words) = read_array(&mut reader) {
                let tag: u64 = String::from_utf8_lossy(&words[0]).parse().unwrap_or(0);
                let word = String::from_utf8_lossy(words.get(1).map_or(&b""[..], |word| word)).into_owned();
                if tag == 0 {
                    closing.store(true, SeqCst);
                    // It closes the connection once all on it is answered.
                    if locked(&open).is_empty() {
                        break;
                    }
                    continue;
                }
                let body = words.get(3).cloned().unwrap_or_default();
                let id = locked(&open).remove(&tag);
                if let Some(id) = id {
                    let now = unix_ms();
                    world.note(format!("answer to {id}: {word} {}", String::from_utf8_lossy(&body)));
                    world.change(&id, |sent| sent.answers.push((now, word, body)));
                }
                if closing.load(SeqCst) && locked(&open).is_empty() {
                    break;
                }
            }
            ended.store(true, SeqCst);
            let _ = stream.shutdown(std::net::Shutdown::Both);
            for id in locked(&open).drain().map(|(_, id)| id) {
                world.note(format!("the connection ends without an answer to {id}"));
                world.change(&id, |sent| sent.cut = Some(unix_ms()));
            }
        });
        Ok(front)
    }

    /// Takes a request back: its caller waits no longer.
    pub fn nevermind(&self, id: &str) {
        let tag = locked(&self.open).iter().find(|(_, open)| *open == id).map(|(tag, _)| *tag);
        let Some(tag) = tag else { return };
        self.world.note(format!("NEVERMIND for {id}"));
        self.world.change(id, |sent| sent.excused = true);
        let _ = locked(&self.stream).write_all(&array(&[b"NEVERMIND", tag.to_string().as_bytes()]));
    }

    /// Sends a request; none where the connection is of no use for one any more.
    pub fn ask(&self, ask: &Ask) -> Option<String> {
        if self.closing.load(SeqCst) || self.ended.load(SeqCst) {
            return None;
        }
        let (id, tag) = (self.world.new_id(), self.tags.fetch_add(1, SeqCst));
        let at = unix_ms();
        let Ask { class, key, body, limit, resent, more } = ask.clone();
        let mut fields = format!("req={id},ts={},via=1,need=20.0,level=0.5", at as u64);
        if let Some(key) = &key {
            let _ = write!(fields, ",opkey={key}");
        }
        if resent {
            fields.push_str(",resent=1");
        }
        fields.push_str(&more);
        let sent =
            Sent { class: class.clone(), key: key.clone(), body: body.clone(), at, limit, ..Sent::default() };
        locked(&self.world.requests).insert(id.clone(), sent);
        locked(&self.open).insert(tag, id.clone());
        let bytes = array(&[b"ASK", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), &body]);
        if locked(&self.stream).write_all(&bytes).is_err() {
            locked(&self.open).remove(&tag);
            locked(&self.world.requests).remove(&id);
            return None;
        }
        self.world.note(format!("sent {id}: {class}, key {key:?}{}", if resent { ", resent" } else { "" }));
        Some(id)
    }
}

/// Asks on an own connection whether the node is healthy; the word of the answer.
pub fn health(address: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(&array(&[b"STATUS", b"1", b""])).ok()?;
    let mut reader = BufReader::new(stream);
    let words = read_array(&mut reader)?;
    Some(String::from_utf8_lossy(words.get(1)?).into_owned())
}

/// A call at the operators' door; the status of the answer.
pub fn call(address: &str, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ms(2000))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split(' ').nth(1)?.parse().ok()
}

// ---- the records service ----

/// A reply of the records service, and what comes behind it, so many ms later.
pub struct Reply {
    pub after: Duration,
    pub status: &'static str,
    pub body: Vec<u8>,
    pub behind: Option<(Duration, Vec<u8>)>,
}

pub fn http(status: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves calls: a thread a connection, one call after the other.
pub fn records(answer: impl Fn(&str, &[u8]) -> Reply + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            spawn(move || {
                let _ = serve_calls(stream, &*answer);
            });
        }
    });
    address
}

fn serve_calls(
    mut stream: TcpStream,
    answer: &(dyn Fn(&str, &[u8]) -> Reply + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(10_000)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut of, mut length, mut line) = (String::new(), 0, String::new());
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                if line.trim_end().is_empty() {
                    break;
                }
                continue;
            };
            match name.to_ascii_lowercase().as_str() {
                "op-of" => of = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let reply = answer(&of, &body);
        sleep(reply.after);
        stream.write_all(&http(reply.status, &reply.body))?;
        if let Some((later, bytes)) = reply.behind {
            sleep(later);
            stream.write_all(&bytes)?;
        }
    }
}

// ---- the platform ----

/// A control plane that takes every report; its address.
pub fn control() -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("an address").to_string();
    spawn(move || while socket.recv(&mut [0; 256]).is_ok() {});
    address
}

/// Ports that a case has for itself, and the port below them that it holds for as long as it runs.
const BLOCK_PORTS: u64 = 36;

/// A port that is free now, for connections and datagrams. It is below those that systems give to connections of their
/// own accord, so that none of them takes it until the node listens there; nor does a case that runs beside this one,
/// as the first port of the block is held.
pub fn free_address() -> String {
    static BLOCK: Mutex<Option<(TcpListener, u64)>> = Mutex::new(None);
    let mut block = locked(&BLOCK);
    let drawn = u64::from(std::process::id()) * 37 + unix_ms() as u64;
    for attempt in 0..500 {
        if let Some((held, used)) = block.as_mut() {
            let first = u64::from(held.local_addr().expect("an address").port());
            while *used + 1 < BLOCK_PORTS {
                *used += 1;
                let address = format!("127.0.0.1:{}", first + *used);
                if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
                    return address;
                }
            }
        }
        let first = 12_000 + (drawn + attempt) % 500 * BLOCK_PORTS;
        if let Ok(held) = TcpListener::bind(format!("127.0.0.1:{first}")) {
            // A block that is used up is given back only with the process.
            if let Some((used_up, _)) = block.replace((held, 0)) {
                std::mem::forget(used_up);
            }
        }
    }
    panic!("no port is free")
}

/// A temporary folder of its own, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("sillflow-review-{}-{}", std::process::id(), unix_ms() as u64);
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        locked(&FOLDERS).push(path.clone());
        Self(path)
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// What Linux calls the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const STOP: i32 = 19;
pub const CONT: i32 = 18;
pub const HUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;

/// One process of the node.
pub struct Node {
    pid: u32,
    pub name: &'static str,
    world: Arc<World>,
}

/// The command that the deploy file has for one real node.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a line 'run'");
    line.trim().trim_matches('"').to_owned()
}

impl Node {
    /// Starts `run` from the root, as the platform does; with a socket that the platform holds as descriptor 4.
    pub fn start(
        name: &'static str,
        world: &Arc<World>,
        config: &Path,
        folder: &Path,
        held: Option<&TcpListener>,
        environment: &[(&str, &str)],
    ) -> Self {
        let run = run_command();
        let mut command = Command::new("/bin/sh");
        match held {
            Some(held) => {
                command.args(["-c", "exec /bin/sh -c \"$0\" 4<&0 </dev/null", &run]).env("PROXY_FD", "4");
                command.stdin(OwnedFd::from(held.try_clone().expect("a handle")));
            }
            None => {
                command.args(["-c", &run]).env_remove("PROXY_FD").stdin(Stdio::null());
            }
        }
        for name in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "SILLFLOW_OPERATOR"] {
            command.env_remove(name);
        }
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary).expect("a folder");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a file");
        command.env("PROXY_CONFIG", config).env("TMPDIR", &temporary).envs(environment.iter().copied());
        command.stdout(Stdio::null()).stderr(Stdio::from(log));
        // A node ends with the case that started it, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, KILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().expect("the node starts");
        world.note(format!("{name} is started"));
        let pid = child.id();
        locked(&STARTED).push(child);
        Self { pid, name, world: world.clone() }
    }

    pub fn signal(&self, signal: i32) {
        let word = match signal {
            HUP => "SIGHUP",
            TERM => "SIGTERM",
            KILL => "SIGKILL",
            STOP => "SIGSTOP",
            CONT => "SIGCONT",
            _ => "a signal",
        };
        self.world.note(format!("{word} to {}", self.name));
        unsafe { kill(self.pid as i32, signal) };
    }

    pub fn has_ended(&self) -> bool {
        let mut started = locked(&STARTED);
        let child = started.iter_mut().find(|child| child.id() == self.pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// Waits for something; whether it came in time.
pub fn within(time: Duration, what: impl Fn() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if what() {
            return true;
        }
        sleep(ms(20));
    }
    what()
}

/// A class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim: f64,
    pub limit: f64,
    pub window: f64,
    pub worth: f64,
    pub calls: bool,
    pub skip: f64,
}

/// The classes of the first deployment, with the figures of its pages.
pub fn almaty() -> Vec<Class> {
    let class = |name, effect, aim, limit, window, worth, calls, skip| Class {
        name,
        effect,
        aim,
        limit,
        window,
        worth,
        calls,
        skip,
    };
    vec![
        class("history", "retryable", 3800.0, 9400.0, 5000.0, 1.0, true, 0.3),
        class("plate-check", "retryable", 1500.0, 5700.0, 5000.0, 2.0, false, 0.0),
        class("pay-session", "dedup", 2300.0, 5700.0, 16_989.0, 3.0, true, 0.0),
    ]
}

/// Addresses of a configuration.
pub struct Addresses<'a> {
    pub listen: &'a str,
    pub admin: &'a str,
    pub processor: &'a str,
    pub control: &'a str,
    pub records: &'a str,
}

/// The platform's file, with the settings of the first deployment but for its classes.
pub fn configuration(to: &Addresses<'_>, classes: &[Class], stop_ms: u64) -> String {
    let each = |of: &dyn Fn(&Class) -> String| classes.iter().map(of).collect::<Vec<_>>().join(",");
    let listed = each(&|class| {
        format!(
            "{{\"name\":\"{}\",\"effect\":\"{}\",\"aim\":{:.1},\"hard-limit\":{:.1},\"late-worth\":0.0,\"repeat-window\":{:.1},\"worth\":{:.1}}}",
            class.name, class.effect, class.aim, class.limit, class.window, class.worth
        )
    });
    let calls = each(&|class| class.calls.to_string());
    let skips = each(&|class| format!("{:.1}", class.skip));
    let Addresses { listen, admin, processor, control, records } = to;
    format!(
        r#"{{"name":"n1","listen":"{listen}","admin_addr":"{admin}","processor":"{processor}","control":"{control}","records":"{records}",
"seed":"8c1f30d27a5be964","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"areas":["alm-1","alm-2","alm-3"],"classes":[{listed}],"clients":{{"marks-retry":true}},"counted-by":"work",
"family":"server","family-info":{{"below":"tier","blowup":8.0,"calls-by-class":[{calls}],"calls-out":0.0,"cpus":6,
"deep-checks":false,"degraded-worth":[{skips}],"fresh":0.0,"gauges":["core_use","on_cores","heap_share","links"],
"halt":"pause","heeded":1000.0,"idle":30000.0,"just-started":false,"key-kb":48.55,"linger":200.0,"memory-kb":18600.0,
"passes-deadline":false,"readiness":true,"say":"level","senders":3,"share-span":5000.0,"tells-gone":true}},
"layer":0,"limits":{{"max-retry-after":1000.0,"retry-after":true}},"my-number":6,"over-share-worth":0.05,
"rules":{{"answer-slack":80.0,"cold":18000.0,"cold-from":0.22,"drain-grace":2500.0,"fall":3000.0,"fall-multiple":5.0}},
"servers":11,"tenants":[{{"name":"almaty","portion":0.4,"quota-rps":72.0}}],"tick":5.0,"zone":0}}}}"#
    )
}

/// Writes a file as a whole, in place of the one that is there.
pub fn replace_file(path: &Path, text: &str) {
    let next = path.with_extension("next");
    std::fs::write(&next, text).expect("a file");
    std::fs::rename(next, path).expect("a file");
}

/// Draws that are the same in every run (xorshift64*).
pub struct Draws(pub u64);

impl Draws {
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time to the next arrival, with so many ms between two on average.
    pub fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A lognormal draw with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
    }
}
