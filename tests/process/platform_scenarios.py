"""End-to-end tests of routers on stand-ins of the users' platform.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import concurrent.futures
import http.client
import signal
import threading
import time

from harness import wait_until
from platform_fleet import STREAM_HOST, PlatformFleet, idle_path

CONFIGURATION_BOUND_S = 3  # From the acknowledgement until it is in force.
CUT_OFF_BOUND_S = 5  # The same at a router that reaches only other routers.
DRAIN_BOUND_S = 3  # From the acknowledged mark until the last request.
READINESS_PERIOD_S = 1  # Two checks in a row that fail take a router out.


def events(count):
    """Returns the body of a complete stream of this many events."""
    return "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, count + 1))


def status_of(call):
    """Returns the status, or "broken" if the response is incomplete."""
    try:
        return call().status
    except (OSError, http.client.HTTPException):
        return "broken"


def every_kind_is_served_whole():
    """Streams, sales and lookups get complete responses at both routers.

    Guards against incomplete or foreign responses, sales that are executed
    more than once, and API keys that are forwarded to an endpoint.
    """
    with PlatformFleet() as fleet:
        for number in range(20):
            router = f"router-{number % 2}"
            answer = fleet.stream(router, f"s{number}")
            assert answer.status == 200, answer.status
            assert answer.body.decode() == events(10), answer.body
            assert answer.headers["Attempt-Id"] == f"s{number}"
            assert answer.headers["Server-Stamp"].endswith(f"s{number}")
            assert fleet.call(router, "/sale/x", f"n{number}").status == 200
            assert fleet.call(router, "/lookup/x", f"l{number}",
                              method="GET", body=None).status == 200
        executions = fleet.executions_by_request()
        assert all(executions[f"n{number}"] == 1
                   for number in range(20)), executions
        assert "key passed on" not in executions


def a_budget_is_spent_to_its_end_and_no_further():
    """Two routers spend one budget completely and without overspend.

    Guards against grants that exceed the budget in sum, and against tokens
    that stay granted to one router while the other is short.
    """
    with PlatformFleet(prepaid=5_000) as fleet:
        # A stream reserves and uses 110 tokens, so 45 streams fit.
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            statuses = list(pool.map(
                lambda n: fleet.stream(f"router-{n % 2}", f"b{n}").status,
                range(80)))
        # Tokens that the other router was still returning must be usable.
        for number in range(200, 260):
            statuses.append(fleet.stream(f"router-{number % 2}",
                                         f"b{number}").status)
        served = statuses.count(200)
        assert served * 110 <= 5_000, served
        assert served >= 44, served
        assert set(statuses) <= {200, 402, 503}, set(statuses)
        assert 402 in statuses


def a_killed_router_neither_overspends_nor_runs_twice():
    """A router is killed three times in the middle of streams and sales.

    Guards against a restarted router that spends again what its previous
    incarnation had spent, and against sales that are executed twice.
    """
    with PlatformFleet(prepaid=40_000) as fleet:
        delivered = 0
        sales = []
        number = 0
        for _ in range(3):
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                streams = [pool.submit(status_of, lambda n=n: fleet.stream(
                    "router-0", f"k{n}")) for n in range(number, number + 30)]
                number += 30
                sale_calls = [pool.submit(status_of, lambda n=n: fleet.call(
                    "router-0", "/sale/x", f"o{n}"))
                              for n in range(number, number + 10)]
                sales += [f"o{n}" for n in range(number, number + 10)]
                number += 10
                streams[5].result()
                fleet.processes["router-0"].kill()
                fleet.processes["router-0"].wait()
                delivered += sum(f.result() == 200 for f in streams)
                for future in sale_calls:
                    future.result()
            fleet.start_router("router-0")
            fleet.wait_ready("router-0")
        statuses = []
        while 402 not in statuses and len(statuses) < 400:
            statuses.append(fleet.stream("router-1", f"e{len(statuses)}").status)
        delivered += statuses.count(200)
        assert 402 in statuses, statuses[-5:]
        assert delivered * 110 <= 40_000, delivered
        executions = fleet.executions_by_request()
        assert all(executions.get(sale, 0) <= 1
                   for sale in sales), executions


def a_graceful_stop_cuts_nothing_and_hands_money_back():
    """A router that gets SIGTERM completes its streams and returns its grant.

    Guards against streams that break at the stop, and against granted tokens
    that the other router cannot spend afterwards.
    """
    with PlatformFleet(prepaid=20_000) as fleet:
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), delay_ms=700)
        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            calls = [pool.submit(fleet.stream, "router-0", f"g{n}")
                     for n in range(10)]
            wait_until(lambda: sum(fleet.received_requests(f"engine-{n}")
                                   for n in (0, 1)) == 10, "all are sent")
            fleet.processes["router-0"].send_signal(signal.SIGTERM)
            wait_until(
                lambda: fleet.responds(fleet.ready_url("router-0"), 503),
                "not ready")
            for call in calls:
                assert call.result().body.decode() == events(10)
        assert fleet.processes["router-0"].wait(timeout=60) == 0
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), delay_ms=0)
        statuses = []
        while 402 not in statuses and len(statuses) < 400:
            statuses.append(fleet.stream("router-1", f"h{len(statuses)}").status)
        served = 10 + statuses.count(200)
        assert served * 110 <= 20_000 < (served + 2) * 110, served


def a_stream_that_breaks_once_is_whole():
    """A stream whose endpoint disconnects once is resumed by another attempt.

    Guards against missing and duplicate events in the resumed stream. The
    budget of retries covers one for each of the ten streams.
    """
    with PlatformFleet(repeat_slack=100) as fleet:
        for number in range(10):
            for name in ("engine-0", "engine-1"):
                fleet.control(fleet.runner_url(name), cut=0)
            fleet.control(fleet.runner_url(f"engine-{number % 2}"), cut=1)
            answer = fleet.stream("router-0", f"r{number}", output=20)
            assert answer.status == 200
            assert answer.body.decode() == events(20), answer.body


def a_stream_that_may_run_once_is_cut_visibly():
    """A broken stream on a route with maxAttempts 1 ends without last chunk.

    Guards against a second execution, and against a router that ends the
    chunked body regularly, so that the caller takes the stream for complete.
    """
    with PlatformFleet(engines=1) as fleet:
        fleet.control(fleet.runner_url("engine-0"), cut=1)
        data = (f"POST /stream/once/x HTTP/1.1\r\nHost: {STREAM_HOST}\r\n"
                "Attempt-Id: c1\r\nKey: key-ring\r\nDeadline-Ms: 5000\r\n"
                "Token-Count: 10,20\r\nContent-Length: 0\r\n\r\n")
        received = fleet.raw("router-0", data.encode())
        assert b"piece 1" in received, received
        assert not received.endswith(b"0\r\n\r\n"), received
        assert fleet.executions_by_request()["c1"] == 1


def answers_to_others_and_unsigned_ones_never_reach_a_caller():
    """A response to another attempt, or without Server-Stamp, is an error.

    Guards against forwarding a response that carries the Attempt-Id of
    another attempt or that its endpoint has not stamped, and against errors
    of the requests that follow.
    """
    with PlatformFleet(desks=1) as fleet:
        fleet.control(fleet.runner_url("desk-0"), alien=1)
        assert fleet.call("router-0", "/sale/x", "a1").status in (502, 504)
        fleet.control(fleet.runner_url("desk-0"), unsigned=1)
        assert fleet.call("router-0", "/sale/x", "a2").status == 502
        assert fleet.call("router-0", "/sale/x", "a3").status == 200


def not_run_is_said_only_if_it_holds():
    """Only a sale that no endpoint executed may be sent again by the caller.

    503 with Retry-After means "not executed", 502 "outcome unknown". Guards
    against 503 for a sale that was executed and whose response was lost: the
    caller would send it again.
    """
    with PlatformFleet(desks=2) as fleet:
        for name in ("desk-0", "desk-1"):
            fleet.control(fleet.runner_url(name), shed=1)
        answer = fleet.call("router-0", "/sale/x", "n1")
        assert answer.status == 503, answer.status
        assert float(answer.headers["Retry-After"]) > 0
        for name in ("desk-0", "desk-1"):
            fleet.control(fleet.runner_url(name), lose=1)
        answer = fleet.call("router-0", "/sale/x", "n2")
        assert answer.status == 502, answer.status
        executions = fleet.executions_by_request()
        assert executions.get("n1", 0) == 0 and executions["n2"] == 1, (
            executions)


def a_leaving_endpoint_gets_no_new_work():
    """An endpoint that is leaving gets no request once the router knows it.

    Guards against a load balancer that chooses endpoints which are leaving.
    """
    with PlatformFleet() as fleet:
        fleet.control(fleet.runner_url("desk-0"), leave=1)
        wait_until(lambda: any(line["event"] == "endpoint_leaving"
                               for line in fleet.log_lines("router-0")),
                   "the router knows")
        before = fleet.received_requests("desk-0")
        for number in range(30):
            assert fleet.call("router-0", "/sale/x", f"v{number}").status == 200
        assert fleet.received_requests("desk-0") == before


def a_new_configuration_applies_without_a_restart():
    """Running routers accept the new API key and reject the removed one.

    Guards against routers that report a new version but still use the
    previous keys. Each call uses a new connection.
    """
    with PlatformFleet() as fleet:
        fleet.publish(keys=("key-new",))
        wait_until(lambda: all(
            fleet.metrics(name)["tamarack_configuration_version"] ==
            fleet.version for name in fleet.routers), "the new version")
        assert fleet.call("router-0", "/sale/x", "c1").status == 401
        assert fleet.call("router-0", "/sale/x", "c2",
                          Key="key-new").status == 200


def a_store_that_is_away_stops_nothing_that_has_money():
    """Accounts with granted tokens are served while the store is unavailable.

    The store first responds with 503 to everything, then not at all. At the
    end of the outage its log is trimmed. Guards against requests that fail or
    wait because of the store, and against a router that cannot continue to
    read a trimmed log and so misses the next configuration, and against final
    refusals of routes that only a version it could not read has.
    """
    with PlatformFleet() as fleet:
        assert fleet.stream("router-0", "w0").status == 200
        for mode in ("down", "silent"):
            fleet.control(fleet.store, mode=mode)
            for number in range(10):
                answer = fleet.stream("router-0", f"w{mode}{number}")
                assert answer.status == 200, answer.status
                assert fleet.call("router-0", "/sale/x",
                                  f"x{mode}{number}").status == 200
            assert fleet.responds(fleet.ready_url("router-0"))
        # A newer version may have this route, so the caller may come back.
        wait_until(lambda: fleet.call("router-0", "/none/x", "none").status ==
                   503, "an unknown route is refused as not ready")
        answer = fleet.call("router-0", "/none/x", "none")
        assert float(answer.headers["Retry-After"]) > 0
        fleet.control(fleet.store, mode="ok", trim=1)
        fleet.publish(keys=("key-new",))
        wait_until(lambda: fleet.call("router-0", "/sale/x", "late").status ==
                   401, "the new version after the outage")


def bad_input_gets_a_clear_error_and_reaches_nobody():
    """Invalid requests get their error status and reach no endpoint.

    Guards among other things against request smuggling: a request with two
    framings, or with an unknown transfer coding, must get 400, and bytes after
    it must not be read as a second request.
    """
    with PlatformFleet() as fleet:
        before = sum(fleet.received_requests(name) for name in fleet.runners)
        checks = [
            (fleet.call("router-0", "/none/x", "i1").status, 404),
            (fleet.call("router-0", "/sale/x", "i2", Key="no").status, 401),
            (fleet.call("router-0", "/sale/x", "i3",
                        Deadline_Ms="soon").status, 400),
            (fleet.call("router-0", "/sale/x", "i4",
                        Deadline_Ms="0").status, 503),
            (fleet.call("router-0", "/sale/x", "i5",
                        body="x" * 100_001).status, 413),
            (fleet.call("router-0", "/sale/x", "i6",
                        X_Long="y" * 9_000).status, 431),
        ]
        assert all(status == expected
                   for status, expected in checks), checks
        two_framings = (
            b"POST /sale/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Attempt-Id: i7\r\nKey: key-ring\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"POST /sale/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Attempt-Id: i8\r\nKey: key-ring\r\nContent-Length: 0\r\n\r\n")
        received = fleet.raw("router-0", two_framings)
        assert received.startswith(b"HTTP/1.1 400"), received
        assert received.count(b"HTTP/1.1") == 1, received
        unknown_coding = two_framings.replace(b"Content-Length: 4\r\n", b"", 1
                                          ).replace(b"chunked", b"xchunked")
        received = fleet.raw("router-0", unknown_coding)
        assert received.startswith(b"HTTP/1.1 400"), received
        after = sum(fleet.received_requests(name) for name in fleet.runners)
        assert after == before


def a_failed_request_is_explained_by_its_id():
    """The log of the router explains a failed request under its id.

    Guards against failures that an operator cannot trace: the log must name
    the endpoint, how the attempt ended, and the outcome of the call.
    """
    with PlatformFleet(desks=1) as fleet:
        fleet.control(fleet.runner_url("desk-0"), lose=1)
        assert fleet.call("router-0", "/sale/x", "why1").status == 502
        # The last line of a call is written after its response.
        wait_until(lambda: [line for line in fleet.log_lines("router-0")
                            if line.get("id") == "why1"
                            and line["event"] == "call"], "its lines")
        lines = [line for line in fleet.log_lines("router-0")
                 if line.get("id") == "why1"]
        failed_attempts = [line for line in lines
                           if line["event"] == "attempt_failed"]
        assert failed_attempts[0]["endpoint"] == "desk-0", lines
        assert failed_attempts[0]["end"] == "broken", lines
        assert "known" in failed_attempts[0], lines
        call = [line for line in lines if line["event"] == "call"][0]
        assert call["status"] == 502 and call["attempts"] == 1, call


class SlowestResponse(threading.Thread):
    """Repeats a call until it is stopped and keeps the longest time it took."""

    def __init__(self, call):
        super().__init__()
        self.call = call
        self.slowest_s = 0
        self.statuses = set()
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.wait(0.02):
            started = time.monotonic()
            self.statuses.add(status_of(self.call))
            self.slowest_s = max(self.slowest_s, time.monotonic() - started)

    def stop(self):
        self.stopped.set()
        self.join()


def a_large_configuration_holds_up_nothing_else():
    """Versions with many routes are in force in time, and calls go on.

    Guards against work that grows faster than the configuration and keeps the
    event loop from all else: late versions, a leaving endpoint that still gets
    requests, failing readiness checks. The size makes up for a fast processor.
    """
    with PlatformFleet(routers=1) as fleet:
        numbers = iter(range(1_000_000))
        lookups = SlowestResponse(lambda: fleet.call(
            "router-0", "/lookup/x", f"p{next(numbers)}", method="GET",
            body=None))
        lookups.start()
        try:
            for routes in (10_000, 12_000):
                fleet.publish(idle_routes=routes)
                published = time.monotonic()
                fleet.control(fleet.runner_url("desk-0"), leave=1)
                left = time.monotonic()
                wait_until(lambda: fleet.call(
                    "router-0", idle_path(routes - 1), f"r{routes}",
                    method="GET", body=None).status == 200, "the new route")
                took = time.monotonic() - published
                assert took <= CONFIGURATION_BOUND_S, took
            time.sleep(max(0, left + DRAIN_BOUND_S - time.monotonic()))
            before = fleet.received_requests("desk-0")
            time.sleep(1)
            assert fleet.received_requests("desk-0") == before
        finally:
            lookups.stop()
        assert lookups.statuses == {200}, lookups.statuses
        assert lookups.slowest_s < READINESS_PERIOD_S, lookups.slowest_s


def calls_for_others_hold_up_no_own_read():
    """A router that reads for cut-off routers gets each version in time.

    The store sends so slowly that the cut-off routers give a large read up
    before it is complete, and ask again. Guards against own reads that wait
    behind reads for others, and against reads that are made although nobody
    waits for them any more.
    """
    with PlatformFleet(routers=7, cut_off=6) as fleet:
        fleet.control(fleet.store, kb_per_s=1_000)
        for _ in range(4):
            fleet.publish(idle_routes=2_500)
            published = time.monotonic()
            wait_until(lambda: fleet.metrics("router-0")[
                "tamarack_configuration_version"] == fleet.version,
                "the version")
            took = time.monotonic() - published
            assert took <= CONFIGURATION_BOUND_S, took
            time.sleep(max(0, published + CONFIGURATION_BOUND_S
                           - time.monotonic()))
        wait_until(lambda: all(
            fleet.metrics(name)["tamarack_configuration_version"] ==
            fleet.version for name in fleet.cut_off), "the last version")
        took = time.monotonic() - published
        assert took <= CUT_OFF_BOUND_S, took


SCENARIOS = [
    every_kind_is_served_whole,
    a_budget_is_spent_to_its_end_and_no_further,
    a_killed_router_neither_overspends_nor_runs_twice,
    a_graceful_stop_cuts_nothing_and_hands_money_back,
    a_stream_that_breaks_once_is_whole,
    a_stream_that_may_run_once_is_cut_visibly,
    answers_to_others_and_unsigned_ones_never_reach_a_caller,
    not_run_is_said_only_if_it_holds,
    a_leaving_endpoint_gets_no_new_work,
    a_new_configuration_applies_without_a_restart,
    a_store_that_is_away_stops_nothing_that_has_money,
    bad_input_gets_a_clear_error_and_reaches_nobody,
    a_failed_request_is_explained_by_its_id,
    a_large_configuration_holds_up_nothing_else,
    calls_for_others_hold_up_no_own_read,
]
