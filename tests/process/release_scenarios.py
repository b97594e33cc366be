"""End-to-end tests of routers of two builds in one fleet.

The earlier build is that of a former landing, made from the repository's history
in a folder outside of the tree. Each function of SCENARIOS is one test. Its name
says what must hold.
"""
import collections
import contextlib
import fcntl
import json
import pathlib
import signal
import subprocess
import tempfile
import time

from harness import BIN, ROOT, http as send, wait_until
from old_list_scenarios import NOTICE_S, late_arrivals, leave
from path_proxy import CuttableFleet
from platform_fleet import DESK_HOST, STREAM_HOST
from recover_scenarios import (
    all_kinds, assert_billed_once, assert_ran_as_told, share_served)
from traffic import Traffic, outcomes

EARLIER = "1f98090"  # A former landing.
ROUTERS = 4
PREPAID = 60_000  # Tokens; more than are asked for are never spent.
SETTLED_S = 1.5  # From the start of a router until the others know it.
SERVED_SHARE = 0.98  # Of the requests, in calm and around planned restarts.
APPLIED_S = 3  # Until a new configuration is in force.


def earlier_build():
    """Returns the path of tamarackd of the earlier landing, built once."""
    folder = pathlib.Path(tempfile.gettempdir()) / f"tamarackd-{EARLIER}"
    folder.mkdir(exist_ok=True)
    program = folder / "build" / "tamarackd"
    with open(folder / "lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if not program.exists():
            build(folder)
    return program


def build(folder):
    source = folder / "source"
    source.mkdir(exist_ok=True)
    archive = subprocess.run(["git", "archive", EARLIER], cwd=ROOT, check=True,
                             capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", source], input=archive, check=True)
    subprocess.run(["cmake", "-S", source, "-B", folder / "build", "-G",
                    "Ninja", "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
                    "-DTAMARACK_TESTS=OFF"], check=True, capture_output=True)
    subprocess.run(["cmake", "--build", folder / "build", "--target",
                    "tamarackd"], check=True, capture_output=True)


class MixedFleet(CuttableFleet):
    """A fleet whose routers may be of the earlier build.

    rotation: names of the routers that get new requests.
    """

    def __init__(self, **options):
        self.earlier = earlier_build()
        super().__init__(["router-0", "router-1"], routers=ROUTERS,
                         router_settings={"leave-notice-ms": NOTICE_S * 1000},
                         **options)
        self.programs = {name: self.earlier for name in self.routers}
        self.rotation = list(self.routers)

    def start(self, name, command, descriptors=None):
        if name in self.routers:
            command = [self.programs[name]] + command[1:]
        super().start(name, command, descriptors)

    def replace(self, name, program):
        """Stops a router in order and starts another build in its place."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.responds(self.ready_url(name), 503),
                   name + " is not ready")
        self.rotation.remove(name)
        assert process.wait(timeout=30) == 0, name
        self.programs[name] = program
        self.start_router(name)
        self.wait_ready(name)
        self.rotation.append(name)
        time.sleep(SETTLED_S)

    def replace_all(self, program, between):
        """between: called with the number of routers that were replaced."""
        for number, name in enumerate(list(self.routers)):
            self.replace(name, program)
            between(number + 1)

    def spent_tokens(self):
        return sum(send("GET", self.runner_url(name) + "/stats").json()
                   ["tokens"].get("ring", 0) for name in self.runners)


def assert_rules_hold(fleet, results):
    """Calls run and are billed as they may, and planned restarts cut none."""
    for kind, every in results.items():
        print(f"{kind}: {outcomes(every)}", flush=True)
        cut = [r for r in every if r.status in ("broken", 200) and not r.whole]
        assert not cut, (kind, cut[:3])
        assert share_served(every) >= SERVED_SHARE, kind
    assert_ran_as_told(fleet, results)
    assert_billed_once(fleet)


def routers_of_two_builds_serve_side_by_side():
    """Routers are replaced one by one under load, and back again.

    Meanwhile a configuration is published and an endpoint leaves, each while
    both builds serve. Guards against records and messages that one build
    doesn't understand as the other one means them.
    """
    left = {}

    with MixedFleet(engines=3, desks=4) as fleet:
        def publish_and_leave(replaced):
            if replaced != ROUTERS // 2:
                return
            fleet.publish()
            version = fleet.version
            wait_until(lambda: all(
                fleet.metrics(name)["tamarack_configuration_version"] == version
                for name in fleet.routers), "version in force")
            name = f"desk-{len(left)}"
            left[name] = leave(fleet, name)
            time.sleep(NOTICE_S + 1)

        with Traffic(fleet, all_kinds()) as traffic:
            fleet.replace_all(BIN / "tamarackd", publish_and_leave)
            fleet.replace_all(fleet.earlier, publish_and_leave)
        assert len(left) == 2, left
        for name, left_at in left.items():
            late = late_arrivals(fleet, name, left_at)
            assert not late, (name, late)
        assert_rules_hold(fleet, traffic.results)


def two_builds_spend_no_more_than_is_prepaid():
    """Routers are replaced while an account spends its budget to the end."""
    with MixedFleet(engines=3, desks=1, prepaid=PREPAID) as fleet:
        statuses = collections.Counter()

        def spend(replaced):
            for number in range(40):
                router = fleet.rotation[number % len(fleet.rotation)]
                answer = fleet.stream(router, f"s-{replaced}-{number}-{router}",
                                      output=100, prompt=400)
                statuses[answer.status] += 1
        fleet.replace_all(BIN / "tamarackd", spend)
        fleet.replace_all(fleet.earlier, spend)
        spent = fleet.spent_tokens()
        print(f"spent {spent} of {PREPAID}, answers {dict(statuses)}",
              flush=True)
        assert spent <= PREPAID, spent
        assert spent >= 0.9 * PREPAID, spent
        assert statuses[402] > 0, statuses


def two_builds_forward_calls_to_each_other():
    """Each build in turn reaches no endpoint and serves through the other."""
    with MixedFleet(engines=3, desks=2) as fleet:
        for name in ("router-1", "router-2"):
            fleet.replace(name, BIN / "tamarackd")
        # router-0 and -3 are of the earlier build.
        for name in ("router-0", "router-1"):
            fleet.rotation = [name]
            fleet.cut([name], "reset")
            with Traffic(fleet, all_kinds()) as traffic:
                time.sleep(6)
            fleet.restore([name])
            for kind, every in traffic.results.items():
                late = [r for r in every
                        if r.sent_at > every[0].sent_at + APPLIED_S]
                print(f"{name} {kind}: {outcomes(late)}", flush=True)
                assert share_served(late) >= 0.9, (name, kind)
            time.sleep(1)
        forwarded = {(line["forwarded_by"], name)
                     for name in fleet.routers for line in fleet.log_lines(name)
                     if line["event"] == "call" and line["forwarded_by"]}
        print(f"forwarded by, to: {sorted(forwarded)}", flush=True)
        assert ("router-0", "router-1") in forwarded or (
            "router-0", "router-2") in forwarded
        assert ("router-1", "router-0") in forwarded or (
            "router-1", "router-3") in forwarded


SCENARIOS = [
    routers_of_two_builds_serve_side_by_side,
    two_builds_spend_no_more_than_is_prepaid,
    two_builds_forward_calls_to_each_other,
]
