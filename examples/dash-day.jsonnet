// Test scenario of the whole DASH path: players, fronts and servers use TLS, token keys and certificates are replaced six
// times, every kind of fault of the fake servers is injected, most of them overlapping others, and players retry.
// Run it with `pulleystair-lab day examples/dash-day.jsonnet`.
local bad = import 'bad-day.jsonnet';
local trouble(kind, at, length, part=0, size=1) =
  { kind: kind, at_s: at, length_s: length, part: part, size: size };

bad {
  tls: true,
  players+: { per_s: 10, come_back: 0.9, ask_twice: 0.1, ask_again: 0.1 },
  limits+: { keys_poll_ms: 100, key_overlap_ms: 5000, dial_ms: 500 },
  troubles: [
    trouble('renew', 4, 44, size=6),
    trouble('lost_answers', 3, 10, 0.3, 0.5),
    trouble('cut_segments', 5, 12, 0.4, 0.4),
    trouble('surge', 8, 5, size=3),
    trouble('silence', 10, 5, 0.15),
    trouble('front_death', 12, 3),
    trouble('half_heads', 14, 6, 0.3, 0.5),
    trouble('stall_segments', 16, 10, 0.3, 0.3),
    trouble('crash', 18, 4, 0.15),
    trouble('crowd', 20, 4, size=2),
    trouble('fast_errors', 22, 6, 0.3, 0.6),
    trouble('link_loss', 24, 8, 0.3, 2),
    trouble('uplink_loss', 26, 6, 0.2, 2),
    trouble('drain', 28, 6, 0.2),
    trouble('neighbour', 30, 8, 0.2, 0.5),
    trouble('slow_death', 31, 6, 0.1, 8),
    trouble('late_reports', 33, 6, 0.5, 2),
    trouble('rolling', 36, 9, 0.3, 1),
    trouble('zone_loss', 40, 3),
    trouble('front_death', 43, 2),
  ],
}
