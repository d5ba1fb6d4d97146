//! Human-readable output of the commands.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use sillflow::fleet::wire::Report as FleetReport;
use sillflow::peers::wire::Beliefs;
use sillflow::replication::report::Report as ReplicationReport;
use sillflow::route::{ServerEstimate, ServerState};
use sillflow::store::{MemberView, Status};

fn seconds(ms: Option<f64>) -> String {
    ms.map_or_else(|| "-".to_owned(), |ms| format!("{:.1}", ms / 1000.0))
}

fn format_state(estimate: &ServerEstimate) -> String {
    match estimate.state {
        ServerState::Active => "in".to_owned(),
        ServerState::Ejected { times, .. } => format!("out {times}"),
        ServerState::Trial { left, .. } => format!("trial {left}"),
    }
}

fn format_reports(estimate: &ServerEstimate) -> String {
    let format_report = |report: &sillflow::server_stats::ReportedEstimate| {
        let age = seconds(Some(report.age_ms));
        format!("{} {:.2}x, weight {:.1}, {age} s ago", report.reporter, report.log_time.exp(), report.weight)
    };
    estimate.reports.iter().map(format_report).collect::<Vec<_>>().join("; ")
}

/// A node's estimate of each server, and its trust in the nodes that sent reports.
pub fn servers(beliefs: &Beliefs) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header([
        "server",
        "zone",
        "weight",
        "state",
        "in hand",
        "time",
        "failing",
        "own samples",
        "own age s",
        "up s",
        "heard",
    ]);
    for estimate in &beliefs.servers {
        table.add_row([
            estimate.spec.address.to_string(),
            estimate.spec.zone.clone(),
            estimate.spec.weight.to_string(),
            format_state(estimate),
            estimate.in_flight.to_string(),
            format!("{:.2}x", estimate.relative_time),
            format!("{:.0}%", estimate.failure_rate * 100.0),
            format!("{:.1}", estimate.samples),
            seconds(estimate.age_ms),
            seconds(estimate.up_ms),
            format_reports(estimate),
        ]);
    }
    let format_trust = |(name, trust): &(String, f64)| format!("{name} is believed {:.0}%\n", trust * 100.0);
    let trust_lines: String = beliefs.tellers.iter().map(format_trust).collect();
    format!("{}\n{}\n{trust_lines}", beliefs.node, table.trim_fmt())
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// The members of the store.
pub fn store_members(members: &[MemberView]) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header([
        "number",
        "address",
        "role",
        "spare",
        "behind",
        "heard s ago",
        "word",
    ]);
    for view in members {
        table.add_row([
            view.place.number.to_string(),
            view.place.address.clone(),
            format!("{:?}", view.role).to_lowercase(),
            if view.place.spare { "yes" } else { "" }.to_owned(),
            or_dash(view.behind),
            seconds(view.silent_ms.map(|ms| ms as f64)),
            view.member.clone(),
        ]);
    }
    format!("{}\n", table.trim_fmt())
}

/// Status of one member of the store.
pub fn store_status(status: &Status) -> String {
    let lines = [
        ("member", format!("{} ({})", status.number, status.member)),
        ("cluster", or_dash(status.cluster.as_ref())),
        ("role", format!("{:?}", status.role).to_lowercase()),
        ("leader", or_dash(status.leader)),
        ("term", status.term.to_string()),
        ("log", format!("{}, in the map {}", or_dash(status.last), or_dash(status.applied))),
        ("snapshot", or_dash(status.snapshot)),
        ("keys", format!("{}, {} bytes", status.keys, status.bytes)),
    ];
    lines.iter().map(|(name, value)| format!("{name:9} {value}\n")).collect()
}

/// The fleet as one node sees it.
pub fn fleet(report: &FleetReport) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header([
        "node",
        "incarnation",
        "address",
        "machine",
        "zone",
        "state",
        "since s",
        "says",
        "heard s ago",
    ]);
    for line in &report.nodes {
        let node = &line.node.applicant;
        let state = line
            .opinion
            .map_or("this one".to_owned(), |opinion| format!("{:?}", opinion.state).to_lowercase());
        table.add_row([
            node.name.clone(),
            line.node.incarnation.to_string(),
            node.address.to_string(),
            node.machine.clone(),
            node.zone.clone(),
            state,
            seconds(line.opinion.map(|opinion| opinion.since_ms as f64)),
            or_dash(line.says.as_ref()),
            seconds(line.opinion.and_then(|opinion| opinion.heard_ms).map(|ms| ms as f64)),
        ]);
    }
    let freshness = format!("{:?}", report.freshness).to_lowercase();
    let age = seconds(Some(report.view_age_ms as f64));
    let trouble = report.trouble.as_ref().map_or(String::new(), |trouble| format!("{trouble}\n"));
    format!(
        "view {} as {} sees it, {freshness}: in force {age} s ago\n{trouble}\n{}\n",
        report.view,
        report.name,
        table.trim_fmt()
    )
}

/// Replication status of a node.
pub fn replication(report: &ReplicationReport) -> String {
    let terms = report.terms.map_or("nothing is copied yet".to_owned(), |terms| {
        format!("{} copies of each key, windows of up to {} s", terms.copies, terms.window_ms / 1000)
    });
    let counts = report.counts;
    let lines = [
        ("terms", terms),
        ("holds", format!("{} keys of {} slots, {} bytes", report.keys, report.slots, report.bytes)),
        ("of them", format!("{} claimed, {} done, {} failed", report.claimed, report.done, report.failed)),
        ("short", format!("{} keys", report.keys_short)),
        ("in doubt", format!("{} keys", report.in_doubt)),
        ("moving", format!("{} keys; {} slots of the fleet", report.keys_moving, report.slots_moving)),
        ("coming", format!("{} slots", report.slots_coming)),
        ("claims", format!("{}, {} given, {} under way", counts.claims, counts.granted, report.under_way)),
        ("answered", format!("{} with another run's end, {} in doubt", counts.shared, counts.doubts)),
        ("refused", format!("{} unreached, {} for lack of room", counts.unreached, counts.full)),
        ("results", format!("{} copied, {} not", counts.copied, counts.uncopied)),
        ("fetched", format!("{} keys, {} bytes", counts.fetched, counts.fetched_bytes)),
    ];
    let lines: String = lines.iter().map(|(name, value)| format!("{name:9} {value}\n")).collect();
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["zone", "nodes", "places", "moving"]);
    for (name, zone) in &report.zones {
        table.add_row([
            name.clone(),
            zone.nodes.to_string(),
            zone.places.to_string(),
            zone.moving.to_string(),
        ]);
    }
    let trouble = report.trouble.as_ref();
    let trouble = trouble.map_or(String::new(), |trouble| format!("nothing can be stored: {trouble}\n"));
    format!("{trouble}{lines}\n{}\n", table.trim_fmt())
}
