//! The cost of scheduling: `cargo bench -p ivyhatch-load-probing`. One iteration consists of ten requests,
//! the probes that their tokens pay for, and the outcomes of these probes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ivyhatch_load_probing::{Candidate, Limits, ProbeOutcome, Scheduler};

const MS: u64 = 1_000_000;

fn scheduling(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten arrivals");
    for servers in [12u32, 100, 1_000, 10_000] {
        // With this budget, the subset has its maximum size.
        let limits = Limits { probes_per_request: 1.0, max_saved_probes: 100.0, ..Limits::default() };
        let mut scheduler = Scheduler::new(limits, 7, 0).expect("valid limits");
        let server = |id: u32| {
            let rank = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Candidate { id, group: id % 3, rank, incarnation: 0 }
        };
        scheduler.set_candidates((0..servers).map(server).collect(), 0);
        let (mut now, mut out) = (0, Vec::new());
        let mut step = |scheduler: &mut Scheduler| {
            now += 10 * MS;
            (0..10).for_each(|_| scheduler.on_request(now));
            for id in out.drain(..) {
                scheduler.on_probe_ended(id, ProbeOutcome::Report, now);
            }
            while let Some(id) = scheduler.next_probe(now) {
                out.push(id);
            }
        };
        (0..2000).for_each(|_| step(&mut scheduler));
        scheduler.resize_subset(10 * 1000 * MS);
        let subset = scheduler.subset().count();
        group.bench_function(
            BenchmarkId::new(format!("{servers} listed"), format!("{subset} subset")),
            |bencher| {
                bencher.iter(|| step(&mut scheduler));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, scheduling);
criterion_main!(benches);
