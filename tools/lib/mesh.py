"""Starts and observes a mesh of real processes on loopback addresses.

Every process is terminated by its process ID. Convergence is read from the log
files of the nodes (event=version_adopted), which adds no load to them; polling
GET /status on hundreds of nodes would distort the CPU figures.
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
    """A step of an experiment failed or timed out."""


def http(method, url, body=None, timeout=5, attempts=5):
    """Returns the body of a 2xx response as text.

    Retries lost connections: a target at its connection limit closes further
    ones, so a closed connection is not a failure. All control requests of the
    test tools may be repeated.
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


def wait_until(condition, seconds, what, poll_interval=0.1):
    """Waits for the condition; raises StepFailed on time-out."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise StepFailed(f"{what}: timed out after {seconds} s")
        time.sleep(poll_interval)


def parse_pairs(text):
    """Parses key=value lines into a dictionary."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def reserve_subnet(wanted=None):
    """Reserves a loopback subnet that no other run uses.

    The reservation is a bound port, held while the returned socket is open.
    Two runs in the same subnet would conflict over ports.
    """
    for number in range(90):
        subnet = wanted or f"127.{32 + (os.getpid() + number) % 90}"
        reserved_socket = socket.socket()
        try:
            reserved_socket.bind((f"{subnet}.250.251", 8499))
            return reserved_socket, subnet
        except OSError:
            reserved_socket.close()
    raise StepFailed("no free loopback subnet")


class Host:
    """One host: a node and, if it has a service, a target."""

    def __init__(self, ip, service, failure_domain, region):
        self.ip = ip
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.node = None
        self.target = None
        # (wall-clock seconds, (epoch, revision)); the version is None where
        # the node was restarted.
        self.adopted = []
        self.log_offset = 0
        # The node could not adopt versions before this wall-clock time.
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
    """The platform and the hosts, with their files in a temporary directory."""

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
        """Kills all processes of this mesh and deletes its directory."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, program, arguments, log):
        """Starts a program; its output is appended to the file `log`."""
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
        """Publishes a configuration; returns its index and acceptance time."""
        index = http("PUT", f"http://{self.platform}/v1/kv/{KEY}", text)
        return int(index), time.time()

    def publish_hosts(self):
        entries = [host.catalog_entry() for host in self.hosts]
        http("PUT", f"http://{self.platform}/bench/hosts", json.dumps(entries))

    def seeds(self):
        """Returns one peer address per failure domain, at most four."""
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
                     # The test configurations allow a node 100 connections; the
                     # rest is for requests of the test tools for counters.
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
        """Returns the sum of all series of the named metrics."""
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

    def read_adoptions(self):
        """Appends the adoptions logged since the last call to the hosts."""
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
        """Waits until every host has adopted at least this index."""
        def all_adopted():
            self.read_adoptions()
            return all(h.adopted and h.adopted[-1][1] and
                       h.adopted[-1][1][1] >= index
                       for h in hosts or self.hosts)
        wait_until(all_adopted, seconds, what)

    def convergence(self, index, accepted):
        """Returns the time from acceptance to the last adoption, in ms.

        For a host that was paused the time counts from its resumption.
        Returns None if a host did not adopt the version.
        """
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
        """Starts marigold-load with its standard output in a pipe."""
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
        """Joins the ledgers of the callers and of all targets."""
        targets = [str(self.ledger(host)) for host in self.hosts
                   if host.service]
        joined = subprocess.run(
            [str(BIN / "marigold-load"), "join", str(callers)] + targets,
            stdout=subprocess.PIPE, text=True, check=False)
        # Exit code 1 reports a violated guarantee, which the counters show.
        if joined.returncode not in (0, 1):
            raise StepFailed("marigold-load join failed with exit code "
                             f"{joined.returncode}")
        return parse_pairs(joined.stdout)


def count_version_decreases(versions):
    """Returns how often a version is followed by a lower one."""
    return sum(1 for old, new in zip(versions, versions[1:]) if new < old)


def cpu_seconds(process):
    """Returns the user plus system CPU time of a process so far."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_rss_mb(process):
    """Returns the peak resident set size of a process in MiB."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    return int(re.search(r"VmHWM:\s+(\d+)", text)[1]) / 1024
