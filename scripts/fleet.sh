#!/usr/bin/env bash
# Twenty real nodes under three agents: half of them drained, two killed outright, one stopped by a signal, two people who want
# different things. Prints one result for every instance after every command, and fails where one is not as it should be.
# Usage: scripts/fleet.sh [PROGRAM]; without one, target/debug/ivyhatch, built first.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${1:-}
if [ -z "$program" ]; then
    cargo build --quiet --locked -p ivyhatch
    program=target/debug/ivyhatch
fi
program=$(realpath "$program")
work=$(mktemp -d)
agents=()
finish() {
    kill -KILL "${agents[@]}" 2>/dev/null || true
    # Nodes outlive their agents: each is known by what was written down at its start.
    for known in "$work"/*/state/run/*.json; do
        [ -e "$known" ] && kill -KILL "$(sed 's/.*"pid":\([0-9]*\).*/\1/' "$known")" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap finish EXIT

sockets=()
instance=0
for agent in 1 2 3; do
    folder=$work/agent-$agent
    mkdir "$folder"
    {
        printf 'version = 1\n[fleet]\nzones = ["a", "b"]\ndiscovery = "127.0.0.1:1"\n'
        printf '[agent]\nstate = "%s"\nsilent_ms = 2000\nfirst_wait_ms = 50\n' "$folder/state"
        printf '[[class]]\nname = "find"\neffect = "repeatable"\naim_ms = 800\ndeadline_ms = 3000\n'
        for _ in $(seq $((agent == 3 ? 6 : 7))); do
            instance=$((instance + 1))
            printf '[[instance]]\nname = "n-%02d"\nzone = "%s"\nlabels = { half = "%s" }\n' "$instance" \
                "$([ $((instance % 2)) = 0 ] && echo a || echo b)" "$([ $((instance % 4)) -lt 2 ] && echo one || echo two)"
        done
    } >"$folder/fleet.toml"
    "$program" agent --config "$folder/fleet.toml" 2>"$folder/log" &
    agents+=($!)
    sockets+=(--agent "$folder/state/agent.sock")
done

failures=0
# Runs a command, prints what it says, and compares its exit code and how many instances had this result.
expect() { # CODE RESULT COUNT WORDS...
    local code=$1 result=$2 count=$3 said found
    shift 3
    echo "\$ ivyhatch $*"
    said=$("$program" "$@" "${sockets[@]}" </dev/null) && found=0 || found=$?
    echo "$said"
    if [ "$found" != "$code" ] || [ "$(grep -c "^n-.. *$result " <<<"$said")" != "$count" ]; then
        echo "WRONG: exit code $found, wanted $code and $count times \"$result\"" >&2
        failures=$((failures + 1))
    fi
}
pid_of() { "$program" status "$1" --json "${sockets[@]}" | sed 's/.*"pid":\([0-9]*\),"starts.*/\1/'; }

for _ in $(seq 100); do # The sockets are there as soon as the agents are.
    [ "$(ls "$work"/*/state/agent.sock 2>/dev/null | wc -l)" = 3 ] && break
    sleep 0.1
done
expect 0 done 20 start all --deadline 30
expect 0 done 10 drain half=one --by shift-1
expect 4 refused 10 stop half=two --by shift-1 # All that still serve: not unasked.
expect 0 done 10 undrain half=one --by shift-1

killed=("$(pid_of n-03)" "$(pid_of n-17)") hung=$(pid_of n-08)
kill -KILL "${killed[@]}"
kill -STOP "$hung"
expect 0 done 3 restart n-03 n-17 n-08 --deadline 30 --yes
for pid in "${killed[@]}" "$hung"; do
    if kill -0 "$pid" 2>/dev/null; then
        echo "WRONG: $pid is still there" >&2
        failures=$((failures + 1))
    fi
done

echo "\$ two at once: drain n-05 n-06 --by shift-1, stop n-05 n-06 --by shift-2"
"$program" drain n-05 n-06 --by shift-1 "${sockets[@]}" --yes </dev/null >"$work/one" || true &
one=$!
"$program" stop n-05 n-06 --by shift-2 "${sockets[@]}" --yes </dev/null >"$work/two" || true
wait "$one"
cat "$work/one" "$work/two"
for file in one two; do
    if [ "$(grep -cE '^n-0[56] +(done|refused) ' "$work/$file")" != 2 ]; then
        echo "WRONG: not one clear result for each instance" >&2
        failures=$((failures + 1))
    fi
done
expect 0 done 2 start n-05 n-06

kill -KILL "${agents[2]}"
wait "${agents[2]}" 2>/dev/null || true
expect 5 done 14 undrain all # Six nodes of an agent that is gone: unknown, and the others are done.
before=$(cat "$work"/agent-3/state/run/*.json)
"$program" agent --config "$work/agent-3/fleet.toml" 2>>"$work/agent-3/log" &
agents[2]=$!
for _ in $(seq 100); do
    "$program" status "${sockets[@]}" >/dev/null 2>&1 && break
    sleep 0.1
done
expect 0 done 20 undrain all
if [ "$before" != "$(cat "$work"/agent-3/state/run/*.json)" ]; then
    echo "WRONG: nodes that outlived their agent were started anew" >&2
    failures=$((failures + 1))
fi
expect 0 done 20 stop all --yes
[ "$failures" = 0 ] && echo "every instance had one clear result"
exit "$((failures > 0))"
