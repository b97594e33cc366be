"""A client sends TRACE with a body, which RFC 9110 forbids to clients."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small


def play(record):
    with small.Fleet(record) as fleet:
        fleet.start()
        fleet.call("router-0", "/lookup/a", "trace",
                   method="TRACE" if small.trouble() else "POST")
        time.sleep(0.5)
        process = fleet.processes["router-0"]
        if process.poll() is not None:
            record(fleet.log("router-0")[-200:])
            return f"the router has ended with {process.returncode}"
        return None


small.main(__file__, play)
