#!/usr/bin/env python3
"""Measures the overhead of the router compared with direct engine calls.

Starts two daemons in one zone, so that reservations go to a home and bills to
a witness on another daemon, as in production. Prints first-token times and the
processor time per request and token at 1, 16 and 256 concurrent streams, and
the memory per open stream at 256.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "tests" / "process"))
from harness import Fleet, Load, wait_until  # noqa: E402

TOKENS = 50  # Per request.


def resident_kb(fleet, name):
    """Returns the resident memory of a daemon, in KB."""
    status = pathlib.Path(f"/proc/{fleet.processes[name].pid}/status")
    for line in status.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise AssertionError("no VmRSS")


def load_engines(fleet, streams, seconds, rate):
    """Returns the result of the load tool with direct calls to the engines."""
    return Load(["--urls", ",".join(fleet.engines), "--subject", "words",
                 "--mode", "stream", "--streams", str(streams), "--seconds",
                 str(seconds), "--tokens", str(TOKENS), "--rate", str(rate)],
                fleet.folder).result()


def load_daemons(fleet, streams, seconds, rate):
    """Returns the result of the load tool with calls through the daemons."""
    return fleet.load("words", "stream", streams=streams, seconds=seconds,
                      tokens=TOKENS, rate=rate).result()


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    with Fleet(zones=1, daemons=2, engines=4) as fleet:
        for url in fleet.engines:
            fleet.control(url, first_ms=20, gap_ms=5, slots=1000)
        load_daemons(fleet, 16, 3, 60)  # Opens grants and connections.
        before = fleet.cpu_seconds()
        time.sleep(5)
        print(f"idle: {(fleet.cpu_seconds() - before) / 5 / 2 * 100:.2f} % of "
              f"a core a daemon")
        print(f"{'streams':>7} {'way':>7} {'served':>7} {'first p50':>10} "
              f"{'p95':>8} {'p99':>8} {'gap p95':>8} {'cpu/req':>9} "
              f"{'cpu/token':>10}")
        for streams in (1, 16, 256):
            rate = min(3 * streams, 240)
            for path in ("direct", "routed"):
                before = fleet.cpu_seconds()
                run = load_engines if path == "direct" else load_daemons
                result = run(fleet, streams, seconds, rate)
                cpu = fleet.cpu_seconds() - before
                served = result["outcomes"].get("ok", 0)
                request_us = (cpu / max(1, served) * 1e6
                              if path == "routed" else 0)
                print(f"{streams:>7} {path:>7} {served:>7} "
                      f"{result['first_ms_p50']:>7.2f} ms "
                      f"{result['first_ms_p95']:>8.2f} "
                      f"{result['first_ms_p99']:>8.2f} "
                      f"{result['gap_ms_p95']:>8.2f} {request_us:>6.0f} us "
                      f"{request_us / TOKENS:>7.1f} us")
        name = "daemon-0"
        for url in fleet.engines:
            fleet.control(url, gap_ms=400)
        kb_before = resident_kb(fleet, name)
        load = fleet.load("words", "stream", urls=fleet.url(name), streams=256,
                          requests=256, seconds=60, tokens=20)
        wait_until(lambda: fleet.status(name)["in_flight"] == 256,
                   "256 open streams")
        growth_kb = resident_kb(fleet, name) - kb_before
        print(f"memory: {kb_before} KB before, {growth_kb / 256:.1f} KB a "
              f"stream more with 256 open")
        load.result()


main()
