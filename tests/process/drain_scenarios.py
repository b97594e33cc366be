"""End-to-end tests of what endpoints get after they have said that they leave.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client
import socket
import time

from broken_daemon_answer_scenarios import Services
from harness import wait_until
from path_proxy import CuttableFleet, KeepingPath
from platform_fleet import DESK_HOST, PlatformFleet
from raw_endpoint import RawEndpoint, wait_for_endpoints

# A request of this size fits into the sender's buffer of a socket, but not into
# the receiver's smallest one.
BODY_BYTES = 12_000
RECEIVE_BYTES = 2_304
GIVEN_UP_S = 0.6  # Time that a caller leaves for its request.
SILENCE_S = 2.0  # For which an endpoint reads nothing; longer than that.


class SilentReader:
    """An endpoint that reads the body of a request after a long silence."""

    def __init__(self):
        self.received = {}  # Bytes of the bodies by request id, at their end.

    def respond(self, arrival):
        time.sleep(SILENCE_S)
        try:
            arrival.read_body()
        except OSError:
            pass
        self.received[arrival.id] = len(arrival.received)
        arrival.close()

    def wait_for(self, count):
        wait_until(lambda: len(self.received) == count,
                   f"the end of {count} requests")

    def whole(self):
        """Returns the ids of the requests that arrived completely."""
        return [request for request, size in self.received.items()
                if size == BODY_BYTES]


def send_lookup(fleet, request_id, deadline_ms):
    """Sends a request with a body; returns the connection."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.routers["router-0"][0], timeout=30)
    connection.request("POST", "/lookup/x", body="x" * BODY_BYTES, headers={
        "Host": DESK_HOST, "Attempt-Id": request_id, "Key": "key-ring",
        "Deadline-Ms": str(deadline_ms)})
    return connection


def let_deadline_pass(fleet, request_id):
    connection = send_lookup(fleet, request_id, int(GIVEN_UP_S * 1000))
    assert connection.getresponse().status == 504
    connection.close()


def leave_as_caller(fleet, request_id):
    connection = send_lookup(fleet, request_id, 8000)
    time.sleep(GIVEN_UP_S)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()


def kill_router(fleet, request_id):
    connection = send_lookup(fleet, request_id, 8000)
    time.sleep(GIVEN_UP_S)
    fleet.processes["router-0"].kill()
    connection.close()


def a_request_that_was_given_up_is_not_delivered_later():
    """An endpoint reads a request after its attempt has been given up.

    Guards against sockets that go on delivering what was written to them: an
    endpoint that has said that it leaves got a request seconds later, which
    another endpoint had answered by then.
    """
    reader = SilentReader()
    with PlatformFleet(routers=1, desks=0) as fleet:
        with RawEndpoint(fleet, "desk-raw", "desk", reader.respond,
                         RECEIVE_BYTES):
            wait_for_endpoints(fleet, len(fleet.runners) + 1)
            ways = [let_deadline_pass, leave_as_caller, kill_router]
            for number, give_up in enumerate(ways):
                give_up(fleet, give_up.__name__)
                reader.wait_for(number + 1)
    print(f"received: {reader.received}", flush=True)
    assert not reader.whole(), reader.received


def a_daemon_delivers_no_request_that_it_gave_up():
    """The same, of a daemon of the project's own deployment."""
    reader = SilentReader()
    with Services(RECEIVE_BYTES,
                  services=[{"name": "lookups",
                             "timeout_ms": int(GIVEN_UP_S * 1000)}]
                  ) as services:
        services.answer = reader.respond
        given_up = services.call("lookup", BODY_BYTES)
        reader.wait_for(1)
    print(f"status {given_up.status}, received: {reader.received}", flush=True)
    assert given_up.status >= 500
    assert not reader.whole(), reader.received


def bytes_that_a_path_keeps_are_lost_with_their_request():
    """A path hangs with a request in it, and goes on when nobody waits for it.

    Guards against a connection that is left open, or closed in order, although
    its request was given up.
    """
    with CuttableFleet(["router-0"], path=KeepingPath, routers=1, engines=0,
                       desks=1) as fleet:
        path = fleet.paths["router-0"]["desk-0"]
        assert fleet.call("router-0", "/lookup/x", "before").status == 200
        for kind in ("lookup", "sale"):
            path.hang()
            given_up = fleet.call("router-0", f"/{kind}/x", f"{kind}-kept",
                                  Deadline_Ms=str(int(GIVEN_UP_S * 1000)))
            assert given_up.status == 504, given_up.status
            time.sleep(SILENCE_S)
            path.go_on()
            time.sleep(GIVEN_UP_S)
        executions = fleet.executions_by_request()
        print(f"executed: {sorted(executions)}", flush=True)
        assert set(executions) == {"before"}, executions


SCENARIOS = [
    bytes_that_a_path_keeps_are_lost_with_their_request,
    a_request_that_was_given_up_is_not_delivered_later,
    a_daemon_delivers_no_request_that_it_gave_up,
]
