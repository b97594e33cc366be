"""End-to-end tests of odd entries that other writers leave among the runners'.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import concurrent.futures
import json
import pathlib
import time

from harness import http, wait_until
from limit_scenarios import lookups
from platform_fleet import (STREAM_HOST, PlatformFleet,
                            encode_keyed_record)
from traffic import Traffic

DEPTH = 100_000  # Of nested lists: 200 kB, near the largest record.
STREAMS = 6
MAX_ENTRY_BYTES = 262_144 - 100  # A record with its key.
SMALLEST_INSTANCE_MB = 88  # memoryMb of the smallest instances in use.
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


def starts_with_entries(entries):
    """Restarts all routers while another writer's entries are in the list.

    Returns the largest memory of a router (MB) once all serve again.
    """
    with PlatformFleet(routers=2, engines=1, desks=2) as fleet:
        for key, value in entries:
            write_entry(fleet, key, value)
        for name in fleet.routers:
            fleet.processes[name].kill()
            fleet.processes[name].wait()
        for name in fleet.routers:
            fleet.start_router(name)
        for name in fleet.routers:
            fleet.wait_ready(name)
            wait_until(lambda: fleet.endpoint_count(name)
                       == len(fleet.runners), "all endpoints")
            answer = fleet.call(name, "/lookup/a", f"after-{name}")
            assert answer.status == 200, answer.status
        return max(peak_memory_mb(fleet.processes[name].pid)
                   for name in fleet.routers)


def peak_memory_mb(process_id):
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


def entries_under_odd_keys_keep_no_router_from_starting():
    """Keys hold what separates or ends the parts of a request.

    Guards against a router that asks for one page of the list without end,
    because it does not name the key after which the next page begins.
    """
    keys = ["canary&", "canary ", "canary+", "canary%26", "canary#", "canary?",
            "canary=", "canary/", "can\r\nX: y", "can\u00e9", ""]
    entries = [(f"{key}{number}", b"\xff" * (MAX_ENTRY_BYTES // 4))
               for key in keys for number in range(6)]
    entries.append(("", b"\xff" * MAX_ENTRY_BYTES))
    peak = starts_with_entries(entries)
    print(f"peak memory {peak:.0f} MB", flush=True)
    assert peak < SMALLEST_INSTANCE_MB, peak


def many_large_entries_keep_no_router_from_starting():
    """Unreadable entries that are larger than a router's memory in all.

    Guards against a router that keeps the pages of the list until it has
    read the last one, exceeds its memory and is killed at each start.
    """
    entries = [(f"canary{number:03}", b"\xff" * MAX_ENTRY_BYTES)
               for number in range(450)]
    peak = starts_with_entries(entries)
    print(f"peak memory {peak:.0f} MB", flush=True)
    assert peak < SMALLEST_INSTANCE_MB, peak


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
    entries_under_odd_keys_keep_no_router_from_starting,
    many_large_entries_keep_no_router_from_starting,
    odd_entries_harm_no_router,
]
