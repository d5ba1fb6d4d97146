//! What a request says of itself, the same on every front: each field is checked before anything is done.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::time::Instant;

use super::Shared;
use crate::clock::receipt::{self, Receipt, span};
use crate::exchange::{Catalog, IncomingRequest, TryId};

/// The longest key of an operation.
const KEY_BYTES: usize = 64;
/// The most work that a request may announce, in ms.
const WORK_MS: f64 = 600_000.0;
/// The longest that a request's caller may wait for it, in ms.
const PATIENCE_MS: f64 = 600_000.0;
/// The memory that a request may book stays under this, in kB.
const NEED_KB: f64 = 2_000.0;

/// Why a request cannot be served by anyone.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum Unfit {
    #[error("an unknown class")]
    Class,
    #[error("fields that are no text, or without a value")]
    Text,
    #[error("its name is not 16 hexadecimal digits")]
    Try,
    #[error("an unknown tenant")]
    Owner,
    #[error("no key, or one that is too long, in a class with keys")]
    Key,
    #[error("its subject is not a hexadecimal number")]
    Subject,
    #[error("a figure that is no number or out of its range")]
    Figure,
    #[error("a body that is too long")]
    Body,
}

/// The fields as text, each where it is there.
#[derive(Debug, Default)]
pub(super) struct Fields<'a> {
    pub req: Option<&'a str>,
    pub ts: Option<&'a str>,
    pub timeout_ms: Option<&'a str>,
    pub via: Option<&'a str>,
    pub owner: Option<&'a str>,
    pub resent: Option<&'a str>,
    pub work_ms: Option<&'a str>,
    pub need_kb: Option<&'a str>,
    pub level: Option<&'a str>,
    pub op_key: Option<&'a str>,
    pub subject: Option<&'a str>,
    /// Where it comes from.
    pub address: Option<IpAddr>,
}

impl Fields<'_> {
    /// The request in the core's terms. One without a name gets a name.
    pub fn ask(&self, class: &str, shared: &Shared, body: Bytes) -> Result<IncomingRequest, Unfit> {
        let catalog = shared.exchange.catalog();
        let class = *catalog.classes.get(class).ok_or(Unfit::Class)?;
        // Neither is made use of; yet what is out of its range is no request of a front end.
        self.via.map_or(Ok(0), str::parse::<u32>).map_err(|_| Unfit::Figure)?;
        figure(self.level, |level| (0.0..1.0).contains(&level))?;
        let need = figure(self.need_kb, |kb| kb > 0.0 && kb < NEED_KB)?;
        let ts = figure(self.ts, receipt::is_plausible)?;
        let patience = figure(self.timeout_ms, |ms| ms > 0.0 && ms <= PATIENCE_MS)?.map(span);
        let received = Instant::now();
        let Receipt { age, patience } = match ts {
            Some(ts) => shared.exchange.receipt(ts, class, patience, received),
            None => Receipt { age: Duration::ZERO, patience },
        };
        Ok(IncomingRequest {
            try_id: self
                .req
                .map_or_else(|| Some(TryId::random()), |req| TryId::parse(req.as_bytes()))
                .ok_or(Unfit::Try)?,
            class,
            tenant: self.tenant(&catalog)?,
            names_tenant: self.owner.is_some(),
            address: self.address,
            op_key: self.key(catalog.keyed[class])?,
            subject: self.subject()?,
            is_retry: self.further()?,
            hint_ms: figure(self.work_ms, |ms| (0.0..=WORK_MS).contains(&ms))?,
            held_kb: need.unwrap_or(0.0),
            received,
            age,
            caller_timeout: patience,
            body,
        })
    }

    fn tenant(&self, catalog: &Catalog) -> Result<usize, Unfit> {
        match self.owner {
            Some(name) if !catalog.tenants.is_empty() => {
                catalog.tenants.get(name).copied().ok_or(Unfit::Owner)
            }
            _ => Ok(0),
        }
    }

    fn key(&self, wanted: bool) -> Result<Option<Arc<str>>, Unfit> {
        match self.op_key {
            Some(key) if (1..=KEY_BYTES).contains(&key.len()) => Ok(Some(Arc::from(key))),
            None if !wanted => Ok(None),
            _ => Err(Unfit::Key),
        }
    }

    fn subject(&self) -> Result<Option<u64>, Unfit> {
        self.subject.map(|hex| u64::from_str_radix(hex, 16)).transpose().map_err(|_| Unfit::Subject)
    }

    fn further(&self) -> Result<bool, Unfit> {
        match self.resent {
            Some("1") => Ok(true),
            None | Some("0") => Ok(false),
            _ => Err(Unfit::Figure),
        }
    }
}

fn figure(text: Option<&str>, fits: impl Fn(f64) -> bool) -> Result<Option<f64>, Unfit> {
    let Some(text) = text else { return Ok(None) };
    text.parse().ok().filter(|value: &f64| value.is_finite() && fits(*value)).map(Some).ok_or(Unfit::Figure)
}
