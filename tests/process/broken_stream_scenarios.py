"""End-to-end tests of streams that break and go on at another endpoint.

Each function of SCENARIOS is one test. Its name says what must hold.
"""
import time

from broken_answer_scenarios import (
    FOREIGN, LARGE_BYTES, LAST_CHUNK, LIMITS, MAX_TRIES, RETRY_S, SMALL_BYTES,
    BrokenEndpoint, assert_no_answer, call, chunk, closes, events,
    request_numbers, resets, sends)
from platform_fleet import PlatformFleet
from raw_endpoint import wait_for_endpoints


def rest(first, last, *more, status="200 OK"):
    """Returns an answer of events that states its end by a length."""
    fields = more or ("Content-Type: text/event-stream",)
    return sends(lambda arrival: arrival.whole(events(first, last), status,
                                               *fields))


def answers_that_continue_no_stream(received):
    """Answers to a request for the events after `received`."""
    stream = "Content-Type: text/event-stream"
    html = "Content-Type: text/html"
    page = FOREIGN + b"\n\n<p>" + FOREIGN + b"\n\n"
    answers = {}
    for status in ("400 Bad", "404 Not Found", "409 Conflict", "429 Busy",
                   "500 Failed", "502 Bad Gateway", "503 Busy", "301 Moved",
                   "304 Same"):
        for body in (FOREIGN, page, events(received + 1, 10)):
            answers[status, body[:20]] = sends(
                lambda arrival, status=status, body=body:
                arrival.whole(body, status, stream))
    for status in ("429 Busy", "503 Busy"):
        answers[status, "not run"] = sends(
            lambda arrival, status=status:
            arrival.whole(FOREIGN, status, "Not-Executed: 1"))
    answers.update({
        "nothing": sends(lambda arrival: arrival.whole(b"", "200 OK", stream)),
        "no content": sends(lambda arrival: arrival.head("204 No Content")),
        "nothing, until the end": closes(
            lambda arrival: arrival.head("200 OK", stream)),
        "nothing in chunks": sends(
            lambda arrival: arrival.head("200 OK", stream,
                                         "Transfer-Encoding: chunked")
            + LAST_CHUNK),
        "another success": rest(received + 1, 10, status="206 Partial"),
        "accepted": rest(received + 1, 10, status="202 Accepted"),
        "a page": sends(lambda arrival: arrival.whole(page, "200 OK", html)),
        "a page as stream": sends(
            lambda arrival: arrival.whole(page, "200 OK", stream)),
        "json": sends(lambda arrival: arrival.whole(
            b'{"error":"' + FOREIGN + b'"}', "200 OK",
            "Content-Type: application/json")),
        "json as stream": sends(lambda arrival: arrival.whole(
            b'{"error":"' + FOREIGN + b'"}\n\n', "200 OK", stream)),
        "events of another type": rest(received + 1, 10, html),
        "from the beginning": rest(1, 10),
        "the last event again": rest(received, 10),
        "an event is missing": rest(received + 2, 10),
        "events without ids": sends(lambda arrival: arrival.whole(
            b"data: " + FOREIGN + b"\n\n", "200 OK", stream)),
        "a comment": sends(lambda arrival: arrival.whole(
            b": " + FOREIGN + b"\n\n", "200 OK", stream)),
        "unsigned": sends(lambda arrival: arrival.whole(
            events(received + 1, 10), "200 OK", stream)
            .replace(b"Server-Stamp", b"X-Stamp")),
        "of another request": sends(lambda arrival: arrival.whole(
            events(received + 1, 10), "200 OK", stream)
            .replace(arrival.id.encode(), b"of-another")),
        "encoded": rest(received + 1, 10, stream, "Content-Encoding: gzip"),
        "unknown framing": closes(lambda arrival: arrival.head(
            "200 OK", stream, "Transfer-Encoding: gzip")
            + events(received + 1, 10)),
        "a head in the body": sends(lambda arrival: arrival.whole(
            arrival.whole(FOREIGN), "200 OK", stream)),
        "no answer": sends(FOREIGN + b"\r\n\r\n"),
        "status 000": rest(received + 1, 10, status="000 OK"),
        "part of a head": closes(lambda arrival: arrival.head()[:-2]),
        "reset": resets(b""),
        "closed": closes(b"")})
    return answers


def breaks_after(last, how):
    """Returns an answer of the events to `last`, then broken off."""
    def answer(arrival):
        arrival.read_body()
        body = events(1, last)
        stream = "Content-Type: text/event-stream"
        if how == "chunks":
            arrival.send(arrival.head("200 OK", stream,
                                      "Transfer-Encoding: chunked")
                         + chunk(body))
            return arrival.close()
        if how == "length":
            arrival.send(arrival.whole(events(1, 10), "200 OK", stream)
                         [:-len(events(last + 1, 10))])
            return arrival.close()
        arrival.send(arrival.head("200 OK", stream) + body)
        if how == "inside an event":
            arrival.send(b"id: 9\nda")
            return arrival.close()
        time.sleep(0.05)
        arrival.reset()
    return answer


def a_broken_stream_goes_on_only_with_its_own_events():
    """A stream breaks, and the next endpoint's answer does not continue it.

    Guards against the text or the head of that answer inside of the stream,
    and against a stream that ends as if it were complete.
    """
    failures = []
    count = 0
    with PlatformFleet(routers=1, engines=0, desks=0,
                       repeat_slack=10_000) as fleet:
        fleet.publish(limits=LIMITS)
        with BrokenEndpoint(fleet, "engine-0", "engine") as first, \
                BrokenEndpoint(fleet, "engine-1", "engine") as second:
            wait_for_endpoints(fleet, 2)

            def resume(name, answer, received, how, size):
                """Returns what the caller got once `answer` was given."""
                breaks = breaks_after(received, how)

                def either(arrival):
                    if "last-event-id" not in arrival.fields:
                        return breaks(arrival)
                    asked.append((arrival.id,
                                  arrival.fields["last-event-id"]))
                    return answer(arrival)
                for _ in range(MAX_TRIES):
                    asked = []
                    first.answer = second.answer = either
                    request = f"case-{next(request_numbers)}"
                    got = call(fleet, "stream", request, size)
                    first.answer = second.answer = None
                    if asked:
                        assert asked == [(request, str(received))], asked
                        return got
                    time.sleep(RETRY_S)
                raise AssertionError(f"no stream was resumed at {name}")
            for received in (1, 3):
                answers = answers_that_continue_no_stream(received)
                for name, answer in answers.items():
                    for how, size in (("chunks", SMALL_BYTES),
                                      ("inside an event", SMALL_BYTES),
                                      ("reset", SMALL_BYTES),
                                      ("length", LARGE_BYTES)):
                        count += 1
                        got = resume(name, answer, received, how, size)
                        if not got.cut or got.body != events(1, received):
                            failures.append(str((received, how, name,
                                                 got))[:300])
                for how in ("chunks", "inside an event", "reset", "length"):
                    count += 1
                    got = resume("sound", rest(received + 1, 10), received, how,
                                 SMALL_BYTES)
                    if got.cut or got.body != events(1, 10):
                        failures.append(str(("sound", how, got))[:300])
            # Last, since a router then looks for the endpoint elsewhere.
            got = resume("421", sends(lambda arrival: arrival.whole(
                FOREIGN, "421 Elsewhere", "Not-Executed: 1")), 3, "chunks",
                SMALL_BYTES)
            if not got.cut or got.body != events(1, 3):
                failures.append(str(("421", got))[:300])
    print(f"{count} cases, {len(failures)} failed", flush=True)
    assert not failures, "\n".join(failures)


def a_stream_that_is_taken_up_gets_only_events_that_follow():
    """A caller takes a broken stream up; the answer does not go on there.

    Guards against events that the caller gets twice, and against the text of
    an error among its events.
    """
    stream = "Content-Type: text/event-stream"
    received = 3
    answers = {
        "from the beginning": rest(1, 10),
        "the last event again": rest(received, 10),
        "events without ids": sends(lambda arrival: arrival.whole(
            b"data: " + FOREIGN + b"\n\n", "200 OK", stream)),
        "a page": sends(lambda arrival: arrival.whole(
            FOREIGN + b"\n\n<p>\n\n", "200 OK", "Content-Type: text/html"))}
    with PlatformFleet(routers=1, engines=0, desks=0,
                       repeat_slack=10_000) as fleet:
        with BrokenEndpoint(fleet, "engine-0", "engine") as engine:
            wait_for_endpoints(fleet, 1)

            def take_up(answer):
                """Returns what the caller gets for the rest of a stream."""
                for _ in range(MAX_TRIES):
                    first = f"first-{next(request_numbers)}"
                    engine.answer = breaks_after(received, "chunks")
                    begun = call(fleet, "stream", first)
                    engine.answer = answer
                    again = f"again-{next(request_numbers)}"
                    got = call(fleet, "stream", again, Resumes=first,
                               Last_Event_Id=str(received))
                    if again in engine.seen:
                        assert begun.body == events(1, received), begun
                        return got
                    time.sleep(RETRY_S)
                raise AssertionError("no stream was taken up")
            for name, answer in answers.items():
                assert_no_answer(take_up(answer), name)
            got = take_up(rest(received + 1, 10))
            assert got.status == 200 and not got.cut, got
            assert got.body == events(received + 1, 10), got


SCENARIOS = [
    a_stream_that_is_taken_up_gets_only_events_that_follow,
    a_broken_stream_goes_on_only_with_its_own_events,
]
