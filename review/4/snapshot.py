"""Entries of another writer stand in the list when the routers start again."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

RECOVER_S = 12
ENTRIES = 5
KEY = "canary&{}"
MEMORY_MB = 110  # "A process that exceeds `memoryMb` is killed."


def resident_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


class Platform(threading.Thread):
    """Kills a router that exceeds its memory and starts it again."""

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet, self.record, self.kills = fleet, record, 0
        self.active = threading.Event()

    def run(self):
        while True:
            time.sleep(0.05)
            for name in self.fleet.ports:
                if self.active.is_set():
                    self.check(name)

    def check(self, name):
        try:
            used = resident_mb(self.fleet.processes[name])
        except (OSError, IndexError):
            return
        if used > MEMORY_MB:
            self.record(f"{name} uses {used:.0f} MB of {MEMORY_MB}")
            self.fleet.kill(name)
            self.kills += 1
            time.sleep(0.3)
            self.fleet.start_router(name)


def served(fleet, tag, seconds):
    """Sends ten requests a second; returns those sent and those served."""
    sent = good = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in fleet.ports:
            sent += 1
            good += fleet.call(name, "/lookup/a", f"{tag}-{sent}",
                               timeout=9)[0] == 200
        time.sleep(0.2)
    return sent, good


def play(record):
    with small.Fleet(record) as fleet:
        fleet.start()
        platform = Platform(fleet, record)
        platform.start()
        platform.active.set()
        before = served(fleet, "before", 3)
        record(f"before: {before[1]} of {before[0]} served")
        if small.trouble():
            for number in range(ENTRIES):
                fleet.do(fleet.store.write("keyed.servers",
                                           KEY.format(number),
                                           b"\xff" * (small.RECORD_BYTES - 100)))
            record(f"{ENTRIES} entries of another writer")
        time.sleep(3)
        meanwhile = served(fleet, "meanwhile", 3)
        record(f"meanwhile: {meanwhile[1]} of {meanwhile[0]} served")
        platform.active.clear()
        for name in fleet.ports:
            fleet.kill(name)
        time.sleep(1)
        for name in fleet.ports:
            fleet.start_router(name)
        platform.active.set()
        time.sleep(RECOVER_S)
        after = served(fleet, "after", 6)
        record(f"sent later than {RECOVER_S} s after the machines were back: "
               f"{after[1]} of {after[0]} served")
        record(f"killed over {MEMORY_MB} MB: {platform.kills} times")
        if before[1] * 4 >= before[0] and after[1] * 4 < after[0]:
            return (f"RECOVER: {after[1]} of {after[0]} requests served, "
                    f"{before[1]} of {before[0]} before")
        return None


small.main(__file__, play)
