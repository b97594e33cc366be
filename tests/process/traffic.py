"""Sends requests of several kinds at fixed rates to a fleet of routers."""
import collections
import concurrent.futures
import contextlib
import http.client
import itertools
import threading
import time

from shutdown_scenarios import sleep_until

MAX_CONCURRENT = 200  # Requests in progress.

# A kind of request. rate: a second, over all routers in turn. send: a function
# of fleet, name of the router and number of the request that returns a Result.
Kind = collections.namedtuple("Kind", "name rate send")

# sent_at: monotonic time in s. status: "broken" without a whole response.
# whole: the response is a complete success.
Result = collections.namedtuple(
    "Result", "sent_at took router status retry_after kind whole")


def result_of(router, call, expected_body=None):
    """Makes the call once, without a retry; returns the Result.

    A success is whole if its body is the expected one, or if none is expected.
    """
    sent_at = time.monotonic()
    status, retry_after, kind, whole = "broken", None, None, False
    try:
        answer = call()
        status = answer.status
        retry_after = answer.headers.get("Retry-After")
        if status == 200:
            whole = expected_body in (None, answer.body.decode())
        else:
            kind = answer.error()["kind"]
    except (OSError, http.client.HTTPException, ValueError, KeyError):
        pass  # Cut or without a body: the defaults say so.
    return Result(sent_at, time.monotonic() - sent_at, router, status,
                  retry_after, kind, whole)


def outcomes(results):
    """Returns how many results have each status, error kind and wholeness."""
    counts = collections.Counter(
        f"{r.status} {r.kind or ('whole' if r.whole else 'cut')}"
        for r in results)
    return dict(counts.most_common())


class Traffic(contextlib.AbstractContextManager):
    """Sends requests of all kinds while it is entered.

    A fleet may name in `rotation` the only routers that get new requests.
    results: lists of Results by name of the kind, complete after the exit.
    """

    def __init__(self, fleet, kinds):
        self.fleet = fleet
        self.results = {kind.name: [] for kind in kinds}
        self.ending = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT)
        self.threads = [threading.Thread(target=self.send_all, args=(kind,))
                        for kind in kinds]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        for thread in self.threads:
            thread.join()
        self.pool.shutdown()

    def send_all(self, kind):
        started_at = time.monotonic()
        for number in itertools.count():
            if self.ending.is_set():
                return
            self.pool.submit(self.send_one, kind, number)
            sleep_until(started_at + (number + 1) / kind.rate)

    def send_one(self, kind, number):
        routers = getattr(self.fleet, "rotation", list(self.fleet.routers))
        self.results[kind.name].append(
            kind.send(self.fleet, routers[number % len(routers)], number))
