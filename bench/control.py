#!/usr/bin/env python3
"""Measures what the control plane costs a daemon, by the size of a zone.

Starts one zone of N daemons for each N on the command line, by default 4, 16
and 53, and measures it three times: idle, with a light load of paid requests,
and with that load at price 0, which needs no ledger.

Prints per daemon: processor time, resident memory, KB/s sent to and received
from peers (from the metrics of the daemons), KB/s read from and appended to
the log, and appends per second (from the platform stand-in).
"""
import pathlib
import re
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "tests" / "process"))
from harness import Fleet, http  # noqa: E402

MEASURED_SECONDS = 15


def mean_resident_mb(fleet):
    """Returns the mean resident memory of a daemon, in MB."""
    total = 0
    for name in fleet.daemons:
        status = pathlib.Path(
            f"/proc/{fleet.processes[name].pid}/status").read_text()
        total += int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024
    return total / len(fleet.daemons)


def peer_bytes(fleet):
    """Returns how many bytes all daemons sent to and received from peers."""
    sent = received = 0
    for name in fleet.daemons:
        text = http("GET", fleet.url(name) + "/metrics").body.decode()
        sent += int(re.search(r"peer_sent_bytes_total (\d+)", text).group(1))
        received += int(re.search(r"peer_received_bytes_total (\d+)",
                                  text).group(1))
    return sent, received


def measure(fleet, label, rate):
    """Prints one row, measured at `rate` requests per second, 0 for none."""
    load = None
    if rate:
        load = fleet.load("lookups", streams=32, rate=rate,
                          seconds=MEASURED_SECONDS + 5)
        time.sleep(3)
    sent, received = peer_bytes(fleet)
    log = fleet.stats(fleet.platform)
    cpu = fleet.cpu_seconds()
    start = time.monotonic()
    time.sleep(MEASURED_SECONDS)
    elapsed = time.monotonic() - start
    cpu = fleet.cpu_seconds() - cpu
    sent_after, received_after = peer_bytes(fleet)
    log_after = fleet.stats(fleet.platform)
    log_read = log_after["read_bytes"] - log["read_bytes"]
    log_appended = log_after["append_bytes"] - log["append_bytes"]
    appends = log_after["appends"] - log["appends"]
    count = len(fleet.daemons)
    print(f"{count:>4} {label:>6} {cpu / elapsed / count * 100:>7.2f} % "
          f"{mean_resident_mb(fleet):>6.1f} MB "
          f"{(sent_after - sent) / elapsed / count / 1000:>7.2f} "
          f"{(received_after - received) / elapsed / count / 1000:>7.2f} "
          f"{log_read / elapsed / count / 1000:>7.2f} "
          f"{log_appended / elapsed / count / 1000:>7.2f} "
          f"{appends / elapsed / count:>7.2f}",
          flush=True)
    if load:
        load.result()


def main():
    print("   n   load  processor   memory  peer out peer in  log in log out "
          "appends/s (KB/s a daemon)")
    for count in [int(word) for word in sys.argv[1:]] or [4, 16, 53]:
        flags = ["--streams", "64", "--http-threads", "64",
                 "--peer-threads", "8"]
        with Fleet(zones=1, daemons=count, engines=1, services=2,
                   daemon_flags=flags) as fleet:
            fleet.ctl("--streams", "64", "budget", "create", "ring",
                      "--tokens", "100000000")
            rate = 20 * min(count, 25)
            measure(fleet, "idle", 0)
            measure(fleet, f"{rate / count:.0f}/s", rate)
            free_of_charge = fleet.document(services=[
                {"name": "sales"}, {"name": "lookups", "price": 0}])
            fleet.publish(free_of_charge)
            time.sleep(2)
            measure(fleet, "free", rate)  # Price 0: no grants, no bills.


main()
