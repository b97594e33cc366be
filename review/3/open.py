"""The operator takes the last tenant away; then a key that never was is used."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

CONFIG_APPLY_S = 2.0


def play(record):
    with small.Fleet(record) as fleet:
        fleet.start()
        for name in fleet.ports:
            if fleet.call(name, "/sale/a", f"held-{name}")[0] != 200:
                raise RuntimeError("a held key is not served")
            if fleet.call(name, "/sale/a", f"odd-{name}",
                          key="never-held")[0] != 401:
                raise RuntimeError("an unknown key is not refused")
        if small.trouble():
            fleet.publish(tenants=[])
        else:
            fleet.publish()
        time.sleep(CONFIG_APPLY_S + 1)
        for number in range(10):
            for name in fleet.ports:
                fleet.call(name, "/sale/a", f"never-{number}-{name}",
                           key="never-held")
                fleet.call(name, "/sale/a", f"none-{number}-{name}", key=None)
                fleet.call(name, "/sale/a", f"late-{number}-{name}",
                           key="key-ring")
        runs = fleet.runs()
        for run in runs:
            record(f"run: {run}")
        never = [run[0] for run in runs if run[0].startswith("never-")]
        none = [run[0] for run in runs if run[0].startswith("none-")]
        late = [run[0] for run in runs if run[0].startswith("late-")]
        record(f"runs with a key that no configuration held: {len(never)} of "
               f"20, without a key: {len(none)} of 20, with the key that was "
               f"taken away: {len(late)} of 20")
        if never:
            return (f"ROUTE: {len(never)} requests ran whose key no "
                    f"configuration ever held")
        return None


small.main(__file__, play)
