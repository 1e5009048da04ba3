#!/usr/bin/env bash
# Lays what the users' bench wants beside a site: names of the wire and of the sockets, and what it may play. Nothing of it is
# tracked. With no folder it takes the one of the kit's other customer.
set -euo pipefail
cd "$(dirname "$0")"
from=${1:-../../../given/kit/more/mass/other}
for file in real.json wire.json unlock.txt; do
  [ -f "$from/$file" ] || { echo "$from/$file: not there" >&2; exit 2; }
  install -m 644 "$from/$file" "$file"
done
