#!/usr/bin/env python3
"""Sums what all nodes of a play counted, by span of five seconds: `scripts/fleet-count.py LOGS`, a folder of *.log."""
import collections
import glob
import re
import sys

NAMES = (
    "arrivals", "past_target", "queue_timeout", "attempts_failed", "sent", "outside_subset", "served", "error",
    "invalid_response", "rejected", "timed_out", "connect_failed", "reset",
)


def main(folder):
    spans = collections.defaultdict(collections.Counter)
    events = collections.defaultdict(collections.Counter)
    for path in glob.glob(f"{folder}/*.log"):
        for line in open(path, errors="replace"):
            time = re.match(r"\s*(\d+\.\d+)", line)
            if not time:
                continue
            at = float(time[1])
            span = int(at / 5 + 0.5) * 5
            counted = re.search(r"in \d+ s: (.*); (\d+) of (\d+) ejected; zone utilisation (.*); overflow share ([\d.]+); windows (.*)", line)
            if counted:
                spans[span]["nodes"] += 1
                for name in NAMES:
                    got = re.search(rf"(\d+) {name}", counted[1])
                    spans[span][name] += int(got[1]) if got else 0
                spans[span]["ejected"] += int(counted[2])
                for number, use in enumerate(counted[4].split()):
                    if use != "?":
                        spans[span][f"use{number}"] += float(use)
                        spans[span][f"used{number}"] += 1
                spans[span]["spill"] += float(counted[5])
                for window in counted[6].split():
                    size, out = window.split("/")
                    spans[span]["window"] += float(size)
                    spans[span]["out"] += int(out)
            elif "load reports" in line:
                probes = re.search(r"(\d+) of (\d+) probed.* (\d+) unreached; (\d+) probes", line)
                if probes:
                    for name, value in zip(("known", "probed", "unreached", "probes"), probes.groups()):
                        spans[span][name] += int(value)
            else:
                event = re.sub(r"^.*(INFO|WARN) \S+ ", "", line.strip())
                events[int(at / 5) * 5][re.sub(r"[\d.]+", "#", event)[:60]] += 1
    names = ("nodes",) + NAMES + ("ejected", "known", "probed", "unreached", "probes")
    print("to   " + " ".join(f"{name[:8]:>8}" for name in names) + "  windows, out in them (sums), use of zones, spilled (means)")
    for span in sorted(spans):
        row = spans[span]
        means = [row[f"use{n}"] / max(row[f"used{n}"], 1) for n in range(9) if f"used{n}" in row]
        text = f"{row['window']:.0f} {row['out']} | " + " ".join(f"{mean:.2f}" for mean in means)
        print(f"{span:<4} " + " ".join(f"{row[name]:8}" for name in names) + f"  {text} | {row['spill'] / max(row['nodes'], 1):.2f}")
    for span in sorted(events):
        for event, count in events[span].most_common(8):
            print(f"{span:<4} {count:6} {event}")


if __name__ == "__main__":
    main(sys.argv[1])
