"""Stand-in for servers whose answers are written byte by byte.

A function of the test answers each request through an Arrival: it reads as
much of the request as it likes, writes any bytes, and ends the connection in
any way. A RawEndpoint also registers itself in the store of a PlatformFleet.
"""
import contextlib
import json
import socket
import struct
import threading
import time

from harness import http, wait_until
from platform_fleet import encode_keyed_record

HEARTBEAT_S = 0.4
READ_BYTES = 65_536
ACCEPT_POLL_S = 0.1
SILENCE_S = 30  # Longest wait for bytes of a request.
HEAD_END = b"\r\n\r\n"


def reset(connection):
    """Closes a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


class Arrival:
    """A request whose head has arrived."""

    def __init__(self, connection, head, received, number):
        self.connection = connection
        self.number = number  # Of the requests on this connection, from 0.
        self.received = received  # Of the body.
        lines = head.decode("latin-1").split("\r\n")
        self.fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            self.fields[name.lower()] = value.strip()
        self.method, self.path = lines[0].split(" ")[:2]
        self.id = (self.fields.get("attempt-id")
                   or self.fields.get("x-request-id", ""))
        self.body_bytes = int(self.fields.get("content-length", "0"))

    def read_body(self, size=None):
        """Reads the body, or at least its first bytes."""
        wanted = self.body_bytes if size is None else size
        while len(self.received) < min(wanted, self.body_bytes):
            data = self.connection.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the request has no end")
            self.received += data

    def send(self, data):
        self.connection.sendall(data)

    def head(self, status="200 OK", *fields):
        """Returns a head that names this request and is signed."""
        lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {self.id}",
                 f"X-Request-Id: {self.id}", f"Server-Stamp: raw.{self.id}",
                 *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def whole(self, body=b"{}", status="200 OK", *fields):
        """Returns a complete answer."""
        return self.head(status, f"Content-Length: {len(body)}",
                         *fields) + body

    def reset(self):
        reset(self.connection)

    def close(self):
        """Ends the answer; the other side may go on writing unheard."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(OSError):
            while self.connection.recv(READ_BYTES):
                pass
        self.connection.close()


class RawServer(contextlib.AbstractContextManager):
    """Answers each request by respond(arrival).

    A connection is used again if `respond` leaves it open and has read the
    request. receive_bytes: bytes that the kernel keeps unread, about.
    """

    def __init__(self, respond, receive_bytes=None):
        self.respond = respond
        self.seen = []  # Ids of the requests that arrived.
        self.listener = socket.socket()
        if receive_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                     receive_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.listener.settimeout(ACCEPT_POLL_S)
        self.port = self.listener.getsockname()[1]
        self.ended = False
        self.threads = [threading.Thread(target=self.accept, daemon=True)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended = True
        for thread in self.threads:
            thread.join()
        self.listener.close()

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except socket.timeout:
                continue
            connection.settimeout(SILENCE_S)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        """Answers the requests on one connection."""
        number = 0
        received = b""
        with contextlib.suppress(OSError, ValueError):
            while True:
                while HEAD_END not in received:
                    data = connection.recv(READ_BYTES)
                    if not data:
                        return
                    received += data
                head, received = received.split(HEAD_END, 1)
                arrival = Arrival(connection, head, received, number)
                self.seen.append(arrival.id)
                self.respond(arrival)
                arrival.read_body()
                received = arrival.received[arrival.body_bytes:]
                number += 1


class RawEndpoint(RawServer):
    """A RawServer that registers itself as an endpoint of `service`."""

    def __init__(self, fleet, name, service, respond, receive_bytes=None,
                 slots=64):
        super().__init__(respond, receive_bytes)
        self.slots = slots
        self.fleet = fleet
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.threads.append(threading.Thread(target=self.register,
                                             daemon=True))

    def register(self):
        sequence = 0
        while not self.ended:
            sequence += 1
            entry = {"service": self.service, "zone": "zone-a",
                     "slots": self.slots,
                     "address": f"127.0.0.1:{self.port}", "state": "ready",
                     "version": "v1", "coldLeftMs": 0, "sequence": sequence,
                     "born": self.born}
            with contextlib.suppress(OSError):
                http("POST", self.fleet.store +
                     "/-/log-append?topic=keyed.servers&part=0",
                     body=encode_keyed_record(self.name,
                                              json.dumps(entry).encode()),
                     headers={"X-Operator": "1"})
            time.sleep(HEARTBEAT_S)


def wait_for_endpoints(fleet, count):
    """Waits until each router knows so many endpoints."""
    wait_until(lambda: all(fleet.endpoint_count(name) == count
                           for name in fleet.routers), f"{count} endpoints")
