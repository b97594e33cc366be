"""End-to-end tests of many clients that don't keep to the protocol's spirit.

A crowd opens connections to one router and sends requests that it never ends,
or never reads the responses of. Checked is only what doesn't depend on the
speed of the machine: the process lives, its memory and its descriptors stay
under a bound, and an ordinary request is answered while the crowd is there.
The bound of the memory is the setting memory-mb itself, for resident memory
and for both that and the bytes that the kernel holds unread.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import contextlib
import pathlib
import selectors
import signal
import socket
import threading
import time

from harness import wait_until
from platform_fleet import DESK_HOST, STREAM_HOST, PlatformFleet

CROWD = 128  # Connections.
MEMORY_MB = 64
BODY_BYTES = 512 * 1024  # maxBodyBytes; the crowd's bodies are as large.
HEADER_BYTES = 60_000  # maxHeaderBytes of the crowd of heads.
PIECE_BYTES = 8 * 1024  # Sent at a time of each body that comes in pieces.
SEND_BYTES = 64 * 1024  # Sent at a time of all others.
LARGE_CHUNK_BYTES = 64 * 1024
FAR_OVER_BYTES = 64 * 1024 * 1024  # Of a body beyond the limit.
EVENTS = 20_000  # Of each response that nobody reads.
# Instances as deployed: the smallest and the largest memory.
SMALL_INSTANCE = {"memory_mb": 88, "body_bytes": 4 * 1024 * 1024, "crowd": 60}
LARGE_INSTANCE = {"memory_mb": 512, "body_bytes": 4 * 1024 * 1024,
                  "crowd": 200}
MAX_DESCRIPTORS = 256
SPARE_DESCRIPTORS = 16  # That a router with any crowd must leave unused.
IDLE_CROWD = 400
SETTLED_S = 3  # A crowd that sends nothing for so long is held by the router.


def request_head(number, *fields, path="/lookup/a", host=DESK_HOST):
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}",
             f"Attempt-Id: crowd-{number}", "Key: key-ring",
             "Deadline-Ms: 8000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


# What a connection of a crowd sends, from its number and the limit of bodies.

def all_but_one_byte(number, size):
    return (request_head(number, f"Content-Length: {size}")
            + b"x" * (size - 1))


def half_a_body(number, size):
    return (request_head(number, f"Content-Length: {size}")
            + b"x" * (size // 2))


def chunks_without_the_last(number, size, chunk_bytes):
    return (request_head(number, "Transfer-Encoding: chunked")
            + chunk(chunk_bytes) * ((size - 1) // chunk_bytes))


def large_chunks(number, size):
    return chunks_without_the_last(number, size, LARGE_CHUNK_BYTES - 1)


def tiny_chunks(number, size):
    return chunks_without_the_last(number, size, 1)


def announced_far_over(number, _):
    return (request_head(number, f"Content-Length: {FAR_OVER_BYTES}")
            + b"x" * (BODY_BYTES - 1))


def sent_far_over(number, _):
    return chunks_without_the_last(number, 4 * BODY_BYTES, LARGE_CHUNK_BYTES)


def head_without_end(number, _):
    head = request_head(number)[:-2]  # Without the empty line.
    while len(head) < HEADER_BYTES - 100:
        head += b"More: " + b"x" * 1000 + b"\r\n"
    return head


def long_response(number, _):
    return request_head(
        number, "Content-Length: 0", f"Token-Count: 10,{EVENTS}",
        "Prompt-Prefix: a1:5,b2:5", path="/stream/x", host=STREAM_HOST)


def nothing(_number, _size):
    return b""


class Crowd(contextlib.AbstractContextManager):
    """Connections that send at once; what they sent stays unfinished.

    content: function of the number of a connection and the limit of bodies.
    reads: whether responses are read. goes: whether a connection closes once
    it has sent its bytes, and the next one opens.
    """

    def __init__(self, fleet, content, count=CROWD, size=BODY_BYTES,
                 send_bytes=SEND_BYTES, reads=True, goes=False):
        self.address = ("127.0.0.1", fleet.routers["router-0"][0])
        self.content, self.size = content, size
        self.send_bytes, self.reads, self.goes = send_bytes, reads, goes
        self.count = count
        self.left = 3 * count if goes else 0  # Connections that follow.
        self.ends = collections.Counter()  # By status, or end without one.
        self.silent = []  # Connections that have sent all and read nothing.
        self.sent_bytes = 0
        self.last_progress = time.monotonic()
        self.selector = selectors.DefaultSelector()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        for number in range(self.count):
            self.open(number)
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        for connection in self.silent:
            connection.close()
        self.selector.close()

    def open(self, number):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(self.address)
        data = memoryview(self.content(number, self.size))
        interest = selectors.EVENT_WRITE if data else selectors.EVENT_READ
        self.selector.register(connection, interest, [number, data, b""])

    def run(self):
        while not self.stopping.is_set():
            for key, events in self.selector.select(timeout=0.05):
                try:
                    self.step(key, events)
                except OSError as error:
                    self.end(key, type(error).__name__)

    def step(self, key, events):
        number, data, received = key.data
        if events & selectors.EVENT_READ:
            arrived = key.fileobj.recv(65_536)
            key.data[2] = received = (received + arrived)[:12]
            self.last_progress = time.monotonic()
            if not arrived:
                return self.end(key, received[9:].decode() or "closed")
        if events & selectors.EVENT_WRITE and data:
            sent = key.fileobj.send(data[:self.send_bytes])
            key.data[1] = data = data[sent:]
            self.sent_bytes += sent
            self.last_progress = time.monotonic()
        if self.goes and not data:
            return self.end(key, "went")
        interest = selectors.EVENT_WRITE if data else 0
        if self.reads:
            interest |= selectors.EVENT_READ
        if not interest:  # It stays open, without a look at it.
            self.selector.unregister(key.fileobj)
            self.silent.append(key.fileobj)
            return None
        self.selector.modify(key.fileobj, interest, key.data)
        return None

    def end(self, key, how):
        self.ends[how] += 1
        self.selector.unregister(key.fileobj)
        key.fileobj.close()
        if self.left > 0:
            self.left -= 1
            self.open(self.count + self.left)

    def is_settled(self):
        return time.monotonic() - self.last_progress > SETTLED_S

    def describe(self):
        return (f"{self.sent_bytes / 2**20:.0f} MB sent, ended: "
                f"{dict(self.ends)}")


class MemoryWatch(contextlib.AbstractContextManager):
    """Looks at the memory and the descriptors of a process until its end."""

    def __init__(self, fleet, name="router-0"):
        self.process = fleet.processes[name]
        self.front_port = fleet.routers[name][0]
        self.peak_mb = 0  # Resident, as the kernel counts it.
        self.unread_mb = 0  # The most bytes that the kernel held unread.
        self.both_mb = 0  # The most of both at one time.
        self.descriptors = 0  # The most.
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def run(self):
        while not self.stopping.wait(0.05):
            with contextlib.suppress(OSError, IndexError):
                self.look()

    def look(self):
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        self.descriptors = max(self.descriptors,
                               len(list((folder / "fd").iterdir())))
        status = (folder / "status").read_text()
        resident_mb = int(status.split("VmRSS:")[1].split()[0]) / 1024
        unread_mb = unread_bytes(self.front_port) / 2**20
        self.peak_mb = max(
            self.peak_mb, int(status.split("VmHWM:")[1].split()[0]) / 1024)
        self.unread_mb = max(self.unread_mb, unread_mb)
        self.both_mb = max(self.both_mb, resident_mb + unread_mb)

    def describe(self):
        return (f"peak {self.peak_mb:.0f} MB, unread {self.unread_mb:.1f} MB, "
                f"both {self.both_mb:.0f} MB, {self.descriptors} descriptors")

    def assert_within(self, memory_mb, descriptors=None):
        assert self.process.poll() is None, self.process.returncode
        assert self.peak_mb < memory_mb, self.describe()
        assert self.both_mb < memory_mb, self.describe()
        if descriptors:
            assert self.descriptors <= descriptors, self.describe()


def unread_bytes(port):
    """Returns the bytes that the kernel holds for connections to the port."""
    table = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = [line.split() for line in table]
    return sum(int(row[4].split(":")[1], 16) for row in rows
               if int(row[1].split(":")[1], 16) == port
               and row[3] != "0A")  # Not the listener: it counts connections.


def crowd_fleet(memory_mb=MEMORY_MB, **more):
    return PlatformFleet(routers=1, slots=1000, prepaid=100_000_000,
                         router_settings={"memory-mb": memory_mb}, **more)


def publish_limits(fleet, body_bytes=BODY_BYTES, header_bytes=8192,
                   idle_ms=120_000):
    """Lets a crowd stay for as long as the test lasts."""
    fleet.publish(limits={"maxHeaderBytes": header_bytes,
                          "maxBodyBytes": body_bytes,
                          "headerTimeoutMs": idle_ms,
                          "idleTimeoutMs": idle_ms})
    wait_until(lambda: fleet.metrics("router-0").get(
        "tamarack_configuration_version") == fleet.version, "the limits")


def answered(fleet, request_id):
    """True if an ordinary request gets its answer."""
    with contextlib.suppress(OSError):
        return fleet.call("router-0", "/lookup/a", request_id).status == 200
    return False


def assert_withstood(fleet, content, memory_mb=MEMORY_MB, descriptors=None,
                     meanwhile=None, **options):
    """Lets a crowd come and checks the process while it is there and after."""
    with MemoryWatch(fleet) as watch:
        with Crowd(fleet, content, **options) as crowd:
            wait_until(lambda: crowd.is_settled()
                       or watch.peak_mb > 2 * memory_mb
                       or watch.process.poll() is not None,
                       "the crowd has sent all that is taken")
            print(f"{crowd.describe()}; {watch.describe()}", flush=True)
            if meanwhile:
                meanwhile()
            wait_until(lambda: watch.process.poll() is not None
                       or answered(fleet, "beside"),
                       "an ordinary answer beside the crowd")
            watch.assert_within(memory_mb, descriptors)
        wait_until(lambda: watch.process.poll() is not None
                   or answered(fleet, "after"),
                   "an ordinary answer after the crowd")
        print(f"after: {crowd.describe()}; {watch.describe()}", flush=True)
        watch.assert_within(memory_mb, descriptors)


def withstand(content, header_bytes=8192, **options):
    with crowd_fleet() as fleet:
        publish_limits(fleet, header_bytes=header_bytes)
        assert_withstood(fleet, content, **options)


def whole_bodies_that_stop_short_fill_no_router():
    """Bodies of legal size come at once and stop one byte short."""
    withstand(all_but_one_byte, send_bytes=BODY_BYTES)


def bodies_in_pieces_that_stop_short_fill_no_router():
    """The same, all connections in turn a piece each."""
    withstand(all_but_one_byte, send_bytes=PIECE_BYTES)


def large_chunks_without_an_end_fill_no_router():
    """Bodies in large chunks, below the limit, without the last chunk."""
    withstand(large_chunks)


def tiny_chunks_without_an_end_fill_no_router():
    """The same in chunks of one byte."""
    withstand(tiny_chunks)


def bodies_announced_far_over_the_limit_fill_no_router():
    """The stated length is far over the limit; the bytes come anyway."""
    withstand(announced_far_over)


def bodies_sent_far_over_the_limit_fill_no_router():
    """Chunks come beyond the limit."""
    withstand(sent_far_over)


def heads_without_end_fill_no_router():
    """Heads come up to the limit of heads and stay open.

    Many more connections than of bodies, since each one holds less.
    """
    withstand(head_without_end, header_bytes=HEADER_BYTES, count=1000)


def unread_responses_fill_no_router():
    """Callers read nothing of long streams."""
    withstand(long_response, reads=False)


def callers_that_go_at_half_of_a_body_fill_no_router():
    """Callers close in the middle of a body, and others follow."""
    withstand(half_a_body, goes=True)


def a_crowd_while_the_store_is_away_fills_no_router():
    """The store stands still before the crowd comes."""
    with crowd_fleet() as fleet:
        publish_limits(fleet)
        assert answered(fleet, "before")
        fleet.processes["store"].send_signal(signal.SIGSTOP)
        assert_withstood(fleet, all_but_one_byte)


def a_crowd_during_a_graceful_stop_cuts_nothing_off():
    """The stop comes while the crowd and an ordinary request are there.

    The ordinary request is answered whole, the process ends by itself, and
    with the status of a graceful stop.
    """
    with crowd_fleet() as fleet, MemoryWatch(fleet) as watch:
        publish_limits(fleet)
        for name in ("desk-0", "desk-1"):
            fleet.control(fleet.runner_url(name), delay_ms=2_000)
        with Crowd(fleet, all_but_one_byte) as crowd:
            wait_until(lambda: crowd.is_settled() or watch.peak_mb > MEMORY_MB,
                       "the crowd has sent all that is taken")
            answers = []

            def ask():
                for number in range(100):
                    answer = fleet.call("router-0", "/lookup/a", f"a{number}")
                    if answer.status != 503:
                        return answers.append(answer.status)
                return None
            asking = threading.Thread(target=ask)
            asking.start()
            wait_until(lambda: not asking.is_alive() or any(
                fleet.running_requests(name) for name in ("desk-0", "desk-1")),
                "the ordinary request runs")
            print(f"{crowd.describe()}; {watch.describe()}", flush=True)
            process = fleet.processes["router-0"]
            assert process.poll() is None, process.returncode
            process.send_signal(signal.SIGTERM)
            asking.join()
            wait_until(lambda: process.poll() is not None, "its end")
        print(f"after: {crowd.describe()}; {watch.describe()}", flush=True)
        assert answers == [200], answers
        assert process.returncode == 0, process.returncode
        assert watch.peak_mb < MEMORY_MB, watch.describe()
        assert watch.both_mb < MEMORY_MB, watch.describe()


def idle_connections_leave_descriptors_for_work():
    """More connections come than the process has descriptors.

    Guards against a router that accepts until it can open none to endpoints.
    """
    with crowd_fleet(router_descriptors=MAX_DESCRIPTORS) as fleet:
        publish_limits(fleet)
        assert_withstood(fleet, nothing, count=IDLE_CROWD,
                         descriptors=MAX_DESCRIPTORS - SPARE_DESCRIPTORS)


def withstand_at(memory_mb, body_bytes, crowd):
    with crowd_fleet(memory_mb) as fleet:
        publish_limits(fleet, body_bytes=body_bytes)
        assert_withstood(fleet, all_but_one_byte, memory_mb=memory_mb,
                         count=crowd, size=body_bytes)
        assert_withstood(fleet, large_chunks, memory_mb=memory_mb,
                         count=crowd, size=body_bytes)


def a_small_instance_withstands_a_crowd():
    """The smallest instances as deployed, and bodies as deployed."""
    withstand_at(**SMALL_INSTANCE)


def a_large_instance_withstands_a_crowd():
    """The same for the largest instances."""
    withstand_at(**LARGE_INSTANCE)


def one_body_of_the_full_size_is_served_in_calm():
    """The bound refuses no request inside the limits, stated or in chunks."""
    size = SMALL_INSTANCE["body_bytes"]
    with crowd_fleet(SMALL_INSTANCE["memory_mb"]) as fleet:
        publish_limits(fleet, body_bytes=size)
        with MemoryWatch(fleet) as watch:
            for number in range(10):
                answer = fleet.call("router-0", "/sale/a", f"full-{number}",
                                    body=b"x" * size)
                assert answer.status == 200, answer.status
                received = fleet.raw("router-0", request_head(
                    f"chunked-{number}", "Connection: close",
                    "Transfer-Encoding: chunked")
                    + chunk(size // 64) * 64 + b"0\r\n\r\n")
                assert received.startswith(b"HTTP/1.1 200"), received[:100]
            print(watch.describe(), flush=True)
            watch.assert_within(SMALL_INSTANCE["memory_mb"])


SCENARIOS = [
    whole_bodies_that_stop_short_fill_no_router,
    bodies_in_pieces_that_stop_short_fill_no_router,
    large_chunks_without_an_end_fill_no_router,
    tiny_chunks_without_an_end_fill_no_router,
    bodies_announced_far_over_the_limit_fill_no_router,
    bodies_sent_far_over_the_limit_fill_no_router,
    heads_without_end_fill_no_router,
    unread_responses_fill_no_router,
    callers_that_go_at_half_of_a_body_fill_no_router,
    a_crowd_while_the_store_is_away_fills_no_router,
    a_crowd_during_a_graceful_stop_cuts_nothing_off,
    idle_connections_leave_descriptors_for_work,
    a_small_instance_withstands_a_crowd,
    a_large_instance_withstands_a_crowd,
    one_body_of_the_full_size_is_served_in_calm,
]
