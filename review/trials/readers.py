"""Clients ask for large answers and read them late."""
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

CLIENTS = 60
ANSWER_BYTES = 4_000_000
MEMORY_MB = 110
PAUSE_S = 4


async def answer(self, line, headers, writer):
    marks = [("Attempt-Id", headers.get("attempt-id", "")),
             ("Server-Stamp", "s")]
    writer.write(small.answer_bytes(200, b"x" * ANSWER_BYTES, marks))
    await writer.drain()


def play(record):
    with small.Fleet(record, desks=4) as fleet:
        fleet.start()
        small.Runner.answer = answer
        name = "router-0"
        process, most = fleet.processes[name], 0.0
        pause = PAUSE_S if small.trouble() else 0
        got = []

        def client(number):
            request = (f"GET /lookup/a HTTP/1.1\r\nHost: ring.example\r\n"
                       f"Attempt-Id: r{number}\r\nDeadline-Ms: 8000\r\n"
                       f"Key: key-ring\r\nConnection: close\r\n\r\n").encode()
            with socket.create_connection((small.HOST,
                                           fleet.ports[name][0])) as channel:
                channel.settimeout(10)
                channel.sendall(request)
                time.sleep(pause)
                size = 0
                try:
                    while data := channel.recv(65536):
                        size += len(data)
                except OSError as error:
                    record(repr(error))
                got.append(size)

        threads = [threading.Thread(target=client, args=(n,), daemon=True)
                   for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
            time.sleep(0.04)
        end = time.monotonic() + PAUSE_S + 4
        while time.monotonic() < end:
            try:
                text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
                most = max(most, int(text.split("VmRSS:")[1].split()[0]) / 1024)
            except (OSError, IndexError):
                break
            time.sleep(0.01)
        for thread in threads:
            thread.join(12)
        whole = sum(size > ANSWER_BYTES for size in got)
        text = (f"most memory {most:.0f} MB of {MEMORY_MB}; {whole} of "
                f"{CLIENTS} answers whole")
        record(text)
        print(text)
        return f"memory {most:.0f} MB" if most > MEMORY_MB else None


small.main(__file__, play)
