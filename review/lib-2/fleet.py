"""A small deployment for one case: store, runners and routers as processes.

The routers are the program of deploy/system.toml, started with its command and
with settings like those of a small site (stableWindowMs 3,000, drainMs 2,000,
graceS 8). Everything listens on 127.0.0.1 on free ports; files are in a
temporary folder. What was sent and answered is kept for record.txt.
"""
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
ROUTER = ROOT / "target" / "tamarackd"  # The command of deploy/system.toml.
STABLE_WINDOW_S = 3.0  # stableWindowMs
GRACE_S = 8
HOST = "ficu95.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit statuses of a case.
LIMIT_S = 115  # A case gives up by then.


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Returns free ports below those that the system gives to channels."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as one:
            one.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


def wait_until(condition, what, limit_s=20):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun("never came: " + what)


class Answer:
    """What a client has of one request. status 0: no complete head."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.whole = False  # The end of the answer has arrived as stated.
        self.sent_at = self.ended_at = 0.0

    def __repr__(self):
        return f"{self.status or 'cut'}{'' if self.whole else ' cut'}"


def exchange(port, method, path, fields, body=b"", timeout_s=20, started=None):
    """Sends one request on a channel of its own and reads the answer.

    started: an event that is set when the first byte of a body has come.
    """
    answer = Answer()
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{n}: {v}\r\n" for n, v in fields.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    answer.sent_at = time.monotonic()
    data = b""
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as channel:
            channel.settimeout(timeout_s)
            channel.sendall(head.encode() + body)
            while b"\r\n\r\n" not in data:
                part = channel.recv(65536)
                if not part:
                    raise ConnectionError
                data += part
            top, data = data.split(b"\r\n\r\n", 1)
            lines = top.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split(" ")[1])
            answer.fields = {line.split(":", 1)[0].lower():
                             line.split(":", 1)[1].strip()
                             for line in lines[1:]}
            if answer.fields.get("transfer-encoding") == "chunked":
                read_chunks(channel, data, answer, started)
            else:
                size = int(answer.fields.get("content-length", 0))
                while len(data) < size:
                    part = channel.recv(65536)
                    if not part:
                        break
                    data += part
                answer.body, answer.whole = data, len(data) == size
    except (OSError, ValueError, IndexError):
        pass
    answer.ended_at = time.monotonic()
    return answer


def read_chunks(channel, data, answer, started):
    while True:
        while b"\r\n" not in data:
            part = channel.recv(65536)
            if not part:
                return
            data += part
        line, data = data.split(b"\r\n", 1)
        size = int(line, 16)
        while len(data) < size + 2:
            part = channel.recv(65536)
            if not part:
                return
            data += part
        answer.body += data[:size]
        data = data[size + 2:]
        if size and started is not None:
            started.set()
        if size == 0:
            answer.whole = True
            return


class Fleet(contextlib.AbstractContextManager):
    """routers: number. runners: {name: options of runner.py}."""

    def __init__(self, routers, runners, prepaid=1_000_000_000,
                 zones=("zone-a",), slack=54):
        if not ROUTER.exists():
            raise CannotRun("target/tamarackd is missing: build it first")
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.lines = []
        self.lock = threading.Lock()
        self.processes = {}
        self.prepaid = prepaid
        self.slack = slack
        self.version = 0
        ports = free_ports(1 + len(runners) + 4 * routers)
        self.store_port = ports.pop()
        self.runners = {}
        for name, options in runners.items():
            self.runners[name] = dict(options, id=name, port=ports.pop(),
                                      store=self.store_port)
        self.routers = {f"edge-{n}": [ports.pop() for _ in range(4)]
                        for n in range(routers)}
        self.zone_of = {name: zones[n % len(zones)]
                        for n, name in enumerate(self.routers)}
        self.zones = zones
        self.started_at = {}  # Of routers: when each was (re)started last.
        self.disturbed = {name: [] for name in self.routers}

    # ---- record ---------------------------------------------------------

    def note(self, *words):
        line = f"{time.monotonic() - self.began:8.3f}  " + " ".join(
            str(w) for w in words)
        with self.lock:
            self.lines.append(line)

    def at(self, moment):
        return f"{moment - self.began:.3f}"

    # ---- processes ------------------------------------------------------

    def __enter__(self):
        try:
            self.spawn("store", [sys.executable, str(LIB / "store.py"),
                                 str(self.store_port)])
            wait_until(lambda: self.opens(self.store_port), "the store")
            self.publish()
            for name in self.runners:
                self.start_runner(name)
            for name in self.runners:
                wait_until(lambda: self.opens(self.runners[name]["port"]),
                           name)
            for name in self.routers:
                self.start_router(name)
            for name in self.routers:
                self.wait_ready(name)
            return self
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, command, env=None):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, cwd=ROOT,
            env=dict(PATH=os.environ.get("PATH", ""), **(env or {})))

    def start_runner(self, name, **more):
        options = self.runners[name]
        options.update(more)
        options["log"] = str(self.folder / f"{name}.jsonl")
        self.spawn(name, [sys.executable, str(LIB / "runner.py"),
                          json.dumps(options)])
        self.note("runner", name, "starts", options.get("version", "v1"))

    def start_router(self, name):
        front, ready, control, metrics = self.routers[name]
        seeds = ",".join(f"127.0.0.1:{ports[2]}"
                         for ports in list(self.routers.values())[:3])
        regions = ",".join(f"{zone}=area" for zone in self.zones)
        settings = self.folder / f"{name}.settings"
        settings.write_text(
            f"instance = {name}\nzone = {self.zone_of[name]}\n"
            f"zone-regions = {regions}\n"
            f"front-address = 127.0.0.1:{front}\n"
            f"ready-address = 127.0.0.1:{ready}\n"
            f"peer-address = 127.0.0.1:{control}\npeers = {seeds}\n"
            f"metrics-address = 127.0.0.1:{metrics}\n"
            f"store-address = 127.0.0.1:{self.store_port}\n"
            f"repeat-ratio = 0.2\nrepeat-slack = {self.slack}\n"
            f"repeat-window-s = 10\ngrace-s = {GRACE_S}\n"
            "leave-notice-ms = 2000\n")
        self.spawn(name, [str(ROUTER), "router", "--settings-file",
                          str(settings)],
                   {"TAMARACK_MEMORY_MB": "110", "TAMARACK_MAX_FDS": "4100"})
        self.started_at[name] = time.monotonic()
        self.note("router", name, "starts")

    def opens(self, port):
        try:
            socket.create_connection(("127.0.0.1", port), 0.5).close()
            return True
        except OSError:
            return False

    def is_ready(self, name):
        return exchange(self.routers[name][1], "GET", "/-/readyz",
                        {"Host": "x", "Connection": "close"},
                        timeout_s=2).status == 200

    def wait_ready(self, name):
        wait_until(lambda: self.is_ready(name), name + " is ready")
        self.note("router", name, "is ready")

    def kill(self, name, how=signal.SIGKILL):
        """Ends a process by a signal and waits for its end."""
        self.note(name, "gets", signal.Signals(how).name)
        process = self.processes[name]
        if name in self.disturbed:
            self.disturbed[name].append(time.monotonic())
        process.send_signal(how)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        if name in self.disturbed:
            self.disturbed[name].append(time.monotonic())

    def in_touch(self, name, moment):
        """No kill, SIGTERM or start of it in the stable window before."""
        times = self.disturbed[name] + [self.started_at[name]]
        alive = self.processes[name].poll() is None
        return alive and not any(
            moment - STABLE_WINDOW_S <= t <= moment for t in times)

    # ---- the operator ---------------------------------------------------

    def publish(self):
        self.version += 3

        def route(name, prefix, kind, service, **more):
            return dict({"name": name, "host": HOST, "pathPrefix": prefix,
                         "kind": kind, "timeoutMs": 12000,
                         "targetLatencyMs": 300, "priority": 1,
                         "service": service, "maxAttempts": 2,
                         "public": False}, **more)
        document = {
            "version": self.version,
            "routes": [
                route("draft", "/stream/", "streaming", "models",
                      resumable=True, sticky=True, gapAimMs=300),
                route("filing", "/filing/", "non_idempotent", "desk",
                      maxAttempts=1),
                route("lookup", "/lookup/", "idempotent", "desk")],
            "services": [
                {"name": "models", "healthPath": "/healthz",
                 "maxConnections": 300,
                 "engine": {"slots": 16, "kvCapacityTokens": 400000,
                            "stride": 1}},
                {"name": "desk", "healthPath": "/healthz",
                 "maxConnections": 100}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "ring", "apiKeys": ["key-ring"],
                         "priority": 1, "prepaid": self.prepaid}]}
        value = json.dumps(document).encode()
        content = bytes([6]) + b"config" + value
        answer = exchange(self.store_port, "POST",
                          "/-/log-append?topic=keyed.op&part=0",
                          {"Host": "store", "X-Writer": "1",
                           "Connection": "close"},
                          struct.pack(">I", len(content)) + content)
        if answer.status != 200:
            raise CannotRun("the store takes no configuration")

    def control_store(self, query):
        self.note("store", query)
        exchange(self.store_port, "POST", "/control?" + query,
                 {"Host": "store", "Connection": "close"})

    # ---- clients --------------------------------------------------------

    def send(self, router, path, request, body=b"", method="POST",
             deadline_ms=12000, started=None, quiet=False, **fields):
        named = {name.replace("_", "-"): value
                 for name, value in fields.items()}
        answer = exchange(
            self.routers[router][0], method, path,
            {"Host": HOST, "Attempt-Id": request, "Key": "key-ring",
             "Deadline-Ms": deadline_ms, "Connection": "close", **named},
            body, started=started)
        if not quiet:
            self.note("client", request, method, path, "at", router, "sent",
                      self.at(answer.sent_at), "->", answer,
                      f"{len(answer.body)} bytes",
                      answer.body[:90] if answer.status >= 400 else "")
        return answer

    def stream(self, router, request, events=10, prompt=100, parts=None,
               **more):
        parts = parts or ["a1", f"e{abs(hash(request)) % 0xffffff:x}"]
        each = prompt // len(parts)
        return self.send(
            router, "/stream/x", request, Model="m",
            Token_Count=f"{each * len(parts)},{events}",
            Prompt_Prefix=",".join(f"{p}:{each}" for p in parts), **more)

    # ---- what the runners have seen -------------------------------------

    def seen(self, what=None):
        """Returns what the runners noted, by time."""
        result = []
        for name in self.runners:
            path = self.folder / f"{name}.jsonl"
            if path.exists():
                for line in path.read_text().splitlines():
                    with contextlib.suppress(ValueError):
                        entry = json.loads(line)
                        if what in (None, entry["what"]):
                            result.append(entry)
        return sorted(result, key=lambda entry: entry["t"])

    def router_log(self, name):
        path = self.folder / f"{name}.log"
        lines = []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def write_record(self, folder, verdict):
        with open(pathlib.Path(folder) / "record.txt", "w") as record:
            record.write("times in s from the start of the case\n\n"
                         "what was sent, answered and done\n")
            record.write("\n".join(self.lines) + "\n\nwhat runners saw\n")
            for entry in self.seen():
                record.write(f"{entry['t'] - self.began:8.3f}  "
                             f"{entry['runner']} {entry['version']} "
                             f"{entry['what']} {entry['id']} "
                             f"{entry['detail']}\n")
            record.write("\n" + verdict + "\n")


class Background:
    """Calls a function at a rate in threads until the end of the block."""

    def __init__(self, rate, call):
        self.rate, self.call = rate, call
        self.ending = threading.Event()
        self.threads = []
        self.thread = threading.Thread(target=self.run)

    def run(self):
        number, began = 0, time.monotonic()
        while not self.ending.wait(max(0, began + number / self.rate
                                       - time.monotonic())):
            one = threading.Thread(target=self.call, args=(number,))
            one.start()
            self.threads.append(one)
            number += 1

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()
        for one in self.threads:
            one.join()


class Restarter(threading.Thread):
    """Brings runners that have ended back after a time, until the end."""

    def __init__(self, fleet, back_s):
        super().__init__()
        self.fleet, self.back_s = fleet, back_s
        self.ending = threading.Event()

    def run(self):
        gone = {}
        while not self.ending.wait(0.02):
            for name in self.fleet.runners:
                if self.fleet.processes[name].poll() is None:
                    continue
                since = gone.setdefault(name, time.monotonic())
                if time.monotonic() - since >= self.back_s:
                    del gone[name]
                    self.fleet.start_runner(name)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.join()


def main(case, folder):
    """Runs case(trouble, folder); ends the process with its exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def give_up(*_):
        raise CannotRun("the case took too long")
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LIMIT_S)
    try:
        status = case(trouble, folder)
    except CannotRun as error:
        print("can't run:", error)
        status = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           NOT_RUN: "not run"}[status])
    sys.stdout.flush()
    sys.exit(status)
