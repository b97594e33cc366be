#!/usr/bin/env python3
"""Measures how long an endpoint that stops taking work still gets requests.

Two ways are measured: the endpoint itself reports that it is leaving, target
3 s until the last request; and an operator marks it as draining in the
configuration, target 4 s until all daemons use that version.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "tests" / "process"))
from harness import Fleet, wait_until  # noqa: E402


def main():
    for method in ("own sign", "configuration"):
        with Fleet(zones=2, daemons=2) as fleet:
            load = fleet.load("words", "stream", seconds=9, streams=8,
                              rate=100, retries=10)
            time.sleep(2)
            if method == "own sign":
                fleet.control(fleet.engines[0], leaving=1)
                start = time.time()
                load.result()
                stats = fleet.stats(fleet.engines[0])
                last_request = stats["last_asked_ms"] / 1000
                print(f"own sign: last ask {max(0, last_request - start):.2f} "
                      f"s after")
                continue
            document = fleet.document()
            document["endpoints"][0]["draining"] = True
            fleet.publish(document)
            start = time.time()
            wait_until(lambda: all(fleet.status(n)["config_version"] == 2
                                   for n in fleet.daemons), "in force")
            active_everywhere = time.time()
            load.result()
            stats = fleet.stats(fleet.engines[0])
            last_request = stats["last_asked_ms"] / 1000
            print(f"configuration: in force everywhere within "
                  f"{active_everywhere - start:.2f} s, last run "
                  f"{max(0, last_request - start):.2f} s after")


main()
