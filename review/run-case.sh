#!/bin/sh
# Called by the run.sh of each case, which sets TROUBLE and RECORD: run-case.sh FOLDER-OF-THE-CASE PROGRAM. The exit code is that
# of the stand-ins: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
CASE=$(cd "$1" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
FOLDER=$(mktemp -d)
export ROOT RUN FOLDER
PROGRAM="$ROOT/review/stand-ins/target/release/$2"
end() {
    for pid in $(cat "$FOLDER/pids" 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
    [ -z "${KEEP:-}" ] && rm -rf "$FOLDER"
}
trap 'kill -KILL "$child" 2>/dev/null; end; exit 2' INT TERM HUP
[ -n "$RUN" ] && [ -x "$PROGRAM" ] || { echo "the build is missing"; end; exit 2; }
"$PROGRAM" &
child=$!
wait "$child"
code=$?
sort -n -s -k1,1 -o "$RECORD" "$RECORD"
end
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
