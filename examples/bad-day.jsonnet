// Test scenario of about a minute: three fronts, fifteen servers in two zones and five racks, and faults that overlap.
// Run it with `pulleystair-lab day examples/bad-day.jsonnet`.
local ladder(low, steps) = [
  { rate_kb: low * std.pow(1.5, i), earns: 0.25 + 0.75 * i / (steps - 1) }
  for i in std.range(0, steps - 1)
];
local product(name, part) = {
  name: name,
  part: part,
  importance: 1,
  first_frame_target_ms: 800,
  time_limit_ms: 3000,
  titles: 6,
  holders: 4,
  seconds: [6, 14],
};
local trouble(kind, at, length, part=0, size=1) =
  { kind: kind, at_s: at, length_s: length, part: part, size: size };

{
  seed: 1,
  seconds: 50,
  fronts: 3,
  zones: ['north', 'south'],
  fleet: {
    servers: 15,
    racks: 5,
    cores: 2,
    queue: 12,
    streams: 16,
    link_kb: 400,
    rack_link_kb: 850,
    spread: 0.12,
    work_ms: 40,
    work_spread: 0.4,
    shared_part: 0.3,
    reports_late_ms: 200,
    notes_late_ms: 600,
    notes_every_ms: 2000,
    list_late_ms: 1200,
    lease_ms: 500,
  },
  ladder: ladder(20, 5),
  products: [
    product('guide', 0.5) { importance: 3, first_frame_target_ms: 700 },
    product('paid', 0.2) { importance: 2, effect: 'non_idempotent', floor: 1 },
    product('live', 0.3) { live: true, titles: 3, holders: 6, seats: 12 },
  ],
  rules: {
    drain_grace_ms: 400,
    cold_ms: 6000,
    cold_from: 0.3,
    overload_factor: 2.5,
    fall_ms: 1000,
    down_ms: 2000,
    allocations: 4,
    budget: { span_ms: 10000, share: 0.3, free: 4 },
    retry_after_ms: 500,
    probes: true,
  },
  players: {
    per_s: 9,
    come_back: 0.85,
    leave: 0.1,
    ask_twice: 0.04,
    ask_again: 0.04,
    small: 0.25,
    segment_ms: 1000,
  },
  troubles: [
    trouble('fast_errors', 4, 10, part=0.2, size=0.6),
    trouble('neighbour', 6, 12, part=0.3, size=0.5),
    trouble('crash', 8, 5, part=0.14),
    trouble('lost_answers', 12, 10, part=0.2, size=0.5),
    trouble('late_reports', 14, 12, part=1, size=2),
    trouble('front_death', 18, 4),
    trouble('surge', 20, 8, size=2.5),
    trouble('drain', 22, 8, part=0.14),
    trouble('uplink_loss', 26, 10, part=0.4, size=2),
    trouble('silence', 30, 6, part=0.07),
    trouble('slow_death', 32, 8, part=0.07, size=8),
    trouble('rolling', 36, 10, part=0.2, size=1.5),
    trouble('crowd', 38, 6, size=1),
    trouble('half_heads', 42, 6, part=0.1, size=0.5),
  ],
}
