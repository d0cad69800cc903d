#!/usr/bin/env bash
# Fails where a finished crate uses a withdrawn word, in code, comments or tests. The list of finished crates only grows.
# Usage: scripts/names.sh [CRATE-FOLDER...] (default: the finished crates)
set -euo pipefail
cd "$(dirname "$0")/.."
finished=(coordination routing agent protocol wal admin-protocol load-probing balancer node node-settings config system lab socket-lab simulator-adapter simulation control experiments cli)
# Whole words, also as a part of a snake_case name. docs/glossary.md has the standard term for each.
withdrawn='told|tells?|heard|hears?|unheard|hearsay|heed[a-z]*|deposed|whoever|mates|fellows|kin|ledger|sparing|touched|mishaps?|troubles?|beats?|life|lives|errands?|tally|spoilt|ill|sick|thrown_out|kept_apart|mended?|mends|passed_over|brookfield|badgerpost|wirehost|planted|taps?|lots?|founders?|rivals?|believe[sd]?|lately|news|reckoned|bearable|forgets|hunted|owes|unclear|outright|vanished|trusts|founded|stood|woke|disturbs|mute|dealt|rested'
folders=("$@")
[ ${#folders[@]} -gt 0 ] || folders=("${finished[@]+"${finished[@]}"}")
[ ${#folders[@]} -gt 0 ] || { echo "names: no crate is listed as finished"; exit 0; }
found=0
for folder in "${folders[@]}"; do
    # A wire name, a settings key or a stored name keeps the form that the pages give it: such a line says `wire name` in a comment.
    if git grep -nPi "(?<![A-Za-z])(?:${withdrawn})(?![A-Za-z])" -- "$folder/*.rs" | grep -v 'wire name'; then found=1; fi
done
[ "$found" = 0 ] || { echo "names: withdrawn words stand in finished crates; docs/glossary.md has the terms" >&2; exit 1; }
echo "names: ${#folders[@]} crates use none of the withdrawn words"
