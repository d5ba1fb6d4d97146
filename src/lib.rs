#![doc = include_str!("../README.md")]

pub mod back;
mod base64;
pub mod clock;
pub mod config;
pub mod durable;
pub mod ejection;
pub mod exchange;
pub mod fault_injection;
pub mod fleet;
mod frame;
pub mod front;
pub mod handover;
pub mod haproxy;
pub mod inherited_listener;
pub mod interface;
pub mod lease;
pub mod logic;
pub mod net;
pub mod node;
pub mod peers;
pub mod replication;
pub mod route;
pub mod route_exchange;
pub mod server_stats;
pub mod store;
mod validate;

pub use interface::{Action, Event, Gauges, Outcome, RequestId, Settings, SettingsError};
pub use logic::Controller;
