//! Measures what gossip costs and how many rounds a change needs to reach all fronts, by size of the fleet. It runs in
//! simulated time on one core.
//! `cargo test --release -p pulleystair-gossip --test measure -- --ignored --nocapture`

mod network;

use network::{Faults, Network, front_name};
use pulleystair_gossip::front_id;
use std::time::Instant;

/// Each front changes four cells of 300 bytes every second, about what a busy front writes for 36 servers.
fn run_busy_fleet(net: &mut Network, seconds: usize) {
    for second in 0..seconds {
        for front in 0..net.fronts.len() {
            (0..4).for_each(|key| {
                assert!(net.fronts[front].set_cell(key + 10, vec![(second + front) as u8; 300]))
            });
        }
        net.run(1_000.0, |_| {});
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_cost_and_rounds_to_convergence() {
    println!(
        "fronts  loss  kB/s per front (max)  CPU ms/s per front  rounds to all fronts, median of 5 (worst)"
    );
    for count in [3, 30, 300] {
        for lost in [0.0, 0.1, 0.3] {
            let mut net = Network::new(count, 7, Faults { lost, duplicated: 0.0, max_delay_ms: 5.0 });
            run_busy_fleet(&mut net, 5);
            net.bytes.iter_mut().for_each(|b| *b = 0);
            let (wall_started, started_at) = (Instant::now(), net.now);
            run_busy_fleet(&mut net, 5);
            let (cpu_ms, elapsed_s) =
                (wall_started.elapsed().as_secs_f64() * 1_000.0, (net.now - started_at) / 1_000.0);
            let mean = net.bytes.iter().sum::<u64>() as f64 / count as f64 / elapsed_s / 1_000.0;
            let max = net.bytes.iter().max().copied().unwrap_or(0) as f64 / elapsed_s / 1_000.0;
            let mut rounds = Vec::new();
            for fact in 0..5u8 {
                let front = fact as usize % count;
                assert!(net.fronts[front].set_cell(1, vec![fact + 1]));
                let from = net.now;
                let reached_all = |net: &Network| {
                    let cell_value = |g: &pulleystair_gossip::Gossip| {
                        g.front(net.now, front_id(&front_name(front)))
                            .and_then(|row| row.cell(1))
                            .map(|c| c[0])
                    };
                    net.fronts.iter().all(|g| cell_value(g) == Some(fact + 1))
                };
                while !reached_all(&net) {
                    net.run(50.0, |_| {});
                    assert!(net.now - from < 120_000.0, "front {front}'s change did not reach all fronts");
                }
                rounds.push((net.now - from) / 200.0);
            }
            rounds.sort_by(f64::total_cmp);
            println!(
                "{count:>6}  {lost:>4}  {mean:>9.1} ({max:.1})  {:>9.2}  {:>6.1} ({:.1})",
                cpu_ms / elapsed_s / count as f64,
                rounds[2],
                rounds[4],
            );
        }
    }
}
