"""End-to-end tests of settings, and of configurations that reach a router late.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client
import subprocess
import time

from harness import BIN, wait_until
from platform_fleet import DESK_HOST, PlatformFleet, idle_path
from platform_scenarios import CONFIGURATION_BOUND_S

SLOW_KB_PER_S = 200  # Of responses of the store, on each connection.
LARGE_ROUTES = 3_000  # A configuration of about 600 KB: 3 s at that rate.
LONG_POLL_S = 1.5  # A read that was waiting before has ended by then.
WATCH_S = 6  # After the bound; the page and the trust in it have ended then.


def a_page_that_arrives_late_denies_no_newer_route():
    """404 is said only by a version that is known to be in force.

    A page with one version is on its way while the next one is acknowledged,
    so it is older than it looks when it arrives. Guards against an age of the
    configuration that is counted from the arrival of a page instead of from
    the request for it.
    """
    with PlatformFleet(routers=1) as fleet:
        fleet.control(fleet.store, kb_per_s=SLOW_KB_PER_S)
        time.sleep(LONG_POLL_S)  # The rate holds for reads from now on.
        fleet.publish(idle_routes=LARGE_ROUTES)
        time.sleep(0.3)  # The router has asked and gets this version.
        fleet.publish(idle_routes=LARGE_ROUTES + 1)
        published = time.monotonic()
        new_route = idle_path(LARGE_ROUTES)
        late_denials = []
        for number in range(1_000):
            sent_s = time.monotonic() - published
            if sent_s > CONFIGURATION_BOUND_S + WATCH_S:
                break
            status = fleet.call("router-0", new_route, f"c{number}",
                                method="GET", body=None).status
            if sent_s > CONFIGURATION_BOUND_S and status in (401, 403, 404):
                late_denials.append((round(sent_s, 2), status))
            time.sleep(0.05)
        wait_until(lambda: fleet.call(
            "router-0", new_route, "last", method="GET",
            body=None).status == 200, "the version")
        assert not late_denials, late_denials


def an_unreadable_version_denies_no_route():
    """While the newest version can't be read, no route is called unknown.

    Guards against a router that takes an older version for the newest one
    because a record has arrived that it could not decode.
    """
    with PlatformFleet(routers=1) as fleet:
        def status():
            return fleet.call("router-0", "/unknown/", "u", method="GET",
                              body=None).status
        assert status() == 404
        fleet.append_configuration(b'{"version": 4, "routes": ')
        wait_until(lambda: fleet.metrics("router-0").get(
            "tamarack_unreadable_records_total", 0) > 0, "the record")
        assert status() == 503
        assert fleet.call("router-0", "/lookup/x", "l", method="GET",
                          body=None).status == 200
        fleet.publish()
        wait_until(lambda: fleet.metrics("router-0")[
            "tamarack_configuration_version"] == fleet.version, "the version")
        assert status() == 404


def taking_the_last_account_away_closes_all_routes():
    """A version has an empty list of accounts; then one has the account again.

    Guards against routers that take an empty list for none, and then let
    everybody in, also on connections that are open.
    """
    with PlatformFleet(routers=2) as fleet:
        kept = {name: http.client.HTTPConnection("127.0.0.1", ports[0])
                for name, ports in fleet.routers.items()}

        def statuses(tag):
            found = set()
            for name, connection in kept.items():
                for key in ("key-ring", "never-held", "", None):
                    fields = {"Host": DESK_HOST, "Deadline-Ms": "8000",
                              "Attempt-Id": f"{tag}-{name}-{key}"}
                    if key is not None:
                        fields["Key"] = key
                    connection.request("POST", "/sale/a", "x", fields)
                    answer = connection.getresponse()
                    answer.read()
                    found.add((key, answer.status))
            return found

        denied = {(key, 401) for key in ("never-held", "", None)}
        assert statuses("before") == denied | {("key-ring", 200)}
        fleet.publish(tenants=[])
        time.sleep(CONFIGURATION_BOUND_S)
        assert statuses("none") == denied | {("key-ring", 401)}
        executed = fleet.executions_by_request()
        assert not [one for one in executed if one.startswith("none-")], (
            executed)
        fleet.publish()
        time.sleep(CONFIGURATION_BOUND_S)
        assert statuses("again") == denied | {("key-ring", 200)}


def a_router_that_has_no_usable_name_does_not_start():
    """Names are parts of keys in the store.

    Guards against records under another key than the one that is read.
    """
    for name in ("", "lost/router-1", "n" * 201):
        result = subprocess.run(
            [BIN / "tamarackd", "router", "--instance", name, "--zone", "z",
             "--front-address", "127.0.0.1:1", "--ready-address",
             "127.0.0.1:2", "--peer-address", "127.0.0.1:3",
             "--metrics-address", "127.0.0.1:4", "--store-address",
             "127.0.0.1:5"], capture_output=True, text=True, timeout=30)
        assert result.returncode == 2, result
        assert "--instance takes 1 to 200 bytes" in result.stderr, result


SCENARIOS = [
    a_router_that_has_no_usable_name_does_not_start,
    taking_the_last_account_away_closes_all_routes,
    a_page_that_arrives_late_denies_no_newer_route,
    an_unreadable_version_denies_no_route,
]
