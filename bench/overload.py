#!/usr/bin/env python3
"""Measures goodput and latency under overload, and the load added by retries.

overload() offers 0.5, 1 and 2 times the capacity of the engines. A fifth of
the requests come from an account of high priority ("urgent"), the others from
one of low priority ("summaries"). third_of_the_engines_dies() kills two of six
engines at half load and prints how many requests the other four executed, so
that the share of retries can be seen.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "tests" / "process"))
from harness import Fleet  # noqa: E402

SLOTS = 8  # Per engine.
FIRST_TOKEN_MS = 100
TOKEN_GAP_MS = 20
TOKENS = 20  # Per request.
SECONDS = 12


def capacity_per_s(engines):
    """Returns the highest rate that this number of engines can serve."""
    return engines * SLOTS / ((FIRST_TOKEN_MS + TOKEN_GAP_MS * TOKENS) / 1000)


def configure(fleet):
    """Sets the speed of the engines and the priority of both accounts."""
    for url in fleet.engines:
        fleet.control(url, first_ms=FIRST_TOKEN_MS, gap_ms=TOKEN_GAP_MS,
                      slots=SLOTS)
    document = fleet.document()
    for endpoint in document["endpoints"]:
        endpoint["slots"] = SLOTS if "engine" in endpoint["name"] else 64
    document["accounts"][0]["priority"] = 0
    document["accounts"][1]["priority"] = 9
    fleet.publish(document)
    time.sleep(2)


def overload():
    """Prints one row per load: goodput, latencies and outcomes."""
    tokens = {"ring": 10_000_000, "docket": 10_000_000}
    print(f"{'load':>5} {'offered/s':>9} {'good/s':>7} {'urgent p95':>11} "
          f"{'summaries p95':>14} {'urgent':>40} summaries")
    for factor in (0.5, 1.0, 2.0):
        with Fleet(zones=1, daemons=2, engines=4, tokens=tokens) as fleet:
            configure(fleet)
            rate = capacity_per_s(4) * factor
            started = time.monotonic()
            urgent_load = fleet.load(
                "words", "stream", rate=int(rate * 0.2), streams=200,
                seconds=SECONDS, tokens=TOKENS)
            summaries_load = fleet.load(
                "words", "stream", rate=int(rate * 0.8), streams=600,
                seconds=SECONDS, tokens=TOKENS, key="key-docket", seed=2)
            urgent = urgent_load.result()
            summaries = summaries_load.result()
            goodput = (urgent["outcomes"].get("ok", 0) +
                       summaries["outcomes"].get("ok", 0)) / (
                           time.monotonic() - started)
            print(f"{factor:>5} {rate:>9.0f} {goodput:>7.1f} "
                  f"{urgent['first_ms_p95']:>8.0f} ms "
                  f"{summaries['first_ms_p95']:>11.0f} ms "
                  f"{str(urgent['outcomes']):>40} {summaries['outcomes']}",
                  flush=True)


def third_of_the_engines_dies():
    """Kills engines under load; the calls that they lose are retried."""
    with Fleet(zones=1, daemons=2, engines=6) as fleet:
        document = fleet.document()
        for endpoint in document["endpoints"]:
            endpoint["slots"] = SLOTS if "engine" in endpoint["name"] else 64
        for url in fleet.engines:
            fleet.control(url, first_ms=FIRST_TOKEN_MS, gap_ms=TOKEN_GAP_MS,
                          slots=SLOTS)
        fleet.publish(document)
        time.sleep(2)
        load = fleet.load("words", "stream", rate=int(capacity_per_s(6) * 0.5),
                          streams=200, seconds=SECONDS, tokens=TOKENS)
        time.sleep(4)
        for index in (0, 1):
            fleet.kill(f"engine-{index}")
        result = load.result()
        executed = sum(fleet.stats(url)["runs"] for url in fleet.engines[2:])
        print(f"two of six runners killed at half load: {result['outcomes']}, "
              f"first p95 {result['first_ms_p95']:.0f} ms, runs at the rest "
              f"{executed}")


overload()
third_of_the_engines_dies()
