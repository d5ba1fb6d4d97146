#![doc = include_str!("../README.md")]

pub mod back;
pub mod config;
pub mod exchange;
pub mod front;
pub mod haproxy;
pub mod inherit;
pub mod interface;
pub mod logic;
pub mod node;
pub mod store;
mod validate;

pub use interface::{Action, Event, Gauges, Outcome, RequestId, Settings, SettingsError};
pub use logic::Controller;
