// Overload scenario: for eight seconds four times as many plays are requested as the fleet can set up (200 a second), and
// most players that are not served request again. It shows whether service recovers after the overload ends.
//
// `times` is the rate of requests during the surge over the rate that the fleet can set up, `usual` the rate of requests
// before and after it, per second. To run without the adaptive limit: `admission: { least: 1e6, most: 1e6, work_ms: 1e9 }`.
local bad = import 'bad-day.jsonnet';
local times = 4;
local usual = 110;
bad {
  seconds: 30,
  fronts: 2,
  fleet+: {
    // Six servers of two cores and 60 ms of work a set-up can do 200 set-ups a second.
    servers: 6,
    racks: 2,
    cores: 2,
    work_ms: 60,
    work_spread: 0.3,
    queue: 400,
    streams: 4000,
    link_kb: 400000,
    rack_link_kb: 1200000,
  },
  ladder: [{ rate_kb: 4, earns: 0.5 }, { rate_kb: 8, earns: 1 }],
  products: [super.products[0] { part: 1, titles: 12, holders: 6, seconds: [2, 3], time_limit_ms: 2500 }],
  rules+: { budget: null },
  players+: { per_s: usual, come_back: 0.95, leave: 0, ask_twice: 0, ask_again: 0.02 },
  troubles: [{ kind: 'surge', at_s: 6, length_s: 8, size: times * 200 / usual }],
}
