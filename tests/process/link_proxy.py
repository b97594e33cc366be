"""A slow link of one router: what comes in over it waits in one queue.

The router and all others reach each other only through Link.port_to(): all
bytes towards the router, of all connections, leave the queue in their order at
the rate of the link. Bytes that the router sends are not slowed. While the queue
is long, the router opens no connection: the answer to its opening packet would
wait in the queue too.
"""
import collections
import contextlib
import socket
import threading
import time

READ_BYTES = 4_096
BACKLOG = 1_024
POLL_S = 0.05
LONG_DELAY_S = 0.3  # Of the queue, for which nobody waits for a connection.
# Connections that fill the queue of a listener that accepts none.
QUEUE_FILLERS = 3


class Link:
    """bytes_per_s: rate of the link in the direction of the router."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.queue = collections.deque()  # Sockets and what is sent on them.
        self.has_more = threading.Condition()
        self.queued_bytes = 0
        self.router_listeners = []  # To which the router connects.
        self.fillers = []  # While the queue is long.
        threading.Thread(target=self.send_all, daemon=True).start()
        threading.Thread(target=self.watch_queue, daemon=True).start()

    def delay_s(self):
        """Time that bytes which come now wait in the queue."""
        return self.queued_bytes / self.bytes_per_s

    def send_all(self):
        while True:
            with self.has_more:
                while not self.queue:
                    self.has_more.wait()
                target, data = self.queue.popleft()
            time.sleep(max(1, len(data)) / self.bytes_per_s)
            self.queued_bytes -= len(data)
            with contextlib.suppress(OSError):
                if data:
                    target.sendall(data)
                else:
                    target.shutdown(socket.SHUT_WR)

    def is_long(self):
        return self.delay_s() > LONG_DELAY_S

    def watch_queue(self):
        while True:
            time.sleep(POLL_S)
            if self.is_long() and not self.fillers:
                self.refuse_connections()
            elif not self.is_long() and self.fillers:
                self.take_connections()

    def refuse_connections(self):
        for listener in self.router_listeners:
            listener.listen(0)
            for _ in range(QUEUE_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                self.fillers.append(filler)

    def take_connections(self):
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()
        for listener in self.router_listeners:
            listener.listen(BACKLOG)

    def enqueue(self, target, data):
        with self.has_more:
            self.queue.append((target, data))
            self.queued_bytes += len(data)
            self.has_more.notify()

    def port_to(self, port, router_connects):
        """Returns a port that leads to another one over the link.

        router_connects: the router opens the connections, to a server on the
        other side of the link. Otherwise callers open them, to the router.
        """
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(BACKLOG)
        if router_connects:
            self.router_listeners.append(listener)
        threading.Thread(target=self.accept,
                         args=(listener, port, router_connects),
                         daemon=True).start()
        return listener.getsockname()[1]

    def accept(self, listener, port, router_connects):
        while True:
            while router_connects and self.is_long():
                time.sleep(POLL_S)
            near, _ = listener.accept()
            try:
                far = socket.create_connection(("127.0.0.1", port))
            except OSError:
                near.close()
                continue
            router, other = (near, far) if router_connects else (far, near)
            threading.Thread(target=self.pump_in, args=(other, router),
                             daemon=True).start()
            threading.Thread(target=self.pump_out, args=(router, other),
                             daemon=True).start()

    def pump_in(self, source, router):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self.enqueue(router, data)
        self.enqueue(router, b"")

    def pump_out(self, router, target):
        with contextlib.suppress(OSError):
            while data := router.recv(READ_BYTES):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
