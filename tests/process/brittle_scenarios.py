"""End-to-end tests of endpoints in special states: brittle ones, silent ones.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import contextlib
import threading
import time

from platform_fleet import STREAM_HOST, PlatformFleet
from raw_endpoint import RawEndpoint, wait_for_endpoints
from traffic import Kind, Traffic, outcomes, result_of

ROUTERS = 3
DESKS = 4
SLOTS = 2  # Of a brittle endpoint; none waits.
WORK_S = 0.1
RATE = 140  # Requests a second, 80 of which the endpoints can take.
MOST_REJECTED = 8  # In a second, that a brittle endpoint stands.
STATED_S = 3  # From the first statement until endpoints are brittle.
BRITTLE_S = 8
FALLS = 2 + DESKS / 10  # That are allowed in one such time.
SILENCE_S = 1.2  # Of a sound endpoint.


class BrittleDesk:
    """Turns away what finds no room, and falls over if that is too much."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = 0
        self.rejected_at = collections.deque()
        self.falls = []
        self.rejected = 0

    def respond(self, arrival):
        arrival.read_body()
        with self.lock:
            has_room = self.running < SLOTS
            self.running += has_room
            if not has_room:
                self.count_rejection()
        fields = [f"Server-Brittle: {MOST_REJECTED}",
                  f"Server-Load: {self.running},0,{SLOTS}"]
        if not has_room:
            return arrival.send(arrival.whole(
                b"{}", "503 Busy", "Not-Executed: 1", *fields))
        time.sleep(WORK_S)
        with self.lock:
            self.running -= 1
        arrival.send(arrival.whole(b"{}", "200 OK", *fields))

    def count_rejection(self):
        now = time.monotonic()
        self.rejected += 1
        self.rejected_at.append(now)
        while self.rejected_at[0] < now - 1:
            self.rejected_at.popleft()
        if len(self.rejected_at) > MOST_REJECTED:
            self.falls.append(now)
            self.rejected_at.clear()


def brittle_endpoints_are_not_pushed_over():
    """Callers ask for more than brittle endpoints can take.

    Guards against endpoints that fall over since all routers send to them what
    they have to turn away (LIMIT).
    """
    lookups = Kind("lookup", RATE, lambda fleet, router, number: result_of(
        router, lambda: fleet.call(router, "/lookup/x", f"l{number}",
                                   method="GET", body=None)))
    desks = [BrittleDesk() for _ in range(DESKS)]
    with PlatformFleet(routers=ROUTERS, desks=0,
                       repeat_slack=10_000) as fleet:
        with contextlib.ExitStack() as stack:
            for number, desk in enumerate(desks):
                stack.enter_context(RawEndpoint(fleet, f"brittle-{number}",
                                                "desk", desk.respond,
                                                slots=SLOTS))
            wait_for_endpoints(fleet, len(fleet.runners) + DESKS)
            with Traffic(fleet, [lookups]) as traffic:
                time.sleep(STATED_S)
                brittle_at = time.monotonic()
                time.sleep(BRITTLE_S)
    falls = [sum(at > brittle_at for at in desk.falls) for desk in desks]
    print(f"falls: {falls}, rejected: {[d.rejected for d in desks]}, "
          f"{outcomes(traffic.results['lookup'])}", flush=True)
    assert sum(falls) <= FALLS, falls


def a_silent_endpoint_is_waited_for():
    """An endpoint falls silent before its answer and within a stream.

    Guards against sound answers that are cut off, and against requests that are
    repeated, because an endpoint paused for a second.
    """
    seen = collections.Counter()

    def respond(arrival):
        arrival.read_body()
        seen[arrival.id] += 1
        time.sleep(SILENCE_S)
        if arrival.path.startswith("/stream"):
            arrival.send(arrival.head("200 OK", "Transfer-Encoding: chunked",
                                      "Content-Type: text/event-stream"))
            for number in (1, 2):
                event = b"id: %d\ndata: x\n\n" % number
                arrival.send(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(SILENCE_S)
            return arrival.send(b"0\r\n\r\n")
        arrival.send(arrival.whole(b"{}"))

    with PlatformFleet(routers=1, engines=0, desks=0) as fleet:
        with RawEndpoint(fleet, "engine-0", "engine", respond), \
                RawEndpoint(fleet, "desk-0", "desk", respond):
            wait_for_endpoints(fleet, 2)
            for number in range(2):  # On a new and on a kept connection.
                sale = fleet.call("router-0", "/sale/x", f"sale-{number}")
                assert sale.status == 200, sale.body
                stream = fleet.call(
                    "router-0", "/stream/x", f"stream-{number}",
                    host=STREAM_HOST, Token_Count="100,5",
                    Prompt_Prefix="a1:50,b2:50")
                assert stream.status == 200
                assert stream.body.count(b"id: ") == 2, stream.body
    assert set(seen.values()) == {1}, seen


SCENARIOS = [
    brittle_endpoints_are_not_pushed_over,
    a_silent_endpoint_is_waited_for,
]
