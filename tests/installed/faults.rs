//! What a soak's faults do to the node and to its stand-ins, as they begin and as they end.

use std::net::TcpStream;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use fastrand::Rng;
use serde_json::json;

use super::check::Event;
use super::plan::Fault;
use super::records::Trouble;
use super::site::Site;
use super::world::{CROSSES_MS, Deed, FRONTS, Life, Notice, Open, World, unix_ms};
use crate::support::Node;

/// Work that is left of runs that took too long once that trouble is over, in ms.
const LEFT_MS: f64 = 20.0;
/// Connections of idlers, and those that the node may have in all where they come.
const IDLERS: usize = 60;
/// How long the processor reads nothing before the link is reset, in ms.
const CUT_MS: f64 = 60.0;
/// Time between the two pieces of a notice.
const PIECES: Duration = Duration::from_millis(2);

impl World {
    pub(super) fn begin_fault(&mut self, at: f64, fault: Fault) {
        self.faults.push(fault);
        match fault {
            Fault::Slow(_) | Fault::Stall => self.set_speed(),
            Fault::Reset => self.node.processor.end_link(),
            Fault::HalfOpen => self.node.processor.lose_link(),
            Fault::Restart { cold } => self.restart_processor(cold),
            Fault::NoGauges => self.node.processor.keep_gauges(true),
            Fault::Records(trouble) => {
                self.records.trouble = Some(trouble);
                if trouble == Trouble::Down {
                    let seen = self.records.down();
                    self.saw(seen);
                }
            }
            Fault::Idlers => self.open_idlers(),
            Fault::Reloads => {
                let site = self.changed_site();
                self.reload(site);
            }
            Fault::Pauses => self.next_pause = at,
            Fault::Kill => self.kill_and_start(),
            Fault::Clock(offset_ms) => self.node.step_wall(offset_ms),
            Fault::SystemCalls => self.node.faults("accept 103\nread 4\nwrite 4\nsend 105\nconnect 99"),
            Fault::Deaf => self.set_speed(),
            Fault::TurnsLinksAway => self.node.processor.end_link(),
            Fault::Cuts => self.next_cut = at,
            Fault::Outlast { .. }
            | Fault::KeepsBack
            | Fault::Pieces
            | Fault::StaleGauges
            | Fault::GiveUps
            | Fault::Hopeless
            | Fault::Burst(_) => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        self.faults.retain(|it| *it != fault);
        match fault {
            Fault::Outlast { .. } => self.engine.shorten(LEFT_MS),
            Fault::Slow(_) | Fault::Stall => self.set_speed(),
            Fault::NoGauges => self.node.processor.keep_gauges(false),
            Fault::Records(_) => {
                self.records.trouble = None;
                self.records.up();
            }
            Fault::Deaf => self.hear_again(),
            Fault::Idlers => self.idlers.clear(),
            Fault::Reloads => {
                let site = self.plan.as_ref().map(|plan| plan.site.clone());
                site.into_iter().for_each(|site| self.reload(site));
            }
            Fault::Clock(_) => self.node.step_wall(0),
            Fault::SystemCalls => self.node.faults(""),
            _ => {}
        }
        self.say_what_was_kept();
    }

    /// The cores are as slow as the worst fault that is on makes them.
    fn set_speed(&mut self) {
        let speed = |it: &Fault| match it {
            Fault::Slow(speed) => *speed,
            Fault::Stall => 0.0,
            _ => 1.0,
        };
        self.engine.speed = self.faults.iter().map(speed).fold(1.0, f64::min);
        let reads_nothing = self.engine.speed == 0.0 || self.suffers(|it| *it == Fault::Deaf);
        self.node.processor.stand_still(reads_nothing);
    }

    /// What the node says arrives again. What it said on a link that it has left meanwhile is lost.
    fn hear_again(&mut self) {
        if self.node.processor.is_offered_a_link() {
            self.node.processor.lose_link();
        }
        self.set_speed();
    }

    /// The processor stops reading, wherever in a command that is.
    pub(super) fn begin_cut(&mut self, at: f64) {
        self.node.processor.stand_still(true);
        self.deeds.push((at + CUT_MS, Deed::EndCut));
    }

    /// The link is reset with what is unread on it, and the next one is taken.
    pub(super) fn end_cut(&mut self) {
        self.node.processor.reset_link();
        self.set_speed();
    }

    /// The processor starts anew: what ran there is over, and nobody is told.
    pub(super) fn restart_processor(&mut self, cold: bool) {
        self.engine.clear();
        self.forgotten.clone_from(&self.begun);
        self.cold = cold;
        self.note(Event::Restarted { cold });
        self.started = unix_ms();
        self.node.processor.end_link();
    }

    /// The platform kills the node, and starts it with its processor anew.
    pub(super) fn kill_and_start(&mut self) {
        let now = unix_ms();
        self.node.kill();
        self.listen();
        for open in self.tags.values() {
            if self.over.insert(open.of.clone()) {
                self.history.push((now, Event::GivenUp(open.of.clone())));
            }
        }
        let seen = self.records.cut();
        self.saw(seen);
        let site = self.plan.as_ref().map_or_else(|| self.site.clone(), |plan| plan.site.clone());
        let before = std::mem::replace(&mut self.site, site);
        let history = std::mem::take(&mut self.history);
        // The settings that its life began with are those of the plan.
        self.lives.push(Life {
            site: Site { cold: before.cold, ..self.site.clone() },
            started: self.started,
            history,
        });
        (self.site.cold, self.cold, self.before) = (true, true, None);
        self.engine.clear();
        self.kept_back.clear();
        self.node = Node::launch_as(self.config.clone(), "");
        self.started = unix_ms();
        self.fronts = (0..FRONTS).map(|_| None).collect();
    }

    /// Settings with other cores, memory and calls, and longer deadlines.
    pub(super) fn changed_site(&mut self) -> Site {
        let draw = &mut self.draws.settings;
        let factor = |draw: &mut Rng| 0.6 + 0.9 * draw.f64();
        let (memory, share, limit) = (factor(draw), factor(draw), 1.0 + draw.f64());
        let site = &self.site;
        Site {
            cores: site.cores + draw.u32(0..2),
            memory_kb: site.memory_kb * memory,
            share: site.share * share,
            limit_ms: site.limit_ms * limit,
            run_factor: site.run_factor * if draw.bool() { 2.0 } else { 1.0 },
            ..site.clone()
        }
    }

    pub(super) fn reload(&mut self, site: Site) {
        let site = Site { cold: self.site.cold, ..site };
        self.note(Event::Settings(Box::new(site.clone())));
        self.node.retune(site.settings());
        self.before = Some((unix_ms(), std::mem::replace(&mut self.site, site)));
    }

    pub(super) fn open_idlers(&mut self) {
        for n in 0..IDLERS {
            let Ok(mut idler) = TcpStream::connect(&self.node.resp) else { return };
            if n % 2 == 0 {
                let _ = std::io::Write::write_all(&mut idler, b"*5\r\n$3\r\nASK");
            }
            let _ = idler.set_nonblocking(true);
            self.idlers.push(idler);
        }
    }

    /// A caller leaves without a word.
    pub(super) fn leave(&mut self, of: String) {
        if self.over.insert(of.clone()) {
            self.note(Event::GivenUp(of));
        }
    }

    /// The connection of a front end has ended: what crossed that is sent again elsewhere.
    pub(super) fn excuse_crossed(&mut self, front: usize) {
        let now = unix_ms();
        let crossed = |open: &&Open| open.front == front && now - open.asked < CROSSES_MS + self.stood_ms;
        let crossed: Vec<String> = self.tags.values().filter(crossed).map(|open| open.of.clone()).collect();
        crossed.into_iter().for_each(|of| self.leave(of));
        self.tags.values_mut().filter(|open| open.front == front).for_each(|open| open.front = usize::MAX);
    }

    /// Takes the link that the node offers, unless there is none to be had.
    pub(super) fn link(&mut self, now: f64) {
        if self.suffers(|it| *it == Fault::TurnsLinksAway) {
            return self.node.processor.turn_links_away();
        }
        let refuses =
            |it: &Fault| matches!(it, Fault::Reset | Fault::Stall | Fault::Deaf | Fault::Restart { .. });
        if self.plan.is_none() || self.suffers(refuses) || self.suffers(|it| *it == Fault::HalfOpen) {
            return;
        }
        if self.node.processor.is_offered_a_link() {
            // All notices follow the hi, those too that were kept back.
            self.say_all_that_was_kept();
        }
        let state = if self.cold { "cold" } else { "warm" };
        if self.node.processor.greet_newest(state, now - self.started) {
            self.node.processor.keep_gauges(self.suffers(|it| *it == Fault::NoGauges));
        }
        let wants =
            if self.suffers(|it| *it == Fault::StaleGauges) { 0.0 } else { self.engine.on_cores() as f64 };
        let in_use = (wants / f64::from(self.site.cores)).min(1.0);
        self.node.processor.show([in_use, wants, 0.1, 3.0]);
    }

    /// Tells the node of a run, now or once the processor can.
    pub(super) fn say(&mut self, notice: Notice) {
        self.kept_back.push(notice);
        self.say_what_was_kept();
    }

    pub(super) fn say_what_was_kept(&mut self) {
        if !self.suffers(|it| matches!(it, Fault::Stall | Fault::KeepsBack)) {
            self.say_all_that_was_kept();
        }
    }

    pub(super) fn say_all_that_was_kept(&mut self) {
        let in_pieces = self.suffers(|it| *it == Fault::Pieces);
        for notice in std::mem::take(&mut self.kept_back) {
            let processor = &mut self.node.processor;
            match notice {
                Notice::Complete(of, result, took_ms) if in_pieces => {
                    let more = json!({"end": "ok", "ms": took_ms, "body": STANDARD.encode(result)});
                    let line = processor.number("complete", &of, more);
                    processor.say_in_pieces(&line, PIECES);
                }
                Notice::Complete(of, result, took_ms) => processor.complete_after(&of, &result, took_ms),
                Notice::End(of, how) => processor.end(&of, how),
                Notice::Ask(of) => processor.ask(&of, format!("call of {of}").as_bytes()),
            }
        }
    }
}
