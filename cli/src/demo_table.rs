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
    drawn_line_count: Cell<usize>,
}

impl DemoTable {
    /// Draws a snapshot below the fault events that came with it.
    pub fn draw(&self, snapshot: &Snapshot) {
        let lines = [zones_line(snapshot), self.requests_line(snapshot)];
        let mut out = stdout().lock();
        let is_terminal = out.is_terminal();
        if is_terminal && self.drawn_line_count.get() > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn_line_count.get());
        }
        // Fault events stay; the table moves on below them.
        for event in &snapshot.fault_events {
            let _ = writeln!(out, "{:>5.1} s  >> {event}", snapshot.seconds);
        }
        // Where lines add up, half of the snapshots are enough.
        if is_terminal || snapshot.seconds.fract() < 0.5 {
            for line in &lines {
                let _ = writeln!(out, "{line}");
            }
        }
        self.drawn_line_count.set(if is_terminal { lines.len() } else { 0 });
    }

    /// Requests and attempts since the previous snapshot, which `now` replaces.
    fn requests_line(&self, snapshot: &Snapshot) -> String {
        let previous = self.previous.replace(Some(snapshot.clone()));
        let (outcomes, attempts) =
            previous.map_or_else(Default::default, |previous| (previous.outcomes, previous.attempts));
        format!(
            "         asked {:>3}, in time {:>3}, late {}, refused {}, failed {}; {} attempts, {} into another zone",
            snapshot.outcomes.requests - outcomes.requests,
            snapshot.outcomes.in_time - outcomes.in_time,
            snapshot.outcomes.late - outcomes.late,
            snapshot.outcomes.rejected - outcomes.rejected,
            snapshot.outcomes.failed - outcomes.failed,
            snapshot.attempts.total - attempts.total,
            snapshot.attempts.cross_zone - attempts.cross_zone
        )
    }
}

fn zones_line(snapshot: &Snapshot) -> String {
    let zones: Vec<String> =
        snapshot.zones.iter().enumerate().map(|(number, zone)| zone_cell(number, zone)).collect();
    format!("{:>5.1} s  {}", snapshot.seconds, zones.join("   "))
}

fn zone_cell(number: usize, zone: &ZoneSnapshot) -> String {
    let partitioned = if zone.partitioned { " CUT" } else { "" };
    let (servers, percent) = (zone.servers_in_service, zone.mean_utilisation * 100.0);
    format!("zone {number}: {servers} servers {percent:>3.0} %{partitioned}")
}
