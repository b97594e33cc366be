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


def pause(fleet, names, seconds):
    """Makes runners turn all requests away and ask for a pause."""
    for name in names:
        fleet.control(fleet.runner_url(name), shed=1_000_000,
                      pause_ms=int(seconds * 1000))


def an_endpoint_that_asks_for_a_pause_gets_it():
    """A desk turns requests away and asks each router for a pause.

    Guards against routers that ask it again before the end, by first tries,
    retries or requests that waited, and against a desk that is left out after
    its pause.
    """
    length = 3
    with PlatformFleet(routers=ROUTERS) as fleet:
        with Traffic(fleet, [lookups()]) as traffic:
            time.sleep(1)
            pause(fleet, ["desk-0"], length)
            time.sleep(SETTLE_S)
            paused_at = time.time()
            time.sleep(length - 2 * SETTLE_S)
            during = late_arrivals(fleet, "desk-0", paused_at)
            fleet.control(fleet.runner_url("desk-0"), shed=0)
            time.sleep(3)
            after = late_arrivals(fleet, "desk-0", paused_at + length)
        statuses = collections.Counter(
            r.status for r in traffic.results["lookup"])
        print(f"during the pause: {during}, after it: {len(after)}, "
              f"{statuses}", flush=True)
        assert len(during) <= 2 * ROUTERS, during
        assert len(after) >= 20, after
        assert set(statuses) == {200}, statuses


def callers_are_told_at_once_when_a_pause_of_all_endpoints_ends():
    """All desks ask for a pause. Guards against callers that wait in vain."""
    length = 4
    with PlatformFleet(routers=ROUTERS) as fleet:
        desks = [name for name in fleet.runners if name.startswith("desk")]
        with Traffic(fleet, [lookups()]) as traffic:
            time.sleep(1)
            pause(fleet, desks, length)
            time.sleep(SETTLE_S)
            known_at = time.monotonic()
            arrived_at = time.time()
            time.sleep(length / 2)
            known = [r for r in traffic.results["lookup"]
                     if r.sent_at > known_at]
            late = [t for name in desks
                    for t in late_arrivals(fleet, name, arrived_at)]
        refused = [r for r in known if r.status == 503]
        advice = [float(r.retry_after) for r in refused]
        print(f"{len(refused)} of {len(known)} refused, advice "
              f"{min(advice)} to {max(advice)} s, late: {late}", flush=True)
        assert len(refused) == len(known) > 0, len(refused)
        assert all(r.took < SETTLE_S for r in refused)
        assert all(1 < seconds < length + 1 for seconds in advice), advice
        assert len(late) <= 2 * ROUTERS * len(desks), late


SCENARIOS = [
    an_endpoint_that_asks_for_a_pause_gets_it,
    callers_are_told_at_once_when_a_pause_of_all_endpoints_ends,
    an_endpoint_whose_answers_say_that_it_leaves_gets_no_new_work,
]
