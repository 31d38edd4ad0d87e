"""Experiments run by tools/measure.sh."""

import argparse
import csv
import datetime
import os
import random
import signal
import statistics
import subprocess
import sys
import time

from mesh import (CALLER_PORT, ROOT, TARGET_PORT, Mesh, StepFailed,
                  cpu_seconds, parse_pairs, peak_rss_mb,
                  count_version_decreases, wait_until, http, ADMIN_PORT)


def service_yaml(name, queue, slots=10):
    return f"""  {name}:
    slots: {slots}
    queue: {queue}
    connections: 100
    routes:
      - path: /read
        methods: [GET, HEAD]
        repeatable: true
        deadline: 2s
      - path: /bookings
        methods: [POST]
        repeatable: false
        deadline: 5s
        priority: critical
"""


def mesh_yaml(mesh, services, change=0, slots=10):
    """Returns a configuration; each change number alters one service."""
    text = f"epoch: 1\nmesh: {mesh}\n\nservices:\n"
    for number in range(services):
        altered = change > 0 and change % services == number
        text += service_yaml(f"service-{number}",
                             20 + (change % 50 if altered else 0), slots)
    return text


class FleetSample:
    """A snapshot of the counters of all nodes."""

    def __init__(self, mesh):
        self.at = time.monotonic()
        self.cpu = {h.node.pid: cpu_seconds(h.node) for h in mesh.hosts}
        self.bytes = {h.node.pid: mesh.control_bytes(h) for h in mesh.hosts}
        self.calls = mesh.counters()["calls"]


def apply_fleet_fault(mesh, arguments, settings):
    """Applies the fault; returns a function that ends it."""
    if arguments.fault == "restart-all":
        mesh.read_adoptions()
        for host in mesh.hosts:
            host.node.kill()
            host.node.wait()
            host.adopted.append((time.time(), None))
        for host in mesh.hosts:
            mesh.start_node(host, **settings)
        return lambda: None
    if arguments.fault == "source-down":
        mesh.fault("down")
        time.sleep(10)
        mesh.fault("none")
        return lambda: None
    paused = {"partition": mesh.hosts[::2], "pause": mesh.hosts[::10]}.get(
        arguments.fault, [])
    for host in paused:
        host.node.send_signal(signal.SIGSTOP)

    def resume():
        for host in paused:
            host.node.send_signal(signal.SIGCONT)
            host.unavailable_until = time.time()
    return resume


def count_regressions(mesh):
    """Counts version decreases within processes and across restarts.

    The first count uses the histories reported by the nodes and their logs. The
    second uses the logs, which span restarts: a restarted node must not return
    to a lower version than it had before.
    """
    own, logged, restarted = 0, 0, 0
    for host in mesh.hosts:
        history = [tuple(map(int, entry["version"].split(".")))
                   for entry in mesh.status(host)["history"]]
        own += count_version_decreases(history)
        versions = [version for _, version in host.adopted]
        logged_all = [v for v in versions if v is not None]
        within = 0
        for old, new in zip(versions, versions[1:]):
            within += old is not None and new is not None and new < old
        logged += within
        restarted += count_version_decreases(logged_all) - within
    return own + logged, restarted


def fleet(arguments):
    domains = min(15, max(2, arguments.nodes // 3))
    with Mesh("fleet") as mesh:
        # All nodes share one target: a node without a target stays in state
        # starting, and hosts in that state are not selected as readers of the
        # source.
        target = f"{mesh.subnet}.250.251:{TARGET_PORT}"
        settings = {"spread_profile": arguments.profile,
                    "source_mode": arguments.mode, "target_address": target}
        mesh.spawn("marigold-target",
                   {"address": target, "connections": 100000}, "target.log")
        for number in range(arguments.nodes):
            domain = number % domains
            mesh.add_host(f"service-{number % arguments.services}",
                          f"domain-{domain}", f"region-{domain * 6 // 15}")
        mesh.start_platform()
        mesh.publish_hosts()
        index, _ = mesh.publish(mesh_yaml("fleet", arguments.services))
        started = time.monotonic()
        for host in mesh.hosts:
            mesh.start_node(host, **settings)
            time.sleep(0.005)
        mesh.wait_adopted(index, 120, "first configuration on every node")
        start_s = time.monotonic() - started
        # Exclude the start-up from the measurement: nodes spread their first
        # reads of the source over the setting restart-spread, 10 s.
        time.sleep(15)
        before = FleetSample(mesh)
        changes, resume, peak_calls = [], None, 0.0
        for change in range(1, arguments.changes + 1):
            if change == arguments.changes // 2 + 1:
                resume = apply_fleet_fault(mesh, arguments, settings)
            calls = mesh.counters()["calls"]
            changes.append(mesh.publish(
                mesh_yaml("fleet", arguments.services, change)))
            end = time.monotonic() + arguments.interval
            while time.monotonic() < end:
                time.sleep(min(1.0, max(0.0, end - time.monotonic())))
                now = mesh.counters()["calls"]
                peak_calls = max(peak_calls, now - calls)
                calls = now
        if resume:
            resume()
        mesh.wait_adopted(changes[-1][0], 60,
                          "last configuration on every node", mesh.hosts)
        after = FleetSample(mesh)
        length = after.at - before.at
        times = [mesh.convergence(*change) for change in changes]
        known = sorted(t for t in times if t is not None)
        spent = [after.bytes[h.node.pid] - before.bytes.get(h.node.pid, 0)
                 for h in mesh.hosts]
        cpu = [after.cpu[h.node.pid] - before.cpu.get(h.node.pid, 0)
               for h in mesh.hosts]
        regressions, restart_regressions = count_regressions(mesh)
        return {
            "start_s": round(start_s, 2),
            "convergence_p50_ms": round(statistics.median(known), 1),
            "convergence_max_ms": round(known[-1], 1),
            "control_bytes_per_node_s":
                round(statistics.mean(spent) / length, 1),
            "source_calls_per_s":
                round((after.calls - before.calls) / length, 2),
            "source_calls_peak_per_s": round(peak_calls, 1),
            "rss_max_mb":
                round(max(peak_rss_mb(h.node) for h in mesh.hosts), 1),
            "cpu_percent_per_node":
                round(100 * statistics.mean(cpu) / length, 3),
            "regressions": regressions,
            "restart_regressions": restart_regressions,
        }


def start_small_mesh(mesh, targets, callers, slots=10, **target_settings):
    """Starts nodes with a target and nodes without one, for callers only."""
    for number in range(targets):
        mesh.add_host("service-0", f"domain-{number % 3}", "region-0")
    for number in range(callers):
        mesh.add_host("", f"domain-{number % 3}", "region-0")
    mesh.start_platform()
    mesh.publish_hosts()
    index, _ = mesh.publish(mesh_yaml("bench", 1, slots=slots))
    for host in mesh.hosts:
        if host.service:
            mesh.start_target(host, slots=slots, connections=500,
                              **target_settings)
        mesh.start_node(host)
    mesh.wait_adopted(index, 60, "first configuration on every node")
    time.sleep(3)  # Lets the hosts discover each other.


def caller_address(host):
    return f"{host.ip}:{CALLER_PORT}"


def finish_load(run, seconds):
    out, _ = run.communicate(timeout=seconds)
    if run.returncode != 0:
        raise StepFailed(
            f"marigold-load failed with exit code {run.returncode}")
    return {key: float(value) for key, value in parse_pairs(out).items()}


def call(arguments):
    """Measures the latency that two nodes add to a call.

    Calls go through the nodes and directly to the same target at the same
    time, so that both are measured under the same machine load.
    """
    with Mesh("bench") as mesh:
        start_small_mesh(mesh, 1, 1, slots=100, service_time="1ms")
        target, caller = mesh.hosts
        cpu = sum(cpu_seconds(h.node) for h in mesh.hosts)
        common = {"service": "service-0", "path": "/read",
                  "rate": arguments.rate, "warmup": "2s",
                  "duration": f"{arguments.seconds + 2}s"}
        through = mesh.load([caller_address(caller)], random_seed=1, **common)
        direct = mesh.load([f"{target.ip}:{TARGET_PORT}"], direct="true",
                           random_seed=2, **common)
        through = finish_load(through, arguments.seconds + 60)
        direct = finish_load(direct, 60)
        cpu = sum(cpu_seconds(h.node) for h in mesh.hosts) - cpu
        if through["calls_ok"] == 0 or direct["calls_ok"] == 0:
            raise StepFailed("no call was answered")
        return {
            "added_p50_ms": round(through["p50_ms"] - direct["p50_ms"], 3),
            "added_p99_ms": round(through["p99_ms"] - direct["p99_ms"], 3),
            "direct_p50_ms": direct["p50_ms"],
            "direct_p99_ms": direct["p99_ms"],
            "calls_per_core": round(through["calls"] / cpu) if cpu else 0,
            "calls_ok": int(through["calls_ok"]),
            "calls_failed": int(through["calls"] - through["calls_ok"]),
            "crossed": int(through["crossed"]),
            "lost_answers": int(through["lost_answers"]),
        }


def overload(arguments):
    """Measures goodput at 1, 2 and 3 times the capacity of three targets.

    The capacity is the nominal one: slots divided by the mean service time.
    """
    targets, slots, service_ms = 3, 10, 50
    capacity = targets * slots * 1000 // service_ms
    result = {"capacity_per_s": capacity}
    with Mesh("bench") as mesh:
        start_small_mesh(mesh, targets, 2, slots=slots,
                         service_time=f"{service_ms}ms")
        callers = [caller_address(h) for h in mesh.hosts if not h.service]
        goodput = []
        for factor in (1, 2, 3):
            run = mesh.load(callers, service="service-0", path="/read",
                            rate=capacity * factor, connections=400,
                            timeout="1s", warmup="3s",
                            duration=f"{arguments.seconds + 3}s",
                            random_seed=factor)
            figures = finish_load(run, arguments.seconds + 60)
            goodput.append(figures["goodput_per_s"])
            result[f"goodput_{factor}x_per_s"] = figures["goodput_per_s"]
            result[f"p99_{factor}x_ms"] = figures["p99_ms"]
            time.sleep(2)
        result["goodput_ratio"] = round(goodput[-1] / max(goodput), 3)
    return result


def restart_stopped_processes(mesh, host):
    if host.target.poll() is not None:
        mesh.start_target(host, service_time="20ms")
    if host.node.poll() is not None:
        mesh.start_node(host)


def drain_host(mesh, host):
    """Drains and stops a host; returns how many runs the drain cut off."""
    cuts = mesh.target_counters(host)["cut_runs"]
    http("POST", f"http://{host.ip}:{ADMIN_PORT}/drain", "")
    wait_until(lambda: host.node.poll() is not None, 70, "drain of a node")
    cuts = mesh.target_counters(host)["cut_runs"] - cuts
    host.target.terminate()
    wait_until(lambda: host.target.poll() is not None, 30, "stop of a target")
    return cuts


def faults(arguments):
    rate = 300
    seconds = max(20, min(300, arguments.calls // rate))
    rate = max(1, arguments.calls // seconds)
    rng = random.Random(arguments.seed)
    result = {"events": 0, "cut_by_drain": 0}
    with Mesh("bench") as mesh:
        start_small_mesh(mesh, 6, 2, service_time="20ms")
        callers = [caller_address(h) for h in mesh.hosts]
        workers = [h for h in mesh.hosts if h.service]
        ledger = mesh.folder / "callers.txt"
        run = mesh.load(callers, ledger=ledger, service="service-0",
                        path="/read", booking_path="/bookings",
                        booking_ratio=0.2, rate=rate,
                        duration=f"{seconds}s", timeout="5s",
                        random_seed=arguments.seed)
        end = time.monotonic() + seconds - 5
        time.sleep(2)
        while time.monotonic() < end and run.poll() is None:
            host = rng.choice(workers)
            event = rng.choice(["kill-node", "kill-target", "pause-node",
                                "pause-target", "drain"])
            result["events"] += 1
            key = event.replace("-", "_") + "s"
            result[key] = result.get(key, 0) + 1
            process = host.target if event.endswith("target") else host.node
            if event == "drain":
                result["cut_by_drain"] += drain_host(mesh, host)
            elif event.startswith("kill"):
                process.kill()
                process.wait()
            else:
                process.send_signal(signal.SIGSTOP)
                time.sleep(rng.uniform(0.2, 4))
                process.send_signal(signal.SIGCONT)
            time.sleep(rng.uniform(0.1, 1))
            restart_stopped_processes(mesh, host)
            time.sleep(rng.uniform(0.5, 2))
        figures = finish_load(run, 120)
        pairs = mesh.join_ledgers(ledger)
        for key in ("doubled", "false_not_run", "ok_without_run",
                    "unknown_ran", "unknown_not_run", "bookings", "examples"):
            if key in pairs:
                result[key] = pairs[key]
        for key in ("calls", "calls_ok", "calls_not_run", "calls_unknown",
                    "lost_answers", "crossed", "resends", "key_failures"):
            result[key] = int(figures[key])
        result["target_shed"] = int(figures.get("reason.target-refused", 0))
    return result


def machine():
    cores = os.cpu_count()
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    commit = subprocess.run(
        ["git", "-C", str(ROOT), "describe", "--always", "--dirty"],
        stdout=subprocess.PIPE, text=True, check=False).stdout.strip()
    return {"date": datetime.datetime.now(datetime.timezone.utc)
            .strftime("%Y-%m-%dT%H:%M:%SZ"),
            "cores": cores, "memory_gb": round(memory / 2**30),
            "commit": commit}


def record(name, arguments, result):
    """Appends a row to the CSV file, adding columns that it lacks."""
    row = machine()
    row["load_average"] = round(os.getloadavg()[0], 1)
    row.update({key: value for key, value in vars(arguments).items()
                if key not in ("command", "record")})
    row.update(result)
    path = ROOT / "docs" / "measurements" / f"{name}.csv"
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = []
    if path.exists():
        with open(path, newline="", encoding="utf-8") as old:
            rows = list(csv.DictReader(old))
    columns = list(dict.fromkeys(
        [key for old in rows for key in old] + list(row)))
    with open(path, "w", newline="", encoding="utf-8") as out:
        writer = csv.DictWriter(out, columns, lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows + [row])


def bounded(low, high, kind=int):
    def read(text):
        value = kind(text)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(
                f"{text} is not between {low} and {high}")
        return value
    return read


def parse():
    parser = argparse.ArgumentParser(
        prog="measure.sh", description="Runs an experiment with real "
        "processes on loopback addresses and prints key=value lines.")
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--record", action="store_true",
                        help="append a row to docs/measurements/<name>.csv")
    commands = parser.add_subparsers(dest="command", required=True)
    subparser = commands.add_parser("fleet", parents=[common],
                                    help="convergence time and cost of "
                                    "configuration distribution")
    subparser.add_argument("--nodes", type=bounded(2, 1000), required=True)
    subparser.add_argument("--changes", type=bounded(1, 200), default=6)
    subparser.add_argument("--interval", type=bounded(0.2, 60, float),
                           default=5.0,
                           help="seconds between two changes")
    subparser.add_argument("--profile", choices=["fast", "frugal"],
                           default="fast")
    subparser.add_argument("--mode", choices=["peers", "every-node"],
                           default="peers")
    subparser.add_argument("--services", type=bounded(1, 500), default=10)
    subparser.add_argument("--fault", default="none",
                           choices=["none", "restart-all", "source-down",
                                    "partition", "pause"],
                           help="fault to apply halfway through the run; "
                           "partition stops half of the nodes with SIGSTOP, "
                           "which pauses processes and does not drop packets")
    subparser = commands.add_parser("call", parents=[common],
                                    help="latency that two nodes add to a call")
    subparser.add_argument("--rate", type=bounded(1, 20000), default=230)
    subparser.add_argument("--seconds", type=bounded(1, 120), default=20)
    subparser = commands.add_parser("overload", parents=[common],
                                    help="goodput at 1, 2 and 3 times capacity")
    subparser.add_argument("--seconds", type=bounded(1, 60), default=10)
    subparser = commands.add_parser("faults", parents=[common],
                                    help="kills, pauses and drains under load")
    subparser.add_argument("--calls", type=bounded(100, 1000000),
                           default=20000)
    subparser.add_argument("--seed", type=bounded(0, 2**63), default=1)
    return parser.parse_args()


def main():
    arguments = parse()
    experiment = {"fleet": fleet, "call": call, "overload": overload,
                  "faults": faults}[arguments.command]
    try:
        result = experiment(arguments)
    except (StepFailed, OSError, subprocess.TimeoutExpired) as error:
        print(f"measure.sh: {error}", file=sys.stderr)
        return 1
    for key, value in result.items():
        print(f"{key}={value}")
    if arguments.record:
        record(arguments.command, arguments, result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
