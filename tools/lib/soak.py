"""The fault soak behind tools/soak.sh.

A seed gives a schedule of events in two phases. The planned phase has only
what an operator does: drains with restarts, new texts, signals to read the
settings again. In the other phase processes are killed and paused, the source
misbehaves and connections are delayed, cut in one direction, silenced and
reset. Events overlap. Callers keep their connections open all the while.
"""

import argparse
import concurrent.futures
import http.client
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

from fault_proxy import FaultProxy
from measure import count_regressions, finish_load, mesh_yaml
from mesh import CALLER_PORT, TARGET_PORT, Mesh, StepFailed, wait_until

REGRESSIONS = pathlib.Path(__file__).with_name("soak_regressions.txt")
HOSTS, DOMAINS = 6, 3
PROXIED_CALLER_PORT, PROXIED_TARGET_PORT = 7481, 8081
RATE = 150  # Calls a second; the targets carry more than twice as many.
# A node stops within this time after a signal (setting drain-limit).
STOP_SECONDS = 30
# After the last fault a version has to be in force everywhere. The target is
# 3 s; the rest is for nodes that were started just before. CI, whose verdict
# may not depend on the speed of the machine, waits longer (--settle).
SETTLE_SECONDS = 20
PLANNED = ["drain", "publish", "hangup"]
FAULTS = ["kill-node", "kill-target", "pause-node", "pause-target", "drain",
          "publish", "source-down", "source-cut", "delay", "cut-requests",
          "cut-answers", "silence", "reset"]
LINKS = ["callers", "target"]
# Counts of broken promises; the soak fails if one is not zero.
PROMISES = ["doubled", "false_not_run", "lost_answers", "crossed",
            "regressions", "cut_by_drain", "not_settled"]


def schedule(seed, seconds):
    """Events as (time, kind, host number, link, length), by time."""
    choose = random.Random(seed)
    planned_end = seconds * 0.4
    events = []
    at = 1.0
    while at < seconds - 2:
        kinds = PLANNED if at < planned_end else FAULTS
        length = choose.uniform(0.1, 3.0)
        events.append((round(at, 3), choose.choice(kinds),
                       choose.randrange(HOSTS), choose.choice(LINKS),
                       round(length, 3)))
        # Series of events that follow at once alternate with single ones.
        at += choose.choice([0.05, 0.3, 1.0])
    return planned_end, events


class DrainWatcher(threading.Thread):
    """Calls one node on a connection that stays open, as callers do until the
    process is gone, and notes which requests got no answer."""

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


def handles_hangup(process):
    """Whether the process ignores or catches SIGHUP by now."""
    bit = 1 << (signal.SIGHUP - 1)
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = [int(line.split()[1], 16) for line in status.splitlines()
             if line.startswith(("SigIgn:", "SigCgt:"))]
    return any(mask & bit for mask in masks)


class Soak:
    """One seed's run."""

    def __init__(self, mesh, seed, seconds, settle):
        self.mesh, self.seed, self.seconds = mesh, seed, seconds
        self.settle = settle
        self.planned_end, self.events = schedule(seed, seconds)
        self.proxy = FaultProxy()
        self.links = {}
        self.version = 1
        self.index = 0
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
        mesh.wait_adopted(self.index, 60, "first text on every node")
        time.sleep(2)  # Hosts learn of each other.

    def start_node(self, host):
        self.mesh.start_node(
            host, target_address=f"{host.ip}:{PROXIED_TARGET_PORT}",
            source_address=f"{self.mesh.subnet}.250.249:8500")

    def publish(self):
        self.version += 1
        self.index, _ = self.mesh.publish(
            mesh_yaml("soak", 1, change=self.version))

    def stop_node(self, host, stop):
        """Ends the node and notes that its next process begins anew."""
        stop(host.node)
        try:
            host.node.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            raise StepFailed(f"node {host.ip} did not stop") from None
        with self.lock:
            self.mesh.read_logs()
            host.adopted.append((time.time(), None))
            self.start_node(host)

    def play(self, event):
        """One event with its end; runs in a thread of its own."""
        _, kind, number, link, length = event
        host = self.mesh.hosts[number]
        with self.busy[number]:
            getattr(self, "on_" + kind.split("-")[0])(kind, number, host, link,
                                                      length)

    def on_drain(self, _kind, _number, host, _link, _length):
        self.stop_node(host, lambda node: node.terminate())

    def on_publish(self, *_):
        with self.lock:
            self.publish()

    def on_hangup(self, _kind, _number, host, _link, _length):
        # Between exec and the first instruction of main the signal ends any
        # process, which no program can change.
        wait_until(lambda: handles_hangup(host.node), 10,
                   f"node {host.ip} handles SIGHUP", pause=0.001)
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
            self.misbehave(self.links["source"], "silence", length)
            return
        self.mesh.fault("down")
        time.sleep(length)
        self.mesh.fault("none")

    def on_delay(self, kind, number, _host, link, length):
        self.misbehave(self.links[link, number], kind, length)

    on_cut = on_silence = on_reset = on_delay

    @staticmethod
    def misbehave(link, kind, length):
        if kind == "reset":
            link.reset()
            return
        link.delay = length / 10 if kind == "delay" else 0.0
        link.cut_requests = kind in ("cut-requests", "silence")
        link.cut_answers = kind in ("cut-answers", "silence")
        time.sleep(length)
        link.heal()

    def run(self):
        self.start()
        # Events of one host follow each other, those of different hosts
        # overlap.
        self.busy = [threading.Lock() for _ in range(HOSTS)]
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
        for watcher in watchers:
            watcher.start()
        begin = time.monotonic()
        unanswered = []
        with concurrent.futures.ThreadPoolExecutor(len(self.events)) as pool:
            played = []
            for event in self.events:
                if event[0] > self.planned_end and watchers:
                    # All planned events end before the first fault.
                    concurrent.futures.wait(played, STOP_SECONDS)
                    unanswered = self.stop_watchers(watchers)
                    watchers = []
                time.sleep(max(0.0, begin + event[0] - time.monotonic()))
                played.append(pool.submit(self.play, event))
            for event in played:
                event.result()
        result = {"events": len(self.events)}
        result["not_settled"] = self.unsettled()
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
        result["cut_by_drain"] = self.count_runs(unanswered)
        return result

    def stop_watchers(self, watchers):
        for watcher in watchers:
            watcher.stopped.set()
        for watcher in watchers:
            watcher.join(15)
        return [request for watcher in watchers
                for request in watcher.unanswered]

    def unsettled(self):
        """Hosts that do not hold the newest version or do not answer."""
        with self.lock:
            self.publish()
        try:
            self.mesh.wait_adopted(self.index, self.settle, "last text")
        except StepFailed as error:
            print(f"seed {self.seed}: {error}", flush=True)
        count = 0
        for host in self.mesh.hosts:
            adopted = host.adopted and host.adopted[-1][1]
            if not adopted or adopted[1] < self.index:
                count += 1
        return count

    def count_runs(self, requests):
        """How many of the requests some target ran."""
        ran = {line.split()[1] for host in self.mesh.hosts
               for line in self.mesh.ledger(host).read_text().splitlines()
               if line.startswith("run ") and len(line.split()) > 2}
        return sum(1 for request in requests if request in ran)


def play_seed(seed, seconds, keep, settle=SETTLE_SECONDS):
    """Result of one seed; the logs of a failed one are kept."""
    mesh = Mesh("soak")
    soak = Soak(mesh, seed, seconds, settle)
    result = None
    try:
        result = soak.run()
        return result
    finally:
        soak.proxy.close()
        mesh.reservation.close()
        failed = result is None or any(result[name] for name in PROMISES)
        if failed and keep:
            target = pathlib.Path(keep) / f"seed-{seed}"
            shutil.copytree(mesh.folder, target, dirs_exist_ok=True)
            print(f"seed {seed}: logs and ledgers in {target}", flush=True)
        mesh.close()


def read_regressions():
    """Seeds that failed once, as "SEED SECONDS # cause"."""
    lines = [line.split("#")[0].split()
             for line in REGRESSIONS.read_text().splitlines()]
    return [(int(line[0]), int(line[1])) for line in lines if line]


def parse():
    parser = argparse.ArgumentParser(prog="soak.sh", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=int, default=20,
                        help="length of the load of one seed")
    parser.add_argument("--regressions", action="store_true",
                        help="play the seeds that ever failed before the others")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    parser.add_argument("--settle", type=int, default=SETTLE_SECONDS,
                        help="seconds for the last version to be in force")
    parser.add_argument("--list", action="store_true",
                        help="print the schedules, play nothing")
    return parser.parse_args()


def main():
    arguments = parse()
    # An end from outside unwinds, so that no process is left behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    seeds = read_regressions() if arguments.regressions else []
    seeds += [(arguments.seed + number, arguments.seconds)
              for number in range(arguments.seeds)]
    totals, failed = {"seeds": len(seeds)}, []
    for seed, seconds in seeds:
        if arguments.list:
            for event in schedule(seed, seconds)[1]:
                print(seed, *event)
            continue
        try:
            result = play_seed(seed, seconds, arguments.keep,
                               arguments.settle)
        except (StepFailed, OSError) as error:
            print(f"seed {seed}: {error}", flush=True)
            failed.append(seed)
            continue
        print(f"seed {seed}:", *(f"{k}={v}" for k, v in result.items()),
              flush=True)
        if any(result[name] for name in PROMISES):
            failed.append(seed)
        for key, value in result.items():
            if isinstance(value, int):
                totals[key] = totals.get(key, 0) + value
    if arguments.list:
        return 0
    print(*(f"{key}={value}" for key, value in totals.items()))
    if failed:
        print("failed seeds:", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
