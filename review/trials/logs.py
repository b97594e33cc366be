"""The reader of a router's standard output stops reading for some seconds."""
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

STALL_S = 20
REQUESTS = 600


class Collector(threading.Thread):
    """Reads a router's standard output, but for some seconds."""

    def __init__(self, stream):
        super().__init__(daemon=True)
        self.stream, self.reads, self.bytes = stream, threading.Event(), 0
        self.reads.set()

    def run(self):
        while True:
            self.reads.wait()
            data = os.read(self.stream.fileno(), 4096)
            if not data:
                return
            self.bytes += len(data)


def play(record):
    with small.Fleet(record) as fleet:
        start = subprocess.Popen

        def popen(command, **more):
            more["stdout"] = subprocess.PIPE
            return start(command, **more)

        subprocess.Popen = popen
        fleet.start()
        subprocess.Popen = start
        collectors = {name: Collector(process.stdout)
                      for name, process in fleet.processes.items()}
        for collector in collectors.values():
            collector.start()
        name = "router-0"
        before = fleet.call(name, "/lookup/a", "before")[0]
        if small.trouble():
            collectors[name].reads.clear()
            record(f"the output of {name} is no longer read")
        statuses = {}
        end = time.monotonic() + STALL_S
        for number in range(REQUESTS):
            if time.monotonic() > end:
                break
            status = fleet.call(name, "/sale/a", f"odd-{number}",
                                key="never-held", timeout=3)[0]
            time.sleep(0.01)
            statuses[status] = statuses.get(status, 0) + 1
        good = [fleet.call(name, "/lookup/a", f"good-{n}", timeout=9)[0]
                for n in range(3)]
        other = fleet.call("router-1", "/lookup/a", "other")[0]
        ready = fleet.is_ready(name)
        collectors[name].reads.set()
        time.sleep(1)
        after = fleet.call(name, "/lookup/a", "after", timeout=9)[0]
        text = (f"before {before}; with unknown keys {statuses}; good {good}; "
                f"at the other router {other}; ready {ready}; after {after}; "
                f"log bytes read {collectors[name].bytes}")
        record(text)
        print(text)
        if before == 200 and not any(status == 200 for status in good):
            return f"CONFIG: {len(good)} requests unanswered at timeoutMs"
        return None


small.main(__file__, play)
