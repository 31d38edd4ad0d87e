"""Fault-injection soak test, run by tools/soak.sh.

Each seed determines a schedule of events in two phases. The planned phase
contains only operator actions: drains with restarts, new configurations and
signals to reload the settings. In the fault phase processes are killed and
paused, the configuration source fails, and connections are delayed, cut in
one direction, silenced and reset. Events overlap. Callers keep their
connections open throughout the run.
"""

import argparse
import concurrent.futures
import http.client
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time

from fault_proxy import FaultProxy
from measure import count_regressions, finish_load, mesh_yaml
from mesh import (CALLER_PORT, ROOT, TARGET_PORT, Mesh, StepFailed,
                  wait_until)

REGRESSIONS = pathlib.Path(__file__).with_name("soak_regressions.txt")
HOSTS, DOMAINS = 6, 3
PROXIED_CALLER_PORT, PROXIED_TARGET_PORT = 7481, 8081
SLOW_CALLERS = 8  # For each host.
LINK_MBPS = 200  # At this rate a large answer takes 60 ms.
LARGE_ANSWER = 1_500_000  # Bytes; several windows of a stream between nodes.
# Time in seconds until nothing is held for callers that have left.
RELEASE_SECONDS = 30
RATE = 150  # Calls per second; less than half the capacity of the targets.
# Time within which a node exits after a signal (setting drain-limit).
STOP_SECONDS = 30
# Time limit for all nodes to adopt a new version after the last fault. The
# goal is 3 s; the rest allows for nodes that were started just before. CI uses
# a longer limit (--settle) so that its result does not depend on the speed of
# the machine.
SETTLE_SECONDS = 20
PLANNED_EVENTS = ["drain", "publish", "hangup"]
# The events of the recorded seeds, whose schedules depend on this list.
RECORDED_FAULT_EVENTS = ["kill-node", "kill-target", "pause-node",
                         "pause-target", "drain", "publish", "source-down",
                         "source-cut", "delay", "cut-requests", "cut-answers",
                         "silence", "reset"]
FAULT_EVENTS = RECORDED_FAULT_EVENTS + ["endless-head", "endless-fields",
                                        "endless-body", "endless-chunks"]
LINKS = ["callers", "target"]
EGRESS_BACKLOG = "egress_backlog_bytes"
# Counters of violated guarantees; the soak fails if any of them is not zero.
VIOLATION_COUNTERS = ["doubled", "false_not_run", "lost_answers", "crossed",
                      "regressions", "cut_by_drain", "not_settled",
                      "over_memory", "ended_alone", "held_bytes"]
# Memory of the smallest hosts in KB.
MEMORY_LIMIT = 88 * 1024


def schedule(seed, seconds, fault_events):
    """Returns the end of the planned phase and the events, ordered by time.

    An event is (time, kind, host number, link, length); times are in seconds.
    """
    rng = random.Random(seed)
    planned_end = seconds * 0.4
    events = []
    at = 1.0
    while at < seconds - 2:
        kinds = PLANNED_EVENTS if at < planned_end else fault_events
        length = rng.uniform(0.1, 3.0)
        events.append((round(at, 3), rng.choice(kinds),
                       rng.randrange(HOSTS), rng.choice(LINKS),
                       round(length, 3)))
        # Varying intervals give both bursts and isolated events.
        at += rng.choice([0.05, 0.3, 1.0])
    return planned_end, events


class DrainWatcher(threading.Thread):
    """Calls one node over a persistent connection, as callers do until the
    process exits, and records the requests that got no response."""

    def __init__(self, address, seed):
        super().__init__(daemon=True)
        self.address = address
        self.name = f"watch-{seed}-{address}"
        self.unanswered = []
        self.stopped = threading.Event()

    def run(self):
        connection, number = None, 0
        while not self.stopped.is_set():
            number += 1
            request = f"{self.name}-{number}"
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(
                        self.address, CALLER_PORT, timeout=10)
                    connection.connect()
            except OSError:
                connection = None
                time.sleep(0.05)
                continue
            try:
                connection.request("GET", "/read", headers={
                    "Host": "service-0", "x-request-id": request})
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                self.unanswered.append(request)
                connection.close()
                connection = None
            time.sleep(0.01)


class SlowCaller(DrainWatcher):
    """Sends each request in two parts on a new connection. The pause between
    them makes requests complete at any moment of a planned stop."""

    def run(self):
        rng, number = random.Random(self.name), 0
        while not self.stopped.is_set():
            number += 1
            request = f"slow-{self.name}-{number}"
            try:
                with socket.create_connection((self.address, CALLER_PORT),
                                              timeout=10) as connection:
                    connection.sendall(b"GET /read HTTP/1.1\r\n"
                                       b"Host: service-0\r\n")
                    self.stopped.wait(rng.uniform(0, 2.5))
                    connection.sendall(f"x-request-id: {request}\r\n"
                                       "Connection: close\r\n\r\n".encode())
                    if not connection.recv(65536):
                        self.unanswered.append(request)
            except OSError:
                self.unanswered.append(request)
                time.sleep(0.05)


class LeavingCaller(DrainWatcher):
    """Leaves while large answers are on their way between nodes."""

    def run(self):
        rng = random.Random(self.name)
        while not self.stopped.is_set():
            try:
                with socket.create_connection((self.address, CALLER_PORT),
                                              timeout=10) as connection:
                    connection.sendall(
                        f"GET /read?bytes={LARGE_ANSWER} HTTP/1.1\r\n"
                        "Host: service-0\r\n\r\n".encode())
                    self.stopped.wait(rng.uniform(0, 0.06))
            except OSError:
                pass
            self.stopped.wait(0.05)


def handles_sighup(process):
    """Returns whether the process ignores or catches SIGHUP at this moment."""
    bit = 1 << (signal.SIGHUP - 1)
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = [int(line.split()[1], 16) for line in status.splitlines()
             if line.startswith(("SigIgn:", "SigCgt:"))]
    return any(mask & bit for mask in masks)


def peak_memory(process):
    """Returns the peak resident memory of a process in KB; 0 if it has ended."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return sum(int(line.split()[1]) for line in status.splitlines()
               if line.startswith("VmHWM:"))


class Soak:
    """The run of one seed."""

    def __init__(self, mesh, seed, seconds, settle, fault_events):
        self.mesh, self.seed, self.seconds = mesh, seed, seconds
        self.settle = settle
        self.planned_end, self.events = schedule(seed, seconds, fault_events)
        self.proxy = FaultProxy()
        self.links = {}
        self.version = 1
        self.index = 0
        self.over_memory = self.ended_alone = self.peak_memory = 0
        self.lock = threading.Lock()

    def start(self):
        mesh = self.mesh
        for number in range(HOSTS):
            mesh.add_host("service-0", f"domain-{number % DOMAINS}", "region-0")
        mesh.start_platform()
        source = (f"{mesh.subnet}.250.249", 8500)
        address, port = mesh.platform.split(":")
        self.links["source"] = self.proxy.add(source, (address, int(port)))
        mesh.publish_hosts()
        self.publish()
        for number, host in enumerate(mesh.hosts):
            mesh.start_target(host, service_time="20ms")
            self.links["target", number] = self.proxy.add(
                (host.ip, PROXIED_TARGET_PORT), (host.ip, TARGET_PORT))
            self.links["callers", number] = self.proxy.add(
                (host.ip, PROXIED_CALLER_PORT), (host.ip, CALLER_PORT))
            self.start_node(host)
        mesh.wait_adopted(self.index, 60, "first configuration on every node")
        time.sleep(2)  # Lets the hosts discover each other.

    def start_node(self, host):
        self.mesh.start_node(
            host, target_address=f"{host.ip}:{PROXIED_TARGET_PORT}",
            source_address=f"{self.mesh.subnet}.250.249:8500",
            link_mbps=LINK_MBPS)

    def publish(self):
        self.version += 1
        self.index, _ = self.mesh.publish(
            mesh_yaml("soak", 1, change=self.version))

    def stop_node(self, host, stop):
        """Stops and restarts the node; records the restart in its adoptions."""
        self.check_process(host)
        stop(host.node)
        try:
            host.node.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            raise StepFailed(f"node {host.ip} did not exit within "
                             f"{STOP_SECONDS} s") from None
        with self.lock:
            self.mesh.read_adoptions()
            host.adopted.append((time.time(), None))
            self.start_node(host)

    def check_process(self, host):
        """Counts a node that has ended by itself or used too much memory."""
        if host.node.poll() is not None:
            self.ended_alone += 1
            return
        peak = peak_memory(host.node)
        self.peak_memory = max(self.peak_memory, peak)
        self.over_memory += peak > MEMORY_LIMIT

    def run_event(self, event):
        """Applies one event and, after its length, ends it.

        Runs on its own thread.
        """
        _, kind, number, link, length = event
        host = self.mesh.hosts[number]
        with self.host_locks[number]:
            getattr(self, "on_" + kind.split("-")[0])(kind, number, host, link,
                                                      length)

    def on_drain(self, _kind, _number, host, _link, _length):
        self.stop_node(host, lambda node: node.terminate())

    def on_publish(self, *_):
        with self.lock:
            self.publish()

    def on_hangup(self, _kind, _number, host, _link, _length):
        # Between exec and the first instruction of main SIGHUP terminates any
        # process; a program cannot prevent that.
        wait_until(lambda: handles_sighup(host.node), 10,
                   f"node {host.ip} handles SIGHUP", poll_interval=0.001)
        host.node.send_signal(signal.SIGHUP)

    def on_kill(self, kind, _number, host, _link, length):
        if kind == "kill-node":
            self.stop_node(host, lambda node: (node.kill(), node.wait(),
                                               time.sleep(length)))
            return
        host.target.kill()
        host.target.wait()
        time.sleep(length)
        with self.lock:
            self.mesh.start_target(host, service_time="20ms")

    def on_pause(self, kind, _number, host, _link, length):
        process = host.node if kind == "pause-node" else host.target
        process.send_signal(signal.SIGSTOP)
        time.sleep(length)
        process.send_signal(signal.SIGCONT)

    def on_source(self, kind, _number, _host, _link, length):
        if kind == "source-cut":
            self.inject_link_fault(self.links["source"], "silence", length)
            return
        self.mesh.fault("down")
        time.sleep(length)
        self.mesh.fault("none")

    def on_delay(self, kind, number, _host, link, length):
        self.inject_link_fault(self.links[link, number], kind, length)

    on_cut = on_silence = on_reset = on_delay

    def on_endless(self, kind, number, _host, _link, length):
        self.inject_link_fault(self.links["target", number], kind, length)

    @staticmethod
    def inject_link_fault(link, kind, length):
        if kind == "reset":
            link.reset()
            return
        link.delay = length / 10 if kind == "delay" else 0.0
        if kind.startswith("endless-"):
            link.endless = kind.removeprefix("endless-")
        link.cut_requests = kind in ("cut-requests", "silence")
        link.cut_answers = kind in ("cut-answers", "silence")
        time.sleep(length)
        link.clear_fault()

    def run(self):
        self.start()
        # Events on the same host are serialised; events on different hosts
        # may overlap.
        self.host_locks = [threading.Lock() for _ in range(HOSTS)]
        callers = [f"{host.ip}:{PROXIED_CALLER_PORT}"
                   for host in self.mesh.hosts]
        ledger = self.mesh.folder / "callers.txt"
        load = self.mesh.load(callers, ledger=ledger, service="service-0",
                              path="/read", booking_path="/bookings",
                              booking_ratio=0.2, rate=RATE, timeout="5s",
                              duration=f"{self.seconds}s",
                              random_seed=self.seed)
        watchers = [DrainWatcher(host.ip, self.seed)
                    for host in self.mesh.hosts]
        watchers += [SlowCaller(host.ip, f"{self.seed}.{number}")
                     for host in self.mesh.hosts
                     for number in range(SLOW_CALLERS)]
        leaving = [LeavingCaller(host.ip, self.seed)
                   for host in self.mesh.hosts]
        for watcher in watchers + leaving:
            watcher.start()
        begin = time.monotonic()
        unanswered = []
        with concurrent.futures.ThreadPoolExecutor(len(self.events)) as pool:
            submitted = []
            for event in self.events:
                if event[0] > self.planned_end and watchers:
                    # Wait for the planned events to end before the first fault.
                    concurrent.futures.wait(submitted, STOP_SECONDS)
                    unanswered = self.stop_watchers(watchers)
                    watchers = []
                time.sleep(max(0.0, begin + event[0] - time.monotonic()))
                submitted.append(pool.submit(self.run_event, event))
            for event in submitted:
                event.result()
        self.stop_watchers(leaving)
        result = {"events": len(self.events)}
        result["not_settled"] = self.count_unsettled_hosts()
        figures = finish_load(load, self.seconds + 60)
        for key in ("calls", "calls_ok", "calls_not_run", "calls_unknown",
                    "lost_answers", "crossed"):
            result[key] = int(figures[key])
        pairs = self.mesh.join_ledgers(ledger)
        for key in ("doubled", "false_not_run"):
            result[key] = int(pairs[key])
        if "examples" in pairs:
            result["examples"] = pairs["examples"]
        result["regressions"], _ = count_regressions(self.mesh)
        result["cut_by_drain"] = self.count_executed(unanswered)
        for host in self.mesh.hosts:
            self.check_process(host)
        result["held_bytes"] = self.count_held_bytes()
        result["peak_mb"] = self.peak_memory // 1024
        result["over_memory"] = self.over_memory
        result["ended_alone"] = self.ended_alone
        return result

    def stop_watchers(self, watchers):
        for watcher in watchers:
            watcher.stopped.set()
        for watcher in watchers:
            watcher.join(15)
        return [request for watcher in watchers
                for request in watcher.unanswered]

    def count_unsettled_hosts(self):
        """Publishes a version; returns how many hosts failed to adopt it."""
        with self.lock:
            self.publish()
        try:
            self.mesh.wait_adopted(self.index, self.settle,
                                   "last configuration")
        except StepFailed as error:
            print(f"seed {self.seed}: {error}", flush=True)
        count = 0
        for host in self.mesh.hosts:
            adopted = host.adopted and host.adopted[-1][1]
            if not adopted or adopted[1] < self.index:
                count += 1
        return count

    def count_held_bytes(self):
        """Returns how many bytes nodes still hold to send to other nodes."""
        def held():
            return sum(int(self.mesh.metric(host, EGRESS_BACKLOG))
                       for host in self.mesh.hosts)
        try:
            wait_until(lambda: held() == 0, RELEASE_SECONDS, "no bytes held")
        except StepFailed:
            return held()
        return 0

    def count_executed(self, requests):
        """Returns how many of the requests were executed by a target."""
        ran = {line.split()[1] for host in self.mesh.hosts
               for line in self.mesh.ledger(host).read_text().splitlines()
               if line.startswith("run ") and len(line.split()) > 2}
        return sum(1 for request in requests if request in ran)


def run_seed(seed, seconds, keep, settle, fault_events):
    """Runs one seed; copies its logs and ledgers to `keep` if it fails."""
    mesh = Mesh("soak")
    soak = Soak(mesh, seed, seconds, settle, fault_events)
    result = None
    try:
        result = soak.run()
        return result
    finally:
        soak.proxy.close()
        mesh.reservation.close()
        failed = result is None or any(
            result[name] for name in VIOLATION_COUNTERS)
        if failed and keep:
            target = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(mesh.folder, target, dirs_exist_ok=True)
            print(f"seed {seed}: logs and ledgers in {target}", flush=True)
        mesh.close()


def read_regressions():
    """Reads the recorded failed seeds: lines of "SEED SECONDS # cause"."""
    lines = [line.split("#")[0].split()
             for line in REGRESSIONS.read_text().splitlines()]
    return [(int(line[0]), int(line[1]), RECORDED_FAULT_EVENTS)
            for line in lines if line]


def read_known_red():
    """Reads KNOWN-RED.txt: lines "soak: SEED COUNTER...", as sets by seed.

    A listed seed may violate the listed counters; nothing else is tolerated.
    """
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    entries = [line.split()[1:] for line in lines if line.startswith("soak: ")]
    return {int(entry[0]): set(entry[1:]) for entry in entries}


def parse():
    parser = argparse.ArgumentParser(prog="soak.sh", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=int, default=20,
                        help="duration of the load of each seed")
    parser.add_argument("--regressions", action="store_true",
                        help="run the recorded failed seeds before the others")
    parser.add_argument("--keep", help="directory for the logs of failed seeds")
    parser.add_argument("--settle", type=int, default=SETTLE_SECONDS,
                        help="time limit in seconds for all nodes to "
                        "adopt the last version")
    parser.add_argument("--list", action="store_true",
                        help="print the schedules without running them")
    return parser.parse_args()


def main():
    arguments = parse()
    # Unwind on SIGTERM so that no child process is left running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    seeds = read_regressions() if arguments.regressions else []
    seeds += [(arguments.seed + number, arguments.seconds, FAULT_EVENTS)
              for number in range(arguments.seeds)]
    totals, failed, known_red = {"seeds": len(seeds)}, [], read_known_red()
    for seed, seconds, fault_events in seeds:
        if arguments.list:
            for event in schedule(seed, seconds, fault_events)[1]:
                print(seed, *event)
            continue
        try:
            result = run_seed(seed, seconds, arguments.keep,
                              arguments.settle, fault_events)
        except (StepFailed, OSError) as error:
            print(f"seed {seed}: {error}", flush=True)
            failed.append(seed)
            continue
        print(f"seed {seed}:", *(f"{k}={v}" for k, v in result.items()),
              flush=True)
        violated = {name for name in VIOLATION_COUNTERS if result[name]}
        if violated and violated <= known_red.get(seed, set()):
            print(f"seed {seed}: known failure (KNOWN-RED.txt), allowed:",
                  *sorted(violated), flush=True)
        elif violated:
            failed.append(seed)
        for key, value in result.items():
            if key == "peak_mb":
                totals[key] = max(totals.get(key, 0), value)
            elif isinstance(value, int):
                totals[key] = totals.get(key, 0) + value
    if arguments.list:
        return 0
    print(*(f"{key}={value}" for key, value in totals.items()))
    if failed:
        print("failed seeds:", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
