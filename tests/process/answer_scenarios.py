"""End-to-end tests of runners that send what is no answer to the request.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import pathlib
import socket

from platform_fleet import DESK_HOST, STREAM_HOST, PlatformFleet

ENDLESS_CALLS = 800  # At once, at one router.
ENDLESS_DEADLINE_MS = 4_000
SMALLEST_INSTANCE_MB = 88  # memoryMb of the smallest instances in use.


def an_earlier_refusal_on_a_kept_connection_is_no_answer():
    """A runner writes a refusal once more and executes the next request.

    Guards against callers that are told "not run, try again" for requests that
    ran, and against requests that run at a second runner, because a refusal
    that names no request is taken for the answer to the one in progress.
    """
    with PlatformFleet(routers=1, engines=1, desks=2) as fleet:
        statuses = collections.Counter()
        for fault in ("stale_refusal", "stale_refusal_of_other"):
            for number in range(20):
                for name in ("desk-0", "desk-1"):
                    fleet.control(fleet.runner_url(name), **{fault: 1})
                answer = fleet.call("router-0", "/sale/a", f"{fault}-{number}")
                statuses[fault, answer.status] += 1
        executions = fleet.executions_by_request()
        print(f"{statuses}", flush=True)
        assert max(executions.values()) == 1, executions
        assert {status for _, status in statuses} <= {200, 502}, statuses
        assert statuses["stale_refusal", 502] > 0, "the fault did not happen"
        assert statuses["stale_refusal_of_other", 200] == 20, statuses


def peak_memory_mb(process_id):
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


def send_all(fleet, router, requests):
    """Sends requests at once, each on a connection of its own.

    Returns the connections; nothing is read from them yet.
    """
    connections = []
    for data in requests:
        connection = socket.create_connection(
            ("127.0.0.1", fleet.routers[router][0]), timeout=30)
        connection.sendall(data)
        connections.append(connection)
    return connections


def statuses_of(connections):
    """Returns how often each status, or end without one, was received."""
    found = collections.Counter()
    for connection in connections:
        received = b""
        try:
            while chunk := connection.recv(65_536):
                received += chunk
        except OSError as error:
            received = received or repr(error).encode()
        found[received[9:12].decode(errors="replace")] += 1
        connection.close()
    return found


def raw_request(path, host, request_id, **headers):
    fields = {"Host": host, "Attempt-Id": request_id, "Key": "key-ring",
              "Deadline-Ms": str(ENDLESS_DEADLINE_MS), "Connection": "close",
              "Content-Length": "0"}
    fields.update({name.replace("_", "-"): value
                   for name, value in headers.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode()


def bytes_without_end_fill_no_router():
    """Runners answer many requests at once by bytes that are no answer.

    Guards against a router that keeps them all until the callers' time is
    over, exceeds its memory and ends with the requests of everybody else.
    """
    with PlatformFleet(routers=1, engines=2, desks=2, slots=1000) as fleet:
        for fault, service, host, path, more in (
                ("endless_head", "desk", DESK_HOST, "/lookup/a", {}),
                ("endless_body", "desk", DESK_HOST, "/lookup/a", {}),
                ("endless_event", "engine", STREAM_HOST, "/stream/a",
                 {"Token_Count": "10,10"})):
            for number in range(2):
                fleet.control(fleet.runner_url(f"{service}-{number}"),
                              **{fault: ENDLESS_CALLS})
            held = send_all(fleet, "router-0", [
                raw_request(path, host, f"{fault}-{number}", **more)
                for number in range(ENDLESS_CALLS)])
            other = "engine" if service == "desk" else "desk"
            sound = (fleet.stream("router-0", f"sound-{fault}")
                     if other == "engine"
                     else fleet.call("router-0", "/lookup/a", "sound"))
            statuses = statuses_of(held)
            for number in range(2):
                fleet.control(fleet.runner_url(f"{service}-{number}"),
                              **{fault: 0})
            peak = peak_memory_mb(fleet.processes["router-0"].pid)
            print(f"{fault}: {statuses}, peak memory {peak:.0f} MB",
                  flush=True)
            assert sound.status == 200, sound.status
            assert set(statuses) <= {"502", "503", "504"}, statuses
            assert peak < SMALLEST_INSTANCE_MB, peak


SCENARIOS = [
    bytes_without_end_fill_no_router,
    an_earlier_refusal_on_a_kept_connection_is_no_answer,
]
