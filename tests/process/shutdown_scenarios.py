"""End-to-end tests of what a router does after SIGTERM.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client
import json
import signal
import time

from harness import wait_until
from platform_fleet import DESK_HOST, STREAM_HOST, PlatformFleet

# Of a stop, in seconds after SIGTERM. What is read later than OPEN_S has to be
# answered whole; at CUT_S the router gives up what is left.
OPEN_S = 3
GRACE_S = 8
CUT_S = 7.5
PROMPT_ANSWER_S = 0.2  # From the last byte of a request to its refusal.
CLOSE_S = 2.5  # The listener closes then.
LONGEST_RETRY_AFTER_S = 0.1  # Another instance takes the request at once.


class KeptConnection:
    """A connection of a caller that sends one request after the other."""

    def __init__(self, fleet, router):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", fleet.routers[router][0], timeout=30)
        self.connection.connect()
        self.response = None

    def send(self, path, request_id, host=DESK_HOST, deadline_ms=8_000,
             method="POST", **headers):
        """Sends a request; "_" in header names means "-"."""
        fields = {"Host": host, "Attempt-Id": request_id, "Key": "key-ring",
                  "Deadline-Ms": str(deadline_ms)}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        self.connection.request(method, path, body="", headers=fields)

    def send_stream(self, request_id, events, deadline_ms=8_000):
        self.send("/stream/x", request_id, host=STREAM_HOST,
                  deadline_ms=deadline_ms, Token_Count=f"100,{events}",
                  Prompt_Prefix="a1:50,b2:50")

    def read_head(self):
        self.response = self.connection.getresponse()
        return self.response.status

    def read_rest(self):
        """Returns the body; raises HTTPException if it is incomplete."""
        return self.response.read()

    def asks_to_close(self):
        return self.response.getheader("Connection") == "close"


def stop(fleet, router):
    """Sends SIGTERM and waits until the router has noticed; returns when."""
    fleet.processes[router].send_signal(signal.SIGTERM)
    sent_at = time.monotonic()
    wait_until(lambda: fleet.responds(fleet.ready_url(router), 503),
               "not ready")
    return sent_at


def assert_ends_in_time(fleet, router, stopped_at):
    """The router exits with 0 within the grace time."""
    left = stopped_at + GRACE_S - time.monotonic()
    assert fleet.processes[router].wait(timeout=max(0, left)) == 0


def sleep_until(moment):
    time.sleep(max(0, moment - time.monotonic()))


def a_request_on_a_kept_connection_late_in_a_stop_is_not_taken_and_cut():
    """A stream that can't end in time is refused as not run, at once.

    The response on the connection began before SIGTERM, so it could not ask
    the caller to close. When it has ended, 4 s after SIGTERM, the caller sends
    the next request. Guards against a request that is sent to an endpoint and
    given up within the answer when the process ends.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), event_ms=100)
        caller = KeptConnection(fleet, "router-0")
        caller.send_stream("before", events=45)
        assert caller.read_head() == 200
        stopped_at = stop(fleet, "router-0")
        caller.read_rest()
        sent_at = time.monotonic()
        assert OPEN_S < sent_at - stopped_at < CUT_S, sent_at - stopped_at
        caller.send_stream("late", events=60)
        status = caller.read_head()
        took = time.monotonic() - sent_at
        body = json.loads(caller.read_rest())  # Raises if the answer is cut.
        assert status == 503, status
        assert body["error"]["kind"] == "not_ready", body
        assert took < PROMPT_ANSWER_S, took
        assert caller.asks_to_close()
        retry_after_s = float(caller.response.getheader("Retry-After"))
        assert 0 < retry_after_s <= LONGEST_RETRY_AFTER_S, retry_after_s
        assert "late" not in fleet.executions_by_request()


def a_request_late_in_a_stop_that_ends_in_time_is_served():
    """What is over by its own deadline before the process ends is served.

    Guards against refusals of requests that the router can still serve whole,
    on connections that it has not asked to close.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        for name in ("engine-0", "engine-1"):
            fleet.control(fleet.runner_url(name), event_ms=100)
        callers = [KeptConnection(fleet, "router-0") for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.send_stream(f"before{number}", events=40)
        for caller in callers:
            assert caller.read_head() == 200
        stopped_at = stop(fleet, "router-0")
        for caller in callers:
            caller.read_rest()
        assert time.monotonic() - stopped_at > OPEN_S
        callers[0].send("/sale/x", "sale", deadline_ms=1_500)
        callers[1].send("/lookup/x", "lookup", deadline_ms=1_500)
        callers[2].send_stream("short", events=5, deadline_ms=2_000)
        for caller in callers:
            assert caller.read_head() == 200
            assert caller.asks_to_close()
            caller.read_rest()
        assert_ends_in_time(fleet, "router-0", stopped_at)


def a_call_that_outlasts_a_stop_gets_a_final_answer():
    """What has no answer yet when the process gives up gets one.

    The sale may have run, so the answer promises nothing (504). Guards against
    a connection that ends without an answer.
    """
    with PlatformFleet(routers=1, desks=1, grace_s=GRACE_S) as fleet:
        fleet.control(fleet.runner_url("desk-0"), delay_ms=10_000)
        caller = KeptConnection(fleet, "router-0")
        caller.send("/sale/x", "sale", deadline_ms=20_000)
        wait_until(lambda: fleet.received_requests("desk-0") == 1, "it is sent")
        stopped_at = stop(fleet, "router-0")
        status = caller.read_head()
        caller.read_rest()
        answered = time.monotonic() - stopped_at
        assert status == 504, status
        assert answered < GRACE_S, answered
        assert caller.asks_to_close()
        assert_ends_in_time(fleet, "router-0", stopped_at)


def connections_that_wait_when_the_listener_closes_get_an_answer():
    """What the kernel has accepted for the router is served or refused.

    The router stands still while the listener's end is due, so connections
    with whole requests wait for it. Guards against connections that are closed
    without an answer.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        process = fleet.processes["router-0"]
        stopped_at = stop(fleet, "router-0")
        sleep_until(stopped_at + CLOSE_S - 0.2)
        process.send_signal(signal.SIGSTOP)
        callers = [KeptConnection(fleet, "router-0") for _ in range(6)]
        for number, caller in enumerate(callers):
            caller.send("/lookup/x", f"waiting{number}", deadline_ms=2_000)
        sleep_until(stopped_at + CLOSE_S + 0.25)
        process.send_signal(signal.SIGCONT)
        answers = []
        for caller in callers:
            try:
                answers.append(caller.read_head())
                caller.read_rest()
                assert caller.asks_to_close()
            except (http.client.HTTPException, OSError) as error:
                answers.append(repr(error))
        assert set(answers) <= {200, 503}, answers


SCENARIOS = [
    a_request_on_a_kept_connection_late_in_a_stop_is_not_taken_and_cut,
    a_request_late_in_a_stop_that_ends_in_time_is_served,
    a_call_that_outlasts_a_stop_gets_a_final_answer,
    connections_that_wait_when_the_listener_closes_get_an_answer,
]
