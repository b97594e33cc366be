"""End-to-end tests of a stop that the router handles late or that changes.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client
import signal
import time

from harness import wait_until
from platform_fleet import PlatformFleet
from shutdown_scenarios import GRACE_S, KeptConnection, sleep_until, stop

EVENT_MS = 100  # Pause before each event of a stream.


def slow_events(fleet):
    for name in ("engine-0", "engine-1"):
        fleet.control(fleet.runner_url(name), event_ms=EVENT_MS)


def a_stop_counts_from_the_signal_also_if_it_is_handled_late():
    """A router that stands still at SIGTERM for 1 s ends within its grace.

    Guards against limits that count from the handling of the signal: a stream
    that is taken 3.2 s after SIGTERM, and a forced stop after the platform
    has killed the process.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        slow_events(fleet)
        before = KeptConnection(fleet, "router-0")
        before.send_stream("before", events=25)
        assert before.read_head() == 200
        router = fleet.processes["router-0"]
        router.send_signal(signal.SIGSTOP)
        router.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(1)
        router.send_signal(signal.SIGCONT)
        before.read_rest()
        sleep_until(stopped_at + 3.2)
        try:
            late = KeptConnection(fleet, "router-0")
            late.send_stream("late", events=70, deadline_ms=12_000)
            status = late.read_head()
            late.read_rest()
        except (OSError, http.client.HTTPException):
            status = "refused"  # The listener is closed.
        assert status in (503, "refused"), status
        assert router.wait(timeout=60) == 0
        ended = time.monotonic() - stopped_at
        assert ended < GRACE_S, ended
        assert "late" not in fleet.executions_by_request()
        begins = [line for line in fleet.log_lines("router-0")
                  if line["event"] == "stop_begins"]
        assert begins[0]["handled_late_ms"] >= 800, begins


def new_settings_do_not_move_a_stop_that_has_begun():
    """A call that was taken during a stop is not cut by a shorter grace.

    Guards against a forced stop that follows the settings of the moment while
    calls were admitted by the former ones.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        slow_events(fleet)
        caller = KeptConnection(fleet, "router-0")
        caller.send_stream("before", events=30)
        assert caller.read_head() == 200
        stop(fleet, "router-0")
        settings = fleet.folder / "router-0.settings"
        settings.write_text(settings.read_text().replace(
            f"grace-s = {GRACE_S}", f"grace-s = {GRACE_S - 3}"))
        fleet.processes["router-0"].send_signal(signal.SIGHUP)
        wait_until(lambda: any(line["event"] == "reload"
                               for line in fleet.log_lines("router-0")),
                   "the settings are read")
        caller.read_rest()
        caller.send_stream("late", events=20, deadline_ms=4_000)
        assert caller.read_head() == 200
        caller.read_rest()  # Raises if the answer is cut.


def a_call_that_is_taken_late_in_a_stop_has_money():
    """A stream after a pause on the last connection is served.

    Guards against a router that hands its tokens back while a caller may
    still send, and then refuses the call for want of them after a wait.
    """
    with PlatformFleet(routers=1, grace_s=GRACE_S) as fleet:
        slow_events(fleet)
        caller = KeptConnection(fleet, "router-0")
        caller.send_stream("before", events=40)
        assert caller.read_head() == 200
        stop(fleet, "router-0")
        caller.read_rest()
        time.sleep(0.18)  # Longer than a tick, less than the idle timeout.
        caller.send_stream("short", events=5, deadline_ms=2_000)
        status = caller.read_head()
        caller.read_rest()
        assert status == 200, status


SCENARIOS = [
    a_stop_counts_from_the_signal_also_if_it_is_handled_late,
    new_settings_do_not_move_a_stop_that_has_begun,
    a_call_that_is_taken_late_in_a_stop_has_money,
]
