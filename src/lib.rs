#![doc = include_str!("../README.md")]

pub mod back;
mod base64;
pub mod clock;
pub mod config;
pub mod copies;
pub mod durable;
pub mod duty;
pub mod exchange;
pub mod fleet;
mod frame;
pub mod front;
pub mod handover;
pub mod haproxy;
pub mod inherit;
pub mod interface;
pub mod knowledge;
pub mod logic;
pub mod net;
pub mod node;
pub mod partners;
pub mod peers;
pub mod planted;
pub mod route;
pub mod store;
mod validate;
pub mod verdict;

pub use interface::{Action, Event, Gauges, Outcome, RequestId, Settings, SettingsError};
pub use logic::Controller;
