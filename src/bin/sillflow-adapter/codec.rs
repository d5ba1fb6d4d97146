//! Wire format of the simulator: decodes batches of records and encodes replies. Numbers are big-endian.

use std::io::{self, Read};

use sillflow::interface::{Action, Event, Outcome, Request, RequestId};

/// One decoded batch.
pub struct Batch {
    /// Clock time, in ms.
    pub now: f64,
    /// Sequence number, returned in the reply.
    pub seq: u32,
    /// Its records.
    pub records: Vec<Record>,
}

/// One record of a batch, with the instance it is for.
pub enum Record {
    /// An instance starts.
    Attach { instance: u16, seed: u64, env: String },
    /// An instance has been stopped.
    PowerOff { instance: u16 },
    /// An event for the decision module.
    Happened { instance: u16, event: IncomingEvent },
}

/// An event, with gauges still in the order of the instance's settings.
pub enum IncomingEvent {
    /// An event without gauges.
    Plain(Event),
    /// A timer with its gauges.
    Timer(Vec<f32>),
}

/// Error message: why a batch could not be read.
pub type DecodeError = String;

struct Cursor<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) =
            self.bytes.split_at_checked(n).ok_or_else(|| format!("{} is cut short", self.what))?;
        self.bytes = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, DecodeError> {
        Ok(f32::from_be_bytes(self.array()?))
    }
    fn f64(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_be_bytes(self.array()?))
    }
    fn id(&mut self) -> Result<RequestId, DecodeError> {
        Ok(RequestId(self.u32()?))
    }
    fn end(&self) -> Result<(), DecodeError> {
        if self.bytes.is_empty() { Ok(()) } else { Err(format!("{} has bytes left over", self.what)) }
    }
}

/// Longest body that is read, in bytes; far above any real batch.
const BODY_LIMIT: u32 = 1 << 30;

/// Reads one batch; returns `None` if the input ends between two frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, DecodeError> {
    let mut header = [0u8; 20];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err("the input ends inside a header".into()),
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("the input cannot be read: {e}")),
        }
    }
    let mut cursor = Cursor { bytes: &header, what: "the header" };
    let (length, count, now, seq) = (cursor.u32()?, cursor.u32()?, cursor.f64()?, cursor.u32()?);
    if length > BODY_LIMIT {
        return Err(format!("a batch of {length} bytes is too long"));
    }
    if u64::from(count) * 5 > u64::from(length) {
        return Err(format!("{count} records cannot fit in {length} bytes"));
    }
    if !now.is_finite() {
        return Err("the clock is not a number".into());
    }
    let mut body = Vec::new();
    match input.take(u64::from(length)).read_to_end(&mut body) {
        Ok(n) if n == length as usize => {}
        Ok(_) => return Err("the input ends inside a batch".into()),
        Err(e) => return Err(format!("the input cannot be read: {e}")),
    }
    Ok(Some(Batch { now, seq, records: parse_body(&body, count)? }))
}

fn parse_body(body: &[u8], count: u32) -> Result<Vec<Record>, DecodeError> {
    let mut rest = Cursor { bytes: body, what: "a batch" };
    let mut records = Vec::with_capacity(count as usize);
    let mut current_instance = None;
    for _ in 0..count {
        let code = rest.u8()?;
        let length = rest.u32()? as usize;
        let mut fields = Cursor { bytes: rest.take(length)?, what: record_name(code)? };
        if code == 2 {
            current_instance = Some(fields.u16()?);
        } else {
            let instance =
                current_instance.ok_or_else(|| format!("{} comes before any ABOUT", fields.what))?;
            records.push(parse_record(code, instance, &mut fields)?);
        }
        fields.end()?;
    }
    rest.end()?;
    Ok(records)
}

fn record_name(code: u8) -> Result<&'static str, DecodeError> {
    Ok(match code {
        1 => "HANGUP",
        2 => "ABOUT",
        3 => "RETURNED",
        4 => "POWER_OFF",
        5 => "ATTACH",
        6 => "SUBMIT",
        7 => "DUE",
        8 => "STALLED_ON_CALL",
        9 => "WORK_DONE",
        10 => "TERMINATE_SOON",
        _ => return Err(format!("unknown record code {code}")),
    })
}

fn parse_record(code: u8, instance: u16, fields: &mut Cursor<'_>) -> Result<Record, DecodeError> {
    let event = match code {
        4 => return Ok(Record::PowerOff { instance }),
        5 => {
            let (seed, length) = (fields.u64()?, fields.u32()? as usize);
            let text = std::str::from_utf8(fields.take(length)?).map_err(|_| "ATTACH: env is not UTF-8")?;
            return Ok(Record::Attach { instance, seed, env: text.to_owned() });
        }
        7 => {
            fields.u64()?;
            let n = fields.u8()?;
            let gauges = (0..n).map(|_| fields.f32()).collect::<Result<_, _>>()?;
            return Ok(Record::Happened { instance, event: IncomingEvent::Timer(gauges) });
        }
        1 => Event::Gone(fields.id()?),
        3 => {
            let (id, took_ms) = (fields.id()?, fields.f64()?);
            Event::Called { id, took_ms, outcome: outcome(fields.u16()?)? }
        }
        6 => Event::Request(request(fields)?),
        8 => Event::Needs(fields.id()?),
        9 => {
            let (id, ending) = (fields.id()?, outcome(fields.u16()?)?);
            Event::Done { id, outcome: ending, took_ms: fields.f64()? }
        }
        _ => Event::Drain { stop_at: fields.f64()? },
    };
    Ok(Record::Happened { instance, event: IncomingEvent::Plain(event) })
}

fn request(fields: &mut Cursor<'_>) -> Result<Request, DecodeError> {
    let id = fields.id()?;
    let class = usize::from(fields.u8()?);
    let tenant = usize::from(fields.u16()?);
    let key = Some(fields.u64()?).filter(|key| *key != 0);
    let due = Some(fields.f64()?).filter(|due| *due != 0.0);
    let hint = fields.f64()?;
    let held_kb = f64::from(fields.f32()?);
    fields.f32()?;
    let bits = fields.u8()?;
    fields.u16()?;
    let waited_ms = fields.f64()?;
    let earlier = Some(fields.u32()?).filter(|earlier| *earlier != 0).map(RequestId);
    let hint_ms = Some(hint).filter(|_| bits & 1 != 0);
    let further = bits & 2 != 0;
    Ok(Request { id, class, tenant, key, due, hint_ms, held_kb, waited_ms, further, earlier })
}

fn outcome(code: u16) -> Result<Outcome, DecodeError> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends the actions of one instance.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(16, &[&instance.to_be_bytes()]);
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Run(id) => self.record(1, &[&id.0.to_be_bytes()]),
            Action::Refuse { id, stay_away_ms, last } => {
                self.record(2, &[&id.0.to_be_bytes(), &stay_away_ms.to_be_bytes(), &[u8::from(*last)]]);
            }
            Action::Fail(id) => self.record(3, &[&id.0.to_be_bytes()]),
            Action::Call { id, give_up_at } => {
                self.record(5, &[&id.0.to_be_bytes(), &give_up_at.to_be_bytes()])
            }
            Action::Skip(id) => self.record(6, &[&id.0.to_be_bytes()]),
            Action::Keep { id, for_ms } => self.record(7, &[&id.0.to_be_bytes(), &for_ms.to_be_bytes()]),
            Action::Forget(id) => self.record(8, &[&id.0.to_be_bytes()]),
            Action::Reuse(id) => self.record(9, &[&id.0.to_be_bytes()]),
            Action::Health { good } => self.record(10, &[&[u8::from(*good), 1]]),
            Action::Say(value) => self.record(11, &[&(*value as f32).to_be_bytes()]),
            Action::CloseIdle { after_ms } => self.record(12, &[&after_ms.to_be_bytes()]),
            Action::Wake { after_ms } => self.record(13, &[&after_ms.to_be_bytes(), &0u64.to_be_bytes()]),
        }
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.body.push(code);
        self.body.extend_from_slice(&(length as u32).to_be_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
        self.count += 1;
    }

    /// The complete frame.
    pub fn frame(&self, seq: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.body.len());
        for number in [self.body.len() as u32, self.count, seq] {
            out.extend_from_slice(&number.to_be_bytes());
        }
        out.extend_from_slice(&self.body);
        out
    }
}
