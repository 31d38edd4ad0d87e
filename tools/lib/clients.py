"""Tests of clients beyond the limits, run by tools/clients.sh.

Each case starts a platform, a node and its target on loopback addresses with
low limits, plays a small crowd of clients and checks the node: the same process
lives, its peak memory and its open descriptors stay within its settings, and
one ordinary request is answered while the crowd is connected and another one
once it has left. No check depends on the speed of the machine.

In the cases of a target's node the crowd is connected to other nodes, which have
memory to spare, and the node beside the target is checked. In those of a caller's
node the target is beside another one, behind a slow link, so that answers take
their time.
"""

import argparse
import dataclasses
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
MB_IN_MIB = 1.048576
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
ROUNDS = 3  # Requests of a client that waits for its answers.
EDGES = 3  # Nodes of the crowd beside the checked one.
EDGE_MEMORY_LIMIT = 1024  # MB; of the nodes that are not checked.
LINK_MBPS = 100  # Of the target's node, where answers are to take time.
SERVICE_TIME = "100ms"  # Of the target, where bodies are to stay for a while.
SMALL_MEMORY_LIMIT = 40  # MB; of a small host.
LARGE_BODY_LIMIT = 16 * 1024 * 1024  # Bytes; the largest max_body there is.

CONFIGURATION = """epoch: 1
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
        max_body: {limit}B
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


def send_short_of_large_limit(client, _left):
    """Stops one chunk short of the largest limit."""
    client.sendall(CHUNKED)
    for _ in range(LARGE_BODY_LIMIT // LARGE_CHUNK - 1):
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


def read_answer(client):
    """Reads a whole answer, whatever it says; raises OSError if it is cut."""
    answer = http.client.HTTPResponse(client)
    try:
        answer.begin()
        answer.read()
    except http.client.HTTPException as error:
        raise OSError from error
    if answer.will_close:
        raise OSError


def upload(client, _left):
    """Sends bodies inside the limits."""
    for _ in range(ROUNDS):
        client.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT)
        client.sendall(b"x" * BODY_LIMIT)
        read_answer(client)


def upload_chunked(client, _left):
    for _ in range(ROUNDS):
        client.sendall(CHUNKED)
        for _ in range(BODY_LIMIT // LARGE_CHUNK):
            client.sendall(chunk(LARGE_CHUNK))
        client.sendall(b"0\r\n\r\n")
        read_answer(client)


def upload_and_leave(client, _left):
    client.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT)
    client.sendall(b"x" * BODY_LIMIT)
    client.close()


def leave(client, _left):
    client.sendall(CHUNKED + chunk(LARGE_CHUNK) * 8)
    client.close()


BODIES = [send_large_chunks, send_small_chunks, send_announced,
          send_without_end]


@dataclasses.dataclass
class Case:
    """The behaviours of the clients, in turn, their number, and the nodes."""

    behaviours: list
    clients: int = CLIENTS
    checked: str = "both"  # Or "target" or "caller": the side of the node.
    memory_limit: int = MEMORY_LIMIT
    body_limit: int = BODY_LIMIT
    service_time: str = "5ms"
    link_mbps: int = 0


CASES = {
    "large-chunks": Case([send_large_chunks]),
    "small-chunks": Case([send_small_chunks]),
    "announced": Case([send_announced]),
    "without-end": Case([send_without_end]),
    "slow-readers": Case([read_slowly]),
    "heads-and-silence": Case([send_head_without_end, send_nothing],
                              SILENT_CLIENTS),
    "mix": Case(BODIES + [read_slowly, send_head_without_end, send_nothing,
                          leave], 2 * CLIENTS),
    "small-host-short": Case([send_short_of_large_limit],
                             memory_limit=SMALL_MEMORY_LIMIT,
                             body_limit=LARGE_BODY_LIMIT),
    "small-host-without-end": Case([send_without_end],
                                   memory_limit=SMALL_MEMORY_LIMIT,
                                   body_limit=LARGE_BODY_LIMIT),
    "small-host-uploads": Case([upload], memory_limit=SMALL_MEMORY_LIMIT,
                               service_time=SERVICE_TIME),
    "target-uploads": Case([upload], checked="target",
                           service_time=SERVICE_TIME),
    "target-chunked": Case([upload_chunked, send_large_chunks],
                           2 * CLIENTS, checked="target",
                           service_time=SERVICE_TIME),
    "target-leaving": Case([upload_and_leave, upload], 2 * CLIENTS,
                           checked="target", service_time=SERVICE_TIME),
    "target-over-limit": Case([send_announced, send_without_end],
                              checked="target"),
    "target-answers": Case([read_slowly], checked="target",
                           link_mbps=LINK_MBPS),
    "target-mix": Case(BODIES + [upload, upload_chunked, upload_and_leave,
                                 read_slowly, leave], 2 * CLIENTS,
                       checked="target", service_time=SERVICE_TIME,
                       link_mbps=LINK_MBPS),
    "caller-answers": Case([read_slowly], checked="caller",
                           link_mbps=LINK_MBPS),
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


def start_mesh(mesh, case):
    """Starts the processes; returns the checked host and those of clients."""
    target = mesh.add_host("service-0", "domain-0", "region-0")
    edges = [mesh.add_host("", f"domain-{number + 1}", "region-0")
             for number in range({"both": 0, "caller": 1,
                                  "target": EDGES}[case.checked])]
    checked = edges[0] if case.checked == "caller" else target
    mesh.start_platform()
    mesh.publish_hosts()
    index, _ = mesh.publish(CONFIGURATION.format(limit=case.body_limit))
    mesh.start_target(target, service_time=case.service_time)
    for host in mesh.hosts:
        mesh.start_node(
            host, max_descriptors=MAX_DESCRIPTORS,
            memory_limit=(case.memory_limit if host is checked
                          else EDGE_MEMORY_LIMIT),
            link_mbps=case.link_mbps if host is target else 0)
    mesh.wait_adopted(index, 60, "first configuration")
    for host in mesh.hosts:
        if not ordinary_request(host.ip):
            raise StepFailed("no answer before the crowd")
    return checked, edges or [target]


def play(name):
    """Plays one case; returns the checks that failed."""
    case = CASES[name]
    with Mesh("clients") as mesh:
        host, entries = start_mesh(mesh, case)
        observer = Observer(host.node)
        observer.start()
        left = threading.Event()
        crowd = [Client(entries[number % len(entries)].ip,
                        case.behaviours[number % len(case.behaviours)], left)
                 for number in range(case.clients)]
        for client in crowd:
            client.start()
        # Behaviours without an end play until the crowd leaves.
        end = time.monotonic() + 25
        for client in crowd:
            client.played.wait(max(0.0, end - time.monotonic()))
        during = all([ordinary_request(entry.ip)
                      for entry in {host.ip: host, entries[-1].ip:
                                    entries[-1]}.values()])
        left.set()
        for client in crowd:
            client.join(HANG_SECONDS)
        after = ordinary_request(host.ip)
        lives = host.node.poll() is None
        peak = peak_rss_mb(host.node) * MB_IN_MIB if lives else 0.0
        observer.stopped.set()
        observer.join()
        checks = {"lives": lives, "memory": peak < case.memory_limit,
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
