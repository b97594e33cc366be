"""A request crashes each runner that runs it; then all routers are killed."""
import asyncio
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 1
FORM = sys.argv[2] if len(sys.argv) > 2 else "kill"
dice = random.Random(SEED)
STABLE_S = 3
BACK_S = 2.0


def play(record):
    arrivals = []
    with small.Fleet(record, routers=4, engines=1, desks=5,
                     zones=["zone-a", "zone-a", "zone-b", "zone-b"]) as fleet:
        usual = small.Runner.answer

        async def come_back(runner):
            await asyncio.sleep(BACK_S)
            await runner.restart(fleet.store)

        async def answer(self, line, headers, writer):
            if "/lookup/deadly" in line:
                arrivals.append((time.monotonic(), self.name))
                await self.crash()
                asyncio.ensure_future(come_back(self))
                return
            await usual(self, line, headers, writer)

        small.Runner.answer = answer
        for runner in fleet.runners.values():
            runner.work_s = 0.05
        fleet.start()
        stop = threading.Event()
        names = list(fleet.ports)
        counts = {}

        def sound(number):
            own = random.Random(number)
            while not stop.is_set():
                status = fleet.call(own.choice(names), "/lookup/a",
                                    f"g{number}-{own.random()}",
                                    Deadline_Ms="2000")[0]
                counts[status] = counts.get(status, 0) + 1
                time.sleep(0.1)

        threads = [threading.Thread(target=sound, args=(n,), daemon=True)
                   for n in range(8)]
        for thread in threads:
            thread.start()
        began = time.monotonic()
        shots = 0

        def shoot(until):
            nonlocal shots
            while time.monotonic() < began + until:
                shots += 1
                fleet.call(dice.choice(names), "/lookup/deadly", f"x{shots}",
                           body=b"the same", Deadline_Ms="2000")
                time.sleep(0.4)

        shoot(25)
        first = [at - began for at, _ in arrivals]
        record(f"arrivals before: {[round(a, 1) for a in first]}")
        restarted = time.monotonic()
        if small.trouble():
            if FORM == "drill":
                fleet.store.mode = "busy"
                time.sleep(0.5)
                fleet.do(fleet.store.restore())
                fleet.store.mode = "ok"
            else:
                for name in names:
                    fleet.kill(name)
                time.sleep(0.5)
                for name in names:
                    fleet.start_router(name)
                for name in names:
                    fleet.wait_ready(name)
            restarted = time.monotonic()
        shoot(60)
        stop.set()
        after = [at - restarted for at, _ in arrivals if at > restarted]
        text = (f"{FORM}: {shots} sent, before {len(first)}: "
                f"{[round(a, 1) for a in first]}, after "
                f"{[round(a, 1) for a in after]}; sound {counts}")
        record(text)
        print(text)
        late = ([a for a in first if len(first) > 2 and a > first[2] + STABLE_S]
                + [a for a in after if a > STABLE_S])
        return f"BUDGET: {len(late)}" if len(late) > 3 else None


small.main(__file__, play)
