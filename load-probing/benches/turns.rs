//! The cost of choosing the next probe: `cargo bench -p ivyhatch-load-probing`. One iteration is ten arrivals, the probes
//! that they pay for, and the ends of these.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ivyhatch_load_probing::{Candidate, Limits, ProbeOutcome, Scheduler};

const MS: u64 = 1_000_000;

fn next_probe(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten arrivals");
    for servers in [12u32, 100, 1_000, 10_000] {
        // Enough is earned to track as many as a scheduler ever does.
        let limits = Limits { probes_per_request: 1.0, max_saved_probes: 100.0, ..Limits::default() };
        let mut scheduler = Scheduler::new(limits, 7, 0).expect("usable limits");
        let server = |id: u32| {
            let rank = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Candidate { id, group: id % 3, rank, incarnation: 0 }
        };
        scheduler.set_candidates((0..servers).map(server).collect(), 0);
        let (mut now, mut out) = (0, Vec::new());
        let mut step = |scheduler: &mut Scheduler| {
            now += 10 * MS;
            (0..10).for_each(|_| scheduler.record_arrival(now));
            for id in out.drain(..) {
                scheduler.record_end(id, ProbeOutcome::Report, now);
            }
            while let Some(id) = scheduler.next_probe(now) {
                out.push(id);
            }
        };
        (0..2000).for_each(|_| step(&mut scheduler));
        scheduler.review_tracked(10 * 1000 * MS);
        let tracked = scheduler.tracked().count();
        group.bench_function(
            BenchmarkId::new(format!("{servers} listed"), format!("{tracked} kept")),
            |bencher| {
                bencher.iter(|| step(&mut scheduler));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, next_probe);
criterion_main!(benches);
