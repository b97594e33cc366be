"""End-to-end tests of routers that reach no endpoint, but all the rest.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import time

from path_proxy import CuttableFleet
from platform_fleet import STREAM_HOST
from traffic import Kind, Traffic, outcomes, result_of

ROUTERS = 4
RATE = 10  # Requests a second of each kind, to all routers in turn.
NOTICE_S = 3  # From the cut until a router serves by another way.
CUT_S = 8
SERVED_SHARE = 2 / 3  # Of how often the other routers serve.
UPLOAD_BYTES = 90_000
PROMPT_TOKENS = 100
OUTPUT_TOKENS = 10
REFUSED = 503  # The status that promises that a request has not run.


def plain(name, path, size):
    return Kind(name, RATE, lambda fleet, router, number: result_of(
        router, lambda: fleet.call(router, path, f"{name}-{number}",
                                   body="x" * size)))


def streams(name, path):
    return Kind(name, RATE, lambda fleet, router, number: result_of(
        router, lambda: fleet.call(
            router, path, f"{name}-{number}", host=STREAM_HOST,
            Token_Count=f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            Prompt_Prefix=f"{number + 1:x}:90,1:10")))


def all_kinds():
    return [plain("lookup", "/lookup/x", 10), plain("sale", "/sale/x", 10),
            plain("upload", "/lookup/y", UPLOAD_BYTES),
            streams("stream", "/stream/x"), streams("once", "/stream/once/x")]


def share_served(results):
    return sum(r.whole for r in results) / max(1, len(results))


def assert_served_through_others(results, cut, since, until):
    """Compares how often both groups of routers serve in a time."""
    for kind, every in results.items():
        during = [r for r in every if since <= r.sent_at < until]
        groups = [[r for r in during if (r.router in cut) == is_cut]
                  for is_cut in (True, False)]
        print(f"{kind}: cut off {outcomes(groups[0])}, "
              f"others {outcomes(groups[1])}", flush=True)
        assert (share_served(groups[0])
                >= SERVED_SHARE * share_served(groups[1])), kind


def assert_ran_as_told(fleet, results):
    """No sale ran twice, and none that its caller was told has not run."""
    executions = fleet.executions_by_request()
    for name in ("sale", "once"):
        for number, result in enumerate(sorted(results[name],
                                               key=lambda r: r.sent_at)):
            count = executions.get(f"{name}-{number}", 0)
            assert count <= 1, (name, number, count)
            if result.status == REFUSED:
                assert count == 0, (name, number, result)


def assert_billed_once(fleet):
    """Each request is billed by one router at most, and no more than it may."""
    billed = collections.Counter()
    bills = collections.Counter()
    for router in fleet.routers:
        for line in fleet.log_lines(router):
            if line["event"] == "call" and line["used"] > 0:
                billed[line["id"]] += line["used"]
                bills[line["id"]] += 1
    assert billed, "nothing was billed"
    assert max(bills.values()) == 1, bills.most_common(3)
    assert max(billed.values()) <= PROMPT_TOKENS + OUTPUT_TOKENS, (
        billed.most_common(3))


def serve_while_cut_off(how, count):
    """Cuts routers off from all runners for a while, under traffic."""
    names = [f"router-{n}" for n in range(ROUTERS)]
    cut = set(names[:count])
    with CuttableFleet(cut, routers=ROUTERS, engines=3, desks=2) as fleet:
        with Traffic(fleet, all_kinds()) as traffic:
            time.sleep(1.5)
            fleet.cut(cut, how)
            cut_at = time.monotonic()
            time.sleep(CUT_S)
            fleet.restore(cut)
            restored_at = time.monotonic()
            time.sleep(2 * NOTICE_S)
            ended_at = time.monotonic()
        time.sleep(1)  # For the last lines of the logs.
        results = traffic.results
        assert_ran_as_told(fleet, results)
        assert_billed_once(fleet)
    assert_served_through_others(results, cut, cut_at + NOTICE_S, restored_at)
    print("after the return of the paths", flush=True)
    assert_served_through_others(results, cut, restored_at + NOTICE_S,
                                 ended_at)


def a_router_whose_paths_to_endpoints_hang_serves_through_others():
    """All paths of one router of four to the endpoints go silent.

    Guards against a router that refuses what other routers could serve: its
    callers are not sent elsewhere while it is ready.
    """
    serve_while_cut_off("hang", 1)


def a_router_whose_paths_to_endpoints_are_reset_serves_through_others():
    """The same, with connections that are reset and refused.

    Guards also against endpoints that are taken for dead, and against requests
    that are blamed for it.
    """
    serve_while_cut_off("reset", 1)


def a_router_that_gets_no_new_connections_to_endpoints_serves_on():
    """The same, while open connections live on."""
    serve_while_cut_off("refuse", 1)


def half_of_the_routers_serve_through_the_others():
    """Half of the routers lose their paths at the same moment."""
    serve_while_cut_off("reset", ROUTERS // 2)


def most_routers_serve_through_the_one_that_is_left():
    """All routers but one lose their paths.

    Guards against routers that pass calls to each other, and that one drowns.
    """
    serve_while_cut_off("hang", ROUTERS - 1)


SCENARIOS = [
    a_router_whose_paths_to_endpoints_hang_serves_through_others,
    a_router_whose_paths_to_endpoints_are_reset_serves_through_others,
    a_router_that_gets_no_new_connections_to_endpoints_serves_on,
    half_of_the_routers_serve_through_the_others,
    most_routers_serve_through_the_one_that_is_left,
]
