//! The configuration files of the fronts of a scenario.

use crate::relays::Relays;
use crate::scenario::Scenario;
use serde_json::json;

/// The name of a front among its peers, in the exchange of shared state.
pub fn front_name(front: usize) -> String {
    format!("front-{front}")
}

/// The configuration of a front. If the fronts of the scenario share state, it also has the addresses of the relays to
/// all fronts, itself included, and has the front answer status queries (`ask`). The front itself chooses the ports on
/// which it listens, and logs them: a port that the lab chose could be taken before the front listens.
pub fn full_front_config(scenario: &Scenario, front: usize, relays: &Option<Relays>) -> serde_json::Value {
    let mut config = front_config(scenario, front);
    if let (Some(relays), Some(sharing)) = (relays, &scenario.sharing) {
        let peer = |to: usize| json!({ "name": front_name(to), "at": relays.relay_address(front, to) });
        config["fleet"]["name"] = json!("laboratory");
        config["fleet"]["listen"] = json!("127.0.0.1:0");
        config["fleet"]["peers"] = (0..scenario.fronts).map(peer).collect();
        config["sharing"] = json!(sharing);
        config["sharing"]["ask"] = json!("127.0.0.1:0");
    }
    config
}

/// The configuration of a front without shared state.
fn front_config(scenario: &Scenario, front: usize) -> serde_json::Value {
    let fleet = &scenario.fleet;
    let total_link_kb: f64 = fleet.link_kb * fleet.servers as f64;
    let products: Vec<serde_json::Value> = scenario
        .products
        .iter()
        .map(|p| {
            let mut product = serde_json::to_value(p).unwrap_or_default();
            if let Some(product) = product.as_object_mut() {
                ["part", "titles", "holders", "seconds"].iter().for_each(|name| {
                    product.remove(*name);
                });
            }
            product
        })
        .collect();
    json!({
        "listen": "127.0.0.1:0",
        "zone": scenario.zones[front % scenario.zones.len()],
        "zones": scenario.zones,
        "fronts": scenario.fronts,
        "rank": front,
        "seed": scenario.seed.wrapping_add(front as u64),
        "list": "list.json",
        "products": products,
        "ladder": scenario.ladder,
        "fleet": {
            "cells": fleet.servers,
            "racks": fleet.racks,
            "kinds": [{ "name": "standard", "streams": fleet.streams }],
            "rack_link_kb": fleet.rack_link_kb,
            "link_unit_kb": fleet.link_kb,
            "links_kb": total_link_kb,
            "shared_part": fleet.shared_part,
            "notes_late_ms": fleet.notes_late_ms,
            "stall_cost": 7.0,
            "change_costs_s": 0.5,
        },
        "rules": {
            "drain_grace_ms": scenario.rules.drain_grace_ms,
            "cold_ms": scenario.rules.cold_ms,
            "cold_from": scenario.rules.cold_from,
            "overload_factor": scenario.rules.overload_factor,
            "allocations": scenario.rules.allocations,
            "budget": scenario.rules.budget,
            "retry_after_ms": scenario.rules.retry_after_ms,
            "probes": scenario.rules.probes,
        },
        "prices": { "probe": 0.01, "cross_zone": 0.02 },
        "limits": scenario.limits,
        "reads": scenario.reads,
        "admission": scenario.admission,
        "keys": "keys.json",
        "homes": if scenario.fronts > 1 { json!("homes.json") } else { json!(null) },
        "tls": if scenario.tls { json!({ "players": "players", "servers": "servers" }) } else { json!({}) },
    })
}
