"""Stand-ins for the cases of the third review: store, workers and clients.

Everything runs in one asyncio loop on loopback addresses, except the nodes,
which are the program of the deploy file, one process a machine. The stand-ins
follow the pages on the wire, on the deployment and on the store.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NODE = ROOT / "target" / "bin" / "marigold-sidecar"
TEMPLATE = ROOT / "deploy" / "settings.conf"
ID, STAMP = "marigolddale-request-id", "marigolddale-response-stamp"
PEER, ADMIN, INBOUND, READY, APP, OUT = 7600, 7615, 8624, 8625, 8628, 8629
STORE_PORT = 8627
BOUNDS = {"drain_s": 2, "apply_s": 2, "stretch_s": 5, "contact_s": 3,
          "grace_s": 6, "reuse_after_s": 2, "rollback_slack_s": 0.25}
HEARTBEAT_S = 1.5


class Record:
    """The file record.txt: one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


def free_subnet():
    """Returns a loopback subnet in which nothing listens on the ports used."""
    for _ in range(200):
        subnet = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        try:
            for host in (*range(1, 13), 250):
                for port in (PEER, ADMIN, READY, APP, OUT, STORE_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{host}", port))
            return subnet
        except OSError:
            continue
    raise RuntimeError("no free loopback subnet")


async def read_message(reader, first_timeout=None):
    """Reads one HTTP message with a length or in chunks.

    Returns the start line, the fields with lower-case names and the body, or
    None at the end of the connection.
    """
    line = await asyncio.wait_for(reader.readline(), first_timeout)
    if not line:
        return None
    if not line.endswith(b"\n"):
        raise ConnectionError("message cut in its first line")
    fields = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            break
        if not field.endswith(b"\n"):
            raise ConnectionError("message cut in its header")
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return line.decode("latin-1").strip(), fields, body


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store, which the nodes can only read."""

    def __init__(self, address, record, history_s=20):
        self.address = address
        self.record = record
        self.history_s = history_s
        self.items = {}  # key -> (value, revision, created)
        self.revision = 400
        self.events = []  # (time, event)
        self.floor = 400  # Oldest revision from which a watch may continue.
        self.era = 1
        self.down = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address,
                                                 STORE_PORT)

    def put(self, key, value):
        """Writes a value. Returns the revision, which is the store's ack."""
        self.revision += 1
        created = self.items.get(key, (None, None, self.revision))[2]
        self.items[key] = (value, self.revision, created)
        self.notify({"key": key, **self.shown(key)})
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.notify({"key": key, "revision": self.revision, "is_gone": True})

    def notify(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and self.events[0][0] < now - self.history_s:
            self.floor = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def shown(self, key):
        value, revision, created = self.items[key]
        return {"value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": 0}

    def copy(self):
        """Returns a copy of the contents, as a backup holds them."""
        return dict(self.items), self.revision

    def go_down(self):
        self.down = True
        self.cut()

    def cut(self):
        for writer in list(self.connections):
            writer.transport.abort()

    def come_back(self, copy=None):
        """Ends an outage; with a copy, the contents are those of the copy."""
        if copy is not None:
            self.items, self.revision = dict(copy[0]), copy[1]
            self.events = []
            self.floor = self.revision
            self.era += 1
        self.down = False

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                status, body = await self.answer(request[0].split()[1])
                text = json.dumps(body).encode()
                writer.write(message(
                    f"HTTP/1.1 {status} Status",
                    {"Content-Type": "application/json",
                     "Store-Era": self.era,
                     "Content-Length": len(text)}, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, target):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-key":
            if args["key"] not in self.items:
                return 404, {"at": self.revision}
            return 200, {"key": args["key"], **self.shown(args["key"]),
                         "at": self.revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(args.get("prefix", ""))
                          and key > args.get("after", ""))
            return 200, {"items": [{"key": key, **self.shown(key)}
                                   for key in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(args)
        return 404, {}

    async def watch(self, args):
        after, era = int(args["after"]), self.era
        end = time.monotonic() + int(args["wait_ms"]) / 1000
        while True:
            if self.down:
                return 503, {}
            if era != self.era or not self.floor <= after <= self.revision:
                return 410, {}
            found = [event for _, event in self.events
                     if event["revision"] > after
                     and event["key"].startswith(args.get("prefix", ""))]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker with its entry in the store."""

    def __init__(self, mesh, machine, service, instance, zone, capacity=9):
        self.mesh, self.machine, self.service = mesh, machine, service
        self.instance, self.zone, self.capacity = instance, zone, capacity
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.listed = True  # Writes its entry.
        self.writers = set()
        self.server = None
        self.beat_task = None
        self.stamps = 0
        self.work_s = 0.02

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.ip,
                                                 APP, limit=1 << 20)
        self.beat()
        self.beat_task = asyncio.create_task(self.beats())

    def beat(self):
        """Writes the entry. Returns its revision, or None while down."""
        if not self.listed or self.mesh.store.down:
            return None
        self.sequence += 1
        entry = {"address": f"{self.machine.ip}:{APP}", "born": self.born,
                 "info": {"service": self.service, "version": "v1",
                          "zone": self.zone, "capacity": self.capacity},
                 "status": {"state": self.state, "sequence": self.sequence,
                            "cold_left_s": 0}}
        return self.mesh.store.put(f"servers/{self.instance}",
                                   json.dumps(entry).encode())

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        line, fields, body = request
        path = line.split()[1]
        if path.startswith("/health"):
            return message("HTTP/1.1 200 OK",
                           {"Marigolddale-Instance-Id": self.instance,
                            "Content-Length": 0})
        identifier = fields.get(ID, "")
        expected = fields.get("marigolddale-expect-instance")
        if expected is not None and expected != self.instance:
            self.mesh.record.write(
                f"worker {self.instance} 421 {identifier} for {expected}")
            return message("HTTP/1.1 421 Misdirected Request",
                           {"Marigolddale-Request-Id": identifier,
                            "Marigolddale-Instance-Id": self.instance,
                            "Content-Length": 0})
        self.mesh.on_run(self, identifier, line, fields, body)
        await asyncio.sleep(self.work_s)
        self.stamps += 1
        text = f"{self.service} {self.instance} {identifier}".encode()
        return message("HTTP/1.1 200 OK",
                       {"Marigolddale-Request-Id": identifier,
                        "Marigolddale-Response-Stamp":
                        f"{self.instance}.{self.stamps}",
                        "Content-Length": len(text)}, text)


class Machine:
    """A machine with its node, a process of the deploy file's program."""

    def __init__(self, mesh, ip, service, zone):
        self.mesh, self.ip, self.service, self.zone = mesh, ip, service, zone
        self.settings = mesh.folder / f"{ip}.conf"
        self.process = None
        self.worker = None

    def values(self):
        return {"ip": self.ip, "zone": self.zone, "region": "region-a",
                "service": self.service, "app_addr": f"{self.ip}:{APP}",
                "port_range": [PEER, ADMIN],
                "bind": {"inbound": f"{self.ip}:{INBOUND}",
                         "outbound": f"{self.ip}:{OUT}",
                         "ready": f"{self.ip}:{READY}"},
                "limits": {"memory_mb": 260, "max_fds": 4100,
                           "link_mbps": 1000.0},
                "bounds": BOUNDS,
                "platform": {"address": f"{self.mesh.store.address}:"
                                        f"{STORE_PORT}"}}

    def write_settings(self):
        values = self.values()

        def lookup(name):
            value = values
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                else:
                    value = value.get(part)
                if value is None:
                    return None
            return value

        text = TEMPLATE.read_text(encoding="utf-8")
        # Sections for bounds that this small deployment does not have.
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m.group(2) if lookup(m.group(1)) else "",
                      text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}",
                      lambda m: str(lookup(m.group(1))), text)
        self.settings.write_text(text, encoding="utf-8")

    async def start_node(self):
        self.write_settings()
        log = open(self.mesh.folder / f"{self.ip}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                       "LANG") if name in os.environ}
        environment["MARIGOLDDALE_CONFIG"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            str(NODE), cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.mesh.record.write(f"node {self.ip} started, pid "
                               f"{self.process.pid}")

    async def kill_node(self, how=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(how)
            if how == signal.SIGKILL:
                await self.process.wait()
        self.mesh.record.write(f"node {self.ip} got signal {int(how)}")

    async def ready(self):
        try:
            status, _, _ = await request(self.ip, READY, "GET", "/ready",
                                         "ready.example", {}, b"", 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError,
                asyncio.IncompleteReadError):
            return False


async def request(ip, port, method, path, host, fields, body, timeout):
    """Sends one request on a new connection; returns status, fields, body."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port,
                                                       limit=1 << 20)
        try:
            head = {"Host": host, **fields, "Connection": "close"}
            if body or method != "GET":
                head["Content-Length"] = len(body)
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionError("closed without an answer")
            return int(answer[0].split()[1]), answer[1], answer[2]
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Mesh:
    """A small deployment: the store, machines with workers, and clients."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.subnet = free_subnet()
        self.store = Store(f"{self.subnet}.250", self.record)
        self.machines = []
        self.runs = []  # (seconds, worker, identifier, path)
        self.answers = []
        self.last_id = 0
        self.prefix = f"{random.getrandbits(32):08x}"
        self.version = 3

    def add(self, service, zone):
        machine = Machine(self, f"{self.subnet}.{len(self.machines) + 1}",
                          service, zone)
        self.machines.append(machine)
        return machine

    async def add_worker(self, machine, instance=None, service=None):
        instance = instance or f"i-{random.getrandbits(32):08x}"
        worker = Worker(self, machine, service or machine.service, instance,
                        machine.zone)
        machine.worker = worker
        await worker.start()
        self.record.write(f"worker {instance} of {worker.service} started at "
                          f"{machine.ip}:{APP}")
        return worker

    def on_run(self, worker, identifier, line, fields, body):
        self.runs.append((self.record.now(), worker, identifier, line, fields,
                          body))
        self.record.write(f"worker {worker.instance} of {worker.service} runs "
                          f"{identifier} {line}")

    def put_config(self, routes, services, limits=None, quiet=False):
        """Writes a configuration and returns its text."""
        self.version += random.randrange(1, 4)
        text = {"version": f"r{self.version}", "routes": routes,
                "services": {name: {"health_path": "/health",
                                    "max_connections": 110,
                                    "protocol": "h1", "tls": False}
                             for name in services},
                "limits": limits or {"max_header_bytes": 16384,
                                     "max_body_bytes": 67108864,
                                     "header_timeout_s": 3,
                                     "idle_timeout_s": 15}}
        revision = self.store.put("op/config", json.dumps(text).encode())
        shown = ", ".join(f"{r['host']}{r['prefix']} -> {r['service']}"
                          for r in ([] if quiet else routes.values()))
        self.record.write(f"store acks configuration r{self.version}, "
                          f"revision {revision}: {shown}")
        return text

    async def start(self):
        """Starts all nodes and waits until they are ready."""
        await asyncio.gather(*(m.start_node() for m in self.machines))
        end = time.monotonic() + 15
        while True:
            if all(await asyncio.gather(*(m.ready() for m in self.machines))):
                return
            if time.monotonic() > end:
                raise RuntimeError("the nodes did not become ready")
            await asyncio.sleep(0.2)

    def new_id(self):
        self.last_id += 1
        return f"{self.prefix}{self.last_id:08x}"

    async def call(self, machine, path, host, method="GET", body=b"",
                   timeout_s=3.0):
        """Sends one client attempt; returns a dictionary with its outcome."""
        identifier = self.new_id()
        sent = self.record.now()
        entry = {"id": identifier, "sent": sent, "machine": machine.ip,
                 "path": path, "status": None}
        try:
            status, fields, text = await request(
                machine.ip, OUT, method, path, host,
                {"Marigolddale-Request-Id": identifier,
                 "Marigolddale-Deadline-Ms": int(timeout_s * 1000)},
                body, timeout_s + 1)
            entry.update(status=status, fields=fields, body=text)
        except (OSError, asyncio.TimeoutError, ConnectionError,
                asyncio.IncompleteReadError) as error:
            entry["error"] = repr(error)
        self.answers.append(entry)
        body_text = entry.get("body", b"")[:60].decode("latin-1")
        self.record.write(f"client {identifier} {machine.ip} {method} {path} "
                          f"sent at {sent:.3f}: "
                          f"{entry['status'] or entry.get('error')} "
                          f"{body_text}")
        return entry

    async def close(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        machine.process.send_signal(number)
                    except ProcessLookupError:
                        pass
                await machine.process.wait()
            if machine.worker:
                await machine.worker.stop()
        if os.environ.get("KEEP_LOGS"):
            print("node logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, service, kind="idempotent", timeout_s=2.0,
          attempts=2):
    return {"host": host, "prefix": prefix, "kind": kind,
            "timeout_s": timeout_s, "goal_latency_s": 0.5, "priority": 2,
            "service": service, "attempts": attempts}


def main(folder, case, limit_s=110):
    """Runs a case. Exits with 1 if it returns a broken rule, 0 if it returns
    None, and 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        mesh = Mesh(folder)
        try:
            broken = await asyncio.wait_for(case(mesh, trouble), limit_s)
        finally:
            await mesh.close()
        mesh.record.write(f"verdict: {broken or 'the rule held'}")
        return broken

    try:
        broken = asyncio.run(run())
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}")
        raise SystemExit(2)
    print(broken or "the rule held")
    raise SystemExit(1 if broken else 0)
