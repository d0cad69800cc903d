#!/usr/bin/env python3
"""Shows how near services came to their retry budgets, by the routers' `event=retry_usage` lines.

    retry-usage.py LOG... [--ratio 0.2] [--slack 60] [--window 10]

Each LOG holds the lines of all routers of one run, each preceded by its time in seconds and by the process, as the users' bench prints
them with `--log all`. One line a run, the largest share of a budget first: repeats in the fullest window of any service against
`ratio` times its requests (in that window, the one before, or the one half a window earlier, whichever holds most) plus `slack`.
A router logs once a second while it repeats; requests between two of its lines are spread evenly, those after its last are not known."""
import argparse
import collections
import pathlib
import re

LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) .*event=retry_usage service=(\S+) requests=(\d+) repeats=(\d+)")
STARTED = re.compile(r"^\s*(-?[\d.]+) (\S+) .*event=role_started role=router")
STEP_S = 0.5


class Usage:
    """A service's requests and repeats in each step of a run, over all routers."""

    def __init__(self):
        self.requests = collections.Counter()
        self.repeats = collections.Counter()

    def add(self, since, until, requests, repeats):
        first, last = int(since / STEP_S), int(until / STEP_S)
        steps = range(first, last + 1)
        for step in steps:
            self.requests[step] += requests / len(steps)
        self.repeats[last] += repeats

    def fullest_window(self, ratio, slack, window_s):
        """The largest share of the budget that any window used, with its beginning, repeats and bound."""
        length = int(window_s / STEP_S)

        def total(counter, first):
            return sum(counter[step] for step in range(first, first + length))

        shares = []
        for first in range(min(self.repeats) - length + 1, max(self.repeats) + 1):
            repeats = total(self.repeats, first)
            requests = max(total(self.requests, first - back) for back in (0, length // 2, length))
            bound = ratio * requests + slack
            shares.append((repeats / bound, first * STEP_S, repeats, bound))
        return max(shares)


def read(path):
    """Each service's usage in a run."""
    services = collections.defaultdict(Usage)
    started, last = {}, {}
    for line in path.read_text(errors="replace").splitlines():
        if match := STARTED.match(line):
            started[match[2]] = float(match[1])
            last = {key: value for key, value in last.items() if key[0] != match[2]}
        elif match := LINE.match(line):
            time, process, service = float(match[1]), match[2], match[3]
            requests, repeats = int(match[4]), int(match[5])
            since, requests_before, repeats_before = last.get((process, service), (started.get(process, time), 0, 0))
            services[service].add(max(since, 0.0), time, requests - requests_before, repeats - repeats_before)
            last[process, service] = (time, requests, repeats)
    return services


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", metavar="LOG", nargs="+", type=pathlib.Path)
    parser.add_argument("--ratio", type=float, default=0.2)
    parser.add_argument("--slack", type=float, default=60.0)
    parser.add_argument("--window", type=float, default=10.0, help="seconds")
    options = parser.parse_args()
    runs = []
    for path in options.logs:
        found = [
            (*usage.fullest_window(options.ratio, options.slack, options.window), service)
            for service, usage in read(path).items()
            if usage.repeats
        ]
        runs.append((max(found, default=(0.0, 0.0, 0, options.slack, "-")), path.name))
    for (share, begin, repeats, bound, service), name in sorted(runs, reverse=True):
        print(f"{share:6.3f}  {name}: {repeats:.0f} repeats of {bound:.0f} in the window from {begin:.1f} s, service {service}")


if __name__ == "__main__":
    main()
