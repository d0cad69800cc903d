//! The cost of a request in the balancer, including its attempts and its share of the timers.
//!
//! `cargo bench --bench decisions`. One iteration is one request of a closed loop; only the time inside
//! `Balancer::handle` is counted. `docs/design/decisions.md` has the results.

#[path = "../tests/common/closed_loop.rs"]
mod closed_loop;

use closed_loop::{ClosedLoop, Shape};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const MS: u64 = 1_000_000;

fn measure(
    group: &mut criterion::BenchmarkGroup<criterion::measurement::WallTime>,
    name: &str,
    shape: Shape,
) {
    // Runs two seconds of arrivals first, which gives each backend some responses, so that the start is not
    // measured.
    let mut closed_loop = ClosedLoop::new(shape);
    closed_loop.run(2 * shape.rate);
    let open_requests = closed_loop.node.open_requests();
    group.bench_function(BenchmarkId::new(name, format!("{} open", open_requests)), |bencher| {
        bencher.iter_custom(|iterations| {
            let before = closed_loop.time_in_node;
            closed_loop.run(closed_loop.arrived + iterations);
            closed_loop.time_in_node - before
        });
    });
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("calm");
    for backends in [12, 100, 1_000, 10_000] {
        // The rate is a third of the backends' capacity.
        let rate = u64::from(backends) * 5;
        let few = Shape { backends, rate, failing: 1, ..Shape::default() };
        measure(&mut group, &format!("{backends} backends, 3 nodes"), few);
        measure(&mut group, &format!("{backends} backends, 3 nodes, probes"), Shape { probes: true, ..few });
        let many = Shape { nodes: 1000, rate: rate / 50 + 10, reports: true, ..few };
        measure(&mut group, &format!("{backends} backends, 1000 nodes"), many);
    }
    group.finish();
    let mut group = c.benchmark_group("overload");
    for rate in [1_000, 5_000, 20_000, 100_000] {
        let shape = Shape { rate, work: 30 * MS, failing: 1, ..Shape::default() };
        measure(&mut group, &format!("12 backends, {rate} a second"), shape);
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(std::time::Duration::from_secs(2));
    targets = decisions
}
criterion_main!(benches);
