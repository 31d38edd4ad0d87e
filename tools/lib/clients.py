"""Tests of clients beyond the limits, run by tools/clients.sh.

Each case starts a platform, a node and its target on loopback addresses with
low limits, plays a small crowd of clients and checks the node: the same process
lives, its peak memory and its open descriptors stay within its settings, and
one ordinary request is answered while the crowd is connected and another one
once it has left. No check depends on the speed of the machine.
"""

import argparse
import http.client
import os
import pathlib
import socket
import sys
import threading
import time

from mesh import CALLER_PORT, Mesh, StepFailed, peak_rss_mb

# The bounds: settings of the node, which it has to keep.
MEMORY_LIMIT = 64  # MB; peak resident memory.
MAX_DESCRIPTORS = 128
# The crowd.
CLIENTS = 60
SILENT_CLIENTS = 300
BODY_LIMIT = 4 * 1024 * 1024  # Bytes; max_body of the route.
LARGE_CHUNK = 64 * 1024
SMALL_CHUNKS = 1_600_000  # Chunks of one byte in a body.
ANSWER = 4_000_000  # Bytes.
PIPELINED = 8
HANG_SECONDS = 120  # A node that answers nothing for so long hangs.

CONFIGURATION = f"""epoch: 1
mesh: clients

services:
  service-0:
    slots: 10
    queue: 20
    connections: 100
    routes:
      - path: /read
        methods: [GET, HEAD]
        repeatable: true
        deadline: 30s
      - path: /bookings
        methods: [POST]
        repeatable: false
        deadline: 5s
        max_body: {BODY_LIMIT}B
"""
HEAD = b"POST /bookings HTTP/1.1\r\nHost: service-0\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def send_large_chunks(client, _left):
    """Stops one chunk short of the limit."""
    client.sendall(CHUNKED)
    for _ in range(BODY_LIMIT // LARGE_CHUNK - 1):
        client.sendall(chunk(LARGE_CHUNK))


def send_small_chunks(client, _left):
    client.sendall(CHUNKED)
    block = chunk(1) * 10_000
    for _ in range(SMALL_CHUNKS // 10_000):
        client.sendall(block)


def send_announced(client, _left):
    client.sendall(HEAD + b"Content-Length: 1000000000\r\n\r\n")
    for _ in range(4 * BODY_LIMIT // LARGE_CHUNK):
        client.sendall(b"x" * LARGE_CHUNK)


def send_without_end(client, left):
    client.sendall(CHUNKED)
    while not left.is_set():
        client.sendall(chunk(LARGE_CHUNK))


def read_slowly(client, left):
    line = f"GET /read?bytes={ANSWER} HTTP/1.1\r\nHost: service-0\r\n\r\n"
    client.sendall(line.encode() * PIPELINED)
    while not left.wait(0.5):
        client.recv(512)


def send_head_without_end(client, left):
    client.sendall(b"GET /read HTTP/1.1\r\nHost: service-0\r\n")
    while not left.wait(0.5):
        client.sendall(b"x-field: value\r\n")


def send_nothing(_client, _left):
    pass


def leave(client, _left):
    client.sendall(CHUNKED + chunk(LARGE_CHUNK) * 8)
    client.close()


BODIES = [send_large_chunks, send_small_chunks, send_announced,
          send_without_end]
# Case: the behaviours of its clients, in turn, and their number.
CASES = {
    "large-chunks": ([send_large_chunks], CLIENTS),
    "small-chunks": ([send_small_chunks], CLIENTS),
    "announced": ([send_announced], CLIENTS),
    "without-end": ([send_without_end], CLIENTS),
    "slow-readers": ([read_slowly], CLIENTS),
    "heads-and-silence": ([send_head_without_end, send_nothing],
                          SILENT_CLIENTS),
    "mix": (BODIES + [read_slowly, send_head_without_end, send_nothing, leave],
            2 * CLIENTS),
}


class Client(threading.Thread):
    """Plays one behaviour; stays connected until `left` is set."""

    def __init__(self, address, behaviour, left):
        super().__init__(daemon=True)
        self.address, self.behaviour, self.left = address, behaviour, left
        self.played = threading.Event()

    def run(self):
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(HANG_SECONDS)
            try:
                client.connect((self.address, CALLER_PORT))
                self.behaviour(client, self.left)
            except OSError:
                pass  # The node may refuse or close.
            self.played.set()
            self.left.wait()


class Observer(threading.Thread):
    """Records the largest number of open descriptors of a process."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.folder = pathlib.Path(f"/proc/{process.pid}/fd")
        self.most, self.stopped = 0, threading.Event()

    def run(self):
        while not self.stopped.wait(0.02):
            try:
                self.most = max(self.most, len(os.listdir(self.folder)))
            except OSError:
                return


def ordinary_request(address):
    """Whether one request, repeated while it is refused, is answered 200."""
    end = time.monotonic() + HANG_SECONDS
    while time.monotonic() < end:
        connection = http.client.HTTPConnection(address, CALLER_PORT,
                                                timeout=10)
        try:
            connection.request("GET", "/read", headers={"Host": "service-0"})
            answer = connection.getresponse()
            answer.read()
            if answer.status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.1)
    return False


def play(name):
    """Plays one case; returns the checks that failed."""
    behaviours, count = CASES[name]
    with Mesh("clients") as mesh:
        host = mesh.add_host("service-0", "domain-0", "region-0")
        mesh.start_platform()
        mesh.publish_hosts()
        index, _ = mesh.publish(CONFIGURATION)
        mesh.start_target(host, service_time="5ms")
        mesh.start_node(host, memory_limit=MEMORY_LIMIT,
                        max_descriptors=MAX_DESCRIPTORS)
        mesh.wait_adopted(index, 60, "first configuration")
        if not ordinary_request(host.ip):
            raise StepFailed("no answer before the crowd")
        observer = Observer(host.node)
        observer.start()
        left = threading.Event()
        crowd = [Client(host.ip, behaviours[number % len(behaviours)], left)
                 for number in range(count)]
        for client in crowd:
            client.start()
        # Behaviours without an end play until the crowd leaves.
        end = time.monotonic() + 25
        for client in crowd:
            client.played.wait(max(0.0, end - time.monotonic()))
        during = ordinary_request(host.ip)
        left.set()
        for client in crowd:
            client.join(HANG_SECONDS)
        after = ordinary_request(host.ip)
        lives = host.node.poll() is None
        peak = peak_rss_mb(host.node) if lives else 0.0
        observer.stopped.set()
        observer.join()
        checks = {"lives": lives, "memory": peak < MEMORY_LIMIT,
                  "descriptors": observer.most < MAX_DESCRIPTORS,
                  "answered_during": during, "answered_after": after}
        failed = [check for check, passed in checks.items() if not passed]
        print(f"case={name} peak_mb={peak:.1f} descriptors={observer.most} "
              f"failed={','.join(failed) or 'none'}", flush=True)
        return failed


def main():
    parser = argparse.ArgumentParser(prog="clients.sh", description=__doc__)
    parser.add_argument("cases", nargs="*", metavar="CASE",
                        help=f"cases to play, by default all: "
                             f"{', '.join(CASES)}")
    arguments = parser.parse_args()
    unknown = set(arguments.cases) - set(CASES)
    if unknown:
        parser.error(f"no such case: {', '.join(sorted(unknown))}")
    failed = [name for name in arguments.cases or CASES if play(name)]
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
