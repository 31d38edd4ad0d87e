"""Store, targets and hosts of the runs of store_return.py.

Nodes and the store are real processes; targets run in the process of the tool.
"""

import asyncio
import json
import math
import random
import re
import time

from mesh import BIN, ROOT

# Bounds of the users' rules in seconds.
DRAIN_S, APPLY_S, STRETCH_S, CONTACT_S = 2, 2, 5, 3
GRACE_S, REUSE_S, ROLLBACK_SLACK_S = 6, 2, 0.25
HEARTBEAT_S = 1.5
# Time within which operator and targets write again what a return has lost.
REWRITE_S = 1.9
# Limit in seconds for the store's process to accept connections.
START_S = 30
HOSTS, SERVICES = 8, 4
PEER, ADMIN, READY, TARGET, CALLER = 7600, 7615, 8625, 8628, 8629
STORE, CONTROL = 8627, 8626


async def read_message(reader):
    """Returns the start line, the fields and the body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return head[0].split(" "), fields, body


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode() + body


class Connection:
    """A connection that is kept for as long as the server keeps it."""

    def __init__(self, ip, port):
        self.address, self.streams = (ip, port), None
        self.lock = asyncio.Lock()

    async def connect(self):
        """Returns whether the server accepted the connection."""
        try:
            self.streams = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        return True

    async def call(self, request, on_sent=lambda: None, timeout=4):
        """Returns the status and the body; None without a response."""
        async def exchange():
            if self.streams is None:
                self.streams = await asyncio.open_connection(*self.address)
            on_sent()
            self.streams[1].write(request)
            return await read_message(self.streams[0])

        async with self.lock:
            try:
                # Unlike wait_for, passes on a cancellation at any moment.
                async with asyncio.timeout(timeout):
                    first, fields, body = await exchange()
            except (OSError, EOFError, TimeoutError):
                self.close()
                return None
            if fields.get("connection") == "close":
                self.close()
            return int(first[1]), body

    def close(self):
        if self.streams:
            self.streams[1].transport.abort()
        self.streams = None


class Disturbances:
    """The spans of time in which the store or a node was disturbed."""

    def __init__(self):
        self.spans = []

    def begin(self):
        self.spans.append([time.monotonic(), math.inf])

    def end(self):
        self.spans[-1][1] = time.monotonic()

    def calm(self, start, end):
        return all(last + CONTACT_S < start or first > end
                   for first, last in self.spans)

    def calm_from(self, moment):
        """Returns the first time at or after a moment that is calm."""
        for first, last in sorted(self.spans):
            if first <= moment <= last + CONTACT_S:
                moment = last + CONTACT_S
        return moment


class Ack:
    """An acknowledged write, kept until a return loses it."""

    def __init__(self, revision):
        self.at, self.lost_at = time.monotonic(), math.inf
        self.revision = revision


class Store:
    """The process of the store, and the acknowledgements that it gave."""

    def __init__(self, run):
        self.run, self.address = run, f"{run.mesh.subnet}.250.250"
        run.spawn([BIN / "marigold-store", f"{self.address}:{STORE}",
                   f"{self.address}:{CONTROL}"], "store.log")
        self.connection = Connection(self.address, CONTROL)
        self.faults, self.acks, self.copies = Disturbances(), [], []
        self.returned_at, self.returns = 0.0, 0

    async def started(self):
        """Waits until the process accepts connections."""
        async with asyncio.timeout(START_S):
            while not await self.connection.connect():
                await asyncio.sleep(0.05)

    async def control(self, command, body=b""):
        reply = await self.connection.call(
            message(f"POST /{command} HTTP/1.1", {"Host": "store"}, body))
        if reply is None:
            raise RuntimeError(f"the store did not answer {command}")
        return reply[0], json.loads(reply[1])

    async def write(self, command, value=None):
        """Returns the acknowledgement; None while the store is away."""
        status, reply = await self.control(command, json.dumps(value).encode())
        if status != 200:
            return None
        self.acks.append(Ack(reply["revision"]))
        return self.acks[-1]

    async def make_copies(self):
        while True:
            at = time.monotonic()
            reply = (await self.control(f"copy/{at}"))[1]
            self.copies.append((at, reply["revision"]))
            await asyncio.sleep(0.5)

    async def away(self, how, seconds, age=None):
        """Goes away; with an age, returns from the copy that is nearest to it.
        """
        self.faults.begin()
        self.run.record(f"store: away ({how}) for {seconds:.2f} s")
        await self.control(f"down/{how}")
        await asyncio.sleep(seconds)
        if age is not None:
            wanted = time.monotonic() - age
            copy = min(self.copies, key=lambda c: abs(c[0] - wanted))
            # A later copy holds what this return loses.
            self.copies = [c for c in self.copies if c[0] <= copy[0]]
            reply = (await self.control(f"return/{copy[0]}"))[1]
            now = self.returned_at = time.monotonic()
            self.returns += 1
            for ack in self.acks:
                if ack.revision > copy[1]:
                    ack.lost_at = min(ack.lost_at, now)
            self.run.record(f"store: copy of {now - copy[0]:.2f} s ago, era "
                            f"{reply['era']}, revision {reply['revision']}")
        await self.control("up")
        self.faults.end()
        self.run.record("store: up")

    async def lose_responses(self, seconds):
        self.faults.begin()
        self.run.record(f"store: loses responses for {seconds:.2f} s")
        await self.control("lose/on")
        await asyncio.sleep(seconds)
        await self.control("lose/off")
        self.faults.end()


class Target:
    """A target that writes its entry, and the host beside which it runs."""

    def __init__(self, run, host, identifier):
        self.run, self.host, self.id = run, host, identifier
        self.state, self.sequence, self.leaving = "ready", 0, []
        self.born, self.writers = int(time.time() * 1000), set()
        self.rng = random.Random(f"{run.seed}.{identifier}.{self.born}")

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host.ip,
                                                 TARGET)
        self.run.record(f"target {self.id} of {self.host.service} at "
                        f"{self.host.ip} starts, born {self.born}")
        self.task = asyncio.create_task(self.heartbeats())

    async def heartbeats(self):
        while True:
            seen = self.run.store.returned_at
            due = time.monotonic() + HEARTBEAT_S
            await self.write_entry()
            while time.monotonic() < due:
                if seen != self.run.store.returned_at:
                    seen = self.run.store.returned_at
                    due = min(due, seen + self.rng.uniform(0.1, REWRITE_S))
                await asyncio.sleep(0.05)

    async def write_entry(self):
        self.sequence += 1
        leaves = self.state != "ready"
        ack = await self.run.store.write(f"put/servers/{self.id}", {
            "address": f"{self.host.ip}:{TARGET}", "born": self.born,
            "info": {"service": self.host.service, "version": "v1",
                     "zone": self.host.zone, "capacity": 9},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold_left_s": 0}})
        if ack and leaves:
            self.leaving.append(ack)

    async def leave(self, silent):
        """Reports that it leaves, or has its entry removed without that."""
        self.state = "draining"
        if silent:
            self.task.cancel()
            await self.run.remove_entry(self)
        while not self.leaving:
            await self.write_entry()
            await asyncio.sleep(0.1)
        self.run.record(f"target {self.id} leaves, acknowledged "
                        f"(silent={silent})")

    def stop(self):
        self.run.record(f"target {self.id} ends")
        self.task.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, _ = await read_message(reader)
                writer.write(await self.answer(first[1], fields))
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, fields):
        request = fields.get("marigolddale-request-id", "")
        names = {"Marigolddale-Request-Id": request,
                 "Marigolddale-Instance-Id": self.id}
        if path.startswith("/health"):
            leaves = self.state != "ready"
            return message(f"HTTP/1.1 {503 if leaves else 200} Health", names)
        if fields.get("marigolddale-expect-instance", self.id) != self.id:
            return message("HTTP/1.1 421 Misdirected Request", names)
        self.run.arrivals.append((time.monotonic(), self, request))
        await asyncio.sleep(0.01)
        names["Marigolddale-Response-Stamp"] = f"{self.id}.{request}"
        return message("HTTP/1.1 200 OK", names, self.host.service.encode())


class Host:
    """A host with its node."""

    def __init__(self, run, number):
        self.run, self.ip = run, f"{run.mesh.subnet}.1.{number + 1}"
        self.service = f"s{number % SERVICES}"
        self.zone = f"z{number * 2 // HOSTS}"
        self.faults, self.lock = Disturbances(), asyncio.Lock()
        self.target = self.process = None
        self.incarnation = 0
        self.faults.begin()

    def start_node(self):
        values = {"ip": self.ip, "zone": self.zone, "region": "r1",
                  "service": self.service, "app_addr": f"{self.ip}:{TARGET}",
                  "port_range.0": PEER, "port_range.1": ADMIN,
                  "bind.outbound": f"{self.ip}:{CALLER}",
                  "bind.ready": f"{self.ip}:{READY}", "limits.memory_mb": 260,
                  "limits.max_fds": 4100, "limits.link_mbps": 1000,
                  "bounds.grace_s": GRACE_S,
                  "platform.address": f"{self.run.store.address}:{STORE}"}
        text = (ROOT / "deploy" / "settings.conf").read_text()
        # Sections for bounds that this deployment does not have.
        text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m[1]]), text)
        settings = self.run.mesh.folder / f"{self.ip}.conf"
        settings.write_text(text)
        self.incarnation += 1
        self.process = self.run.spawn([self.run.node], f"node-{self.ip}.log",
                                      MARIGOLDDALE_CONFIG=str(settings))
        self.faults.end()
        self.run.record(f"node {self.ip} starts, pid {self.process.pid}")

    async def stop_node(self, number):
        if self.process.poll() is not None:
            self.run.fail(f"node {self.ip} ended by itself")
        self.faults.begin()
        self.run.record(f"node {self.ip} gets signal {int(number)}")
        self.process.send_signal(number)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None:
            if time.monotonic() > end:
                self.process.kill()
            await asyncio.sleep(0.02)
