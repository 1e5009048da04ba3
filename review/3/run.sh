#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/tidewall target/review/case3; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
exec timeout --signal=KILL 110 target/review/case3 review/3/record.txt
