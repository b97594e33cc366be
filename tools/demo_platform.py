"""The demonstration on the users' platform: prints its result as JSON.

Two routers serve streams, sales and lookups. One of them is killed meanwhile
and restarted. Then streams are requested until the budget is exhausted.
"""
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" /
                       "process"))
from platform_fleet import PlatformFleet  # noqa: E402

PREPAID_TOKENS = 30_000
TOKENS_PER_STREAM = 110  # 100 of the prompt, 10 of the output.


def main():
    requests = served = 0
    with PlatformFleet(prepaid=PREPAID_TOKENS) as fleet:
        for number in range(60):
            router = f"router-{number % 2}"
            for answer in (fleet.stream(router, f"s{number}"),
                           fleet.call(router, "/sale/x", f"n{number}"),
                           fleet.call(router, "/lookup/x", f"l{number}",
                                      method="GET", body=None)):
                requests += 1
                served += answer.status == 200
            if number == 30:
                fleet.processes["router-0"].kill()
                fleet.processes["router-0"].wait()
                fleet.start_router("router-0")
                fleet.wait_ready("router-0")
        streams = 60
        while fleet.stream("router-1", f"e{streams}").status == 200:
            streams += 1
        sales_executed_twice = sum(
            count > 1
            for request, count in fleet.executions_by_request().items()
            if request.startswith("n"))
    overspend = max(0, streams * TOKENS_PER_STREAM - PREPAID_TOKENS)
    print(json.dumps({"asked": requests, "served": served,
                      "twice": sales_executed_twice, "overspend": overspend}))


main()
