"""A runner in trouble sends bytes without end, until the caller closes."""
import asyncio
import concurrent.futures
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

CLIENTS = 40
MEMORY_MB = 110
TIMEOUT_S = 8.0

HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: %s\r\n"
FORMS = {
    "no head": (b"", b"x" * 4096),
    "head line": (HEAD + b"A: ", b"x" * 4096),
    "head fields": (HEAD, b"A: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n" * 64),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 4096),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=",
                        b"x" * 4096),
    "trailer": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
                b"A: bbbbbbbbbbbbbbbbb\r\n" * 64),
    "body": (HEAD + b"\r\n", b"x" * 4096),
    "long body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
               (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 16),
    "tiny chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                    b"1\r\nx\r\n" * 700),
    "interim": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 100),
    "others": (b"", (b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                     b"Attempt-Id: other\r\nContent-Length: 4\r\n\r\nabcd")
               * 30),
    "other body": (b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: o\r\n"
                   b"Transfer-Encoding: chunked\r\n\r\n",
                   (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 16),
    "after": (HEAD + b"Content-Length: 2\r\n\r\nok", b"x" * 4096),
}
FORM = ""


async def answer(self, line, headers, writer):
    request = headers.get("attempt-id", "")
    start, more = FORMS[FORM]
    if request and "Attempt-Id: %s" % "" and b"%s" in start:
        start = start % request.encode()
    if "/stream/" in line:
        start = start.replace(b"\r\nA", b"\r\nContent-Type: "
                              b"text/event-stream\r\nA", 1)
    writer.write(start)
    try:
        while not writer.transport.is_closing():
            writer.write(more)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        pass


def resident_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


def play(record):
    global FORM
    broken = []
    with small.Fleet(record) as fleet:
        fleet.start()
        small.Runner.answer = answer
        name = "router-0"
        most = [0.0]

        def watch():
            while True:
                try:
                    most[0] = max(most[0],
                                  resident_mb(fleet.processes[name]))
                except (OSError, IndexError):
                    return
                time.sleep(0.01)

        threading.Thread(target=watch, daemon=True).start()
        for form in FORMS:
            FORM = form
            for path in ("/lookup/a", "/stream/x"):
                most[0] = 0

                def one(number):
                    began = time.monotonic()
                    more = {}
                    if "stream" in path:
                        more = {"Token_Count": "100,20", "Model": "m",
                                "Prompt_Prefix": f"{number + 16:x}:100"}
                    status = fleet.call(name, path, f"{form[:3]}-{number}",
                                        timeout=10, Deadline_Ms="2500",
                                        **more)[0]
                    return status, time.monotonic() - began

                with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
                    done = list(pool.map(one, range(CLIENTS)))
                statuses = {}
                for status, _ in done:
                    statuses[status] = statuses.get(status, 0) + 1
                slowest = max(took for _, took in done)
                alive = fleet.processes[name].poll() is None
                text = (f"{form}, {path}: {statuses}, slowest {slowest:.1f} s, "
                        f"most memory {most[0]:.0f} MB, alive {alive}")
                record(text)
                print(text, flush=True)
                if not alive or most[0] > MEMORY_MB or slowest > 4:
                    broken.append(form)
                if not alive:
                    return "ended"
    return f"{broken}" if broken else None


small.main(__file__, play)
