"""End-to-end tests of broken answers to daemons of the project's own form.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import http.client
import itertools
import json
import time

from broken_answer_scenarios import (
    FOREIGN, LAST_CHUNK, SMALL_BYTES, chunk, closes, early, fields,
    request_numbers, resets, sends, start_lines, statuses)
from harness import Fleet, http as send, new_request_key
from raw_endpoint import RawServer

# What callers of a daemon are told if there is no answer, by kind of call.
NO_ANSWER = {"sale": "outcome_unknown", "lookup": "endpoint_failed",
             "completion": "endpoint_failed", "stream": "endpoint_failed"}
STAY_S = 0.5  # For which an endpoint neither reads nor closes.
AUTHORIZATION = {"Authorization": "Bearer key-ring"}
LARGE_BYTES = 1_000_000  # More than the buffers of sockets hold.


def broken_answers():
    """Returns one answer of each way to be none, by description."""
    answers = statuses("000 OK", "600 High", "101 Switching", "20 OK")
    answers.update(start_lines("HTTP/2.0 200 OK", "ICY 200 OK", "{}"))
    answers.update(fields(
        "X Y: z", "X : z", " X: z", "X\x01Y: z", "X", ": z",
        "Content-Length: 15", "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked", "Content-Encoding: gzip"))
    for line in ("Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
                 "Transfer-Encoding: identity", "Content-Length : 14",
                 " Content-Length: 14", "Content-Encoding: gzip"):
        answers["until the end, " + line] = closes(
            lambda arrival, line=line: arrival.head("200 OK", line) + FOREIGN)
    for end in (closes, resets):
        answers["no end", end.__name__] = end(
            lambda arrival: arrival.head() + FOREIGN)
        for cut in (2, 20):
            answers["head", cut, end.__name__] = end(
                lambda arrival, cut=cut: arrival.whole(b"")[:-cut])
        answers["body", end.__name__] = end(
            lambda arrival: arrival.whole(FOREIGN)[:-1])
        answers["chunk", end.__name__] = end(
            lambda arrival: arrival.head("200 OK",
                                         "Transfer-Encoding: chunked")
            + chunk(FOREIGN))
        answers["last chunk", end.__name__] = end(
            lambda arrival: arrival.head("200 OK",
                                         "Transfer-Encoding: chunked")
            + chunk(FOREIGN) + LAST_CHUNK[:-2])
    answers["000 before an answer"] = sends(
        lambda arrival: arrival.whole(b"", "000 OK"),
        lambda arrival: arrival.whole(FOREIGN))
    return answers


class Services:
    """A daemon of the project's own deployment and one raw endpoint."""

    CALLS = {"sale": "/services/sales/x", "lookup": "/services/lookups/x",
             "completion": "/v1/chat/completions",
             "stream": "/v1/chat/completions"}

    def __init__(self, receive_bytes=None, **changes):
        """changes: sections of the configuration that are replaced."""
        self.changes = changes
        self.answer = None  # Of the endpoint, a function of the arrival.
        self.server = RawServer(self.respond, receive_bytes)
        self.fleet = Fleet(zones=1, daemons=1, engines=0, services=0)
        url = f"http://127.0.0.1:{self.server.port}"
        self.fleet.engines = [url]
        self.fleet.services = [url]

    def __enter__(self):
        self.server.__enter__()
        # Both are the raw endpoint, so there is nothing to start.
        urls = self.fleet.engines, self.fleet.services
        document = self.fleet.document(**self.changes)
        self.fleet.engines, self.fleet.services = [], []
        self.fleet.document = lambda: document
        self.fleet.__enter__()
        self.fleet.engines, self.fleet.services = urls
        return self

    def __exit__(self, *details):
        self.fleet.__exit__(*details)
        self.server.__exit__(*details)

    def respond(self, arrival):
        if arrival.path == "/load":
            return arrival.send(arrival.whole(
                b'{"running":0,"waiting":0,"age_ms":0}'))
        self.answer(arrival)

    def call(self, kind, size=SMALL_BYTES):
        """Calls through the daemon; returns the harness's Answer."""
        key = new_request_key(next(request_numbers))
        body = "x" * size
        if kind in ("completion", "stream"):
            streams = "true" if kind == "stream" else "false"
            body = ('{"model":"words","stream":' + streams
                    + ',"messages":[{"role":"user","content":"' + body
                    + '"}],"max_tokens":4}')
        return send("POST", self.fleet.url("daemon-0") + self.CALLS[kind],
                    body, {**AUTHORIZATION, "Idempotency-Key": key,
                           "Content-Type": "application/json"})


def a_daemon_passes_on_no_broken_answer():
    """The endpoint of a daemon sends what is no answer, in each way.

    Guards against such bytes that reach a caller, and against a sale that is
    reported as not run although it may have.
    """
    failures = []
    answers = broken_answers()
    with Services() as services:
        for (name, answer), kind in itertools.product(
                answers.items(), Services.CALLS):
            services.answer = answer
            error, got = error_of(services, kind, SMALL_BYTES)
            if error != NO_ANSWER[kind] or FOREIGN in got:
                failures.append(str((name, kind, error, got))[:300])
    print(f"{len(answers) * 4} cases, {len(failures)} failed", flush=True)
    assert not failures, "\n".join(failures)


def error_of(services, kind, size):
    """Calls through the daemon; returns the kind of error, and the body."""
    try:
        got = services.call(kind, size)
        return got.error()["kind"], got.body
    except (ValueError, KeyError, TypeError):
        return f"none, status {got.status}", got.body
    except http.client.HTTPException as error:
        return f"none, {error!r}", b""


def an_early_answer_reaches_the_caller_of_a_daemon():
    """The endpoint answers before it reads an upload, and may then reset.

    Guards against a whole answer that is lost since the upload could not be
    written, and against a part of an answer that is passed on as whole.
    """
    failures = []
    body = b'{"by":"sound"}'
    ends = {"reset": lambda arrival: arrival.reset(),
            "close": lambda arrival: arrival.close(),
            "stay": lambda arrival: time.sleep(STAY_S)}
    # The connection must not be used again: the endpoint does not read on.
    once = "Connection: close"
    wholes = {"length": lambda arrival: arrival.whole(body, "200 OK", once),
              "chunks": lambda arrival: (
                  arrival.head("200 OK", "Transfer-Encoding: chunked", once)
                  + chunk(body) + LAST_CHUNK)}
    parts = {"no length": lambda arrival: arrival.head() + FOREIGN,
             "length": lambda arrival: arrival.whole(FOREIGN)[:-1]}
    with Services(receive_bytes=16_384) as services:
        for size, kind, pause in itertools.product(
                (SMALL_BYTES, LARGE_BYTES), ("sale", "lookup"), (0, 0.05)):
            for whole, end in itertools.product(wholes, ends):
                services.answer = early(wholes[whole], pause, ends[end])
                got = services.call(kind, size)
                if got.status != 200 or got.body != body:
                    failures.append(str((size, kind, pause, whole, end,
                                         got.status, got.body))[:300])
            for part, end in itertools.product(parts, ("reset", "close")):
                services.answer = early(parts[part], pause, ends[end])
                error, got = error_of(services, kind, size)
                if error != NO_ANSWER[kind] or FOREIGN in got:
                    failures.append(str((size, kind, pause, part, end, error,
                                         got))[:300])
    print(f"{len(failures)} failed", flush=True)
    assert not failures, "\n".join(failures)


WORDS = 4  # Events of a completion before its end.
STREAM = ("Content-Type: text/event-stream", "X-Stream-Id: s-1")


def word(request_id, number):
    return (f"id: {number}\ndata: " + json.dumps(
        {"id": "cmpl-" + request_id, "choices": [{"index": 0, "text": "w"}]},
        separators=(",", ":")) + "\n\n").encode()


def words(arrival, first, last):
    """Returns events of a completion, with its end if they are the last."""
    data = b"".join(word(arrival.id, number)
                    for number in range(first, min(last, WORDS - 1) + 1))
    end = f"id: {WORDS}\ndata: [DONE]\n\n".encode()
    return data + (end if last >= WORDS else b"")


def answers_that_are_not_the_rest():
    """Answers to a request for the words after the second one."""
    page = FOREIGN + b"\n\n<p>" + FOREIGN + b"\n\n"

    def rest(first, last, status="200 OK", *fields):
        return sends(lambda arrival: arrival.whole(
            words(arrival, first, last), status, *(fields or STREAM)))
    return {
        "failed": sends(lambda arrival: arrival.whole(page, "500 Failed")),
        "unknown": sends(lambda arrival: arrival.whole(page, "404 Unknown")),
        "a page": sends(lambda arrival: arrival.whole(page, "200 OK", *STREAM)),
        "no stream": sends(lambda arrival: arrival.whole(page)),
        "nothing": sends(lambda arrival: arrival.whole(b"", "200 OK", *STREAM)),
        "no content": sends(lambda arrival: arrival.head("204 None", *STREAM)),
        "accepted": rest(2, WORDS, "202 Accepted"),
        "of another stream": rest(2, WORDS, "200 OK", STREAM[0],
                                  "X-Stream-Id: s-2"),
        "an event is missing": rest(3, WORDS),
        "no end": rest(2, WORDS - 1),
        "part of a head": closes(lambda arrival: arrival.head()[:-2]),
        "000": rest(2, WORDS, "000 OK"),
        "encoded": rest(2, WORDS, "200 OK", "Content-Encoding: x", *STREAM)}


def a_daemon_resumes_a_stream_only_with_its_events():
    """A completion breaks off, and the answer for its rest is not its rest.

    Guards against the text of that answer inside of the completion, and
    against one that ends as if it were complete.
    """
    def first(arrival):
        arrival.read_body()
        arrival.send(arrival.head("200 OK", "Transfer-Encoding: chunked",
                                  *STREAM) + chunk(words(arrival, 0, 1)))
        arrival.close()

    def resume(services, answer):
        """Returns what the caller got once `answer` was given."""
        asked = []

        def either(arrival):
            if arrival.method == "POST":
                return first(arrival)
            asked.append(arrival.path)
            return answer(arrival)
        services.answer = either
        got = services.call("stream")
        assert asked, got.body
        return got.body
    failures = []
    with Services() as services:
        for name, answer in answers_that_are_not_the_rest().items():
            body = resume(services, answer)
            if (FOREIGN in body or b"[DONE]" in body
                    or b"answer_incomplete" not in body):
                failures.append(str((name, body))[:300])
        body = resume(services, sends(lambda arrival: arrival.whole(
            words(arrival, 2, WORDS), "200 OK", *STREAM)))
        assert body.endswith(b"data: [DONE]\n\n"), body
        assert body.count(b"data: ") == WORDS + 1, body
    assert not failures, "\n".join(failures)


SCENARIOS = [
    a_daemon_resumes_a_stream_only_with_its_events,
    an_early_answer_reaches_the_caller_of_a_daemon,
    a_daemon_passes_on_no_broken_answer,
]
