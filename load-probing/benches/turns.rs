//! What a probe's turn costs: `cargo bench -p ivyhatch-load-probing`. One iteration is ten arrivals, the turns they
//! pay for, and the ends of these.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ivyhatch_load_probing::{Candidate, End, Limits, Scheduler};

const MS: u64 = 1_000_000;

fn turns(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten arrivals");
    for servers in [12u32, 100, 1_000, 10_000] {
        // Enough is earned to keep to as many as a scheduler ever does.
        let limits = Limits { per_request: 1.0, saved: 100.0, ..Limits::default() };
        let mut scheduler = Scheduler::new(limits, 7, 0).expect("usable limits");
        let server = |id: u32| {
            let lot = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Candidate { id, group: id % 3, lot, incarnation: 0 }
        };
        scheduler.list((0..servers).map(server).collect(), 0);
        let (mut now, mut out) = (0, Vec::new());
        let mut step = |scheduler: &mut Scheduler| {
            now += 10 * MS;
            (0..10).for_each(|_| scheduler.arrival(now));
            for id in out.drain(..) {
                scheduler.ended(id, End::Figure, now);
            }
            while let Some(id) = scheduler.next(now) {
                out.push(id);
            }
        };
        (0..2000).for_each(|_| step(&mut scheduler));
        scheduler.review(10 * 1000 * MS);
        let kept = scheduler.kept().count();
        group.bench_function(
            BenchmarkId::new(format!("{servers} listed"), format!("{kept} kept")),
            |bencher| {
                bencher.iter(|| step(&mut scheduler));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, turns);
criterion_main!(benches);
