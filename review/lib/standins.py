"""Stand-ins of the platform's store, workers and clients, and a launcher of
the node with the deploy file's command and settings template.

All addresses are loopback addresses. One process hosts the stand-ins; each
node is a separate process."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._start = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self._file.close()


def free_port(ips, taken):
    """Returns a port that is free at all addresses."""
    for _ in range(200):
        port = random.randint(20000, 30000)
        if port in taken:
            continue
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        taken.add(port)
        return port
    raise CannotRun("no free port")


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end
    of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's store: reads and watches over HTTP; the operator and the
    workers write through put and remove."""

    def __init__(self, record, host, port):
        self._record, self._host, self._port = record, host, port
        self._revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Condition()
        self.losing = False  # whether answers with changes are lost
        self.answered = 0    # answers and lost answers while losing is set
        self.lost = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port)

    async def put(self, key, value):
        """Writes one item. Its return is the acknowledgement."""
        async with self._changed:
            self._revision += 1
            old = self._items.get(key)
            item = {"key": key,
                    "value": base64.b64encode(
                        json.dumps(value).encode()).decode(),
                    "revision": self._revision,
                    "created": old["created"] if old else self._revision,
                    "lease": 0}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            self._record.line(f"store ack r{self._revision}: {key} written")
            return self._revision

    async def remove(self, key):
        async with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append(
                {"key": key, "revision": self._revision, "is_gone": True})
            self._changed.notify_all()
            self._record.line(f"store ack r{self._revision}: {key} removed")
            return self._revision

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                path, _, query = head[0].split(" ")[1].partition("?")
                args = {k: v[0] for k, v in
                        urllib.parse.parse_qs(query).items()}
                status, body = await self._answer(path, args)
                self.answered += self.losing
                if self.losing and body.get("events"):
                    self.lost += 1
                    self._record.line(f"store loses its answer to {head[0]}")
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                reason = {200: "OK", 404: "Not Found"}[status]
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, args):
        if path == "/kv-key":
            item = self._items.get(args.get("key", ""))
            if item is None:
                return 404, {"error": "no such key", "at": self._revision}
            return 200, {**item, "at": self._revision}
        if path == "/kv-range":
            prefix, after = args.get("prefix", ""), args.get("after", "")
            keys = sorted(k for k in self._items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self._items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self._revision}
        if path == "/kv-watch":
            after = int(args.get("after", 0))
            prefix = args.get("prefix", "")
            end = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
            async with self._changed:
                while True:
                    events = [e for e in self._events
                              if e["revision"] > after
                              and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "at": self._revision}
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {"error": "no such call", "at": self._revision}


class Worker:
    """A worker: registers itself, runs `slots` requests at once, queues a few
    more, and writes down what reached it and what it ran."""

    def __init__(self, record, store, name, service, host, port, *, slots=9,
                 queue=36, zone="quito", work=0.2, body=600,
                 keep_alive="timeout=10"):
        self.record, self.store, self.name = record, store, name
        self.service, self.host, self.port = service, host, port
        self.slots, self.queue, self.zone = slots, queue, zone
        self.work, self.body = work, body
        self.keep_alive = keep_alive
        self.reached = []  # (time, request id, path, caller's service)
        self.ran = []
        self.garbled = 0
        self.garble = 0.0  # share of answers of which a second copy follows
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._silent = False
        self._connections = set()
        self._server = None
        self._born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port)
        await self.register("ready")

    async def register(self, state):
        self._sequence += 1
        await self.store.put("servers/" + self.name, {
            "address": f"{self.host}:{self.port}", "born": self._born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "capacity": self.slots},
            "status": {"state": state, "sequence": self._sequence,
                       "cold_left_s": 0}})

    def fall_silent(self):
        """The worker ends without a sign: it answers nothing any more, and its
        open connections neither close nor reset."""
        self._silent = True
        self.record.line(f"worker {self.name} falls silent")

    def leave_address(self):
        """Another worker may listen at the address; the connections that are
        open stay silent."""
        self._server.close()
        self.record.line(f"worker {self.name} has left {self.host}:{self.port}")

    def stop(self):
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        copy = b""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if self._silent:
                    await asyncio.sleep(3600)
                line, fields = head
                length = int(fields.get("content-length", 0))
                if length:
                    await reader.readexactly(length)
                if copy:
                    self.record.line(f"worker {self.name} sends the second "
                                     "copy of its answer before, late and "
                                     "without a length")
                    writer.write(copy)
                    await writer.drain()
                    break
                await self._request(line, fields, writer)
                if self.garble and random.random() < self.garble:
                    self.garbled += 1
                    copy = self._answer(
                        200, fields.get("marigolddale-request-id", ""))
                if fields.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            if not self._silent:
                self._connections.discard(writer)
                writer.close()

    def _answer(self, status, number):
        """An answer without a length, which ends with its connection."""
        body = make_body(number, self.body)
        return (f"HTTP/1.1 {status} OK\r\n"
                f"Marigolddale-Request-Id: {number}\r\n"
                f"Marigolddale-Response-Stamp: {self.name}.{number}\r\n\r\n"
                ).encode() + body

    async def _request(self, line, fields, writer):
        method, path, _ = line.split(" ")
        number = fields.get("marigolddale-request-id", "")
        caller = fields.get("marigolddale-caller-service", "")
        expected = fields.get("marigolddale-expect-instance", "")
        self.reached.append((self.record.now(), number, path, caller))
        self.record.line(f"worker {self.name} ({self.service}) reached by "
                         f"{method} {path} id={number} caller={caller} "
                         f"expects={expected or '-'}")
        common = f"Marigolddale-Request-Id: {number}\r\n"
        if expected and expected != self.name:
            await self._reply(writer, 421, common +
                              f"Marigolddale-Instance-Id: {self.name}\r\n", b"")
            return
        if self._running >= self.slots and self._waiting >= self.queue:
            await self._reply(writer, 503, common +
                              "Marigolddale-Not-Executed: 1\r\n", b"")
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                self.ran.append((self.record.now(), number, path, caller))
                self.record.line(f"worker {self.name} ({self.service}) runs "
                                 f"id={number}")
                work = self.work(path) if callable(self.work) else self.work
                await asyncio.sleep(work)
            finally:
                self._running -= 1
        if self._silent:
            await asyncio.sleep(3600)
        size = self.body(path) if callable(self.body) else self.body
        await self._reply(
            writer, 200, common +
            f"Marigolddale-Response-Stamp: {self.name}.{number}\r\n"
            f"Marigolddale-Server-Load: {self._running},{self._waiting},"
            f"{self.slots}\r\n"
            f"Keep-Alive: {self.keep_alive}\r\n", make_body(number, size))

    async def _reply(self, writer, status, fields, body):
        reason = {200: "OK", 421: "Misdirected Request",
                  503: "Service Unavailable"}[status]
        writer.write(f"HTTP/1.1 {status} {reason}\r\n{fields}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


def make_body(number, size):
    """The worker's body of a request: `size` bytes that depend on its id."""
    unit = (number + ".").encode()
    return (unit * (size // len(unit) + 1))[:size]


class Answer:
    """What a client has seen of one request."""

    def __init__(self, number):
        self.number = number
        self.sent = None       # first byte sent
        self.sent_all = None   # last byte sent
        self.status = None
        self.stamp = ""
        self.ended = None
        self.expected = None   # bytes announced
        self.body = b""
        self.complete = False
        self.error = ""


class Connection:
    """A client's connection to the outbound address of its machine."""

    def __init__(self, host, port):
        self._address = (host, port)
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self._address), 1.0)

    def close(self):
        if self.writer:
            self.writer.close()

    async def request(self, record, number, method, host, path, limit, *,
                      body=b"", head_time=0.0):
        """Sends one request and reads its answer. `head_time` is the time that
        the client takes for the header section."""
        answer = Answer(number)
        record.line(f"client sends {method} {path} id={number} "
                    f"body={len(body)} limit={limit}")
        answer.sent = record.now()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"Marigolddale-Request-Id: {number}\r\n"
                f"Marigolddale-Deadline-Ms: {int(limit * 1000)}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        try:
            await asyncio.wait_for(
                self._exchange(answer, record, head, body, head_time),
                limit + 0.5)
        except asyncio.TimeoutError:
            answer.error = "time limit"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            answer.error = f"connection ended: {error}"
        answer.ended = record.now()
        if not answer.complete:
            self.close()
        record.line(
            f"client has id={number}: status={answer.status} "
            f"stamp={answer.stamp or '-'} bytes={len(answer.body)}/"
            f"{answer.expected} complete={answer.complete} "
            f"{answer.error}")
        return answer

    async def _exchange(self, answer, record, head, body, head_time):
        data = (head + "\r\n").encode()
        if head_time:
            half = len(data) // 2
            self.writer.write(data[:half])
            await asyncio.sleep(head_time)
            data = data[half:]
        self.writer.write(data + body)
        await self.writer.drain()
        answer.sent_all = record.now()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed before an answer")
        answer.status = int(head[0].split(" ")[1])
        answer.stamp = head[1].get("marigolddale-response-stamp", "")
        answer.expected = int(head[1].get("content-length", 0))
        pieces, got = [], 0
        while got < answer.expected:
            piece = await self.reader.read(answer.expected - got)
            if not piece:
                answer.body = b"".join(pieces)
                raise ConnectionError("closed within the body")
            pieces.append(piece)
            got += len(piece)
        answer.body = b"".join(pieces)
        answer.complete = True
        if head[1].get("connection", "").lower() == "close":
            self.close()
            self.writer = None


class Machine:
    """A sidecar machine: its addresses and the node's process."""

    def __init__(self, world, name, ip, service, zone):
        self.world, self.name, self.ip = world, name, ip
        self.service, self.zone = service, zone
        self.limits = dict(world.limits)
        self.process = None

    def settings(self):
        world = self.world
        return {
            "node_id": self.name, "role": "node", "machine_class": "sidecar",
            "serves": ["sidecar"], "ip": self.ip, "zone": self.zone,
            "region": "sierra",
            "port_range": [world.peer_port, world.admin_port], "seeds": [],
            "app_addr": f"{self.ip}:{world.app_port}",
            "service": self.service,
            "bind": {"inbound": f"{self.ip}:{world.inbound_port}",
                     "outbound": f"{self.ip}:{world.outbound_port}",
                     "ready": f"{self.ip}:{world.ready_port}"},
            "limits": self.limits, "bounds": world.bounds,
            "platform": {"address": f"{world.store_ip}:{world.store_port}"}}

    def write_settings(self):
        role = world_role()
        text = (ROOT / role["template"]).read_text(encoding="utf-8")
        path = self.world.folder / f"{self.name}.conf"
        part = path.with_suffix(".part")
        part.write_text(render(text, self.settings()), encoding="utf-8")
        part.replace(path)
        return path

    async def start(self):
        command = world_role()["run"].split(" ")
        command[0] = str(ROOT / command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun(command[0] + " is missing")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["MARIGOLDDALE_CONFIG"] = str(self.write_settings())
        log = open(self.world.folder / f"{self.name}.out", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.world.record.line(f"node {self.name} at {self.ip} started")

    def send_signal(self, number):
        self.world.record.line(
            f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.world.ready_port), 0.5)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return bool(head) and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


def world_role():
    with open(ROOT / "deploy/system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["node"]


def render(text, values):
    """Fills in the placeholders of a settings template."""
    def replace(match):
        value = values
        for part in match.group(1).split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part, "")
        return str(value)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", replace, text)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, *, limits=None, bounds=None):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.limits = {"link_mbps": 1000.0, "memory_mb": 260, **(limits or {})}
        self.bounds = {"grace_s": 6, "drain_s": 2, "contact_s": 3,
                       "reuse_after_s": 2, "loss_slack_s": 0.2,
                       **(bounds or {})}
        self._net = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}"
        self.store_ip = self._net + ".1"
        self.machines = []
        self.workers = []
        self._numbers = 0
        ips = [f"{self._net}.{n}" for n in range(1, 12)]
        taken = set()
        ports = [free_port(ips, taken) for _ in range(7)]
        (self.peer_port, self.admin_port, self.inbound_port,
         self.outbound_port, self.ready_port, self.app_port,
         self.store_port) = ports
        self.store = Store(self.record, self.store_ip, self.store_port)

    def request_id(self):
        self._numbers += 1
        return f"{random.getrandbits(40):010x}{self._numbers:06x}"

    def add_machine(self, name, service, zone="quito"):
        ip = f"{self._net}.{10 + len(self.machines)}"
        machine = Machine(self, name, ip, service, zone)
        self.machines.append(machine)
        return machine

    async def add_worker(self, machine, name, service=None, **options):
        worker = Worker(self.record, self.store, name,
                        service or machine.service, machine.ip, self.app_port,
                        zone=machine.zone, **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def configure(self, number, routes, services):
        """Writes a configuration. A route is (name, host, prefix, kind,
        service, timeout, goal, priority)."""
        await self.store.put("op/config", {
            "version": f"r{number}",
            "routes": {name: {"host": host, "prefix": prefix, "kind": kind,
                              "timeout_s": timeout, "goal_latency_s": goal,
                              "priority": priority, "service": service,
                              "attempts": 2}
                       for name, host, prefix, kind, service, timeout, goal,
                       priority in routes},
            "services": {name: {"health_path": "/health",
                                "max_connections": 110, "protocol": "h1",
                                "tls": False} for name in services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15}})

    async def start(self):
        await self.store.start()

    async def start_machines(self):
        for machine in self.machines:
            await machine.start()
        end = time.monotonic() + 20
        while not all([await m.ask_ready() for m in self.machines]):
            if time.monotonic() > end:
                raise CannotRun("a node did not become ready within 20 s")
            await asyncio.sleep(0.1)
        self.record.line("all nodes are ready")

    def connect(self, machine):
        return Connection(machine.ip, self.outbound_port)

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
        for worker in self.workers:
            worker.stop()
        logs = self.case / "nodes.log"
        if os.environ.get("KEEP_LOGS"):
            with open(logs, "wb") as file:
                for machine in self.machines:
                    path = self.folder / f"{machine.name}.out"
                    if path.exists():
                        file.write(path.read_bytes())
        self.record.close()
        self._temporary.cleanup()


def run_case(folder, play, **options):
    """Plays a case; the exit code is 1 if the rule was broken, 0 if it held and
    2 if the case could not run. TROUBLE=0 leaves out the disruption."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        try:
            world = World(folder, **options)
        except (CannotRun, OSError) as error:
            print(f"could not run: {error}")
            return NOT_RUN
        try:
            await world.start()
            broken, text = await asyncio.wait_for(play(world, trouble), 100)
            world.record.line("verdict: " + text)
            print(text)
            return BROKEN if broken else HELD
        except Exception as error:  # an exit code of 1 would be a verdict
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.stop()
    sys.exit(asyncio.run(main()))
