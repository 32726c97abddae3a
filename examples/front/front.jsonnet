// Example configuration of a front; settings that are left out have their defaults. `pulleystair-edge check front.jsonnet`
// prints the first error in it, `pulleystair-edge show front.jsonnet` prints it with the defaults filled in. Times are in
// ms, rates in kB/s.
{
  listen: '127.0.0.1:8080',
  zone: 'north',
  zones: ['north', 'south'],
  fronts: 3,
  rank: 0,
  list: 'list.json',
  products: [
    { name: 'guide', importance: 3, first_frame_target_ms: 800, time_limit_ms: 3000 },
    {
      name: 'paid',
      importance: 2,
      first_frame_target_ms: 1000,
      time_limit_ms: 4000,
      effect: 'non_idempotent',
      floor: 1,
    },
  ],
  ladder: [
    { rate_kb: rung[0], earns: rung[1] }
    for rung in [[150, 0.25], [300, 0.5], [600, 0.8], [1200, 1]]
  ],
  fleet: {
    cells: 3,
    racks: 1,
    kinds: [{ name: 'standard', streams: 40 }],
    rack_link_kb: 20000,
    link_unit_kb: 10000,
    links_kb: 30000,
    notes_late_ms: 600,
    stall_cost: 7,
    change_costs_s: 0.5,
  },
  rules: {
    drain_grace_ms: 500,
    cold_ms: 12000,
    cold_from: 0.3,
    overload_factor: 2.5,
    allocations: 4,
    budget: { span_ms: 10000, share: 0.25, free: 4 },
    retry_after_ms: 500,
    probes: true,
  },
  prices: { probe: 0.01, cross_zone: 0.02 },
  entry_keys: [{ kid: 'portal-1', file: 'entry.key' }],
  pass_keys: [{ kid: 'pass-1', file: 'pass.key' }],
}
