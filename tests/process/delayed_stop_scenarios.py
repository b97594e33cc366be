"""End-to-end tests of a stop that the router handles late or that changes.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import concurrent.futures
import http.client
import signal
import time

from harness import wait_until
from platform_fleet import PlatformFleet
from shutdown_scenarios import GRACE_S, KeptConnection, sleep_until, stop

EVENT_MS = 100  # Pause before each event of a stream.
SHORT_GRACE_S = 2


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


def a_stop_fits_into_a_short_grace_time():
    """With a grace of 2 s a call that outlasts it gets its final answer.

    Guards against a router that takes requests for longer than its grace
    allows, and is killed with them before it gives them up.
    """
    with PlatformFleet(routers=1, desks=1, grace_s=SHORT_GRACE_S) as fleet:
        fleet.control(fleet.runner_url("desk-0"), delay_ms=10_000)
        caller = KeptConnection(fleet, "router-0")
        caller.send("/sale/x", "before", deadline_ms=20_000)
        wait_until(lambda: fleet.received_requests("desk-0") == 1, "it is sent")
        stopped_at = time.monotonic()
        fleet.processes["router-0"].send_signal(signal.SIGTERM)
        sleep_until(stopped_at + 0.7 * SHORT_GRACE_S)
        try:
            late = KeptConnection(fleet, "router-0")
            late.send("/sale/x", "late", deadline_ms=20_000)
            status = late.read_head()
        except (OSError, http.client.HTTPException):
            status = "refused"  # The listener is closed.
        assert status in (503, "refused"), status
        assert caller.read_head() == 504
        caller.read_rest()
        assert fleet.processes["router-0"].wait(timeout=60) == 0
        ended = time.monotonic() - stopped_at
        assert ended < SHORT_GRACE_S, ended
        assert "late" not in fleet.executions_by_request()


def outcome_of(connection, send):
    """Sends a request; returns its status or how the connection ended."""
    try:
        send(connection)
        status = connection.read_head()
        connection.read_rest()
        return status
    except ConnectionRefusedError:
        return "refused"
    except (OSError, http.client.HTTPException) as error:
        return repr(error)


def what_is_sent_during_a_stop_is_answered():
    """Callers send through the whole grace, on new and on kept connections.

    Sales take longer than what is left of the grace. Guards against requests
    that come late in it, are passed on, and are cut without an answer, among
    them such that may not be repeated.
    """
    with PlatformFleet(routers=1, desks=2, grace_s=GRACE_S) as fleet, \
            concurrent.futures.ThreadPoolExecutor(120) as pool:
        slow_events(fleet)
        for name in ("desk-0", "desk-1"):
            fleet.control(fleet.runner_url(name), delay_ms=3_000)
        kept = [KeptConnection(fleet, "router-0") for _ in range(12)]
        for number, caller in enumerate(kept):
            caller.send_stream(f"before-{number}", events=10 + 5 * number)
        for caller in kept:
            assert caller.read_head() == 200
        stopped_at = time.monotonic()
        fleet.processes["router-0"].send_signal(signal.SIGTERM)

        def on_kept(number):
            kept[number].read_rest()
            return outcome_of(kept[number], lambda caller: caller.send(
                "/sale/x", f"kept-{number}", deadline_ms=8_000))

        def on_new(number):
            sleep_until(stopped_at + 0.1 * number)
            try:
                caller = KeptConnection(fleet, "router-0")
            except ConnectionRefusedError:
                return "refused"
            return outcome_of(caller, lambda caller: caller.send(
                "/sale/x", f"new-{number}", deadline_ms=8_000))

        outcomes = {f"kept-{n}": pool.submit(on_kept, n)
                    for n in range(len(kept))}
        outcomes.update({f"new-{n}": pool.submit(on_new, n)
                         for n in range(int(10 * GRACE_S))})
        outcomes = {name: one.result() for name, one in outcomes.items()}
        assert fleet.processes["router-0"].wait(timeout=60) == 0
        assert time.monotonic() - stopped_at < GRACE_S
        executions = fleet.executions_by_request()
        print(collections.Counter(outcomes.values()), flush=True)
        assert set(outcomes.values()) <= {200, 503, 504, "refused"}, outcomes
        not_run = [name for name, outcome in outcomes.items()
                   if outcome in (503, "refused")]
        assert not set(not_run) & set(executions), executions
        # A sale sent after the listener has closed is not begun.
        late = [f"new-{n}" for n in range(30, int(10 * GRACE_S))]
        assert not set(late) & set(executions), executions


SCENARIOS = [
    a_stop_fits_into_a_short_grace_time,
    what_is_sent_during_a_stop_is_answered,
    a_stop_counts_from_the_signal_also_if_it_is_handled_late,
    new_settings_do_not_move_a_stop_that_has_begun,
    a_call_that_is_taken_late_in_a_stop_has_money,
]
