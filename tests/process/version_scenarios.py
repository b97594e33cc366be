"""End-to-end tests of streams while endpoints of two software versions serve.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import concurrent.futures
import re
import signal
import socket
import time

from harness import wait_until
from platform_fleet import STREAM_HOST, PlatformFleet

EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: (\S+))?\n\n")
EVENT_MS = 100  # Pause between events of a stream that is to be broken off.
OUTPUT = 60  # Events of such a stream: 6 s.
STREAMS = 12
UNDER_WAY_S = 2  # From the first event until the streams are broken off.
AT_ONCE_S = 1  # Until the answer to a stream that can't go on.


def versions_of(data):
    """Returns the software versions of the events in a response."""
    return {(version or b"v1").decode() for _, version in EVENT.findall(data)}


class Stream:
    """What a caller has of one stream, over its attempts."""

    def __init__(self, fleet, request_id):
        self.fleet = fleet
        self.id = request_id
        self.data = b""

    def begin(self, router):
        """Requests the stream and reads until the connection ends."""
        self.data += self.read(router, self.id)

    def take_up(self, router, **more):
        """Requests the rest of the stream. Returns the status."""
        last = EVENT.findall(self.data)[-1][0].decode()
        data = self.read(router, self.id + "-again",
                         **{"Resumes": self.id, "Last-Event-Id": last, **more})
        status = int(data.split(b" ", 2)[1]) if data else "broken"
        if status == 200:
            self.data += data
        return status

    def read(self, router, request_id, **more):
        fields = {"Host": STREAM_HOST, "Attempt-Id": request_id,
                  "Key": "key-ring", "Deadline-Ms": "8000",
                  "Token-Count": f"100,{OUTPUT}", "Content-Length": "0",
                  "Connection": "close", **more}
        head = "".join(f"{name}: {value}\r\n"
                       for name, value in fields.items() if value is not None)
        received = b""
        address = ("127.0.0.1", self.fleet.routers[router][0])
        try:
            with socket.create_connection(address, timeout=30) as connection:
                connection.sendall(f"POST /stream/x HTTP/1.1\r\n{head}\r\n"
                                   .encode())
                while chunk := connection.recv(65536):
                    received += chunk
        except OSError:
            pass  # The router was killed; what has arrived counts.
        return received

    def is_whole(self):
        return [int(n) for n, _ in EVENT.findall(self.data)] == list(
            range(1, OUTPUT + 1))


def start_in_version(fleet, names, software):
    """Starts runners of the fleet again, in a version of their software."""
    for name in names:
        fleet.software[name] = software
        fleet.processes[name].kill()
        fleet.restart_runner(name)


def await_versions(fleet):
    """Waits until the routers have read the entries of all runners."""
    time.sleep(2)
    wait_until(lambda: all(fleet.endpoint_count(name) == len(fleet.runners)
                           for name in fleet.routers), "all endpoints")


def break_off_streams(fleet, pool, kill):
    """Begins streams at all routers and calls kill while they are under way.

    Returns the streams of which the callers have events.
    """
    for name, (service, _) in fleet.runners.items():
        if service == "engine":
            fleet.control(fleet.runner_url(name), event_ms=EVENT_MS)
    routers = list(fleet.routers)
    streams = [Stream(fleet, f"s{n}") for n in range(STREAMS)]
    begun = [pool.submit(stream.begin, routers[n % len(routers)])
             for n, stream in enumerate(streams)]
    time.sleep(UNDER_WAY_S)
    kill()
    for one in begun:
        one.result()
    return [stream for stream in streams if versions_of(stream.data)]


def restart_all_routers(fleet):
    for name in fleet.routers:
        fleet.processes[name].send_signal(signal.SIGKILL)
        fleet.processes[name].wait()
    for name in fleet.routers:
        fleet.start_router(name)
    for name in fleet.routers:
        fleet.wait_ready(name)
    wait_until(lambda: all(fleet.endpoint_count(name) > 0
                           for name in fleet.routers), "endpoints")


def a_response_holds_events_of_one_version():
    """A stream that breaks goes on at an endpoint of its own version.

    Guards against responses that are joined from two versions, and against
    streams that are given up although an endpoint of their version serves.
    """
    # The retries that the fleet may make are not what is tested.
    with PlatformFleet(routers=1, engines=4, desks=1,
                       repeat_slack=1_000) as fleet:
        start_in_version(fleet, ["engine-2", "engine-3"], "v2")
        await_versions(fleet)
        engines = [f"engine-{n}" for n in range(4)]
        mixed, whole, seen = [], 0, set()
        for number in range(40):
            for name in engines:
                fleet.control(fleet.runner_url(name), cut=0)
            fleet.control(fleet.runner_url(engines[number % 4]), cut=1)
            body = fleet.stream("router-0", f"c{number}").body
            whole += len(EVENT.findall(body)) == 10
            seen |= versions_of(body)
            if len(versions_of(body)) > 1:
                mixed.append(number)
        assert not mixed, mixed
        assert whole == 40, whole
        assert seen == {"v1", "v2"}, seen


def streams_are_taken_up_at_their_version_after_all_routers_were_killed():
    """Callers take streams up at routers that did not begin them.

    Guards against streams that go on at another version because the routers
    that knew it are gone, and against streams that are refused then.
    """
    with PlatformFleet(routers=3, engines=4, desks=1) as fleet, \
            concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        start_in_version(fleet, ["engine-2", "engine-3"], "v2")
        await_versions(fleet)
        streams = break_off_streams(fleet, pool,
                                    lambda: restart_all_routers(fleet))
        assert len(streams) == STREAMS, len(streams)
        began = set().union(*(versions_of(one.data) for one in streams))
        assert began == {"v1", "v2"}, began
        routers = list(fleet.routers)
        statuses = list(pool.map(
            lambda n: streams[n].take_up(routers[(n + 1) % len(routers)]),
            range(STREAMS)))
        mixed = [one.id for one in streams if len(versions_of(one.data)) > 1]
        assert not mixed, mixed
        assert statuses == [200] * STREAMS, statuses
        assert all(one.is_whole() for one in streams)


def a_stream_whose_version_has_left_is_refused():
    """No endpoint of the version that began the streams serves any more.

    The routers that start see a single version, which proves nothing: the
    others left a moment ago. Guards against streams that go on there.
    """
    with PlatformFleet(routers=2, engines=4, desks=1) as fleet, \
            concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        def release_and_restart():
            start_in_version(fleet, [f"engine-{n}" for n in range(4)], "v2")
            restart_all_routers(fleet)
        streams = break_off_streams(fleet, pool, release_and_restart)
        assert len(streams) == STREAMS, len(streams)
        await_versions(fleet)
        started = time.monotonic()
        statuses = list(pool.map(
            lambda n: streams[n].take_up(f"router-{n % 2}"), range(STREAMS)))
        took = time.monotonic() - started
        mixed = [one.id for one in streams if len(versions_of(one.data)) > 1]
        assert not mixed, mixed
        assert set(statuses) == {503}, statuses
        assert took < AT_ONCE_S, took
        fresh = fleet.stream("router-0", "fresh")
        assert fresh.status == 200 and versions_of(fresh.body) == {"v2"}


def a_stream_that_nobody_knows_is_refused_at_once():
    """What can't be continued safely is refused as not run, and logged.

    Guards against a stream whose rest is sent although it is not known which
    version began it, and against callers that wait for that refusal.
    """
    with PlatformFleet(routers=2, engines=2, desks=1) as fleet:
        def rest(number, path="/stream/x", **fields):
            started = time.monotonic()
            answer = fleet.call("router-0", path, f"r{number}",
                                host=STREAM_HOST, Token_Count="100,10",
                                **fields)
            assert time.monotonic() - started < AT_ONCE_S
            kind = "" if answer.status == 200 else answer.error()["kind"]
            return answer.status, kind
        unknown = rest(1, Resumes="nobody", Last_Event_Id="3")
        assert unknown == (503, "stream_unknown"), unknown
        unnamed = rest(2, Last_Event_Id="3")
        assert unnamed == (503, "stream_unknown"), unnamed
        # Without an event that the caller has, there is nothing to continue.
        assert rest(3, Resumes="nobody") == (200, "")
        once = rest(4, "/stream/once/x", Resumes="nobody", Last_Event_Id="3")
        assert once == (400, "invalid_request"), once
        fleet.control(fleet.store, mode="down")
        away = rest(5, Resumes="nobody", Last_Event_Id="3")
        assert away == (503, "stream_unknown"), away

        def origins():
            return [line["origin"] for line in fleet.log_lines("router-0")
                    if line["event"] == "stream_taken_up"]
        # A response is sent before its line is written.
        wait_until(lambda: len(origins()) >= 2, "both lines")
        assert origins() == ["unknown", "unknown"], origins()
        executions = fleet.executions_by_request()
        assert set(executions) == {"r3"}, executions


def an_instance_out_of_step_joins_no_two_versions():
    """Engines start again in another version while no router reads the list.

    Their ids and ports stay, so that the list of the routers names the version
    before. Streams are broken off, by their endpoint within a response and by
    their router for the caller. Guards against streams that go on at an engine
    of another version, because the router takes it for one of theirs.
    """
    with PlatformFleet(routers=2, engines=4, desks=1,
                       repeat_slack=1_000) as fleet, \
            concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        fleet.control(fleet.store, servers_down=1)
        start_in_version(fleet, ["engine-0", "engine-1"], "v2")
        time.sleep(3)  # The lists of the routers are old now.

        def kill():
            for name in ("engine-0", "engine-2"):
                fleet.processes[name].kill()
        streams = break_off_streams(fleet, pool, kill)
        began = set().union(*(versions_of(one.data) for one in streams))
        assert began == {"v1", "v2"}, began
        statuses = list(pool.map(
            lambda n: streams[n].is_whole() or streams[n].take_up(
                f"router-{(n + 1) % 2}"), range(len(streams))))
        mixed = [one.id for one in streams if len(versions_of(one.data)) > 1]
        print(f"{len(streams)} streams, statuses {statuses}, mixed {mixed}",
              flush=True)
        assert not mixed, mixed


SCENARIOS = [
    an_instance_out_of_step_joins_no_two_versions,
    a_response_holds_events_of_one_version,
    streams_are_taken_up_at_their_version_after_all_routers_were_killed,
    a_stream_whose_version_has_left_is_refused,
    a_stream_that_nobody_knows_is_refused_at_once,
]
