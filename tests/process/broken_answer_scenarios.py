"""End-to-end tests of answers that are broken: callers never get them.

A caller gets the endpoint's whole answer, or a statement of the router that
there is none, or, once an answer has begun, an end that shows that it is cut.
Each function of SCENARIOS is one test. Its name says what must hold.
"""
import collections
import contextlib
import http.client
import itertools
import socket
import time

from harness import wait_until
from platform_fleet import DESK_HOST, STREAM_HOST, PlatformFleet
from raw_endpoint import RawEndpoint, wait_for_endpoints

# Kinds of routes: service, host and path.
KINDS = {"stream": ("engine", STREAM_HOST, "/stream/a"),  # Resumable.
         "once": ("engine", STREAM_HOST, "/stream/once/a"),
         "sale": ("desk", DESK_HOST, "/sale/a"),  # Not repeatable.
         "lookup": ("desk", DESK_HOST, "/lookup/a")}
REPEATABLE = {"stream", "lookup"}
SMALL_BYTES = 100
LARGE_BYTES = 4_000_000  # More than the buffers of sockets hold.
LIMITS = {"maxHeaderBytes": 8192, "maxBodyBytes": 4 << 20,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
RECEIVE_BYTES = 16_384  # Of endpoints that don't read.
MAX_TRIES = 100  # Of one case, until an endpoint has got the request.
RETRY_S = 0.1
FOREIGN = b"not-the-answer"  # In all bytes that no caller may get.
NONE_STATUSES = {502, 504}  # There is no answer; the request may have run.

LAST_CHUNK = b"0\r\n\r\n"

Got = collections.namedtuple("Got", "status headers body cut")
request_numbers = itertools.count()


def call(fleet, kind, request_id, size=SMALL_BYTES, router="router-0",
         **headers):
    """Sends a request on a connection of its own; returns what came back.

    "_" in the names of headers means "-".
    """
    _, host, path = KINDS[kind]
    fields = {"Host": host, "Attempt-Id": request_id, "Key": "key-ring",
              "Deadline-Ms": "6000", "Connection": "close"}
    if kind in ("stream", "once"):
        fields["Token-Count"] = "100,10"
        fields["Prompt-Prefix"] = f"a1:50,{hash(request_id) & 0xffffff:x}:50"
    fields.update({name.replace("_", "-"): value
                   for name, value in headers.items()})
    connection = http.client.HTTPConnection(
        "127.0.0.1", fleet.routers[router][0], timeout=30)
    status, headers, body = None, {}, b""
    try:
        connection.request("POST", path, request_id.encode().ljust(size, b"."),
                           fields)
        response = connection.getresponse()
        status, headers = response.status, dict(response.headers)
        body = response.read()
        return Got(status, headers, body, False)
    except http.client.IncompleteRead as error:
        return Got(status, headers, error.partial, True)
    except (OSError, http.client.HTTPException):
        return Got(status, headers, body, True)
    finally:
        connection.close()


class BrokenEndpoint(RawEndpoint):
    """Answers as `answer` says: a function that gets the arrival, or None.

    Without one, and if `kept` to the first request on a connection, it answers
    a stream or a complete body, as it should.
    """

    def __init__(self, fleet, name, service, **options):
        super().__init__(fleet, name, service, self.respond_to, **options)
        self.answer = None
        self.kept = False
        self.broken = set()  # Ids of requests that `answer` has answered.
        self.sound = set()

    def respond_to(self, arrival):
        if self.answer is None or (self.kept and arrival.number == 0):
            arrival.read_body()
            self.sound.add(arrival.id)
            return arrival.send(sound_answer(self.service, arrival))
        self.broken.add(arrival.id)
        self.answer(arrival)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextlib.contextmanager
def broken_endpoints(receive_bytes=None):
    """Starts a router and an endpoint of each service.

    Yields the fleet, and the endpoint by kind of route.
    """
    with PlatformFleet(routers=1, engines=0, desks=0,
                       repeat_slack=10_000) as fleet:
        fleet.publish(limits=LIMITS)
        with contextlib.ExitStack() as stack:
            endpoints = {service: stack.enter_context(BrokenEndpoint(
                fleet, f"{service}-0", service, receive_bytes=receive_bytes))
                for service in ("desk", "engine")}
            wait_for_endpoints(fleet, 2)
            yield fleet, {kind: endpoints[KINDS[kind][0]] for kind in KINDS}


def events(first, last):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number)
                    for number in range(first, last + 1))


def sound_answer(service, arrival):
    if service == "desk":
        return arrival.whole(b'{"by":"sound"}')
    first = int(arrival.fields.get("last-event-id", "0")) + 1
    return arrival.whole(events(first, 10), "200 OK",
                         "Content-Type: text/event-stream")


def expected_body(kind):
    return (b'{"by":"sound"}' if KINDS[kind][0] == "desk" else events(1, 10))


def provoke(fleet, endpoint, kind, answer, kept=False, size=SMALL_BYTES):
    """Repeats a call, with a new id each, until `answer` has answered one."""
    for _ in range(MAX_TRIES):
        number = next(request_numbers)
        if kept:
            call(fleet, kind, f"first-{number}")
        endpoint.kept, endpoint.answer = kept, answer
        got = call(fleet, kind, f"case-{number}", size)
        endpoint.kept, endpoint.answer = False, None
        if f"case-{number}" in endpoint.broken:
            return got
        time.sleep(RETRY_S)
    raise AssertionError(f"no {kind} request was answered by {answer}")


def assert_no_answer(got, case):
    """There is one statement, of the router, that there is no answer."""
    assert not got.cut, (case, got)
    assert got.status in NONE_STATUSES, (case, got)
    assert FOREIGN not in got.body, (case, got)
    assert "Server-Stamp" not in got.headers, (case, got)


def assert_sound(got, kind, case):
    assert got.status == 200 and not got.cut, (case, got)
    assert got.body == expected_body(kind), (case, got)


def sends(*parts):
    """Returns an answer that reads the request and writes bytes.

    parts: functions of the arrival that return bytes, or bytes.
    """
    def answer(arrival):
        arrival.read_body()
        for part in parts:
            arrival.send(part(arrival) if callable(part) else part)
    return answer


def closes(*parts):
    """Like sends(), and ends the connection in an orderly way."""
    def answer(arrival):
        sends(*parts)(arrival)
        arrival.close()
    return answer


def resets(*parts):
    """Like sends(), and resets the connection."""
    def answer(arrival):
        sends(*parts)(arrival)
        arrival.reset()
    return answer


def start_lines(*lines):
    """Returns an answer for each line that stands for the status line."""
    return {line: sends(lambda arrival, line=line: arrival.whole(FOREIGN)
                        .replace(b"HTTP/1.1 200 OK", line.encode()))
            for line in lines}


def statuses(*texts):
    return start_lines(*(f"HTTP/1.1 {text}" for text in texts))


def fields(*lines):
    """Returns an answer for each line that stands among the fields."""
    return {repr(line): sends(lambda arrival, line=line: arrival.whole(
        FOREIGN, "200 OK", line)) for line in lines}


def assert_no_answers(answers, sizes=(SMALL_BYTES, LARGE_BYTES),
                      start=broken_endpoints):
    """None of the answers reaches a caller.

    Each is sent on new and on kept connections, to calls of each kind. Where
    another endpoint could take the call, its answer comes in place of it, if
    the kind of the route allows that.
    """
    failures = []
    with start() as (fleet, endpoints):
        for (name, answer), kind, kept, size in itertools.product(
                answers.items(), KINDS, (False, True), sizes):
            case = (name, kind, "kept" if kept else "new", size)
            try:
                got = provoke(fleet, endpoints[kind], kind, answer, kept, size)
                assert_no_answer(got, case)
            except AssertionError as error:
                failures.append(str(error)[:400])
    print(f"{len(answers) * 8 * len(sizes)} cases, {len(failures)} failed",
          flush=True)
    assert not failures, "\n".join(failures)


def a_status_that_does_not_exist_is_no_answer():
    """Endpoints answer with a status outside of 200 to 599.

    Guards against such an answer that is passed on, against one that is taken
    for an interim response, so that its caller waits to the deadline, and
    against a second answer behind it that is taken for the first.
    """
    answers = statuses("000 ", "000 OK", "099 Low", "101 Switching",
                       "600 High", "999 High", "20 OK", "2000 OK", "-20 OK",
                       "2x0 OK")
    for status in ("000 OK", "000 ", "099 Low", "101 Switching", "600 High"):
        answers[f"{status}, empty"] = sends(
            lambda arrival, status=status: arrival.whole(b"", status))
        answers[f"{status}, before an answer"] = sends(
            lambda arrival, status=status: arrival.whole(b"", status),
            lambda arrival: arrival.whole(FOREIGN))
        answers[f"{status}, without a length"] = closes(
            lambda arrival, status=status: arrival.head(status) + FOREIGN)
    assert_no_answers(answers, sizes=(SMALL_BYTES,))
    assert_no_answers(statuses("000 OK", "600 High"), sizes=(LARGE_BYTES,))


def a_field_name_with_a_blank_or_control_byte_is_no_answer():
    """Endpoints answer with a malformed name of a field, or a folded line."""
    answers = fields("X Y: z", "X : z", " X: z", "\tX: z", "X\x01Y: z",
                     "X\x00: z", "X\x7f: z", "X\x0b: z", "X\rY: z", ": z",
                     "X", "Content-Length : 2", " Transfer-Encoding: chunked",
                     "Server-Stamp\t: a", "Attempt-Id: of-another",
                     "Server-Stamp: of-another")
    # A field that a lenient reader would frame the body by.
    for line in ("Content-Length : 14", " Content-Length: 14",
                 "Content-Length\x01: 14", "Transfer-Encoding : chunked"):
        answers[repr(line) + " alone"] = closes(
            lambda arrival, line=line: arrival.head(
                "200 OK", "X: y", line) + FOREIGN)
    assert_no_answers(answers, sizes=(SMALL_BYTES,))
    assert_no_answers(fields("X Y: z", "X\x01Y: z", " X: z"),
                      sizes=(LARGE_BYTES,))


def a_head_that_stops_is_no_answer():
    """Endpoints close or reset the connection inside of an answer's head."""
    answers = {}
    for cut in ("HTTP/1.1", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nAttempt-Id: ",):
        for end in (closes, resets):
            answers[cut, end.__name__] = end(cut.encode())
    for cut in (1, 2, 3, 4, 10, 25):
        for end in (closes, resets):
            answers[f"{cut} bytes short", end.__name__] = end(
                lambda arrival, cut=cut: arrival.whole(b"")[:-cut])
    assert_no_answers(answers, sizes=(SMALL_BYTES,))
    some = {case: answers[case] for case in (
        ("2 bytes short", "closes"), ("25 bytes short", "resets"))}
    assert_no_answers(some, sizes=(LARGE_BYTES,))


def a_framing_that_is_unknown_or_contradicts_itself_is_no_answer():
    """Endpoints frame an answer in a way that tells no end for certain.

    Guards against a body in an encoding that nobody has undone, and against
    one that is taken to its connection's end because its framing is unknown.
    """
    lengths = ["Content-Length: " + text for text in (
        "x", "-1", "+14", "0x0e", "14, 15", "14;", "1 4",
        "99999999999999999999")]
    encodings = ["Transfer-Encoding: " + text for text in (
        "gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked",
        "chunked, chunked", "chunked;q=1", "\"chunked\"", "", "x")]
    lines = lengths + encodings + [
        "Transfer-Encoding: gzip\r\nContent-Length: 14",
        "Content-Length: 14\r\nTransfer-Encoding: gzip",
        "Content-Length: 14\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 14",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length: 14\r\nContent-Length: 15",
        "Content-Length: 14\r\nContent-Encoding: gzip",
        "Content-Length: 14\r\nContent-Encoding: unheard-of"]
    answers = {line: closes(lambda arrival, line=line: arrival.head(
        "200 OK", line) + FOREIGN) for line in lines}
    for line in encodings[:5]:
        answers["in chunks, " + line] = closes(
            lambda arrival, line=line: arrival.head("200 OK", line)
            + chunk(FOREIGN) + LAST_CHUNK)
    answers["HTTP/1.0 with chunks"] = closes(
        lambda arrival: arrival.head("200 OK", "Transfer-Encoding: chunked")
        .replace(b"HTTP/1.1", b"HTTP/1.0") + chunk(FOREIGN) + LAST_CHUNK)
    assert_no_answers(answers, sizes=(SMALL_BYTES,))


def a_start_line_of_another_protocol_is_no_answer():
    """Endpoints begin an answer by something else than HTTP/1."""
    assert_no_answers(start_lines(
        "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.15 200 OK",
        "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\x01K", "{}"), sizes=(SMALL_BYTES,))


def a_body_that_stops_is_no_answer():
    """Endpoints close or reset the connection inside of an answer's body.

    A stream that has begun ends with the connection instead.
    """
    def chunked(arrival):
        return arrival.head("200 OK", "Transfer-Encoding: chunked")
    bodies = {
        "length": lambda arrival: arrival.whole(FOREIGN)[:-1],
        "no byte": lambda arrival: arrival.whole(FOREIGN)[:-len(FOREIGN)],
        "size of a chunk": lambda arrival: chunked(arrival) + b"a",
        "chunk": lambda arrival: chunked(arrival) + chunk(FOREIGN)[:-4],
        "end of a chunk": lambda arrival: chunked(arrival) + chunk(FOREIGN),
        "last chunk": lambda arrival: (chunked(arrival) + chunk(FOREIGN)
                                       + LAST_CHUNK[:-2]),
        "trailer": lambda arrival: (chunked(arrival) + chunk(FOREIGN)
                                    + b"0\r\nX: y\r\n"),
        "malformed size": lambda arrival: chunked(arrival) + b"zz\r\n",
        "malformed trailer": lambda arrival: (
            chunked(arrival) + chunk(FOREIGN) + b"0\r\nX Y: z\r\n\r\n"),
        "no end of a chunk": lambda arrival: (
            chunked(arrival) + chunk(FOREIGN)[:-2] + LAST_CHUNK)}
    answers = {(name, end.__name__): end(body)
               for name, body in bodies.items() for end in (closes, resets)}
    assert_no_answers(answers, sizes=(SMALL_BYTES,))


def a_refusal_that_stops_promises_nothing():
    """Endpoints state "not run", and the answer breaks off after its head.

    Guards against callers that are told "not run" by a part of an answer, and
    against requests that run at a second endpoint on the word of one.
    """
    refusal = "503 Busy"
    answers = {}
    for end in (closes, resets):
        answers["length", end.__name__] = end(lambda arrival: arrival.whole(
            FOREIGN, refusal, "Not-Executed: 1")[:-1])
        answers["no byte", end.__name__] = end(lambda arrival: arrival.whole(
            FOREIGN, refusal, "Not-Executed: 1")[:-len(FOREIGN)])
        answers["chunks", end.__name__] = end(lambda arrival: arrival.head(
            refusal, "Not-Executed: 1", "Transfer-Encoding: chunked")
            + chunk(FOREIGN))
    answers["field"] = sends(lambda arrival: arrival.whole(
        FOREIGN, refusal, "Not-Executed: 1", "X Y: z"))
    answers["coding"] = closes(lambda arrival: arrival.head(
        refusal, "Not-Executed: 1", "Transfer-Encoding: gzip"))
    answers["421"] = closes(lambda arrival: arrival.whole(
        FOREIGN, "421 Elsewhere")[:-1])
    assert_no_answers(answers, sizes=(SMALL_BYTES,))


def a_broken_answer_is_replaced_as_the_kind_allows():
    """The first endpoint that gets a request breaks its answer.

    Guards against a call that could go to another endpoint and does not, and
    against one that may not and runs there again.
    """
    answers = {
        "status": statuses("000 OK")["HTTP/1.1 000 OK"],
        "field": fields("X Y: z")[repr("X Y: z")],
        "framing": closes(lambda arrival: arrival.head(
            "200 OK", "Transfer-Encoding: gzip") + FOREIGN),
        "head": closes(lambda arrival: arrival.head()[:-2]),
        "early reset": early(lambda arrival: arrival.head(), 0.02,
                             lambda arrival: arrival.reset())}
    with PlatformFleet(routers=1, engines=0, desks=0,
                       repeat_slack=10_000) as fleet, \
            contextlib.ExitStack() as stack:
        fleet.publish(limits=LIMITS)
        endpoints = {
            service: [stack.enter_context(BrokenEndpoint(
                fleet, f"{service}-{number}", service,
                receive_bytes=RECEIVE_BYTES)) for number in range(2)]
            for service in ("desk", "engine")}
        wait_for_endpoints(fleet, 4)
        for (name, answer), kind, size in itertools.product(
                answers.items(), KINDS, (SMALL_BYTES, LARGE_BYTES)):
            service = KINDS[kind][0]
            both = endpoints[service]

            def first_only(arrival):
                seen = sum(each.seen.count(arrival.id) for each in both)
                if seen == 1:
                    return answer(arrival)
                arrival.read_body()
                return arrival.send(sound_answer(service, arrival))
            request = f"case-{next(request_numbers)}"
            for each in both:
                each.answer = first_only
            got = call(fleet, kind, request, size)
            seen = sum(each.seen.count(request) for each in both)
            case = (name, kind, size, seen)
            if kind in REPEATABLE:
                assert_sound(got, kind, case)
                assert seen == 2, (case, got)
            else:
                assert_no_answer(got, case)
                assert seen == 1, (case, got)


def early(part, pause, end, read=0):
    """Returns an answer that is written before the request was read.

    part: function of the arrival that returns bytes. end: what ends it, after
    a pause in s. read: bytes of the body that are read before.
    """
    def answer(arrival):
        arrival.read_body(read)
        arrival.send(part(arrival))
        time.sleep(pause)
        end(arrival)
    return answer


def early_answers(part):
    """Returns answers that are reset at once or later, by description."""
    return {(pause, read): early(part, pause, lambda arrival: arrival.reset(),
                                 read)
            for pause in (0, 0.01, 0.1) for read in (0, 20_000)}


def an_early_answer_without_a_length_that_is_reset_is_no_answer():
    """Endpoints answer an upload at once, in part, and reset the connection.

    The answer has neither a length nor chunks, so its connection's end is its
    own end. Guards against a router whose write of the upload takes the error
    of the reset, and whose read then finds nothing but an end.
    """
    failures = []
    count = 0
    with broken_endpoints(RECEIVE_BYTES) as (fleet, endpoints):
        for kind, kept, size in itertools.product(
                KINDS, (False, True), (SMALL_BYTES, LARGE_BYTES)):
            parts = ([FOREIGN, b""] if KINDS[kind][0] == "desk" else
                     [events(1, 2), events(1, 2) + b"id: 3\nda", b""])
            for part in parts:
                for name, answer in early_answers(
                        lambda arrival, part=part: arrival.head()
                        + part).items():
                    count += 1
                    got = provoke(fleet, endpoints[kind], kind, answer, kept,
                                  size)
                    case = (kind, kept, size, len(part), name)
                    try:
                        assert_cut_or_none(got, kind, case)
                    except AssertionError as error:
                        failures.append(str(error)[:300])
    print(f"{count} cases, {len(failures)} failed", flush=True)
    assert not failures, "\n".join(failures)


def assert_cut_or_none(got, kind, case):
    """Like assert_no_answer; a stream may also be cut after whole events."""
    if kind in ("stream", "once") and got.status == 200:
        assert got.cut, (case, got)
        assert events(1, 10).startswith(got.body), (case, got)
        return
    assert_no_answer(got, case)


def an_early_answer_that_is_whole_is_passed_on():
    """Endpoints answer an upload at once and end or reset the connection.

    The answer is whole by its length or its chunks, or its sender has ended it
    in an orderly way. Guards against an answer that is lost because the rest
    of the upload could not be written.
    """
    failures = []
    count = 0
    with broken_endpoints(RECEIVE_BYTES) as (fleet, endpoints):
        for kind, kept, size in itertools.product(
                KINDS, (False, True), (SMALL_BYTES, LARGE_BYTES)):
            body = expected_body(kind)
            answers = {}
            for name, part in (
                    ("length", lambda arrival: arrival.whole(body)),
                    ("chunks", lambda arrival: arrival.head(
                        "200 OK", "Transfer-Encoding: chunked")
                     + chunk(body) + LAST_CHUNK)):
                answers.update({(name, *key): value for key, value
                                in early_answers(part).items()})
            answers["ended"] = early(
                lambda arrival: arrival.head() + body, 0.05,
                lambda arrival: arrival.close())
            for name, answer in answers.items():
                count += 1
                got = provoke(fleet, endpoints[kind], kind, answer, kept, size)
                try:
                    assert_sound(got, kind, (kind, kept, size, name))
                except AssertionError as error:
                    failures.append(str(error)[:300])
    print(f"{count} cases, {len(failures)} failed", flush=True)
    assert not failures, "\n".join(failures)


def chunks_that_arrive_in_pieces_end_no_router():
    """Endpoints, a caller and a peer send the end of a body byte by byte.

    Guards against a process that ends by an assertion of its HTTP library,
    and with it the requests of everybody else.
    """
    last_chunk = [LAST_CHUNK[:3], LAST_CHUNK[3:4], LAST_CHUNK[4:]]

    def slowly(send, pieces):
        for piece in pieces:
            send(piece)
            time.sleep(0.02)

    def empty(arrival):
        arrival.read_body()
        slowly(arrival.send, [arrival.head(
            "200 OK", "Transfer-Encoding: chunked"), *last_chunk])

    def byte_by_byte(arrival):
        arrival.read_body()
        answer = arrival.head("200 OK", "Transfer-Encoding: chunked")
        answer += chunk(FOREIGN) + LAST_CHUNK
        slowly(arrival.send, [answer[at:at + 1] for at in range(len(answer))])
    with PlatformFleet(routers=1, engines=0, desks=0) as fleet:
        with BrokenEndpoint(fleet, "desk-0", "desk") as desk:
            wait_for_endpoints(fleet, 1)
            front, _, peer, _, _ = fleet.routers["router-0"]
            for port, path in ((front, "/lookup/a"), (peer, "/store")):
                with socket.create_connection(("127.0.0.1", port),
                                              timeout=30) as connection:
                    slowly(connection.sendall, [
                        f"POST {path} HTTP/1.1\r\nHost: {DESK_HOST}\r\n"
                        f"Attempt-Id: to-{port}\r\nKey: key-ring\r\n"
                        "Deadline-Ms: 6000\r\nConnection: close\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n".encode()])
                    with contextlib.suppress(OSError):  # A peer is refused.
                        slowly(connection.sendall, last_chunk)
                        status = connection.recv(12)
                    if port == front:
                        assert status == b"HTTP/1.1 200", status
                assert fleet.processes["router-0"].poll() is None, (
                    "the router has ended")
            assert provoke(fleet, desk, "lookup", empty).status == 200
            got = provoke(fleet, desk, "sale", byte_by_byte)
            assert (got.status, got.body, got.cut) == (200, FOREIGN, False)
            assert fleet.processes["router-0"].poll() is None, (
                "the router has ended")


def the_log_says_why_an_answer_is_none():
    """Each way to be no answer leaves its reason in the log and the metrics.

    Guards against an operator who sees that an attempt broke and not why.
    """
    answers = {
        "start_line": start_lines("ICY 200 OK")["ICY 200 OK"],
        "status": statuses("000 OK")["HTTP/1.1 000 OK"],
        "field": fields("X Y: z")[repr("X Y: z")],
        "framing": closes(lambda arrival: arrival.head(
            "200 OK", "Transfer-Encoding: gzip")),
        "content_coding": fields("Content-Encoding: gzip")[
            repr("Content-Encoding: gzip")],
        "incomplete": closes(lambda arrival: arrival.head()[:-2])}
    with broken_endpoints() as (fleet, endpoints):
        desk = endpoints["sale"]

        def reasons():
            """Returns the reasons in the log, by id of the request."""
            return {line["id"]: line["why"]
                    for line in fleet.log_lines("router-0")
                    if line["event"] == "response_broken"
                    and line["endpoint"] == desk.name}
        for why, answer in answers.items():
            before = set(desk.broken)
            provoke(fleet, desk, "sale", answer)
            (request,) = desk.broken - before
            wait_until(lambda: request in reasons(), f"a line for {why}")
            assert reasons()[request] == why, (why, reasons())
            count = fleet.metrics("router-0")[
                f'tamarack_responses_broken_total{{why="{why}"}}']
            assert count >= 1, (why, count)


SCENARIOS = [
    the_log_says_why_an_answer_is_none,
    chunks_that_arrive_in_pieces_end_no_router,
    a_status_that_does_not_exist_is_no_answer,
    a_field_name_with_a_blank_or_control_byte_is_no_answer,
    a_head_that_stops_is_no_answer,
    a_body_that_stops_is_no_answer,
    a_refusal_that_stops_promises_nothing,
    a_broken_answer_is_replaced_as_the_kind_allows,
    a_framing_that_is_unknown_or_contradicts_itself_is_no_answer,
    a_start_line_of_another_protocol_is_no_answer,
    an_early_answer_without_a_length_that_is_reset_is_no_answer,
    an_early_answer_that_is_whole_is_passed_on,
]
