"""End-to-end tests of routers whose list of endpoints is old.

An endpoint serves for some time after the store has accepted that it leaves,
and no request may reach it after that. A router learns of it by reading the
store. Each function of SCENARIOS is one test. Its name says what must hold.
"""
import base64
import collections
import concurrent.futures
import contextlib
import http.client
import itertools
import json
import signal
import threading
import time

from harness import Fleet, http as send, wait_until
from link_proxy import Link
from path_proxy import CuttableFleet, StoreProxy
from platform_fleet import DESK_HOST, PlatformFleet
from shutdown_scenarios import KeptConnection

NOTICE_S = 2  # leave-notice-ms of the routers.
LINK_MBPS = 2
LINK_BYTES_PER_S = LINK_MBPS * 125_000
# Callers that send as much as they can, one request after the other.
CALLERS = 48
BODY_BYTES = 12_000
QUEUED_S = 1.2  # Delay of the link from which on reads of the store time out.
OPENING_WORK_MS = 500  # Duration of a run while connections are opened.
LOADED_S = 8  # Time under load after an endpoint has left.
STANDSTILL_S = 4
KEPT_CALLERS = 12
CUT_OFF_S = 6
DAEMON_WORK_MS = 2_500  # Duration of a run at a plain service.
WAITING_CALLS = 12  # More than two such services take at a time.
ROUTER_WORK_MS = 2_500  # Duration of a run at a runner.
BROKEN_CALLS = 24  # To three runners, of which one dies.
AUTHORIZATION = {"Authorization": "Bearer key-ring"}


def leave(fleet, name):
    """An endpoint registers that it leaves; returns when, as Unix time.

    The store has the entry at the latest by then.
    """
    fleet.control(fleet.runner_url(name), leave=1)
    wait_until(lambda: is_leaving(fleet, name), name + " leaves")
    return time.time()


def is_leaving(fleet, name):
    """True if the store's entry of a runner says that it leaves."""
    page = send("GET", fleet.store + "/-/log-newest?topic=keyed.servers&part=0",
                headers={"X-Operator": "1"}).json()
    for item in page["items"]:
        if item["key"] == name:
            entry = json.loads(base64.b64decode(item["value"]))
            return entry["state"] != "ready"
    return False


def late_arrivals(fleet, name, left_at):
    """Returns how late requests reached a runner that leaves, in s."""
    return [round(at - left_at, 2) for at in fleet.arrivals(name)
            if at > left_at + NOTICE_S]


class LinkedFleet(PlatformFleet):
    """A fleet whose only router has one slow link to all others."""

    def __init__(self, **options):
        super().__init__(routers=1, router_settings={
            "leave-notice-ms": NOTICE_S * 1000, "link-mbps": LINK_MBPS},
            **options)
        self.link = Link(LINK_BYTES_PER_S)
        runners = {port: self.link.port_to(port, True)
                   for _, port in self.runners.values()}
        store = StoreProxy(self.store_port, runners)
        self.router_store_port = self.link.port_to(store.port, True)
        self.front_port = self.link.port_to(self.routers["router-0"][0], False)


class Uploads(contextlib.AbstractContextManager):
    """Callers that send requests with bodies, each on one connection."""

    def __init__(self, port):
        self.port = port
        self.ending = threading.Event()
        self.statuses = collections.Counter()
        self.threads = [threading.Thread(target=self.send_all, args=(number,))
                        for number in range(CALLERS)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def send_all(self, caller):
        connection = http.client.HTTPConnection("127.0.0.1", self.port,
                                                timeout=30)
        for number in itertools.count():
            if self.ending.is_set():
                return
            try:
                connection.request(
                    "POST", "/lookup/x", body="x" * BODY_BYTES, headers={
                        "Host": DESK_HOST, "Key": "key-ring",
                        "Attempt-Id": f"upload-{caller}-{number}",
                        "Deadline-Ms": "8000"})
                response = connection.getresponse()
                response.read()
                self.statuses[response.status] += 1
            except (OSError, http.client.HTTPException):
                connection.close()


def open_connections(fleet):
    """Lets the router open connections to all runners, which it keeps."""
    for name in fleet.runners:
        fleet.control(fleet.runner_url(name), delay_ms=OPENING_WORK_MS)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(lambda number: fleet.call(
            "router-0", "/lookup/x", f"opening-{number}"), range(CALLERS)))
    for name in fleet.runners:
        fleet.control(fleet.runner_url(name), delay_ms=0)


def a_router_whose_link_is_full_sends_nothing_by_an_old_list():
    """Callers fill the link over which the router also reads the store.

    Guards against requests that reach an endpoint seconds after it has said
    that it leaves: answers of the store waited in the queue of the link for
    longer than the router waited for them, and it went on by an old list.
    """
    with LinkedFleet(engines=0, desks=2) as fleet:
        open_connections(fleet)
        with Uploads(fleet.front_port) as uploads:
            wait_until(lambda: fleet.link.delay_s() > QUEUED_S, "a full link")
            left_at = leave(fleet, "desk-0")
            time.sleep(LOADED_S)
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late[:9]} of {len(late)}, "
              f"answers: {dict(uploads.statuses)}", flush=True)
        assert not late, late


def a_router_whose_link_is_full_is_not_ready_until_it_no_longer_is():
    """It refuses calls, so that new ones had better come to other routers.

    Guards against callers who are refused and come back to the same router,
    and against one that stays out of use.
    """
    with LinkedFleet(engines=0, desks=2) as fleet:
        ready = fleet.ready_url("router-0")
        with Uploads(fleet.front_port):
            wait_until(lambda: fleet.responds(ready, 503), "not ready")
        wait_until(lambda: fleet.link.queued_bytes == 0, "an idle link")
        wait_until(lambda: fleet.responds(ready, 200), "ready")
        wait_until(lambda: fleet.call("router-0", "/lookup/x", "after"
                                      ).status == 200, "service")


def send_to_standing_router(fleet, router, count):
    """Sends requests on kept connections to a router that is stopped."""
    callers = [KeptConnection(fleet, router) for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.send("/lookup/x", f"first-{number}")
        assert caller.read_head() == 200
        caller.read_rest()
    fleet.processes[router].send_signal(signal.SIGSTOP)
    for number, caller in enumerate(callers):
        caller.send("/lookup/x", f"second-{number}")
    return callers


def a_router_that_stood_still_sends_nothing_by_its_old_list():
    """Requests wait in the sockets of a router that stands still for seconds.

    Guards against a choice, or a send, by what was known before.
    """
    with PlatformFleet(routers=1, engines=0, desks=2) as fleet:
        callers = send_to_standing_router(fleet, "router-0", KEPT_CALLERS)
        left_at = leave(fleet, "desk-0")
        time.sleep(STANDSTILL_S)
        fleet.processes["router-0"].send_signal(signal.SIGCONT)
        statuses = collections.Counter(c.read_head() for c in callers)
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late}, answers: {dict(statuses)}", flush=True)
        assert not late, late
        assert statuses[200] == KEPT_CALLERS, statuses


def a_router_that_is_cut_off_from_the_store_serves_by_its_list():
    """The store and all other routers are out of reach for seconds."""
    with PlatformFleet(routers=1, engines=0, desks=2) as fleet:
        for mode in ("silent", "down"):
            fleet.control(fleet.store, mode=mode)
            cut_at = time.monotonic()
            statuses = collections.Counter()
            for number in itertools.count():
                if time.monotonic() - cut_at > CUT_OFF_S:
                    break
                statuses[fleet.call("router-0", "/lookup/x",
                                    f"{mode}-{number}").status] += 1
                time.sleep(0.02)
            fleet.control(fleet.store, mode="ok")
            print(f"{mode}: {dict(statuses)}", flush=True)
            assert set(statuses) == {200}, (mode, statuses)


def a_forwarded_call_reaches_no_endpoint_by_an_old_list():
    """The instance that places calls of another one has stood still.

    Guards against the old list of an instance that is not the caller's.
    """
    with CuttableFleet(["router-0"], routers=2, engines=0, desks=2) as fleet:
        fleet.cut(["router-0"], "reset")
        wait_until(lambda: fleet.call("router-0", "/lookup/x", "before"
                                      ).status == 200, "a forwarded call")
        fleet.processes["router-1"].send_signal(signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(KEPT_CALLERS) as pool:
            calls = [pool.submit(fleet.call, "router-0", "/lookup/x",
                                 f"during-{number}")
                     for number in range(KEPT_CALLERS)]
            left_at = leave(fleet, "desk-0")
            time.sleep(STANDSTILL_S)
            fleet.processes["router-1"].send_signal(signal.SIGCONT)
            statuses = collections.Counter(c.result().status for c in calls)
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late}, answers: {dict(statuses)}", flush=True)
        assert not late, late


def a_second_attempt_reaches_no_endpoint_by_an_old_list():
    """An endpoint dies under calls while their router stands still.

    Guards against repeats that begin, once the router goes on, before it has
    read the list again.
    """
    with PlatformFleet(routers=1, engines=0, desks=3) as fleet:
        for name in fleet.runners:
            fleet.control(fleet.runner_url(name), delay_ms=ROUTER_WORK_MS)
        with concurrent.futures.ThreadPoolExecutor(BROKEN_CALLS) as pool:
            calls = [pool.submit(fleet.call, "router-0", "/lookup/x",
                                 f"call-{number}")
                     for number in range(BROKEN_CALLS)]
            wait_until(lambda: sum(fleet.running_requests(name)
                                   for name in fleet.runners) == BROKEN_CALLS,
                       "calls in progress")
            fleet.processes["router-0"].send_signal(signal.SIGSTOP)
            fleet.processes["desk-2"].kill()
            left_at = leave(fleet, "desk-0")
            time.sleep(STANDSTILL_S)
            fleet.processes["router-0"].send_signal(signal.SIGCONT)
            statuses = collections.Counter(c.result().status for c in calls)
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late}, answers: {dict(statuses)}", flush=True)
        assert not late, late


def an_address_that_another_endpoint_uses_now_runs_nothing_of_the_former():
    """A runner leaves while a router stands still, another takes its port."""
    with PlatformFleet(routers=1, engines=0, desks=2) as fleet:
        callers = send_to_standing_router(fleet, "router-0", KEPT_CALLERS)
        fleet.processes["desk-0"].terminate()
        fleet.processes["desk-0"].wait()
        fleet.runners["engine-9"] = ("engine", fleet.runners["desk-0"][1])
        fleet.zones["engine-9"] = "zone-a"
        fleet.start_runner("engine-9")
        time.sleep(STANDSTILL_S)
        fleet.processes["router-0"].send_signal(signal.SIGCONT)
        statuses = collections.Counter(c.read_head() for c in callers)
        ran = send("GET", fleet.runner_url("engine-9") + "/stats").json()
        print(f"answers: {dict(statuses)}, ran {ran['each']}", flush=True)
        assert not ran["each"], ran
        assert statuses[200] == KEPT_CALLERS, statuses


def a_router_that_stops_sends_nothing_by_an_old_list():
    """A router that stood still is asked to stop before it goes on."""
    with PlatformFleet(routers=1, engines=0, desks=2) as fleet:
        callers = send_to_standing_router(fleet, "router-0", KEPT_CALLERS)
        left_at = leave(fleet, "desk-0")
        fleet.processes["router-0"].send_signal(signal.SIGTERM)
        time.sleep(STANDSTILL_S)
        fleet.processes["router-0"].send_signal(signal.SIGCONT)
        statuses = collections.Counter(c.read_head() for c in callers)
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late}, answers: {dict(statuses)}", flush=True)
        assert not late, late


def a_slow_router_sends_nothing_by_an_old_list():
    """A router gets a twentieth of the processor time, under traffic."""
    with PlatformFleet(routers=1, engines=0, desks=2) as fleet:
        ending = threading.Event()

        def slow_down():
            while not ending.is_set():
                fleet.processes["router-0"].send_signal(signal.SIGSTOP)
                time.sleep(0.38)
                fleet.processes["router-0"].send_signal(signal.SIGCONT)
                time.sleep(0.02)
        slowing = threading.Thread(target=slow_down)
        slowing.start()
        try:
            with Uploads(fleet.routers["router-0"][0]) as uploads:
                time.sleep(1)
                left_at = leave(fleet, "desk-0")
                time.sleep(LOADED_S)
        finally:
            ending.set()
            slowing.join()
        late = late_arrivals(fleet, "desk-0", left_at)
        print(f"late by s: {late[:9]} of {len(late)}, "
              f"answers: {dict(uploads.statuses)}", flush=True)
        assert not late, late


class DrainedFleet(Fleet):
    """One daemon and two plain services, of which one is then drained."""

    def __init__(self, slots):
        super().__init__(zones=1, daemons=1, engines=0, services=2)
        self.slots = slots

    def document(self, **changes):
        document = super().document(**changes)
        for endpoint in document["endpoints"]:
            endpoint["slots"] = self.slots
        return document

    def drain_first(self):
        document = self.document()
        document["endpoints"][0]["draining"] = True
        self.publish(document)

    def executions(self):
        """Returns how often the drained service has executed requests."""
        return self.stats(self.services[0])["runs"]

    def call(self):
        return send("GET", self.url("daemon-0") + "/services/lookups/x", None,
                    AUTHORIZATION)


def a_request_that_waits_at_a_daemon_reaches_no_drained_endpoint():
    """All endpoints are full, and one of them is drained meanwhile.

    Guards against a choice by the configuration in force when the request came.
    """
    with DrainedFleet(slots=1) as fleet:
        for url in fleet.services:
            fleet.control(url, delay_ms=DAEMON_WORK_MS)
        with concurrent.futures.ThreadPoolExecutor(WAITING_CALLS) as pool:
            calls = [pool.submit(fleet.call) for _ in range(WAITING_CALLS)]
            wait_until(lambda: all(
                send("GET", url + "/load").json()["running"] > 0
                for url in fleet.services), "full services")
            fleet.drain_first()
            wait_until(lambda: fleet.status("daemon-0")["config_version"] == 2,
                       "version in force")
            executions = fleet.executions()
            statuses = collections.Counter(c.result().status for c in calls)
        print(f"{executions} before, {fleet.executions()} at the end, "
              f"answers: {dict(statuses)}", flush=True)
        assert sum(statuses.values()) > executions, "no request has waited"
        assert fleet.executions() == executions


def a_daemon_that_stood_still_sends_nothing_by_an_old_configuration():
    """An endpoint is drained while a daemon stands still."""
    with DrainedFleet(slots=64) as fleet:
        assert fleet.call().status == 200
        fleet.signal("daemon-0", signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(KEPT_CALLERS) as pool:
            calls = [pool.submit(fleet.call) for _ in range(KEPT_CALLERS)]
            fleet.drain_first()
            executions = fleet.executions()
            time.sleep(STANDSTILL_S)
            fleet.signal("daemon-0", signal.SIGCONT)
            statuses = collections.Counter(c.result().status for c in calls)
        print(f"{executions} before, {fleet.executions()} at the end, "
              f"answers: {dict(statuses)}", flush=True)
        assert fleet.executions() == executions
        assert statuses[200] == KEPT_CALLERS, statuses


SCENARIOS = [
    a_router_whose_link_is_full_sends_nothing_by_an_old_list,
    a_router_whose_link_is_full_is_not_ready_until_it_no_longer_is,
    a_router_that_stood_still_sends_nothing_by_its_old_list,
    a_router_that_is_cut_off_from_the_store_serves_by_its_list,
    a_forwarded_call_reaches_no_endpoint_by_an_old_list,
    a_second_attempt_reaches_no_endpoint_by_an_old_list,
    an_address_that_another_endpoint_uses_now_runs_nothing_of_the_former,
    a_router_that_stops_sends_nothing_by_an_old_list,
    a_slow_router_sends_nothing_by_an_old_list,
    a_request_that_waits_at_a_daemon_reaches_no_drained_endpoint,
    a_daemon_that_stood_still_sends_nothing_by_an_old_configuration,
]
