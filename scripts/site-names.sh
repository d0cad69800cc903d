#!/usr/bin/env bash
# Lays the names that `fleetbench` wants beside a site file: `scripts/site-names.sh FROM`, where FROM is a folder with wire.json, real.json
# and unlock.txt. They are not kept here; run it before a play of deploy/sites/*.toml.
set -euo pipefail
from=${1:?usage: scripts/site-names.sh FROM}
to=$(cd "$(dirname "$0")/../deploy/sites" && pwd)
for name in wire.json real.json unlock.txt; do
    [ -r "$from/$name" ] || { echo "$from/$name: no such file" >&2; exit 1; }
    install -m 644 "$from/$name" "$to/$name"
done
echo "laid wire.json, real.json and unlock.txt in deploy/sites"
