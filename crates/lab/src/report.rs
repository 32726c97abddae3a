//! The results of a run: text for the console, a JSON report, and a plot of the plays over time.

use crate::players::PlayerResult;
use crate::scenario::Scenario;
use crate::scenario_run::RunResult;
use anyhow::{Result, anyhow};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Summary of a run, written to report.json.
#[derive(Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    /// Importance of the plays set up within the first-frame target, divided by the importance of all requested plays.
    pub service: f64,
    /// Importance-weighted seconds: what the shown rungs earned, minus the stalled time, divided by what all requested
    /// plays would earn on the highest rung without a stall.
    pub worth: f64,
    pub plays: usize,
    pub products: Vec<Product>,
    /// Time from the first request to the manifest over all plays that were set up, ms.
    pub set_up_ms: Quantiles,
    pub segments: usize,
    /// Mean rung of the segments.
    pub mean_rung: f64,
    pub stalls: usize,
    /// Total time of all stalls.
    pub stalled_ms: f64,
    /// Number of viewers for whom a play broke off, even if a later visit played to its end.
    pub broken: usize,
    pub covered: Counts,
    /// The longest delay of a player's start or of a thread on any core, ms.
    pub lateness_ms: f64,
    /// CPU time of the fronts' last processes at the end of the run, divided by the number of plays.
    pub cpu_ms_a_play: f64,
    /// Number of plays by second of arrival: in time, late, not set up.
    pub by_second: Vec<[usize; 3]>,
    pub breaches: Vec<String>,
}

/// Number of plays of one product by their outcome.
#[derive(Debug, Serialize)]
pub struct Product {
    pub name: String,
    pub plays: usize,
    pub in_time: usize,
    pub late: usize,
    pub declined: usize,
    pub failed: usize,
}

/// Quantiles of a duration, ms.
#[derive(Debug, Default, Serialize)]
pub struct Quantiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

/// What the check of the rules covered.
#[derive(Debug, Serialize)]
pub struct Counts {
    pub requests: usize,
    pub set_ups: usize,
    pub further_allocations: usize,
    pub drains: usize,
    pub cold_set_ups: usize,
    pub segments: usize,
}

/// Quantiles of durations in ms; all 0 if there are none.
pub fn quantiles(ms: impl Iterator<Item = f64>) -> Result<Quantiles> {
    // Recorded in microseconds, up to ten minutes, with three significant digits.
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)?;
    ms.for_each(|ms| histogram.saturating_record((ms * 1000.0).max(1.0) as u64));
    if histogram.is_empty() {
        return Ok(Quantiles::default());
    }
    let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    Ok(Quantiles {
        p50: quantile_ms(0.5),
        p90: quantile_ms(0.9),
        p99: quantile_ms(0.99),
        p999: quantile_ms(0.999),
        max: histogram.max() as f64 / 1000.0,
    })
}

/// Summarizes the results of a run.
pub fn summarize(scenario: &Scenario, run: &RunResult) -> Result<Report> {
    let player_results = &run.player_results;
    let target_ms = |p: usize| scenario.products[p].first_frame_target_ms;
    let product = |p: usize| {
        let product_results = || player_results.iter().filter(move |r| r.product == p);
        let in_time = product_results().filter(|r| r.set_up_ms.is_some_and(|ms| ms <= target_ms(p))).count();
        let set_up = product_results().filter(|r| r.set_up_ms.is_some()).count();
        Product {
            name: scenario.products[p].name.clone(),
            plays: product_results().count(),
            in_time,
            late: set_up - in_time,
            declined: product_results().filter(|r| r.set_up_ms.is_none() && r.status == 503).count(),
            failed: product_results().filter(|r| r.set_up_ms.is_none() && r.status != 503).count(),
        }
    };
    let products: Vec<Product> = (0..scenario.products.len()).map(product).collect();
    let sum_importance = |count: fn(&Product) -> usize| -> f64 {
        products.iter().zip(&scenario.products).map(|(p, config)| count(p) as f64 * config.importance).sum()
    };
    let best_earnings = scenario.ladder.iter().map(|r| r.earns).fold(0.0, f64::max);
    let importance = |r: &PlayerResult| scenario.products[r.product].importance;
    let earned_importance: f64 =
        player_results.iter().map(|r| importance(r) * (r.earned_s - r.stalled_ms / 1000.0).max(0.0)).sum();
    let requested_importance: f64 =
        player_results.iter().map(|r| importance(r) * r.title_s * best_earnings).sum();
    let segments: usize = player_results.iter().map(|r| r.segments).sum();
    let cpu_ms: f64 = run.front_usage.iter().flatten().map(|u| u.0).sum();
    Ok(Report {
        seed: scenario.seed,
        service: sum_importance(|p| p.in_time) / sum_importance(|p| p.plays).max(1e-9),
        worth: earned_importance / requested_importance.max(1e-9),
        plays: player_results.len(),
        set_up_ms: quantiles(player_results.iter().filter_map(|r| r.set_up_ms))?,
        segments,
        mean_rung: player_results.iter().map(|r| r.rung_sum).sum::<usize>() as f64 / segments.max(1) as f64,
        stalls: player_results.iter().map(|r| r.stalls).sum(),
        stalled_ms: player_results.iter().map(|r| r.stalled_ms).sum(),
        broken: player_results.iter().filter(|r| r.broken).count(),
        covered: Counts {
            requests: run.coverage.requests,
            set_ups: run.coverage.set_ups,
            further_allocations: run.coverage.further_allocations,
            drains: run.coverage.drains,
            cold_set_ups: run.coverage.cold_set_ups,
            segments: run.coverage.segments,
        },
        lateness_ms: run.lateness_ms,
        cpu_ms_a_play: cpu_ms / player_results.len().max(1) as f64,
        by_second: by_second(scenario, run),
        breaches: run
            .breaches
            .iter()
            .map(|b| format!("rule {} at {:.0}: {}", b.rule, b.at, b.what))
            .collect(),
        products,
    })
}

impl Report {
    /// The report as text for the console.
    pub fn text(&self) -> String {
        let mut lines = String::new();
        let quantiles = &self.set_up_ms;
        let counts = &self.covered;
        let mut add_line = |text: String| {
            let _ = writeln!(lines, "{text}");
        };
        add_line(format!(
            "seed {}: {} plays requested; service {:.3}, worth {:.3}",
            self.seed, self.plays, self.service, self.worth
        ));
        add_line(format!(
            "{:<16}{:>8}{:>9}{:>7}{:>10}{:>8}",
            "product", "plays", "in time", "late", "declined", "failed"
        ));
        for p in &self.products {
            add_line(format!(
                "{:<16}{:>8}{:>9}{:>7}{:>10}{:>8}",
                p.name, p.plays, p.in_time, p.late, p.declined, p.failed
            ));
        }
        add_line(format!(
            "set-up, ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.1}",
            quantiles.p50, quantiles.p90, quantiles.p99, quantiles.p999, quantiles.max
        ));
        add_line(format!(
            "{} segments, mean rung {:.2}; {} stalls, {:.1} s in total; {} plays broken off",
            self.segments,
            self.mean_rung,
            self.stalls,
            self.stalled_ms / 1000.0,
            self.broken
        ));
        add_line(format!(
            "fronts used {:.2} ms of CPU per play; maximum delay of players and machine {:.1} ms",
            self.cpu_ms_a_play, self.lateness_ms
        ));
        add_line(format!(
            "checked on the sockets: {} requests, {} set-ups ({} further), {} drains, {} set-ups at cold servers, \
             {} segments",
            counts.requests,
            counts.set_ups,
            counts.further_allocations,
            counts.drains,
            counts.cold_set_ups,
            counts.segments
        ));
        self.breaches.iter().take(20).for_each(|b| add_line(format!("BROKEN {b}")));
        add_line(match self.breaches.len() {
            0 => "rules: all six kept, every segment as requested".to_string(),
            n => format!("rules: {n} breaches"),
        });
        lines
    }
}

/// Counts plays by second of arrival and by class: in time, late, not set up.
fn by_second(scenario: &Scenario, run: &RunResult) -> Vec<[usize; 3]> {
    let mut counts = vec![[0; 3]; scenario.seconds.ceil() as usize + 1];
    for result in &run.player_results {
        let second = ((result.arrived_at / 1000.0) as usize).min(counts.len() - 1);
        let class = match result.set_up_ms {
            Some(ms) if ms <= scenario.products[result.product].first_frame_target_ms => 0,
            Some(_) => 1,
            None => 2,
        };
        counts[second][class] += 1;
    }
    counts
}

/// Plots the plays of each second by their outcome, with the injected faults as bands.
pub fn plot(scenario: &Scenario, run: &RunResult, file: &Path) -> Result<()> {
    let counts = by_second(scenario, run);
    let max_plays = counts.iter().map(|c| c.iter().sum::<usize>()).max().unwrap_or(0).max(1) as f64;
    let plot_error = |e: String| anyhow!("{}: {e}", file.display());
    let area = SVGBackend::new(file, (1100, 460)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| plot_error(e.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("plays per second, seed {} (with fake servers)", scenario.seed), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..scenario.seconds, 0f64..max_plays * 1.35)
        .map_err(|e| plot_error(e.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("plays requested")
        .draw()
        .map_err(|e| plot_error(e.to_string()))?;
    for (i, fault) in scenario.troubles.iter().enumerate() {
        let (from, to) = (fault.at_s, (fault.at_s + fault.length_s).min(scenario.seconds));
        let band = Rectangle::new([(from, 0.0), (to, max_plays * 1.35)], BLACK.mix(0.05).filled());
        chart.draw_series([band]).map_err(|e| plot_error(e.to_string()))?;
        let name = serde_json::to_value(fault.kind)?.as_str().unwrap_or("").to_string();
        let height = max_plays * (1.32 - 0.05 * (i % 6) as f64);
        let text = Text::new(name, (from + 0.2, height), ("sans-serif", 12));
        chart.draw_series([text]).map_err(|e| plot_error(e.to_string()))?;
    }
    let names = [("in time", RGBColor(30, 130, 60)), ("late", RGBColor(220, 150, 0)), ("not set up", RED)];
    for (class, (name, colour)) in names.into_iter().enumerate() {
        let points = counts.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, n[class] as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|e| plot_error(e.to_string()))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK)
        .draw()
        .map_err(|e| plot_error(e.to_string()))?;
    area.present().map_err(|e| plot_error(e.to_string()))
}
