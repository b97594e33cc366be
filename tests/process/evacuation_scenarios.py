"""End-to-end tests of the evacuation of an availability zone by operators.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import signal
import time

from harness import wait_until
from limit_scenarios import lookups
from platform_fleet import PlatformFleet
from statement_scenarios import streams
from traffic import Traffic, outcomes

ZONES = 2
KNOWN_S = 3  # From a change of the record until all routers act on it.
EVACUATED_S = 6
RETURN_S = 6  # From the removal of the record until all endpoints have work.
REFUSAL_S = 0.5  # From sending a request to its refusal.


def arrivals_in_zone(fleet, zone, since, until):
    """Returns when the runners of a zone received requests, by runner."""
    found = {}
    for name in fleet.runners_of_zone(zone):
        times = [t for t in fleet.arrivals(name) if since <= t <= until]
        if times:
            found[name] = times
    return found


def assert_served(traffic, refused=()):
    """All results are whole answers, or have one of these statuses."""
    for kind, results in traffic.results.items():
        print(f"{kind}: {outcomes(results)}", flush=True)
        assert {r.status for r in results} <= {200, *refused}
        assert all(r.whole for r in results if r.status == 200)


def an_evacuated_zone_gets_nothing_until_it_is_taken_back():
    """A zone is evacuated under load; one router can't reach the store itself.

    Guards against routers that don't read the record, miss its removal, or
    read neither through a peer.
    """
    with PlatformFleet(routers=4, engines=4, desks=4, zones=ZONES,
                       cut_off=1) as fleet:
        with Traffic(fleet, [lookups(), streams()]) as traffic:
            time.sleep(3)
            evacuated_at = fleet.evacuate("zone-a")
            time.sleep(EVACUATED_S)
            fleet.publish()  # Another record of the topic changes nothing.
            time.sleep(KNOWN_S)
            returned_at = fleet.take_back("zone-a")
            time.sleep(RETURN_S)
        late = arrivals_in_zone(fleet, "zone-a", evacuated_at + KNOWN_S,
                             returned_at)
        assert not late, late
        for service in ("engine", "desk"):
            times = [t for name in fleet.runners_of_zone("zone-a")
                     if name.startswith(service) for t in fleet.arrivals(name)]
            before = sum(t < evacuated_at for t in times)
            after = sum(t > returned_at for t in times)
            print(f"{service} in zone-a: {before} requests before, {after} "
                  f"after it", flush=True)
            assert before and after, service
        assert_served(traffic)
        for name in fleet.routers:
            events = collections.Counter(
                (line["event"], line["zone"]) for line in fleet.log_lines(name)
                if line["event"] in ("zone_evacuated", "zone_returned"))
            assert events == {("zone_evacuated", "zone-a"): 1,
                              ("zone_returned", "zone-a"): 1}, (name, events)


def a_router_that_starts_or_was_frozen_keeps_an_evacuation_too():
    """A router starts, and one stood still, while a zone is evacuated.

    Guards against a router that takes requests before it has read which zones
    are evacuated, and one that goes on with what it knew before.
    """
    with PlatformFleet(routers=3, engines=0, desks=4, zones=ZONES) as fleet:
        frozen, killed = (fleet.processes[f"router-{n}"] for n in (1, 2))
        with Traffic(fleet, [lookups()]) as traffic:
            time.sleep(1)
            frozen.send_signal(signal.SIGSTOP)
            killed.kill()
            fleet.evacuate("zone-a")
            killed.wait()
            time.sleep(2)
            frozen.send_signal(signal.SIGCONT)
            fleet.start_router("router-2")
            fleet.wait_ready("router-2")
            wait_until(lambda: fleet.endpoint_count("router-2") == 4,
                       "all endpoints")
            ready_at = time.monotonic()
            known_at = time.time() + KNOWN_S
            time.sleep(EVACUATED_S)
            end = time.time()
        late = arrivals_in_zone(fleet, "zone-a", known_at, end)
        assert not late, late
        for name in fleet.routers:
            assert fleet.metrics(name)["tamarack_evacuated_zones"] == 1, name
            served = [r for r in traffic.results["lookup"]
                      if r.router == name and r.sent_at > ready_at]
            print(f"{name}: {outcomes(served)}", flush=True)
            assert {r.status for r in served} == {200}, name


def calls_are_refused_at_once_while_all_zones_are_evacuated():
    """Both zones are evacuated, and one of them is taken back.

    Guards against calls that wait for what can't come, refusals without a time
    to come back, and a service that stays refused.
    """
    with PlatformFleet(routers=2, engines=0, desks=2, zones=ZONES) as fleet:
        with Traffic(fleet, [lookups()]) as traffic:
            time.sleep(1)
            fleet.evacuate("zone-a")
            fleet.evacuate("zone-b")
            time.sleep(KNOWN_S)
            known_at = time.monotonic()
            time.sleep(3)
            returned_at = time.monotonic()
            fleet.take_back("zone-b")
            time.sleep(RETURN_S)
        results = traffic.results["lookup"]
        refused = [r for r in results if known_at < r.sent_at < returned_at]
        assert {r.status for r in refused} == {503}, outcomes(refused)
        assert all(float(r.retry_after) > 0 for r in refused)
        assert all(r.took < REFUSAL_S for r in refused)
        after = [r for r in results if r.sent_at > returned_at + KNOWN_S]
        assert {r.status for r in after} == {200}, outcomes(after)
        assert_served(traffic, refused=[503])


SCENARIOS = [
    an_evacuated_zone_gets_nothing_until_it_is_taken_back,
    a_router_that_starts_or_was_frozen_keeps_an_evacuation_too,
    calls_are_refused_at_once_while_all_zones_are_evacuated,
]
