"""The users' platform end to end: routers through the adapter, on stand-ins.

A test is one function; each says in its name what must hold.
"""
import concurrent.futures
import http.client
import signal

from harness import wait_until
from platform_fleet import STREAM_HOST, PlatformFleet


def events(count):
    return "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, count + 1))


def status_of(call):
    """The status, or "broken" if the answer did not come whole."""
    try:
        return call().status
    except (OSError, http.client.HTTPException):
        return "broken"


def every_kind_is_served_whole():
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
        runs = fleet.runs()
        assert all(runs[f"n{number}"] == 1 for number in range(20)), runs
        assert "key passed on" not in runs


def a_budget_is_spent_to_its_end_and_no_further():
    with PlatformFleet(prepaid=5_000) as fleet:
        # 110 tokens at most each, and all of it is used: 45 fit.
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            statuses = list(pool.map(
                lambda n: fleet.stream(f"router-{n % 2}", f"b{n}").status,
                range(80)))
        # Money that another instance was about to hand back is not lost.
        for number in range(200, 260):
            statuses.append(fleet.stream(f"router-{number % 2}",
                                         f"b{number}").status)
        served = statuses.count(200)
        assert served * 110 <= 5_000, served
        assert served >= 44, served
        assert set(statuses) <= {200, 402, 503}, set(statuses)
        assert 402 in statuses


def a_killed_router_neither_overspends_nor_runs_twice():
    with PlatformFleet(prepaid=40_000) as fleet:
        delivered = 0
        sales = []
        number = 0
        for _ in range(3):
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                streams = [pool.submit(status_of, lambda n=n: fleet.stream(
                    "router-0", f"k{n}")) for n in range(number, number + 30)]
                number += 30
                sale = [pool.submit(status_of, lambda n=n: fleet.call(
                    "router-0", "/sale/x", f"o{n}"))
                        for n in range(number, number + 10)]
                sales += [f"o{n}" for n in range(number, number + 10)]
                number += 10
                streams[5].result()
                fleet.processes["router-0"].kill()
                fleet.processes["router-0"].wait()
                delivered += sum(f.result() == 200 for f in streams)
                for future in sale:
                    future.result()
            fleet.start_router("router-0")
            fleet.wait_ready("router-0")
        statuses = []
        while 402 not in statuses and len(statuses) < 400:
            statuses.append(fleet.stream("router-1", f"e{len(statuses)}").status)
        delivered += statuses.count(200)
        assert 402 in statuses, statuses[-5:]
        assert delivered * 110 <= 40_000, delivered
        runs = fleet.runs()
        assert all(runs.get(sale, 0) <= 1 for sale in sales), runs


def a_graceful_stop_cuts_nothing_and_hands_money_back():
    with PlatformFleet(prepaid=20_000) as fleet:
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), delay_ms=700)
        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            calls = [pool.submit(fleet.stream, "router-0", f"g{n}")
                     for n in range(10)]
            wait_until(lambda: sum(fleet.seen(f"engine-{n}")
                                   for n in (0, 1)) == 10, "all are sent")
            fleet.processes["router-0"].send_signal(signal.SIGTERM)
            wait_until(lambda: fleet.answers(fleet.ready_url("router-0"), 503),
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
    with PlatformFleet() as fleet:
        for number in range(10):
            for name in ("engine-0", "engine-1"):
                fleet.control(fleet.runner_url(name), cut=0)
            fleet.control(fleet.runner_url(f"engine-{number % 2}"), cut=1)
            answer = fleet.stream("router-0", f"r{number}", output=20)
            assert answer.status == 200
            assert answer.body.decode() == events(20), answer.body


def a_stream_that_may_run_once_is_cut_visibly():
    with PlatformFleet(engines=1) as fleet:
        fleet.control(fleet.runner_url("engine-0"), cut=1)
        data = (f"POST /stream/once/x HTTP/1.1\r\nHost: {STREAM_HOST}\r\n"
                "Attempt-Id: c1\r\nKey: key-ring\r\nDeadline-Ms: 5000\r\n"
                "Token-Count: 10,20\r\nContent-Length: 0\r\n\r\n")
        received = fleet.raw("router-0", data.encode())
        assert b"piece 1" in received, received
        assert not received.endswith(b"0\r\n\r\n"), received
        assert fleet.runs()["c1"] == 1


def answers_to_others_and_unsigned_ones_never_reach_a_caller():
    with PlatformFleet(desks=1) as fleet:
        fleet.control(fleet.runner_url("desk-0"), alien=1)
        assert fleet.call("router-0", "/sale/x", "a1").status in (502, 504)
        fleet.control(fleet.runner_url("desk-0"), unsigned=1)
        assert fleet.call("router-0", "/sale/x", "a2").status == 502
        assert fleet.call("router-0", "/sale/x", "a3").status == 200


def not_run_is_said_only_if_it_holds():
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
        runs = fleet.runs()
        assert runs.get("n1", 0) == 0 and runs["n2"] == 1, runs


def a_leaving_endpoint_gets_no_new_work():
    with PlatformFleet() as fleet:
        fleet.control(fleet.runner_url("desk-0"), leave=1)
        wait_until(lambda: any(line["event"] == "endpoint_leaving"
                               for line in fleet.log_lines("router-0")),
                   "the router knows")
        before = fleet.seen("desk-0")
        for number in range(30):
            assert fleet.call("router-0", "/sale/x", f"v{number}").status == 200
        assert fleet.seen("desk-0") == before


def a_configuration_is_in_force_on_open_connections():
    with PlatformFleet() as fleet:
        fleet.publish(keys=("key-new",))
        wait_until(lambda: all(
            fleet.metrics(name)["tamarack_configuration_version"] ==
            fleet.version for name in fleet.routers), "the new version")
        assert fleet.call("router-0", "/sale/x", "c1").status == 401
        assert fleet.call("router-0", "/sale/x", "c2",
                          Key="key-new").status == 200


def a_store_that_is_away_stops_nothing_that_has_money():
    with PlatformFleet() as fleet:
        assert fleet.stream("router-0", "w0").status == 200
        for mode in ("down", "silent"):
            fleet.control(fleet.store, mode=mode)
            for number in range(10):
                answer = fleet.stream("router-0", f"w{mode}{number}")
                assert answer.status == 200, answer.status
                assert fleet.call("router-0", "/sale/x",
                                  f"x{mode}{number}").status == 200
            assert fleet.answers(fleet.ready_url("router-0"))
        fleet.control(fleet.store, mode="ok", trim=1)
        fleet.publish(keys=("key-new",))
        wait_until(lambda: fleet.call("router-0", "/sale/x", "late").status ==
                   401, "the new version after the outage")


def bad_input_gets_a_clear_error_and_reaches_nobody():
    with PlatformFleet() as fleet:
        before = sum(fleet.seen(name) for name in fleet.runners)
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
        assert all(got == wanted for got, wanted in checks), checks
        two_framings = (
            b"POST /sale/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Attempt-Id: i7\r\nKey: key-ring\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"POST /sale/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Attempt-Id: i8\r\nKey: key-ring\r\nContent-Length: 0\r\n\r\n")
        received = fleet.raw("router-0", two_framings)
        assert received.startswith(b"HTTP/1.1 400"), received
        assert received.count(b"HTTP/1.1") == 1, received
        odd_coding = two_framings.replace(b"Content-Length: 4\r\n", b"", 1
                                          ).replace(b"chunked", b"xchunked")
        received = fleet.raw("router-0", odd_coding)
        assert received.startswith(b"HTTP/1.1 400"), received
        assert sum(fleet.seen(name) for name in fleet.runners) == before


def a_failed_request_is_explained_by_its_id():
    with PlatformFleet(desks=1) as fleet:
        fleet.control(fleet.runner_url("desk-0"), lose=1)
        assert fleet.call("router-0", "/sale/x", "why1").status == 502
        wait_until(lambda: [line for line in fleet.log_lines("router-0")
                            if line.get("id") == "why1"], "its lines")
        lines = [line for line in fleet.log_lines("router-0")
                 if line.get("id") == "why1"]
        attempt = [line for line in lines if line["event"] == "attempt_failed"]
        assert attempt[0]["endpoint"] == "desk-0", lines
        assert attempt[0]["end"] == "broken", lines
        assert "known" in attempt[0], lines
        call = [line for line in lines if line["event"] == "call"][0]
        assert call["status"] == 502 and call["attempts"] == 1, call


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
    a_configuration_is_in_force_on_open_connections,
    a_store_that_is_away_stops_nothing_that_has_money,
    bad_input_gets_a_clear_error_and_reaches_nobody,
    a_failed_request_is_explained_by_its_id,
]
