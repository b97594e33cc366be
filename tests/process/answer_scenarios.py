"""End-to-end tests of runners that send what is no answer to the request.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections

from platform_fleet import PlatformFleet


def an_earlier_refusal_on_a_kept_connection_is_no_answer():
    """A runner writes a refusal once more and executes the next request.

    Guards against callers that are told "not run, try again" for requests that
    ran, and against requests that run at a second runner, because a refusal
    that names no request is taken for the answer to the one in progress.
    """
    with PlatformFleet(routers=1, engines=1, desks=2) as fleet:
        statuses = collections.Counter()
        for fault in ("stale_refusal", "stale_refusal_of_other"):
            for number in range(20):
                for name in ("desk-0", "desk-1"):
                    fleet.control(fleet.runner_url(name), **{fault: 1})
                answer = fleet.call("router-0", "/sale/a", f"{fault}-{number}")
                statuses[fault, answer.status] += 1
        executions = fleet.executions_by_request()
        print(f"{statuses}", flush=True)
        assert max(executions.values()) == 1, executions
        assert {status for _, status in statuses} <= {200, 502}, statuses
        assert statuses["stale_refusal", 502] > 0, "the fault did not happen"
        assert statuses["stale_refusal_of_other", 200] == 20, statuses


SCENARIOS = [
    an_earlier_refusal_on_a_kept_connection_is_no_answer,
]
