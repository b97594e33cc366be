"""Routers of the deploy file before a store, runners and clients in Python.

The store and the runners run in this process, in one event loop of a thread of
their own. Routers are separate processes, started with the command and the
settings template of deploy/system.toml. All addresses are loopback addresses.
"""
import asyncio
import base64
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_WAIT_S = 15
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
RECORD_BYTES = 262144
DEPLOY_RUN = re.search(r'run = "([^"]*)"',
                       (ROOT / "deploy/system.toml").read_text()).group(1)


def trouble():
    """False if the script shall leave out the disruption (TROUBLE=0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt beside the script: what was sent, answered and run."""

    def __init__(self, script):
        self.file = open(pathlib.Path(script).parent / "record.txt", "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.started:8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()


def free_ports(count):
    """Returns free ports, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


# --- HTTP for the stand-ins ------------------------------------------------

async def read_message(reader):
    """Returns first line, headers (names in lower case) and body, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], headers, body


def answer_bytes(status, body=b"", headers=()):
    reason = http.client.responses.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# --- The platform's store --------------------------------------------------

class Topic:
    def __init__(self):
        self.records = []  # (key, value) of a keyed topic.
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> [epoch, next sequence, last answers]

    def copy(self):
        other = Topic()
        other.records = list(self.records)
        other.newest = dict(self.newest)
        other.producers = {name: [p[0], p[1], list(p[2])]
                           for name, p in self.producers.items()}
        return other

    def store(self, key, value):
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


class Store:
    """Keyed topics of one partition each, as PROTOCOL.md describes them."""

    def __init__(self):
        self.topics = {}
        self.era = 0
        self.saved = None
        self.mode = "ok"  # "busy": 503, nothing done. "away": no answer.
        self.changed = None  # asyncio.Condition, made in the loop.
        self.refused_by = {}  # Listening port -> mode, for one machine only.
        self.calls = 0

    async def start(self, port):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, HOST, port,
                                                 limit=1 << 24)

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                self.calls += 1
                parts = line.split(" ")
                if len(parts) != 3:
                    # A request line with spaces in its target is malformed.
                    writer.write(answer_bytes(
                        400, b"{}", self.fields() + [("Connection", "close")]))
                    await writer.drain()
                    break
                if self.mode == "away":
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    writer.write(answer_bytes(503, b"{}", self.fields()))
                else:
                    writer.write(await self.perform(parts[0], parts[1], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def fields(self):
        return [("Store-Era", str(self.era))]

    def reply(self, status, document):
        return answer_bytes(status, json.dumps(document).encode(),
                            [("Content-Type", "application/json")]
                            + self.fields())

    async def perform(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name = query.get("topic", "")
        if url.path == "/-/log-append" and method == "POST":
            if name in ("keyed.op", "keyed.servers"):
                return self.reply(403, {})
            return await self.append(self.topics.setdefault(name, Topic()),
                                     query, body)
        # "A topic is created on first use."
        self.topics.setdefault(name, Topic())
        if url.path == "/-/log-read":
            return await self.read(name, query)
        if url.path == "/-/log-newest":
            return self.newest(self.topics[name], query)
        return self.reply(404, {})

    async def append(self, topic, query, body):
        if "at" in query and int(query["at"]) != len(topic.records):
            return self.reply(412, {"end": len(topic.records)})
        producer = query.get("producer")
        state = None
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = topic.producers.setdefault(producer, [-1, 0, []])
            if epoch < state[0]:
                return self.reply(409, {"reason": "fenced"})
            if epoch > state[0]:
                state[0], state[1], state[2] = epoch, sequence, []
            elif body and sequence != state[1]:
                for number, former in state[2]:
                    if number == sequence:
                        return self.reply(200, former)
                return self.reply(409, {"reason": "seq",
                                        "expected": state[1]})
        offset = len(topic.records)
        rest = body
        while rest:
            size = struct.unpack(">I", rest[:4])[0]
            content = rest[4:4 + size]
            rest = rest[4 + size:]
            keys = content[0]
            topic.store(content[1:1 + keys].decode(), content[1 + keys:])
        done = {"offset": offset, "end": len(topic.records)}
        if state is not None and body:
            state[1] += 1
            state[2] = (state[2] + [(state[1] - 1, done)])[-5:]
        async with self.changed:
            self.changed.notify_all()
        return self.reply(200, done)

    async def read(self, name, query):
        start = int(query.get("from", 0))
        wait_s = min(30.0, int(query.get("waitMs", 0)) / 1000)
        end = time.monotonic() + wait_s
        era = self.era
        while (len(self.topics[name].records) <= start and era == self.era
               and time.monotonic() < end):
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
            except asyncio.TimeoutError:
                break
        records = self.topics[name].records
        if start > len(records):
            return self.reply(410, {"first": 0})
        out, most = b"", int(query.get("maxKb", 1024)) * 1024
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            if out and len(out) + len(content) > most:
                break
            out += struct.pack(">I", len(content)) + content
        prefix = struct.pack(">QQ", len(records), 0)
        return answer_bytes(200, prefix + out, self.fields())

    def newest(self, topic, query):
        items, size, more = [], 0, False
        after = query.get("after")
        for key in sorted(topic.newest):
            if after is not None and key <= after:
                continue
            offset, value = topic.newest[key]
            if items and (len(items) >= PAGE_ITEMS
                          or size + len(value) > PAGE_BYTES):
                more = True
                break
            items.append({"key": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
            size += len(value)
        return self.reply(200, {"items": items, "more": more,
                                "end": len(topic.records)})

    # What operators and runners write, and drills. Called in the loop.
    async def write(self, name, key, value):
        self.topics.setdefault(name, Topic()).store(key, value)
        async with self.changed:
            self.changed.notify_all()

    async def save(self):
        self.saved = {name: topic.copy() for name, topic in
                      self.topics.items()}

    async def restore(self):
        """Comes back from the copy; operators and runners write again."""
        lost, self.topics = self.topics, self.saved
        self.era += 1
        for name in ("keyed.op", "keyed.servers"):
            for key, (_, value) in sorted(lost[name].newest.items()):
                topic = self.topics.setdefault(name, Topic())
                if topic.newest.get(key, (0, b""))[1] != value:
                    topic.store(key, value)
        async with self.changed:
            self.changed.notify_all()


# --- Runners ---------------------------------------------------------------

class Runner:
    """A sound runner: registers itself, serves streams and plain requests."""

    def __init__(self, name, service, port, slots=64):
        self.name, self.service, self.port = name, service, port
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.version = "v1"
        self.writers = set()
        self.runs = []  # (id, key of the tenant, path)
        self.tokens = {}  # Tenant -> tokens in and out, delivered.
        self.event_s = 0.0
        self.work_s = 0.0
        self.beating = True

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.beats = asyncio.ensure_future(self.beat(store))

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{HOST}:{self.port}",
            "zone": "zone-a", "version": self.version, "slots": self.slots,
            "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def crash(self):
        """Ends at once, without a word; its channels are reset."""
        self.server.close()
        self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self, store, version="v1"):
        """Starts again under its id and address, and knows nothing."""
        self.version, self.sequence = version, 0
        self.born = int(time.time() * 1000)
        await self.start(store)

    async def beat(self, store):
        while True:
            if self.beating and store.mode == "ok":
                await store.write("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, _ = await read_message(reader)
                await self.answer(line, headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, writer):
        request = headers.get("attempt-id", "")
        path = line.split(" ")[1]
        marks = [("Attempt-Id", request)]
        if path == "/healthz":
            writer.write(answer_bytes(200, b"", [("Instance-Id", self.name)]))
            return await writer.drain()
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", marks))
            return await writer.drain()
        self.runs.append((request, headers.get("tenant", ""), path))
        marks.append(("Server-Stamp", f"{self.name}.{request}"))
        await asyncio.sleep(self.work_s)
        if "/stream/" not in path:
            writer.write(answer_bytes(200, b'{"by":"%s"}' %
                                      self.name.encode(), marks))
            return await writer.drain()
        await self.stream(headers, marks, writer)

    async def stream(self, headers, marks, writer):
        tokens_in, tokens_out = map(int, headers["token-count"].split(","))
        tenant = headers.get("tenant", "")
        # The prompt has been read, whatever comes of the rest.
        self.tokens[tenant] = self.tokens.get(tenant, 0) + tokens_in
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in marks]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, tokens_out + 1):
            await asyncio.sleep(self.event_s)
            event = (f"id: {number}\ndata: piece {number} {self.version}"
                     "\n\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.tokens[tenant] += 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# --- A small deployment ----------------------------------------------------

class Fleet:
    """Routers, a store and runners; use as a context manager."""

    def __init__(self, record, routers=2, engines=2, desks=2, zones=None,
                 prepaid=1_000_000):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store_port = free_ports(1)[0]
        self.prepaid = prepaid
        self.version = 0
        self.processes = {}
        names = [f"router-{n}" for n in range(routers)]
        self.zones = dict(zip(names, zones or ["zone-a"] * routers))
        ports = free_ports(4 * routers + engines + desks)
        self.ports = {name: [ports.pop() for _ in range(4)] for name in names}
        # Port through which a router reaches the store, if not the store's.
        self.store_ports = {}
        self.runners = {}
        for service, count in (("engine", engines), ("desk", desks)):
            for number in range(count):
                runner = Runner(f"{service}-{number}", service, ports.pop())
                self.runners[runner.name] = runner
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.commands = self.processes

    def do(self, coroutine):
        """Runs a coroutine in the loop of the stand-ins."""
        return asyncio.run_coroutine_threadsafe(coroutine,
                                                self.loop).result(30)

    def __enter__(self):
        self.thread.start()
        self.do(self.store.start(self.store_port))
        self.publish()
        for runner in self.runners.values():
            self.do(runner.start(self.store))
        return self

    def start(self, gap_s=0.0):
        """Starts all routers, one each gap_s, and waits until they serve."""
        for name in self.ports:
            self.start_router(name)
            time.sleep(gap_s)
        for name in self.ports:
            self.wait_ready(name)
        # "Traffic starts 10 s after the machines do."; less is enough here.
        time.sleep(2)

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        shutil.rmtree(self.folder, ignore_errors=True)

    def settings(self, name):
        """The template of the project, filled in as the platform does it."""
        front, ready, control, metrics = self.ports[name]
        seeds = [f"{HOST}:{p[2]}" for p in list(self.ports.values())[:3]]
        fields = {
            "nodeName": name, "zone": self.zones[name], "ip": HOST,
            "listen.front": f"{HOST}:{front}",
            "listen.ready": f"{HOST}:{ready}",
            "listen.control": f"{HOST}:{control}", "seeds": ",".join(seeds),
            "platform.address":
                f"{HOST}:{self.store_ports.get(name, self.store_port)}",
            "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "54",
            "bounds.budgetWindowS": "10", "bounds.graceS": "8",
            "bounds.drainMs": "2000"}
        text = (ROOT / "platform/settings.template").read_text()
        for field, value in fields.items():
            text = text.replace("{{" + field + "}}", value)
        # All machines share one address here, so this port must differ.
        return text.replace(f"{HOST}:9464", f"{HOST}:{metrics}")

    def start_router(self, name):
        path = self.folder / f"{name}.settings"
        path.write_text(self.settings(name))
        command = DEPLOY_RUN.replace("/etc/tamarackhall/settings.toml",
                                     str(path)).split(" ")
        command[0] = str(ROOT / command[0])
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, cwd=ROOT,
            env={key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                 if key in os.environ})
        self.record(f"started {name}, zone {self.zones[name]}")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()
        self.record(f"killed {name}")

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def is_ready(self, name):
        try:
            return self.http(self.ports[name][1], "GET", "/-/readyz", {},
                             timeout=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, name, wait_s=READY_WAIT_S):
        end = time.monotonic() + wait_s
        while not self.is_ready(name):
            if time.monotonic() > end:
                raise RuntimeError(name + " is not ready")
            time.sleep(0.05)

    def http(self, port, method, path, headers, body=None, timeout=20):
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()

    def publish(self, **changes):
        """Writes the next configuration, as the operator does."""
        self.version += 3

        def route(name, prefix, kind, service, **more):
            return dict({"name": name, "host": "ring.example",
                         "pathPrefix": prefix, "kind": kind,
                         "timeoutMs": 8000, "targetLatencyMs": 300,
                         "priority": 1, "service": service, "maxAttempts": 2,
                         "public": False}, **more)
        document = {
            "version": self.version,
            "routes": [
                route("stream", "/stream/", "streaming", "engine",
                      resumable=True, sticky=True),
                route("sale", "/sale/", "non_idempotent", "desk",
                      maxAttempts=1),
                route("lookup", "/lookup/", "idempotent", "desk")],
            "services": [
                {"name": "engine", "healthPath": "/healthz",
                 "maxConnections": 360,
                 "engine": {"slots": 64, "kvCapacityTokens": 475241,
                            "stride": 1}},
                {"name": "desk", "healthPath": "/healthz",
                 "maxConnections": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "ring", "apiKeys": ["key-ring"],
                         "priority": 1, "prepaid": self.prepaid}]}
        document.update(changes)
        self.do(self.store.write("keyed.op", "config",
                                 json.dumps(document).encode()))
        self.record(f"operator: version {self.version} acknowledged")
        return document

    def call(self, router, path, request, key="key-ring", method="POST",
             body=b"x", timeout=20, **headers):
        """One client attempt; returns status, headers and body.

        The status is 0 if the channel ended without a complete answer.
        """
        fields = {"Host": "ring.example", "Attempt-Id": request,
                  "Deadline-Ms": "8000", "Connection": "close"}
        if key is not None:
            fields["Key"] = key
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        try:
            status, answered, data = self.http(
                self.ports[router][0], method, path, fields, body, timeout)
        except (OSError, http.client.HTTPException) as error:
            self.record(f"{router} {method} {path} {request}: {error!r}")
            return 0, {}, b""
        self.record(f"{router} {method} {path} {request} key={key}: {status} "
                    f"stamp={answered.get('Server-Stamp')} "
                    f"{data[:60]!r}")
        return status, answered, data

    def stream(self, router, request, tokens_in, tokens_out, **more):
        return self.call(router, "/stream/x", request,
                         Token_Count=f"{tokens_in},{tokens_out}",
                         Model="m",
                         Prompt_Prefix=f"a1:{tokens_in // 2},"
                                       f"b2:{tokens_in - tokens_in // 2}",
                         **more)

    def delivered(self, tenant="ring"):
        """Tokens that runners have read and made for a tenant."""
        return sum(runner.tokens.get(tenant, 0)
                   for runner in self.runners.values())

    def runs(self):
        return [run for runner in self.runners.values() for run in runner.runs]


def main(script, play):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if not playable."""
    record = Record(script)
    record("TROUBLE=%d" % trouble())
    # Either way the routers are ended before this process ends.
    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(115)
    try:
        broken = play(record)
    except Exception as error:  # The case could not run.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        leave(2)
    record(f"verdict: {broken or 'held'}")
    print(broken or "held")
    leave(1 if broken else 0)


def give_up(number, _):
    raise RuntimeError(f"ended by signal {number}")


def leave(status):
    """Ends without waiting for the calls that the stand-ins still hold."""
    sys.stdout.flush()
    os._exit(status)
