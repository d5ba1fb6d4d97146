//! Hosts independent controllers and passes on their events and actions.

use std::collections::BTreeMap;

use sillflow::config::{Pairs, gauges, parse};
use sillflow::{Action, Controller, Event};

use crate::codec::{Batch, IncomingEvent, Record, Reply};

/// The instances by number; `None` for one that was stopped.
#[derive(Default)]
pub struct Host(BTreeMap<u16, Option<Instance>>);

struct Instance {
    controller: Controller,
    gauges: Vec<String>,
    events: Vec<Event>,
    in_batch: bool,
}

impl Host {
    /// Delivers a batch to its instances and collects their actions.
    pub fn handle(&mut self, batch: Batch) -> Result<Reply, String> {
        let mut order = Vec::new();
        for record in batch.records {
            let number = match record {
                Record::Attach { instance, seed, env } => {
                    let with_instance = |problem: String| format!("instance {instance}: {problem}");
                    let site =
                        Pairs::from_text(&env).and_then(|pairs| parse(&pairs)).map_err(with_instance)?;
                    let created = Controller::new(seed, site.settings);
                    let controller = created.map_err(|e| with_instance(e.to_string()))?;
                    let new_instance =
                        Instance { controller, gauges: site.gauges, events: Vec::new(), in_batch: false };
                    self.0.insert(instance, Some(new_instance));
                    instance
                }
                Record::PowerOff { instance } => {
                    let known = self.0.get_mut(&instance);
                    *known.ok_or_else(|| format!("instance {instance} was never attached"))? = None;
                    continue;
                }
                Record::Happened { instance, event } => {
                    let known = self.0.get_mut(&instance);
                    let known = known.ok_or_else(|| format!("instance {instance} was never attached"))?;
                    let Some(known) = known else { continue };
                    known.events.push(match event {
                        IncomingEvent::Plain(event) => event,
                        IncomingEvent::Timer(values) => Event::Timer(gauges(&known.gauges, &values)),
                    });
                    instance
                }
            };
            if let Some(Some(instance)) = self.0.get_mut(&number)
                && !std::mem::replace(&mut instance.in_batch, true)
            {
                order.push(number);
            }
        }
        let mut reply = Reply::default();
        let mut actions: Vec<Action> = Vec::new();
        for number in order {
            if let Some(Some(instance)) = self.0.get_mut(&number)
                && std::mem::take(&mut instance.in_batch)
            {
                instance.controller.handle(batch.now, &instance.events, &mut actions);
                instance.events.clear();
                reply.push(number, &actions);
                actions.clear();
            }
        }
        Ok(reply)
    }
}
