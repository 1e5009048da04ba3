#!/bin/sh
# Runs the case of the folder given: exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run).
folder=$(cd "$1" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
program="$ROOT/target/review-2/$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/tidewall" ]; then
    echo "not built: cargo build --release, then review/build-2.sh"
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export ROOT WORK
"$program" "$folder/record.txt"
code=$?
rm -rf "$WORK"
[ "$code" -le 2 ] || code=2
exit "$code"
