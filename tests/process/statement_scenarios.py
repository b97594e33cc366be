"""End-to-end tests of what endpoints state in their responses about requests.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import time

from limit_scenarios import lookups
from platform_fleet import STREAM_HOST, PlatformFleet
from traffic import Kind, Traffic, result_of

ROUTERS = 3
SETTLE_S = 0.5  # For requests that were sent before a statement arrived.
RATE = 20  # Streams a second to all routers together.


def streams():
    """Returns a kind of request whose prompts have no part in common."""
    return Kind("stream", RATE, lambda fleet, router, number: result_of(
        router, lambda: fleet.call(
            router, "/stream/x", f"s{number}", host=STREAM_HOST,
            Token_Count="100,5", Prompt_Prefix=f"{number + 1:x}:90,1:10")))


def late_arrivals(fleet, name, since):
    """Returns when a runner got requests after a Unix time in s."""
    return [round(t - since, 2) for t in fleet.arrivals(name) if t > since]


def an_endpoint_whose_answers_say_that_it_leaves_gets_no_new_work():
    """A desk and an engine state that they leave, their entries stay ready.

    Guards against routers that go by the list alone, and against an endpoint
    that gets no work after it has started again under its id.
    """
    leaving = ["desk-0", "engine-0"]
    with PlatformFleet(routers=ROUTERS) as fleet:
        with Traffic(fleet, [lookups(), streams()]) as traffic:
            time.sleep(1.5)
            for name in leaving:
                fleet.control(fleet.runner_url(name), say_leaving=1)
            time.sleep(SETTLE_S)
            known_at = time.time()
            time.sleep(3)
            late = {name: late_arrivals(fleet, name, known_at)
                    for name in leaving}
            for name in leaving:
                fleet.processes[name].terminate()
                fleet.restart_runner(name)
            time.sleep(3)
        again = {name: fleet.received_requests(name) for name in leaving}
        statuses = {kind: collections.Counter(r.status for r in results)
                    for kind, results in traffic.results.items()}
        print(f"late: {late}, after the new start: {again}, {statuses}",
              flush=True)
        assert not any(late.values()), late
        assert all(again.values()), again
        for kind, counts in statuses.items():
            assert set(counts) == {200}, (kind, counts)


SCENARIOS = [
    an_endpoint_whose_answers_say_that_it_leaves_gets_no_new_work,
]
