//! What a day came to: lines for a person, a JSON report, and a plot of the plays over time.

use crate::players::PlayerResult;
use crate::scenario::Scenario;
use crate::scenario_run::RunResult;
use anyhow::{Result, anyhow};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

#[derive(Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    /// Importance answered within the first-frame target over the importance asked for.
    pub service: f64,
    /// Importance earned by the second: what the rungs shown earn, less the time stalled, over what all plays
    /// asked for would earn on the highest rung without a stall.
    pub worth: f64,
    pub plays: usize,
    pub products: Vec<Product>,
    /// From the first request to the manifest, over all plays that were set up, ms.
    pub set_up_ms: Quantiles,
    pub segments: usize,
    pub mean_rung: f64,
    pub stalls: usize,
    pub stalled_ms: f64,
    pub broken: usize,
    pub covered: Counts,
    pub lateness_ms: f64,
    pub cpu_ms_a_play: f64,
    /// Plays by the second in which they came: in time, late, not set up.
    pub by_second: Vec<[usize; 3]>,
    pub breaches: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct Product {
    pub name: String,
    pub plays: usize,
    pub in_time: usize,
    pub late: usize,
    pub declined: usize,
    pub failed: usize,
}

#[derive(Debug, Default, Serialize)]
pub struct Quantiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

#[derive(Debug, Serialize)]
pub struct Counts {
    pub requests: usize,
    pub set_ups: usize,
    pub further_allocations: usize,
    pub drains: usize,
    pub cold_set_ups: usize,
    pub segments: usize,
}

pub fn quantiles(ms: impl Iterator<Item = f64>) -> Result<Quantiles> {
    // Microseconds, up to ten minutes, three digits.
    let mut all = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)?;
    ms.for_each(|ms| all.saturating_record((ms * 1000.0).max(1.0) as u64));
    if all.is_empty() {
        return Ok(Quantiles::default());
    }
    let at = |q| all.value_at_quantile(q) as f64 / 1000.0;
    Ok(Quantiles {
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: all.max() as f64 / 1000.0,
    })
}

pub fn report(day: &Scenario, outcome: &RunResult) -> Result<Report> {
    let watched = &outcome.watched;
    let target = |p: usize| day.products[p].first_frame_target_ms;
    let product = |p: usize| {
        let of = || watched.iter().filter(move |w| w.product == p);
        let in_time = of().filter(|w| w.set_up_ms.is_some_and(|ms| ms <= target(p))).count();
        let set_up = of().filter(|w| w.set_up_ms.is_some()).count();
        Product {
            name: day.products[p].name.clone(),
            plays: of().count(),
            in_time,
            late: set_up - in_time,
            declined: of().filter(|w| w.set_up_ms.is_none() && w.status == 503).count(),
            failed: of().filter(|w| w.set_up_ms.is_none() && w.status != 503).count(),
        }
    };
    let products: Vec<Product> = (0..day.products.len()).map(product).collect();
    let worth = |count: fn(&Product) -> usize| -> f64 {
        products.iter().zip(&day.products).map(|(p, d)| count(p) as f64 * d.importance).sum()
    };
    let best = day.ladder.iter().map(|r| r.earns).fold(0.0, f64::max);
    let importance = |w: &PlayerResult| day.products[w.product].importance;
    let earned: f64 =
        watched.iter().map(|w| importance(w) * (w.earned_s - w.stalled_ms / 1000.0).max(0.0)).sum();
    let asked: f64 = watched.iter().map(|w| importance(w) * w.title_s * best).sum();
    let segments: usize = watched.iter().map(|w| w.segments).sum();
    let cpu: f64 = outcome.used.iter().flatten().map(|u| u.0).sum();
    Ok(Report {
        seed: day.seed,
        service: worth(|p| p.in_time) / worth(|p| p.plays).max(1e-9),
        worth: earned / asked.max(1e-9),
        plays: watched.len(),
        set_up_ms: quantiles(watched.iter().filter_map(|w| w.set_up_ms))?,
        segments,
        mean_rung: watched.iter().map(|w| w.rungs).sum::<usize>() as f64 / segments.max(1) as f64,
        stalls: watched.iter().map(|w| w.stalls).sum(),
        stalled_ms: watched.iter().map(|w| w.stalled_ms).sum(),
        broken: watched.iter().filter(|w| w.broken).count(),
        covered: Counts {
            requests: outcome.covered.requests,
            set_ups: outcome.covered.set_ups,
            further_allocations: outcome.covered.further,
            drains: outcome.covered.drains,
            cold_set_ups: outcome.covered.cold_set_ups,
            segments: outcome.covered.segments,
        },
        lateness_ms: outcome.lateness_ms,
        cpu_ms_a_play: cpu / watched.len().max(1) as f64,
        by_second: by_second(day, outcome),
        breaches: outcome
            .breaches
            .iter()
            .map(|b| format!("rule {} at {:.0}: {}", b.rule, b.at, b.what))
            .collect(),
        products,
    })
}

impl Report {
    pub fn text(&self) -> String {
        let mut out = String::new();
        let q = &self.set_up_ms;
        let c = &self.covered;
        let mut line = |text: String| {
            let _ = writeln!(out, "{text}");
        };
        line(format!(
            "seed {}: {} plays asked for; service {:.3}, worth {:.3}",
            self.seed, self.plays, self.service, self.worth
        ));
        line(format!(
            "{:<16}{:>8}{:>9}{:>7}{:>10}{:>8}",
            "product", "plays", "in time", "late", "declined", "failed"
        ));
        for p in &self.products {
            line(format!(
                "{:<16}{:>8}{:>9}{:>7}{:>10}{:>8}",
                p.name, p.plays, p.in_time, p.late, p.declined, p.failed
            ));
        }
        line(format!(
            "set-up, ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, most {:.1}",
            q.p50, q.p90, q.p99, q.p999, q.max
        ));
        line(format!(
            "{} segments, mean rung {:.2}; {} stalls, {:.1} s in all; {} plays broken off",
            self.segments,
            self.mean_rung,
            self.stalls,
            self.stalled_ms / 1000.0,
            self.broken
        ));
        line(format!(
            "fronts used {:.2} ms of CPU a play; players set out {:.1} ms late at most",
            self.cpu_ms_a_play, self.lateness_ms
        ));
        line(format!(
            "checked on the sockets: {} requests, {} set-ups ({} further), {} drains, {} set-ups at cold servers, \
             {} segments",
            c.requests, c.set_ups, c.further_allocations, c.drains, c.cold_set_ups, c.segments
        ));
        self.breaches.iter().take(20).for_each(|b| line(format!("BROKEN {b}")));
        line(match self.breaches.len() {
            0 => "rules: all six kept, every segment the one asked for".to_string(),
            n => format!("rules: {n} breaches"),
        });
        out
    }
}

fn by_second(day: &Scenario, outcome: &RunResult) -> Vec<[usize; 3]> {
    let mut counts = vec![[0; 3]; day.seconds.ceil() as usize + 1];
    for w in &outcome.watched {
        let second = ((w.came / 1000.0) as usize).min(counts.len() - 1);
        let which = match w.set_up_ms {
            Some(ms) if ms <= day.products[w.product].first_frame_target_ms => 0,
            Some(_) => 1,
            None => 2,
        };
        counts[second][which] += 1;
    }
    counts
}

/// Plays each second by how they ended, with the troubles as bands.
pub fn plot(day: &Scenario, outcome: &RunResult, file: &Path) -> Result<()> {
    let counts = by_second(day, outcome);
    let most = counts.iter().map(|c| c.iter().sum::<usize>()).max().unwrap_or(0).max(1) as f64;
    let fault = |e: String| anyhow!("{}: {e}", file.display());
    let area = SVGBackend::new(file, (1100, 460)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| fault(e.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("plays a second, seed {} (from stand-ins)", day.seed), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..day.seconds, 0f64..most * 1.35)
        .map_err(|e| fault(e.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("plays asked for")
        .draw()
        .map_err(|e| fault(e.to_string()))?;
    for (i, trouble) in day.troubles.iter().enumerate() {
        let (from, to) = (trouble.at_s, (trouble.at_s + trouble.length_s).min(day.seconds));
        let band = Rectangle::new([(from, 0.0), (to, most * 1.35)], BLACK.mix(0.05).filled());
        chart.draw_series([band]).map_err(|e| fault(e.to_string()))?;
        let name = serde_json::to_value(trouble.kind)?.as_str().unwrap_or("").to_string();
        let height = most * (1.32 - 0.05 * (i % 6) as f64);
        let text = Text::new(name, (from + 0.2, height), ("sans-serif", 12));
        chart.draw_series([text]).map_err(|e| fault(e.to_string()))?;
    }
    let names = [("in time", RGBColor(30, 130, 60)), ("late", RGBColor(220, 150, 0)), ("not set up", RED)];
    for (which, (name, colour)) in names.into_iter().enumerate() {
        let points = counts.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, n[which] as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|e| fault(e.to_string()))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK)
        .draw()
        .map_err(|e| fault(e.to_string()))?;
    area.present().map_err(|e| fault(e.to_string()))
}
