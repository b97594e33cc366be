"""The demonstration on the users' platform: prints its result as JSON.

Two routers serve streams, sales and lookups; one of them is killed on the way
and comes back, and a budget is spent to its end.
"""
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" /
                       "process"))
from platform_fleet import PlatformFleet  # noqa: E402

PREPAID = 30_000
TOKENS_EACH = 110


def main():
    asked = served = 0
    with PlatformFleet(prepaid=PREPAID) as fleet:
        for number in range(60):
            router = f"router-{number % 2}"
            for answer in (fleet.stream(router, f"s{number}"),
                           fleet.call(router, "/sale/x", f"n{number}"),
                           fleet.call(router, "/lookup/x", f"l{number}",
                                      method="GET", body=None)):
                asked += 1
                served += answer.status == 200
            if number == 30:
                fleet.processes["router-0"].kill()
                fleet.processes["router-0"].wait()
                fleet.start_router("router-0")
                fleet.wait_ready("router-0")
        streams = 60
        while fleet.stream("router-1", f"e{streams}").status == 200:
            streams += 1
        twice = sum(count > 1 for request, count in fleet.runs().items()
                    if request.startswith("n"))
    print(json.dumps({"asked": asked, "served": served, "twice": twice,
                      "overspend": max(0, streams * TOKENS_EACH - PREPAID)}))


main()
