"""End-to-end tests of odd entries that other writers leave among the runners'.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import concurrent.futures
import json
import time

from harness import http, wait_until
from limit_scenarios import lookups
from platform_fleet import (STREAM_HOST, PlatformFleet,
                            encode_keyed_record)
from traffic import Traffic

DEPTH = 100_000  # Of nested lists: 200 kB, near the largest record.
STREAMS = 6
FAR_FUTURE = 9_007_199_254_740_991  # The largest exact integer of JSON.


def write_entry(fleet, key, value):
    """Writes a record among the runners' entries, as another writer would."""
    answer = http("POST",
                  fleet.store + "/-/log-append?topic=keyed.servers&part=0",
                  body=encode_keyed_record(key, value),
                  headers={"X-Operator": "1"})
    assert answer.status == 200, answer.status


def odd_entries(address):
    """Returns values of entries that name no runner."""
    sound = {"service": "desk", "address": address, "zone": "zone-a",
             "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
             "sequence": 1, "born": 1}
    host = address.rsplit(":", 1)[0]
    changes = [{"slots": 2 ** 32 + 1}, {"slots": 2 ** 64}, {"slots": -1},
               {"slots": 10 ** 40}, {"address": host + ":65536"},
               {"address": host + ":99999999999999999999"},
               {"coldLeftMs": 10 ** 300}, {"sequence": 2 ** 63 - 1},
               {"born": 2 ** 63 - 1}, {"born": "soon"}, {"state": "new"},
               {"service": 7}, {"version": "v" * 1000}]
    odd = [json.dumps(dict(sound, **change)).encode() for change in changes]
    odd += [b"[" * DEPTH, b"[" * DEPTH + b"]" * DEPTH, b"\xff\xfe\x00", b"",
            b"7", b'{"slots": 1e999}']
    nested = json.dumps(dict(sound, more=0))
    odd.append(nested.replace("0}", "[" * DEPTH + "]" * DEPTH + "}").encode())
    return odd


def odd_entries_harm_no_router():
    """Another writer leaves odd entries, also under the id of a live runner.

    Guards against routers that end, or stop following the list, because of an
    entry that they can't read, and against one that hides its runner's own
    entries. New routers read the same entries in a snapshot.
    """
    with PlatformFleet(routers=2, engines=1, desks=2) as fleet:
        with Traffic(fleet, [lookups()]) as traffic:
            for number, value in enumerate(
                    odd_entries(f"127.0.0.1:{fleet.closed_port}")):
                write_entry(fleet, f"odd-{number}", value)
                write_entry(fleet, "desk-0", value)
            # Readable, and hides what desk-0 reports later.
            write_entry(fleet, "desk-0", json.dumps(
                {"service": "desk", "zone": "zone-a", "version": "v1",
                 "address": f"127.0.0.1:{fleet.closed_port}", "slots": 8,
                 "state": "ready", "sequence": FAR_FUTURE,
                 "born": FAR_FUTURE // 100}).encode())
            time.sleep(4)
            fleet.processes["router-1"].kill()
            fleet.processes["router-1"].wait()
            fleet.start_router("router-1")
            fleet.wait_ready("router-1")
            time.sleep(3)
            fleet.control(fleet.runner_url("desk-0"), leave=1)
            wait_until(lambda: all(
                any(line["event"] == "endpoint_leaving"
                    and line["endpoint"] == "desk-0"
                    for line in fleet.log_lines(name))
                for name in fleet.routers), "all routers see desk-0 leave")
        assert fleet.processes["router-0"].poll() is None
        counts = {name: fleet.endpoint_count(name) for name in fleet.routers}
        statuses = collections.Counter(
            r.status for r in traffic.results["lookup"])
        print(f"endpoints: {counts}, {statuses}", flush=True)
        assert set(counts.values()) == {len(fleet.runners)}, counts
        assert set(statuses) <= {200, 503, "broken"}, statuses
        broken = {r.router for r in traffic.results["lookup"]
                  if r.status != 200}
        assert broken <= {"router-1"}, statuses


def a_runner_that_falls_silent_keeps_its_running_work():
    """An engine stops reporting, and its entry lapses, while streams run there.

    Guards against running work that is given up, or started again elsewhere,
    because an endpoint is only silent in the list.
    """
    with PlatformFleet(routers=1, engines=2, desks=1) as fleet, \
            concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), event_ms=100)
        begun = [pool.submit(fleet.call, "router-0", "/stream/x", f"s{n}",
                             host=STREAM_HOST, Token_Count="100,50",
                             Prompt_Prefix=f"{n + 1:x}:90,1:10")
                 for n in range(STREAMS)]
        time.sleep(1)
        fleet.control(fleet.runner_url("engine-0"), mute=1)
        write_entry(fleet, "engine-0", b"")  # Removes it.
        wait_until(lambda: fleet.endpoint_count("router-0") == 2, "the list")
        answers = [one.result() for one in begun]
        executions = fleet.executions_by_request()
        print(f"executions: {executions}", flush=True)
        assert all(answer.status == 200 and answer.body.count(b"id: ") == 50
                   for answer in answers)
        assert set(executions.values()) == {1}, executions
        assert fleet.running_requests("engine-0") == 0


SCENARIOS = [
    a_runner_that_falls_silent_keeps_its_running_work,
    odd_entries_harm_no_router,
]
