"""An engine crashes and is back under its id in another version.

The entry review/2 of KNOWN-RED.txt, on the stand-ins of review/lib-2. TROUBLE=0:
it is back in the version that it had.
"""
import concurrent.futures
import pathlib
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as f  # noqa: E402

STREAMS = 24
DOWN_S = 2.0  # From the crash until the engine is back.
STARTING_S = 0.15  # That a runner takes until it listens and registers.
AGAIN_S = 2.1  # From the break until the clients take up.
ALLOWED = 2  # Streams with events of two versions, by the rule ORDER.
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ by (\S+)\n\n")


def case(trouble, folder):
    models = {"model-0": {"service": "models", "event_ms": 40, "slots": 64,
                          "version": "v1"}}
    with f.Fleet(4, models, slack=1000) as fleet, \
            concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        names = list(fleet.routers)
        time.sleep(3)

        def ask(number, router, **more):
            return fleet.stream(names[router % 4], more.pop("id", f"s{number}"),
                                events=150, body=f"text {number}".encode(),
                                **more)
        first = [pool.submit(ask, n, n) for n in range(STREAMS)]
        time.sleep(1.5)
        fleet.kill("model-0")
        broken_at = time.monotonic()
        first = [one.result() for one in first]
        time.sleep(max(0, broken_at + DOWN_S - STARTING_S - time.monotonic()))
        fleet.start_runner("model-0", version="v2" if trouble else "v1")
        time.sleep(max(0, broken_at + AGAIN_S - time.monotonic()))

        def take_up(number):
            """Takes up; while refused, again until the time limit."""
            events = EVENT.findall(first[number].body)
            if not events:
                return set()
            end = time.monotonic() + 4
            for turn in range(20):
                answer = ask(number, number + 1, id=f"s{number}-{turn}",
                             Resumes=f"s{number}",
                             Last_Event_Id=events[-1][0].decode())
                more = EVENT.findall(answer.body)
                if more or time.monotonic() > end:
                    return {v for _, v in events + more}
                time.sleep(0.3)
            return set()
        versions = list(pool.map(take_up, range(STREAMS)))
        mixed = sum(len(v) > 1 for v in versions)
        begun = sum(bool(EVENT.findall(a.body)) for a in first)
        verdict = (f"{begun} streams begun, {mixed} hold events of two "
                   f"versions, {ALLOWED} are allowed")
        print(verdict)
        return f.BROKEN if mixed > ALLOWED else f.HELD


f.main(case, HERE)
