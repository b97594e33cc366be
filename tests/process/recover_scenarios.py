"""End-to-end tests of routers that reach no endpoint, but all the rest.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import concurrent.futures
import contextlib
import time

from broken_answer_scenarios import (
    FOREIGN, KINDS, LIMITS, SMALL_BYTES, BrokenEndpoint, assert_no_answers,
    chunk, closes, fields, resets, statuses)
from harness import wait_until
from path_proxy import CuttableFleet
from platform_fleet import DESK_HOST, STREAM_HOST
from raw_endpoint import wait_for_endpoints
from traffic import Kind, Traffic, outcomes, result_of

ROUTERS = 4
RATE = 10  # Requests a second of each kind, to all routers in turn.
NOTICE_S = 3  # From the cut until a router serves by another way.
CUT_S = 8
SERVED_SHARE = 2 / 3  # Of how often the other routers serve.
UPLOAD_BYTES = 90_000
BOUND_S = 2.5  # From the cut until streams go on over another router.
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


@contextlib.contextmanager
def endpoints_of_another_router():
    """Like broken_endpoints(): router-0 reaches the endpoints through router-1.

    In the list that router-0 reads, they have a port that refuses connections.
    """
    with CuttableFleet(["router-0"], routers=2, engines=0, desks=0,
                       repeat_slack=10_000) as fleet:
        fleet.publish(limits=LIMITS)
        with contextlib.ExitStack() as stack:
            endpoints = {service: stack.enter_context(
                BrokenEndpoint(fleet, f"{service}-0", service))
                for service in ("desk", "engine")}
            for endpoint in endpoints.values():
                fleet.store_proxies["router-0"].hide(endpoint.port,
                                                     fleet.closed_port)
            wait_for_endpoints(fleet, 2)
            yield fleet, {kind: endpoints[KINDS[kind][0]] for kind in KINDS}


def a_broken_answer_is_none_over_another_router_too():
    """Answers that are none come to a router that serves for another one.

    Guards against a part of an answer that looks whole behind the second router,
    and against an answer that it passes on although it is none (MIXED).
    """
    answers = statuses("000 OK", "999 High")
    answers.update(fields(" X: z", "Transfer-Encoding: gzip"))
    for end in (closes, resets):
        answers["head", end.__name__] = end(
            lambda arrival: arrival.whole(b"")[:-2])
        answers["body", end.__name__] = end(
            lambda arrival: arrival.whole(FOREIGN)[:-1])
        answers["chunk", end.__name__] = end(
            lambda arrival: arrival.head("200 OK",
                                         "Transfer-Encoding: chunked")
            + chunk(FOREIGN))
    answers["no length, reset"] = resets(
        lambda arrival: arrival.head() + FOREIGN)
    assert_no_answers(answers, sizes=(SMALL_BYTES,),
                      start=endpoints_of_another_router)


def begin_calls(pool, fleet, path, host, count, **more):
    """Sends calls to router-0 at the same moment; returns their futures."""
    name = path.strip("/").replace("/", "-")
    return {f"{name}-{n}": pool.submit(
        lambda request=f"{name}-{n}": result_of("router-0", lambda: fleet.call(
            "router-0", path, request, host=host, **more)))
        for n in range(count)}


@contextlib.contextmanager
def calls_over_two_routers():
    """Calls of each kind that router-0 has forwarded to router-1 and -2.

    Yields the fleet and the futures of the calls by request id; the calls take
    some seconds.
    """
    with CuttableFleet(["router-0"], routers=3, engines=2, desks=2) as fleet:
        fleet.cut(["router-0"], "reset")
        for name, (service, _) in fleet.runners.items():
            pace = ({"event_ms": 500} if service == "engine"
                    else {"delay_ms": 4500})
            fleet.control(fleet.runner_url(name), **pace)
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            tokens = {"Token_Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
                      "Prompt_Prefix": "a1:90,1:10"}
            calls = {}
            for path, host, more in (
                    ("/stream/x", STREAM_HOST, tokens),
                    ("/stream/once/x", STREAM_HOST, tokens),
                    ("/sale/x", DESK_HOST, {}), ("/lookup/x", DESK_HOST, {})):
                calls.update(begin_calls(pool, fleet, path, host, 6, **more))
            wait_until(lambda: all(fleet.metrics(name)["tamarack_held_bytes"]
                                   for name in fleet.routers), "calls")
            time.sleep(BOUND_S)
            yield fleet, calls
        forwarded = {line["forwarded_by"]
                     for name in ("router-1", "router-2")
                     for line in fleet.log_lines(name)
                     if line["event"] == "call"}
        assert "router-0" in forwarded, forwarded


def results_by_kind(calls):
    results = collections.defaultdict(list)
    for request, call in calls.items():
        results[request.rsplit("-", 1)[0]].append(call.result())
    print({kind: outcomes(every) for kind, every in results.items()},
          flush=True)
    return results


def a_router_that_dies_while_it_serves_for_another_repeats_nothing():
    """One of two routers that serve for a third one is killed.

    Guards against calls that may run once and run twice, against callers who
    are told that such a call has not run, and against resumable streams that
    end although another router could go on with them.
    """
    with calls_over_two_routers() as (fleet, calls):
        fleet.processes["router-1"].kill()
        results = results_by_kind(calls)
        executions = fleet.executions_by_request()
        for kind in ("sale-x", "stream-once-x"):
            for request in (r for r in calls if r.startswith(kind)):
                count = executions.get(request, 0)
                assert count <= 1, (request, count)
                if calls[request].result().status == REFUSED:
                    assert count == 0, request
        for kind in ("stream-x", "lookup-x"):
            assert share_served(results[kind]) == 1, kind


def a_router_that_stops_cuts_off_no_call_of_another():
    """One of two routers that serve for a third one is stopped in order."""
    with calls_over_two_routers() as (fleet, calls):
        fleet.processes["router-1"].terminate()
        results = results_by_kind(calls)
        for kind, every in results.items():
            assert share_served(every) == 1, kind


SCENARIOS = [
    a_router_whose_paths_to_endpoints_hang_serves_through_others,
    a_router_whose_paths_to_endpoints_are_reset_serves_through_others,
    a_router_that_gets_no_new_connections_to_endpoints_serves_on,
    half_of_the_routers_serve_through_the_others,
    most_routers_serve_through_the_one_that_is_left,
    a_broken_answer_is_none_over_another_router_too,
    a_router_that_dies_while_it_serves_for_another_repeats_nothing,
    a_router_that_stops_cuts_off_no_call_of_another,
]
