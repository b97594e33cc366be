"""Starts routers and stand-ins of the users' platform as processes."""
import contextlib
import json
import pathlib
import resource
import socket
import struct
import subprocess
import tempfile
import time

from harness import BIN, MAX_WAIT_S, free_ports, http, wait_until

STREAM_HOST = "models.example"  # Host of the routes to the engine service.
DESK_HOST = "desk.example"  # Host of the routes to the plain service "desk".


def encode_keyed_record(key, value):
    """Encodes a record of a keyed topic as the store expects it."""
    key = key.encode()
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


def idle_path(number):
    """Returns the path of one of the further routes that publish adds."""
    return f"/idle-{number:x}/{number % 7}/"


class PlatformFleet(contextlib.AbstractContextManager):
    """Routers, a store, and runners: the endpoints of two services.

    engines, desks: number of runners of the service "engine", which answers
    with streams, and of the plain service "desk".
    prepaid: prepaid tokens of the only account, "ring".
    grace_s, repeat_slack: settings of the routers.
    slots: requests that a runner executes at once, as it registers.
    zones: availability zones, "zone-a" and so on; the runners of each service
    are in them by turns, the routers in the first one.
    cut_off: the last so many routers never reach the store themselves.
    router_settings: further settings of each router by name.
    router_descriptors: the most that a router may open; None for the usual.
    """

    def __init__(self, routers=2, engines=2, desks=2, prepaid=1_000_000,
                 grace_s=8, cut_off=0, repeat_slack=50, slots=8,
                 zones=1, router_settings=None, router_descriptors=None):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.processes = {}
        self.prepaid = prepaid
        self.version = 0
        self.grace_s = grace_s
        self.repeat_slack = repeat_slack
        self.slots = slots
        self.router_settings = router_settings or {}
        self.router_descriptors = router_descriptors
        ports = free_ports(2 + engines + desks + 5 * routers)
        self.store_port = ports.pop()
        self.closed_port = ports.pop()  # Nobody listens on it.
        self.store = f"http://127.0.0.1:{self.store_port}"
        self.runners = {}
        self.zones = {}  # Of runners by name.
        for service, count in (("engine", engines), ("desk", desks)):
            for number in range(count):
                name = f"{service}-{number}"
                self.runners[name] = (service, ports.pop())
                self.zones[name] = f"zone-{chr(97 + number % zones)}"
        self.routers = {f"router-{n}": [ports.pop() for _ in range(5)]
                        for n in range(routers)}
        self.software = {}  # Of runners by name; v1 if absent.
        self.router_store_port = self.store_port  # Where routers look for it.
        self.cut_off = set(list(self.routers)[routers - cut_off:])

    def __enter__(self):
        self.start("store", ["stand_ins/standin-keyed-store", "--port",
                             str(self.store_port)])
        wait_until(lambda: self.responds(self.store + "/stats"), "the store")
        self.publish()
        for name in self.runners:
            self.start_runner(name)
        for name in self.routers:
            self.start_router(name)
        for name in self.routers:
            self.wait_ready(name)
        wait_until(lambda: all(self.endpoint_count(name) == len(self.runners)
                               for name in self.routers), "all endpoints")
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def start(self, name, command, descriptors=None):
        """Starts a program; descriptors: the most that it may open."""
        log = open(self.folder / f"{name}.log", "ab")

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (descriptors, descriptors))
        self.processes[name] = subprocess.Popen(
            [BIN / command[0]] + command[1:], stdout=log, stderr=log,
            preexec_fn=limit if descriptors else None)

    def start_runner(self, name):
        service, port = self.runners[name]
        self.start(name, ["stand_ins/standin-runner", "--id", name,
                          "--service", service, "--port", str(port),
                          "--zone", self.zones[name],
                          "--store-port", str(self.store_port),
                          "--slots", str(self.slots),
                          "--software", self.software.get(name, "v1")])

    def restart_runner(self, name):
        """Starts a runner that has ended again, with its id and port.

        Its entry in the store gets another time of start ("born"). If another
        process has got the port in the meantime, the runner gets a new one.
        """
        self.processes[name].wait()
        self.start_runner(name)
        end = time.monotonic() + MAX_WAIT_S
        while not self.responds(self.runner_url(name) + "/stats"):
            assert time.monotonic() < end, name + " does not start"
            if self.processes[name].poll() is not None:
                self.runners[name] = (self.runners[name][0], free_ports(1)[0])
                self.start_runner(name)
            time.sleep(0.01)

    def start_router(self, name):
        """Starts a router with the settings that it had before, if any."""
        front, ready, peer, metrics, forward = self.routers[name]
        peers = ",".join(f"127.0.0.1:{ports[2]}"
                         for ports in self.routers.values())
        store_port = (self.closed_port if name in self.cut_off
                      else self.router_store_port)
        settings = self.folder / f"{name}.settings"
        settings.write_text(
            f"instance = {name}\nzone = zone-a\n"
            f"front-address = 127.0.0.1:{front}\n"
            f"ready-address = 127.0.0.1:{ready}\n"
            f"peer-address = 127.0.0.1:{peer}\npeers = {peers}\n"
            f"metrics-address = 127.0.0.1:{metrics}\n"
            f"forward-address = 127.0.0.1:{forward}\n"
            f"store-address = 127.0.0.1:{store_port}\n"
            f"repeat-ratio = 0.2\nrepeat-slack = {self.repeat_slack}\n"
            f"repeat-window-s = 10\n"
            f"grace-s = {self.grace_s}\n"
            + "".join(f"{setting} = {value}\n"
                      for setting, value in self.router_settings.items()))
        self.start(name, ["tamarackd", "router", "--settings-file",
                          str(settings)], self.router_descriptors)

    def responds(self, url, status=200):
        """True if a GET request to the URL gets this status."""
        try:
            return http("GET", url, timeout=2).status == status
        except OSError:
            return False

    def url(self, name):
        return f"http://127.0.0.1:{self.routers[name][0]}"

    def ready_url(self, name):
        return f"http://127.0.0.1:{self.routers[name][1]}/"

    def wait_ready(self, name):
        wait_until(lambda: self.responds(self.ready_url(name)),
                   name + " is ready")

    def metrics(self, name):
        """Returns the metrics of a router by name and labels."""
        text = http("GET", f"http://127.0.0.1:{self.routers[name][3]}/metrics"
                    ).body.decode()
        rows = [line.rsplit(" ", 1) for line in text.splitlines()
                if not line.startswith("#")]
        return {row[0]: float(row[1]) for row in rows}

    def metrics_or_none(self, name):
        """Returns the metrics of a router that may not listen yet."""
        try:
            return self.metrics(name)
        except OSError:
            return None

    def endpoint_count(self, name):
        return self.metrics(name).get("tamarack_endpoints", 0)

    def control(self, url, **settings):
        """Changes settings of a stand-in, such as faults to inject."""
        query = "&".join(f"{key}={value}" for key, value in settings.items())
        http("POST", f"{url}/control?{query}", body="")

    def runner_url(self, name):
        return f"http://127.0.0.1:{self.runners[name][1]}"

    def executions_by_request(self):
        """Returns how often the runners executed each request id."""
        executions = {}
        for name in self.runners:
            stats = http("GET", self.runner_url(name) + "/stats").json()
            for request, count in stats["each"].items():
                executions[request] = executions.get(request, 0) + count
        return executions

    def received_requests(self, name):
        """Returns the number of requests that a runner has received."""
        return http("GET", self.runner_url(name) + "/stats").json()["seen"]

    def running_requests(self, name):
        """Returns the number of requests that a runner is executing."""
        return http("GET", self.runner_url(name) + "/stats").json()["running"]

    def arrivals(self, name):
        """Returns when a runner received requests, as Unix times in s."""
        stats = http("GET", self.runner_url(name) + "/stats").json()
        return [ms / 1000 for ms in stats["arrivals"]]

    def control_value(self, name, setting):
        """Returns what is left of a setting that control gave a runner."""
        stats = http("GET", self.runner_url(name) + "/stats").json()
        return stats["control"].get(setting, 0)

    def log_lines(self, name):
        """Returns the log lines of a process that are JSON objects."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines()
                if line.startswith("{")]

    def publish(self, keys=("key-ring",), idle_routes=0, **changes):
        """Writes the next configuration to the store, as operators do.

        keys: API keys of the account. idle_routes: number of further routes,
        all of one host. changes: values that replace whole sections.
        """
        self.version += 3

        def route(name, host, prefix, kind, service, **more):
            return dict({"name": name, "host": host, "pathPrefix": prefix,
                         "kind": kind, "timeoutMs": 8000,
                         "targetLatencyMs": 300, "priority": 1,
                         "service": service, "maxAttempts": 2,
                         "public": False}, **more)
        document = {
            "version": self.version,
            "routes": [
                route("stream", STREAM_HOST, "/stream/", "streaming",
                      "engine", resumable=True, sticky=True),
                route("once", STREAM_HOST, "/stream/once/", "streaming",
                      "engine", maxAttempts=1),
                route("sale", DESK_HOST, "/sale/", "non_idempotent", "desk"),
                route("lookup", DESK_HOST, "/lookup/", "idempotent", "desk")]
            + [route(f"idle-{n}", DESK_HOST, idle_path(n), "idempotent",
                     "desk") for n in range(idle_routes)],
            "services": [
                {"name": "engine", "healthPath": "/healthz",
                 "maxConnections": 100,
                 "engine": {"slots": 8, "kvCapacityTokens": 100000,
                            "stride": 1}},
                {"name": "desk", "healthPath": "/healthz",
                 "maxConnections": 100}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "ring", "apiKeys": list(keys),
                         "priority": 1, "prepaid": self.prepaid}]}
        document.update(changes)
        self.append_configuration(json.dumps(document).encode())

    def append_configuration(self, value):
        """Stores bytes as the newest configuration."""
        self.append_operator_record("config", value)

    def evacuate(self, zone):
        """Evacuates a zone; returns when, as Unix time in s."""
        self.append_operator_record(f"evacuate/{zone}", b"{}")
        return time.time()

    def take_back(self, zone):
        """Ends the evacuation of a zone; returns when, as Unix time in s."""
        removed_at = time.time()
        self.append_operator_record(f"evacuate/{zone}", b"")
        return removed_at

    def runners_of_zone(self, zone):
        return [name for name in self.runners if self.zones[name] == zone]

    def append_operator_record(self, key, value):
        """Stores a record as operators do; an empty value removes it."""
        body = encode_keyed_record(key, value)
        answer = http("POST",
                      self.store + "/-/log-append?topic=keyed.op&part=0",
                      body=body, headers={"X-Operator": "1"})
        assert answer.status == 200, answer.status

    def call(self, router, path, request_id, host=DESK_HOST, method="POST",
             body="x", **headers):
        """Sends a request through a router; "_" in header names means "-"."""
        fields = {"Host": host, "Attempt-Id": request_id, "Key": "key-ring",
                  "Deadline-Ms": "8000"}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        return http(method, self.url(router) + path, body=body, headers=fields)

    def stream(self, router, request_id, output=10, path="/stream/x",
               prompt=100):
        """Requests a stream; prompt and output are numbers of tokens."""
        return self.call(router, path, request_id, host=STREAM_HOST,
                         Token_Count=f"{prompt},{output}",
                         Prompt_Prefix=f"a1:{prompt // 2},b2:{prompt // 2}")

    def raw(self, router, data):
        """Sends bytes unchanged; returns all bytes until the router closes."""
        address = ("127.0.0.1", self.routers[router][0])
        with socket.create_connection(address, timeout=30) as connection:
            connection.sendall(data)
            received = b""
            while True:
                chunk = connection.recv(65536)
                if not chunk:
                    return received
                received += chunk
