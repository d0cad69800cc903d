//! The live table of `ivyhatch demo`: drawn over itself in a terminal, line after line elsewhere.

use std::cell::{Cell, RefCell};
use std::io::{IsTerminal, Write, stdout};

use ivyhatch_socket_lab::{Snapshot, ZoneSnapshot};

/// The table, with the state that the next drawing needs.
#[derive(Default)]
pub struct DemoTable {
    /// Counters of snapshots only grow: the table shows what was added since this one.
    previous: RefCell<Option<Snapshot>>,
    /// Lines on the terminal that the next table replaces.
    drawn_lines: Cell<usize>,
}

impl DemoTable {
    /// Draws a snapshot below the fault events that came with it.
    pub fn draw(&self, now: &Snapshot) {
        let lines = [zones_line(now), self.requests_line(now)];
        let mut out = stdout().lock();
        let live = out.is_terminal();
        if live && self.drawn_lines.get() > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn_lines.get());
        }
        // Fault events stay; the table moves on below them.
        for event in &now.fault_events {
            let _ = writeln!(out, "{:>5.1} s  >> {event}", now.seconds);
        }
        // Where lines add up, half of the snapshots are enough.
        if live || now.seconds.fract() < 0.5 {
            for line in &lines {
                let _ = writeln!(out, "{line}");
            }
        }
        self.drawn_lines.set(if live { lines.len() } else { 0 });
    }

    /// Requests and attempts since the previous snapshot, which `now` replaces.
    fn requests_line(&self, now: &Snapshot) -> String {
        let previous = self.previous.replace(Some(now.clone()));
        let (outcomes, attempts) =
            previous.map_or_else(Default::default, |previous| (previous.outcomes, previous.attempts));
        format!(
            "         asked {:>3}, in time {:>3}, late {}, refused {}, failed {}; {} attempts, {} into another zone",
            now.outcomes.requests - outcomes.requests,
            now.outcomes.in_time - outcomes.in_time,
            now.outcomes.late - outcomes.late,
            now.outcomes.rejected - outcomes.rejected,
            now.outcomes.failed - outcomes.failed,
            now.attempts.total - attempts.total,
            now.attempts.cross_zone - attempts.cross_zone
        )
    }
}

fn zones_line(now: &Snapshot) -> String {
    let zones: Vec<String> =
        now.zones.iter().enumerate().map(|(number, zone)| zone_cell(number, zone)).collect();
    format!("{:>5.1} s  {}", now.seconds, zones.join("   "))
}

fn zone_cell(number: usize, zone: &ZoneSnapshot) -> String {
    let partitioned = if zone.partitioned { " CUT" } else { "" };
    let (servers, percent) = (zone.servers_in_service, zone.mean_utilisation * 100.0);
    format!("zone {number}: {servers} servers {percent:>3.0} %{partitioned}")
}
