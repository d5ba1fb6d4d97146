//! Figures of a measurement, a line each, with the bars that they are held to.

use std::process::ExitCode;

/// The figures so far.
#[derive(Default)]
pub struct Report {
    short: bool,
}

impl Report {
    fn line(&mut self, name: &str, value: f64, bar: &str, holds: bool) {
        self.short |= !holds;
        println!("{name}: {value:.3} (bar: {bar}) {}", if holds { "ok" } else { "SHORT" });
    }

    /// A figure that has to be at least so much.
    pub fn least(&mut self, name: &str, value: f64, bar: f64) {
        self.line(name, value, &format!("at least {bar}"), value >= bar);
    }

    /// A figure that may be so much at the most.
    pub fn most(&mut self, name: &str, value: f64, bar: f64) {
        self.line(name, value, &format!("at most {bar}"), value <= bar);
    }

    /// A figure without a bar.
    pub fn plain(&mut self, name: &str, value: f64) {
        println!("{name}: {value:.3}");
    }

    /// A failure where a figure has fallen short.
    pub fn end(&self) -> ExitCode {
        if self.short { ExitCode::FAILURE } else { ExitCode::SUCCESS }
    }
}
