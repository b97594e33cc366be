"""End-to-end tests of drills: the store comes back from an older copy.

What routers wrote since the copy is gone, offsets are given out again. What
operators and runners wrote is written again. Each function of SCENARIOS is one
test. Its name says what must hold.
"""
import http.client
import itertools
import signal
import time

from harness import wait_until
from limit_scenarios import lookups
from platform_fleet import PlatformFleet
from statement_scenarios import streams
from traffic import Traffic, outcomes

CONFIGURATION_BOUND_S = 3  # From the acknowledgement until it is in force.
ERA_KNOWN_S = 3  # From the return of the store until routers know of it.
STREAM_TOKENS = 110  # Reserved and used by one stream.
PREPAID = 11_000


def copy(fleet):
    fleet.control(fleet.store, copy=1)


def restore(fleet):
    fleet.control(fleet.store, restore=1)


def spend(fleet, router, tag, most):
    """Sends streams one after the other until one is refused for good.

    Returns the number of those that were served.
    """
    served = 0
    refused = 0
    for number in itertools.count():
        try:
            status = fleet.stream(router, f"{tag}-{number}").status
        except (OSError, http.client.HTTPException):
            return served
        served += status == 200
        refused = 0 if status == 200 else refused + 1
        if served >= most or status == 402 or refused > 20:
            return served
        if status != 200:
            time.sleep(0.2)


def spend_around_copy(fleet, since):
    """Both routers spend before the copy, router-0 alone spends since then.

    Returns the number of streams that were served, once the other router has
    read what is to be lost.
    """
    served = spend(fleet, "router-1", "before", 1)
    served += spend(fleet, "router-0", "before", 1)
    copy(fleet)
    served += spend(fleet, "router-0", "since", since)
    time.sleep(2)
    return served


def check_served(served, least_share):
    """The budget covers what was served, at least this share of it is used."""
    covered = PREPAID // STREAM_TOKENS
    print(f"served {served} of {covered}", flush=True)
    assert served <= covered, served
    assert served >= least_share * covered, served


def a_budget_holds_through_a_drill():
    """One router spends most of a budget after the copy, then the store returns.

    Guards against a second router that takes the tokens again, because the
    records of the first one are gone.
    """
    with PlatformFleet(prepaid=PREPAID) as fleet:
        served = spend_around_copy(fleet, 70)
        restore(fleet)
        time.sleep(ERA_KNOWN_S)
        served += spend(fleet, "router-1", "after", 100)
        served += spend(fleet, "router-0", "after", 100)
        check_served(served, 0.9)


def a_budget_holds_while_its_holder_is_paused_in_a_drill():
    """The router that has spent since the copy is paused while the store returns.

    Guards against another router that forgets what it has read of the paused
    one, takes those tokens, and leaves it to spend them again; and against one
    that gets no tokens any more although most of them are free.
    """
    with PlatformFleet(prepaid=PREPAID) as fleet:
        served = spend_around_copy(fleet, 60)
        fleet.processes["router-0"].send_signal(signal.SIGSTOP)
        restore(fleet)
        time.sleep(2 * ERA_KNOWN_S)  # No word from the paused one.
        meanwhile = spend(fleet, "router-1", "meanwhile", 100)
        fleet.processes["router-0"].send_signal(signal.SIGCONT)
        served += meanwhile + spend(fleet, "router-0", "after", 100)
        print(f"{meanwhile} meanwhile", flush=True)
        check_served(served, 0)
        assert meanwhile >= 10, meanwhile


def a_budget_holds_when_its_holder_restarts_in_a_drill():
    """The router that has spent since the copy is killed in the drill.

    Guards against a budget that is spent again by a new process that finds only
    the older record of the former one, while another router knows better.
    """
    with PlatformFleet(prepaid=PREPAID) as fleet:
        served = spend_around_copy(fleet, 60)
        fleet.processes["router-0"].kill()
        fleet.processes["router-0"].wait()
        restore(fleet)
        fleet.start_router("router-0")
        fleet.wait_ready("router-0")
        time.sleep(ERA_KNOWN_S)
        served += spend(fleet, "router-0", "after", 100)
        served += spend(fleet, "router-1", "after", 100)
        check_served(served, 0.8)


def a_configuration_after_a_drill_is_in_force():
    """The store returns twice, and operators publish once after each return.

    Guards against routers that read on from an offset that belongs to another
    record now, and miss what was written before it.
    """
    with PlatformFleet() as fleet:
        copy(fleet)
        for _ in range(4):
            fleet.publish()
        for number in range(2):
            time.sleep(1)
            restore(fleet)
            fleet.publish(keys=("key-ring", f"key-{number}"))
            time.sleep(CONFIGURATION_BOUND_S)
            for router in fleet.routers:
                answer = fleet.call(router, "/lookup/x", f"{router}-{number}",
                                    Key=f"key-{number}")
                assert answer.status == 200, (router, number, answer.status)


def a_router_that_starts_after_a_drill_waits_for_the_newest_configuration():
    """The copy lacks a version that the other routers have in force.

    Guards against a new process that serves by an older configuration, and
    refuses keys and routes for good that the others know, until operators have
    written the newest one again.
    """
    with PlatformFleet() as fleet:
        copy(fleet)
        keys = ("key-ring", "key-late")
        fleet.publish(keys=keys)
        wait_until(lambda: all(
            fleet.call(router, "/lookup/x", f"k-{router}",
                       Key="key-late").status == 200
            for router in fleet.routers), "the newest version")
        fleet.processes["router-1"].kill()
        fleet.processes["router-1"].wait()
        fleet.control(fleet.store, restore=1, operators_late=1)
        time.sleep(ERA_KNOWN_S)
        fleet.start_router("router-1")
        wait_until(lambda: fleet.metrics_or_none("router-1"), "the process")
        time.sleep(1.5)
        assert not fleet.responds(fleet.ready_url("router-1"))
        early = fleet.call("router-1", "/lookup/x", "early", Key="key-late")
        assert early.status == 503, early.status
        fleet.version -= 3  # Written again, as it was.
        fleet.publish(keys=keys)
        fleet.wait_ready("router-1")
        late = fleet.call("router-1", "/lookup/x", "late", Key="key-late")
        assert late.status == 200, late.status


def a_drill_is_logged_and_counted():
    """Guards against a drill that on-call engineers can't see."""
    with PlatformFleet(cut_off=1) as fleet:
        copy(fleet)
        restore(fleet)
        name = "tamarack_store_era_changes_total"
        wait_until(lambda: all(fleet.metrics(router).get(name) == 1
                               for router in fleet.routers), "the new era")
        for router in fleet.routers:
            lines = [line for line in fleet.log_lines(router)
                     if line["event"] == "store_era"]
            assert [(line["before"], line["era"]) for line in lines] == [
                (1, 2)], lines


def endpoints_and_answers_hold_through_a_drill():
    """Runners leave and start between the copy and its return, under traffic.

    Guards against an endpoint that gets requests again because the copy lists
    it, one that gets none because the copy lacks it, and answers that are cut
    or mixed up by a drill.
    """
    with PlatformFleet(desks=3) as fleet:
        left = "desk-2"
        copy(fleet)
        with Traffic(fleet, [lookups(), streams()]) as traffic:
            fleet.control(fleet.runner_url(left), leave=1)
            time.sleep(2)
            fleet.processes[left].terminate()
            fleet.processes["desk-1"].terminate()
            fleet.restart_runner("desk-1")
            time.sleep(1)
            restore(fleet)
            time.sleep(ERA_KNOWN_S)
            served = fleet.received_requests("desk-1")
        assert fleet.received_requests("desk-1") >= served > 0
        tried = [line["id"] for name in fleet.routers
                 for line in fleet.log_lines(name)
                 if line["event"] == "attempt_failed"
                 and line["endpoint"] == left]
        outcome = {kind: outcomes(results)
                   for kind, results in traffic.results.items()}
        print(f"{outcome}, tried {left}: {tried}", flush=True)
        assert not tried, tried
        for counts in outcome.values():
            assert set(counts) == {"200 whole"}, counts


SCENARIOS = [
    endpoints_and_answers_hold_through_a_drill,
    a_budget_holds_through_a_drill,
    a_budget_holds_while_its_holder_is_paused_in_a_drill,
    a_budget_holds_when_its_holder_restarts_in_a_drill,
    a_configuration_after_a_drill_is_in_force,
    a_router_that_starts_after_a_drill_waits_for_the_newest_configuration,
    a_drill_is_logged_and_counted,
]
