"""Starts a small fleet of real processes for the process tests.

Time limits of waits are long. Their only purpose is to make a test fail
instead of hanging; no result depends on the speed of the machine.
"""
import contextlib
import json
import os
import pathlib
import signal
import socket
import ssl
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("BIN", ROOT / "build" / "release"))
MAX_WAIT_S = 60  # Of wait_until.


def free_ports(count):
    """Returns port numbers that were free when this function checked them."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def wait_until(condition, description):
    """Polls until the condition holds; fails after MAX_WAIT_S."""
    end = time.monotonic() + MAX_WAIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError("never came: " + description)


def new_request_key(number):
    """Returns a request key with its time of creation; it is not a ticket."""
    return f"k1-{int(time.time() * 1000)}-{number:x}"


class Answer:
    """An HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def error(self):
        """Returns the error object of an error response."""
        return self.json()["error"]


def http(method, url, body=None, headers=None, timeout=30, context=None):
    """Sends a request on a connection of its own; returns the Answer."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout,
                                    context=context) as response:
            return Answer(response.status, dict(response.headers),
                          response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read())


class Load:
    """A running load generator; result() waits for its end."""

    def __init__(self, arguments, folder):
        self.process = subprocess.Popen(
            [BIN / "stand_ins" / "standin-load"] + arguments + ["--keys"],
            stdout=subprocess.PIPE, stderr=open(folder / "load.log", "ab"))

    def result(self):
        output, _ = self.process.communicate(timeout=300)
        return json.loads(output)


class Fleet(contextlib.AbstractContextManager):
    """Daemons in zones, and stand-ins: a platform, engines, plain services.

    The platform stores the log and the list of instances.

    zones, engines, services: how many of them.
    daemons: number of daemons in each zone.
    tokens: prepaid tokens by name of the budget. There is an account of the
    same name for each budget, with the API key key-<name>.
    repeatable_sales: whether requests to the service "sales" are repeatable.
    limits: limits of each account.
    """

    def __init__(self, zones=2, daemons=2, engines=4, services=2, tokens=None,
                 daemon_flags=(), repeatable_sales=False, limits=None):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.processes = {}
        self.commands = {}
        self.zones = [f"zone-{chr(97 + n)}" for n in range(zones)]
        count = 1 + engines + services + 2 * zones * daemons
        ports = free_ports(count)
        self.platform = f"http://127.0.0.1:{ports.pop()}"
        self.engines = [f"http://127.0.0.1:{ports.pop()}"
                        for _ in range(engines)]
        self.services = [f"http://127.0.0.1:{ports.pop()}"
                         for _ in range(services)]
        self.daemons = {}
        self.repeatable_sales = repeatable_sales
        self.limits = limits
        for zone in self.zones:
            for _ in range(daemons):
                name = f"daemon-{len(self.daemons)}"
                self.daemons[name] = (zone, ports.pop(), ports.pop())
        self.daemon_flags = list(daemon_flags)
        self.tokens = tokens or {"ring": 10_000_000}

    def __enter__(self):
        self.start("platform", ["stand_ins/standin-platform", "--port",
                                self.platform.rsplit(":", 1)[1]])
        for index, url in enumerate(self.engines):
            self.start(f"engine-{index}",
                       ["stand_ins/standin-engine", "--name",
                        f"engine-{index}", "--slots", "32", "--gap-ms", "2",
                        "--first-ms", "5", "--port", url.rsplit(":", 1)[1]])
        for index, url in enumerate(self.services):
            self.start(f"service-{index}",
                       ["stand_ins/standin-service", "--port",
                        url.rsplit(":", 1)[1]])
        self.wait_http(self.platform + "/stats")
        self.publish(self.document())
        for budget, tokens in self.tokens.items():
            self.ctl("budget", "create", budget, "--tokens", str(tokens))
        for name in self.daemons:
            self.start_daemon(name)
        for name in self.daemons:
            self.wait_ready(name)
        wait_until(self.zones_complete, "every zone knows its members")
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def start(self, name, command):
        """Starts a program of BIN; its output goes to <name>.log."""
        log = open(self.folder / f"{name}.log", "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(
            [BIN / command[0]] + command[1:], stdout=log, stderr=log)

    def start_daemon(self, name, flags=()):
        zone, http_port, peer_port = self.daemons[name]
        self.start(name, ["tamarackd", "--instance", name, "--zone", zone,
                          "--http-port", str(http_port), "--peer-url",
                          f"tcp://127.0.0.1:{peer_port}", "--platform-url",
                          self.platform] + self.daemon_flags + list(flags))

    def url(self, name):
        return f"http://127.0.0.1:{self.daemons[name][1]}"

    def urls(self):
        return ",".join(self.url(name) for name in self.daemons)

    def wait_http(self, url, status=200):
        def responds():
            try:
                return http("GET", url, timeout=2).status == status
            except OSError:
                return False
        wait_until(responds, url)

    def wait_ready(self, name):
        self.wait_http(self.url(name) + "/readyz")

    def status(self, name):
        """Returns the status that a daemon reports to operators."""
        return http("GET", self.url(name) + "/admin/status").json()

    def zones_complete(self):
        """True if each daemon knows all daemons of its zone."""
        per_zone = len(self.daemons) // len(self.zones)
        return all(len(self.status(name)["zone_members"]) == per_zone
                   for name in self.daemons)

    def cpu_seconds(self):
        """Returns the processor time that all daemons have used so far."""
        ticks = 0
        for name in self.daemons:
            stat = pathlib.Path(f"/proc/{self.processes[name].pid}/stat")
            fields = stat.read_text().split()
            ticks += int(fields[13]) + int(fields[14])
        return ticks / os.sysconf("SC_CLK_TCK")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def control(self, url, **settings):
        """Changes settings of a stand-in, such as faults to inject."""
        query = "&".join(f"{key}={value}" for key, value in settings.items())
        http("POST", f"{url}/control?{query}", body="")

    def stats(self, url):
        """Returns the counters of a stand-in."""
        return http("GET", url + "/stats").json()

    def ctl(self, *arguments, check=True):
        """Runs tamarackctl; raises if it fails and check is set."""
        result = subprocess.run(
            [BIN / "tamarackctl", "--platform-url", self.platform] +
            list(arguments), capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise AssertionError(f"tamarackctl {arguments}: {result.stderr}")
        return result

    def publish(self, document, check=True, flags=()):
        """Publishes a configuration by tamarackctl."""
        path = self.folder / f"config-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(document))
        return self.ctl("publish", str(path), *flags, check=check)

    def balance(self, budget):
        """Returns the balance of a budget as tamarackctl prints it."""
        result = self.ctl("--json", "budget", "balance", budget)
        return json.loads(result.stdout.splitlines()[0])

    def load(self, subject, mode="service", urls=None, **options):
        """Starts a load generator on all daemons, or on `urls`.

        subject: model or service to call. Each option is a flag of
        standin-load, True for a flag without a value.
        """
        arguments = ["--urls", urls or self.urls(), "--subject", subject,
                     "--mode", mode, "--key", options.pop("key", "key-ring")]
        for name, value in options.items():
            flag = "--" + name.replace("_", "-")
            arguments += [flag] if value is True else [flag, str(value)]
        return Load(arguments, self.folder)

    def executions_by_key(self):
        """Returns how often the services executed each request key."""
        executions = {}
        for url in self.services:
            for key, count in self.stats(url)["each"].items():
                executions[key] = executions.get(key, 0) + count
        return executions

    def document(self, **changes):
        """Returns the configuration of this fleet.

        changes: values that replace whole sections.
        """
        import hashlib

        def key_digest(name):
            return hashlib.sha256(("key-" + name).encode()).hexdigest()

        def rows(kind, urls, prefix):
            return [{"name": f"{prefix}-{n}", "kind": kind, "url": url,
                     "zone": self.zones[n % len(self.zones)],
                     "labels": {"use": kind}, "slots": 64}
                    for n, url in enumerate(urls)]
        accounts = []
        for name in self.tokens:
            entry = {"name": name, "key_sha256": [key_digest(name)]}
            if self.limits:
                entry["limits"] = self.limits
            accounts.append(entry)
        document = {
            "tamarackhall": 1,
            "accounts": accounts,
            "models": [{"name": "words", "max_tokens": 4096}],
            "services": [{"name": "sales",
                          "repeatable": self.repeatable_sales},
                         {"name": "lookups"}],
            "endpoints": rows("model", self.engines, "engine") +
            rows("service", self.services, "service"),
            "pools": [{"name": "words", "selector": {"use": "model"}},
                      {"name": "plain", "kind": "service",
                       "selector": {"use": "service"}}],
            "rules": [{"name": "words", "target": "words", "pool": "words"},
                      {"name": "plain", "order": 200, "pool": "plain"}],
        }
        document.update(changes)
        return document

    # Checks at the end of scenarios --------------------------------------

    def assert_billed(self, budget, delivered, slack=0):
        """Waits until the budget is billed what callers received.

        Also checks that no more was billed than was prepaid.
        delivered: tokens of responses that callers received.
        slack: tokens that may be billed in addition, for requests whose
        outcome the callers do not know.
        """
        def is_billed():
            row = self.balance(budget)
            return delivered <= row["billed"] <= delivered + slack
        wait_until(is_billed, f"{budget}: billed {self.balance(budget)}, "
                              f"delivered {delivered}, slack {slack}")
        row = self.balance(budget)
        assert row["billed"] <= row["prepaid"], row

    def assert_no_violations(self):
        """Checks what running daemons report about the records they read.

        No rule of the ledger may be violated, no checkpoint may differ from
        the state that a daemon has folded, and no record may be unreadable.
        """
        for name, process in self.processes.items():
            if name not in self.daemons or process.poll() is not None:
                continue
            for stream in self.status(name)["streams"]:
                assert stream["violations"] == 0, stream
                assert stream["digest_mismatches"] == 0, stream
                assert stream["unreadable"] == 0, stream


def create_certificates(folder):
    """Creates an authority and a certificate for 127.0.0.1 by openssl.

    Returns the paths by file name.
    """
    def openssl(*arguments):
        subprocess.run(["openssl", *arguments], check=True, cwd=folder,
                       capture_output=True)
    openssl("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
            "-subj", "/CN=test authority", "-keyout", "ca.key", "-out",
            "ca.pem", "-addext", "basicConstraints=critical,CA:TRUE")
    (folder / "san.cnf").write_text(
        "subjectAltName=IP:127.0.0.1,DNS:127.0.0.1\n")
    openssl("req", "-newkey", "rsa:2048", "-nodes", "-subj",
            "/CN=127.0.0.1", "-keyout", "own.key", "-out", "own.csr")
    openssl("x509", "-req", "-in", "own.csr", "-CA", "ca.pem", "-CAkey",
            "ca.key", "-CAcreateserial", "-days", "2", "-extfile", "san.cnf",
            "-out", "own.pem")
    return {name: str(folder / name) for name in ("ca.pem", "own.pem",
                                                  "own.key")}


def client_tls_context(authority):
    """Returns a TLS context that trusts only the given authority."""
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    return context
