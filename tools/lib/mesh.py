"""Starts and observes a mesh of real processes on loopback addresses.

Every process is ended by its id. Convergence is read from the nodes' log
files (event=version_adopted): this costs the nodes nothing, whereas polling
GET /status on hundreds of nodes would itself appear in the CPU figures.
"""

import datetime
import http.client as http_client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = pathlib.Path(os.environ.get("MARIGOLD_BIN", ROOT / "build" / "bin"))
PEER_PORT, CALLER_PORT, ADMIN_PORT, TARGET_PORT = 7400, 7480, 7490, 8080
KEY = "marigolddale/config"
ADOPTED = re.compile(r"^(\S+) \S+ event=version_adopted .*adopted=(\d+)\.(\d+)")


class StepFailed(Exception):
    """A step of an experiment did not reach its end in time."""


def http(method, url, body=None, timeout=5, attempts=5):
    """Returns the body of an answer with status 2xx, as text.

    All control calls of the bench may be repeated. A target at its limit of
    connections closes further ones, so that a closed connection is no failure.
    """
    data = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    for attempt in range(attempts):
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.read().decode()
        except (ConnectionResetError, http_client.RemoteDisconnected):
            if attempt == attempts - 1:
                raise StepFailed(f"{method} {url}: connection lost") from None
            time.sleep(0.2)
    raise AssertionError("unreachable")


def wait_until(condition, seconds, what, pause=0.1):
    """Waits for the condition; StepFailed when the time is over."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise StepFailed(f"{what}: not within {seconds} s")
        time.sleep(pause)


def parse_pairs(text):
    """Reads key=value lines."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def reserve_subnet(wanted=None):
    """Takes a loopback subnet that no other run uses, by binding a port in it
    for as long as the returned socket lives. Two runs in one subnet would take
    each other's ports."""
    for number in range(90):
        subnet = wanted or f"127.{32 + (os.getpid() + number) % 90}"
        holder = socket.socket()
        try:
            holder.bind((f"{subnet}.250.251", 8499))
            return holder, subnet
        except OSError:
            holder.close()
    raise StepFailed("no free loopback subnet")


class Host:
    """One host: a node and, with a service, a target."""

    def __init__(self, ip, service, failure_domain, region):
        self.ip = ip
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.node = None
        self.target = None
        # (wall-clock seconds, (epoch, revision)); None for a new process.
        self.adopted = []
        self.log_offset = 0
        # Not able to adopt before this wall-clock time.
        self.unavailable_until = 0.0

    @property
    def peer(self):
        return f"{self.ip}:{PEER_PORT}"

    def catalog_entry(self):
        meta = {"service": self.service, "failure_domain": self.failure_domain,
                "region": self.region, "state": "live",
                "caller_port": str(CALLER_PORT), "admin_port": str(ADMIN_PORT),
                "peer_port": str(PEER_PORT)}
        return {"Node": self.ip, "Address": self.ip, "Meta": meta}


class Mesh:
    """A platform and hosts under one temporary folder."""

    def __init__(self, name, subnet=None):
        self.reservation, self.subnet = reserve_subnet(subnet)
        self.name = name
        self.hosts = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="marigold-"))
        self.processes = []
        self.platform = f"{self.subnet}.250.250:8500"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Ends all processes of this mesh by their ids."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, program, arguments, log):
        """Starts a program whose output goes to a file of the folder."""
        command = [str(BIN / program)]
        command += [f"--{key}={value}" for key, value in arguments.items()]
        with open(self.folder / log, "ab") as out:
            process = subprocess.Popen(command, stdout=out, stderr=out,
                                       stdin=subprocess.DEVNULL)
        self.processes = [p for p in self.processes if p.poll() is None]
        self.processes.append(process)
        return process

    def add_host(self, service, failure_domain, region):
        number = len(self.hosts)
        ip = f"{self.subnet}.{1 + number // 200}.{1 + number % 200}"
        host = Host(ip, service, failure_domain, region)
        self.hosts.append(host)
        return host

    def start_platform(self, hosts_lag="200ms"):
        self.spawn("marigold-platform",
                   {"address": self.platform, "hosts-lag": hosts_lag},
                   "platform.log")
        wait_until(lambda: self.try_counters() is not None, 10, "platform")

    def try_counters(self):
        try:
            return self.counters()
        except (OSError, ValueError):
            return None

    def counters(self):
        return json.loads(http("GET", f"http://{self.platform}/bench/counters"))

    def fault(self, kind):
        http("PUT", f"http://{self.platform}/bench/fault?kind={kind}", "")

    def publish(self, text):
        """Publishes a text; returns its index and the time of acceptance."""
        index = http("PUT", f"http://{self.platform}/v1/kv/{KEY}", text)
        return int(index), time.time()

    def publish_hosts(self):
        entries = [host.catalog_entry() for host in self.hosts]
        http("PUT", f"http://{self.platform}/bench/hosts", json.dumps(entries))

    def seeds(self):
        """One host in each of at most four failure domains."""
        first = {}
        for host in self.hosts:
            first.setdefault(host.failure_domain, host.peer)
        return ",".join(list(first.values())[:4])

    def start_node(self, host, **settings):
        arguments = {
            "peer-address": host.peer, "caller-port": CALLER_PORT,
            "admin-port": ADMIN_PORT, "service": host.service,
            "target-address": f"{host.ip}:{TARGET_PORT}",
            "failure-domain": host.failure_domain, "region": host.region,
            "mesh": self.name, "source-address": self.platform,
            "seeds": self.seeds()}
        arguments.update({k.replace("_", "-"): v for k, v in settings.items()})
        host.node = self.spawn("marigold-node", arguments,
                               f"node-{host.ip}.log")

    def start_target(self, host, **settings):
        arguments = {"address": f"{host.ip}:{TARGET_PORT}",
                     "service": host.service,
                     "node-address": f"{host.ip}:{CALLER_PORT}",
                     "ledger": self.ledger(host),
                     # The texts of the bench allow a node 100 connections; the
                     # rest is for the bench's own reads of counters.
                     "connections": 200}
        arguments.update({k.replace("_", "-"): v for k, v in settings.items()})
        host.target = self.spawn("marigold-target", arguments,
                                 f"target-{host.ip}.log")

    def ledger(self, host):
        return self.folder / f"ledger-{host.ip}.txt"

    def target_counters(self, host):
        return json.loads(
            http("GET", f"http://{host.ip}:{TARGET_PORT}/.target/counters"))

    def status(self, host, timeout=10):
        return json.loads(http(
            "GET", f"http://{host.ip}:{ADMIN_PORT}/status?hosts=0",
            timeout=timeout))

    def metric(self, host, *names):
        """Sum of all series of the named metrics."""
        total = 0.0
        text = http("GET", f"http://{host.ip}:{ADMIN_PORT}/metrics", timeout=10)
        for line in text.splitlines():
            name = re.split(r"[{ ]", line, 1)[0]
            if name in [f"marigold_{wanted}" for wanted in names]:
                total += float(line.rsplit(" ", 1)[1])
        return total

    def control_bytes(self, host):
        return self.metric(host, "control_sent_bytes_total",
                           "control_received_bytes_total")

    def read_logs(self):
        """Adds the adoptions that were logged since the last call."""
        for host in self.hosts:
            path = self.folder / f"node-{host.ip}.log"
            if not path.exists() or path.stat().st_size == host.log_offset:
                continue
            with open(path, "rb") as log:
                log.seek(host.log_offset)
                text = log.read()
            text = text[:text.rfind(b"\n") + 1]
            host.log_offset += len(text)
            for line in text.decode(errors="replace").splitlines():
                if found := ADOPTED.match(line):
                    at = datetime.datetime.fromisoformat(found[1])
                    at = at.replace(tzinfo=datetime.timezone.utc) \
                        if time.timezone == 0 else at
                    version = (int(found[2]), int(found[3]))
                    host.adopted.append((at.timestamp(), version))

    def wait_adopted(self, index, seconds, what, hosts=None):
        """Waits until each host's last adoption has at least this index."""
        def all_adopted():
            self.read_logs()
            return all(h.adopted and h.adopted[-1][1] and
                       h.adopted[-1][1][1] >= index
                       for h in hosts or self.hosts)
        wait_until(all_adopted, seconds, what)

    def convergence(self, index, accepted):
        """Time from acceptance to the last adoption, in ms. For a host that
        could not run it counts from the moment at which it could."""
        slowest = 0.0
        for host in self.hosts:
            times = [at for at, version in host.adopted
                     if version and version[1] >= index and
                     at >= accepted - 0.01]
            if not times:
                return None
            start = max(accepted, host.unavailable_until)
            slowest = max(slowest, (min(times) - start) * 1000)
        return slowest

    def load(self, nodes, ledger=None, **settings):
        """Starts marigold-load; its output is the returned process's."""
        arguments = {"nodes": ",".join(nodes)}
        if ledger:
            arguments["ledger"] = ledger
        arguments.update({k.replace("_", "-"): v for k, v in settings.items()})
        command = [str(BIN / "marigold-load")]
        command += [f"--{key}={value}" for key, value in arguments.items()]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process


    def join_ledgers(self, callers):
        """What the ledgers of the callers and of all targets show together."""
        targets = [str(self.ledger(host)) for host in self.hosts
                   if host.service]
        joined = subprocess.run(
            [str(BIN / "marigold-load"), "join", str(callers)] + targets,
            stdout=subprocess.PIPE, text=True, check=False)
        # 1 is a broken promise, which the counts show.
        if joined.returncode not in (0, 1):
            raise StepFailed("the ledgers cannot be joined")
        return parse_pairs(joined.stdout)


def steps_back(versions):
    """Number of steps to a lower version in a sequence."""
    return sum(1 for old, new in zip(versions, versions[1:]) if new < old)


def cpu_seconds(process):
    """User and system time of a process so far."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_rss_mb(process):
    """Largest resident set of a process so far."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    return int(re.search(r"VmHWM:\s+(\d+)", text)[1]) / 1024
