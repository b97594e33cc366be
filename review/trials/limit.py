"""A runner states a limit; the store is away or comes back older meanwhile."""
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 1
LIMIT = float(sys.argv[2]) if len(sys.argv) > 2 else 4
FORM = sys.argv[3] if len(sys.argv) > 3 else "drill"
dice = random.Random(SEED)
WINDOW_S = 4


def play(record):
    arrivals, first = [], []
    routers = dice.choice([3, 5, 7])
    with small.Fleet(record, routers=routers, engines=1, desks=2,
                     zones=[f"zone-{'ab'[n % 2]}" for n in range(routers)]
                     ) as fleet:
        async def answer(self, line, headers, writer):
            request = headers.get("attempt-id", "")
            marks = [("Attempt-Id", request), ("Server-Stamp", "s")]
            if self.name == "desk-0" and request:
                arrivals.append(time.monotonic())
                if stated[0]:
                    first.append(time.monotonic())
                    marks.append(("Server-Limit", f"{LIMIT}"))
            writer.write(small.answer_bytes(200, b"ok", marks))
            await writer.drain()

        stated = [False]
        small.Runner.answer = answer
        fleet.start()
        names = list(fleet.ports)
        hot = [names]
        stop = threading.Event()

        def client(number):
            own = random.Random(SEED * 100 + number)
            while not stop.is_set():
                fleet.call(own.choice(hot[0]), "/lookup/a",
                           f"c{number}-{own.random()}", Deadline_Ms="2000")
                time.sleep(0.1)

        for number in range(10):
            threading.Thread(target=client, args=(number,), daemon=True).start()
        time.sleep(5)
        fleet.do(fleet.store.save())
        stated[0] = True
        for _ in range(4):
            time.sleep(dice.uniform(0.5, 5))
            hot[0] = dice.sample(names, dice.randrange(1, len(names) + 1))
            if small.trouble():
                fleet.store.mode = "busy"
                time.sleep(0.5 if FORM == "drill" else 6)
                if FORM == "drill":
                    fleet.do(fleet.store.restore())
                fleet.store.mode = "ok"
            time.sleep(dice.uniform(3, 8))
            hot[0] = dice.sample(names, dice.randrange(1, len(names) + 1))
            fleet.do(fleet.store.save())
        stop.set()
        start = first[0] + 3
        times = [at for at in arrivals if at >= start]
        most = max((sum(at <= other < at + WINDOW_S for other in times)
                    for at in times), default=0)
        allowed = LIMIT * WINDOW_S * 1.5 + 5
        text = (f"seed {SEED}, {FORM}, {routers} routers: most in {WINDOW_S} s "
                f"{most}, allowed {allowed}, {len(times)} in all")
        record(text)
        print(text)
        return f"LIMIT: {most}" if most > allowed else None


small.main(__file__, play)
