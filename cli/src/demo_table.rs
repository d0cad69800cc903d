//! The live table of `ivyhatch demo`. In a terminal each table replaces the previous one; in other outputs it is appended.

use std::cell::{Cell, RefCell};
use std::io::{IsTerminal, Write, stdout};

use ivyhatch_socket_lab::{Snapshot, ZoneSnapshot};

/// The table, with the state that is needed to draw the next snapshot.
#[derive(Default)]
pub struct DemoTable {
    /// The snapshot that was drawn last; `None` before the first one. Counters of snapshots are cumulative, and the table shows the
    /// increase since this snapshot.
    previous: RefCell<Option<Snapshot>>,
    /// Number of lines on the terminal that the next table replaces; 0 if the output is not a terminal.
    drawn_line_count: Cell<usize>,
}

impl DemoTable {
    /// Prints the fault events of a snapshot, and draws the snapshot below them.
    pub fn draw(&self, snapshot: &Snapshot) {
        let lines = [zones_line(snapshot), self.requests_line(snapshot)];
        let mut out = stdout().lock();
        let is_terminal = out.is_terminal();
        if is_terminal && self.drawn_line_count.get() > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn_line_count.get());
        }
        // Fault events remain visible; only the table below them is replaced.
        for event in &snapshot.fault_events {
            let _ = writeln!(out, "{:>5.1} s  >> {event}", snapshot.seconds);
        }
        // If the output is not a terminal, tables are appended, so only every second snapshot is printed: those in the first half of each
        // second.
        if is_terminal || snapshot.seconds.fract() < 0.5 {
            for line in &lines {
                let _ = writeln!(out, "{line}");
            }
        }
        self.drawn_line_count.set(if is_terminal { lines.len() } else { 0 });
    }

    /// Requests and attempts since the previous snapshot. Stores `snapshot` as the previous one of the next call.
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
