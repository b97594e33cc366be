"""The store comes back from a copy while all routers are killed.

The entry review/1 of KNOWN-RED.txt in another form. TROUBLE=0 leaves out the drill and the kill.
"""
import concurrent.futures
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as f  # noqa: E402

PREPAID = 20_000
PROMPT, EVENTS = 90, 10  # A stream: 100 tokens at most.
COPY_AGE_S = 4  # "some seconds old"


def spend(fleet, tag, seconds, most=10_000):
    """Sends streams at all routers; ends early if all is refused with 402."""
    names = list(fleet.routers)
    answers = []
    end = time.monotonic() + seconds
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        number = 0
        while time.monotonic() < end and len(answers) < most:
            some = list(pool.map(lambda n: fleet.stream(
                names[n % len(names)], f"{tag}-{n}", events=EVENTS,
                prompt=PROMPT), range(number, number + 4)))
            number += 4
            answers += some
            if sum(a.status == 402 for a in answers[-16:]) == 16:
                break
            time.sleep(0.1)
    return answers


def tokens_of(answers):
    """Tokens that the tenant got: prompt once, and events delivered."""
    total = 0
    for answer in answers:
        events = answer.body.count(b"\n\n") if answer.status == 200 else 0
        total += PROMPT + events if answer.status == 200 else 0
    return total


def case(trouble, folder):
    models = {f"model-{n}": {"service": "models", "event_ms": 5}
              for n in range(4)}
    with f.Fleet(2, models, prepaid=PREPAID) as fleet:
        answers = spend(fleet, "early", 2, most=16)
        if trouble:
            fleet.control_store("copy=1")
        answers += spend(fleet, "since", COPY_AGE_S)
        before = tokens_of(answers)
        if trouble:
            fleet.control_store("away=1")
            for name in fleet.routers:
                fleet.kill(name)
            time.sleep(1)
            fleet.control_store("restore=1")
            for name in fleet.routers:
                fleet.start_router(name)
            for name in fleet.routers:
                fleet.wait_ready(name)
        fleet.note("the tenant goes on")
        answers += spend(fleet, "after", 60)
        total = tokens_of(answers)
        refused = sum(a.status == 402 for a in answers)
        verdict = (f"the tenant got {total} tokens of {PREPAID} prepaid, "
                   f"{before} of them before the drill; {refused} answers 402")
        print(verdict)
        if not refused:
            raise f.CannotRun("the budget was not spent to its end")
        return f.BROKEN if total > PREPAID else f.HELD


f.main(case, HERE)
