#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=review/stand-ins-2/target/release/review-2
[ -x "$driver" ] && [ -x target/release/pulleystair-edge ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec "$driver" again "$here/record.txt"
