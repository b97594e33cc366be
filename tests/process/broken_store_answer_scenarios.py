"""End-to-end tests of broken answers of the platform's store to routers.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client

from broken_answer_scenarios import request_numbers
from harness import wait_until
from platform_fleet import PlatformFleet
from raw_endpoint import RawServer


class SpoiltStore(RawServer):
    """Stands before the store of a fleet and spoils some of its answers.

    spoil: a function of the arrival and of the store's answer, as a list of
    status, fields and body, that sends another answer; None spoils nothing.
    Every `interval`th answer is spoilt.
    """

    def __init__(self, fleet):
        super().__init__(self.respond_to)
        self.fleet = fleet
        self.spoil = None
        self.interval = 3
        self.count = 0
        self.spoilt = 0

    def respond_to(self, arrival):
        arrival.read_body()
        connection = http.client.HTTPConnection("127.0.0.1",
                                                self.fleet.store_port)
        connection.request(arrival.method, arrival.path,
                           arrival.received[:arrival.body_bytes],
                           {"Content-Length": str(arrival.body_bytes)})
        response = connection.getresponse()
        answer = [f"{response.status} {response.reason}",
                  [f"{name}: {value}" for name, value in response.getheaders()
                   if name.lower() not in FRAMING], response.read()]
        connection.close()
        self.count += 1
        if self.spoil and self.count % self.interval == 0:
            self.spoilt += 1
            return self.spoil(arrival, answer)
        arrival.send(store_answer(answer))


FRAMING = {"content-length", "transfer-encoding", "connection", "keep-alive"}


def store_answer(answer, *lines, status=None):
    """Returns an answer of the store, with further lines in its head."""
    stated, more, body = answer
    head = [f"HTTP/1.1 {status or stated}", *more, *lines,
            f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


def spoilt_answers():
    """Returns ways to spoil an answer of the store, by description."""
    def send_it(*lines, status=None):
        return lambda arrival, answer: arrival.send(
            store_answer(answer, *lines, status=status))

    def cut(size, end):
        def spoil(arrival, answer):
            arrival.send(store_answer(answer)[:size])
            end(arrival)
        return spoil

    def without_length(end):
        def spoil(arrival, answer):
            data = store_answer(answer)
            arrival.send(data.replace(b"Content-Length", b"X-Length")[:-1])
            end(arrival)
        return spoil
    spoils = {"000": send_it(status="000 OK"), "600": send_it(status="600 H"),
              "blank in a name": send_it("X Y: z"),
              "folded line": send_it("X: y", " z: a"),
              "unknown coding": send_it("Transfer-Encoding: gzip"),
              "encoded": send_it("Content-Encoding: gzip"),
              "interim": lambda arrival, answer: arrival.send(
                  b"HTTP/1.1 100 Continue\r\n\r\n" + store_answer(answer)),
              "twice": lambda arrival, answer: arrival.send(
                  2 * store_answer(answer))}
    for name, end in (("closed", lambda arrival: arrival.close()),
                      ("reset", lambda arrival: arrival.reset())):
        spoils["head", name] = cut(20, end)
        spoils["body", name] = cut(-1, end)
        spoils["no length", name] = without_length(end)
    return spoils


def broken_answers_of_the_store_change_nothing():
    """Each third answer of the store to a router is broken, in each way.

    Guards against a router that acts on such an answer, that takes the next
    one for an answer to another request, or that ends by it.
    """
    fleet = PlatformFleet(routers=1, engines=1, desks=1)
    with SpoiltStore(fleet) as store:
        fleet.router_store_port = store.port
        with fleet:
            for name, spoil in spoilt_answers().items():
                store.spoil, store.spoilt = spoil, 0
                wait_until(lambda: store.spoilt >= 5, f"{name} happens")
                key = f"key-{next(request_numbers)}"
                fleet.publish(keys=("key-ring", key))
                wait_until(lambda: fleet.call(
                    "router-0", "/lookup/a", f"r-{next(request_numbers)}",
                    Key=key).status == 200, f"{name}: a configuration")
                got = fleet.stream("router-0", f"s-{next(request_numbers)}")
                assert got.status == 200, (name, got.status, got.body)
                assert fleet.processes["router-0"].poll() is None, name
                store.spoil = None
            assert fleet.endpoint_count("router-0") == 2
            executions = fleet.executions_by_request()
            assert max(executions.values()) == 1, executions


SCENARIOS = [
    broken_answers_of_the_store_change_nothing,
]
