// `bad-day.jsonnet` with fronts that share state, and with faults in the exchange between them too: messages are lost, the
// fleet is split, and one front receives no messages.
// Run it with `pulleystair-lab day examples/sharing-day.jsonnet`, and query a front while it runs with
// `pulleystair-edge drift found/day/front-0.json`.
local day = import 'bad-day.jsonnet';
local trouble(kind, at, length, part=0, size=1) =
  { kind: kind, at_s: at, length_s: length, part: part, size: size };

day {
  sharing: { lend_ms: 2000, unheard_ms: 3000 },
  troubles+: [
    trouble('exchange_loss', 5, 8, size=0.3),
    trouble('exchange_split', 18, 8, part=0.34),
    trouble('exchange_deaf', 32, 6, part=0.34),
  ],
}
