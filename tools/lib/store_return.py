"""The platform's store returns from older copies, run by tools/store.sh.

What the store acknowledged, and until which return it kept that, is compared
with what callers and targets saw. The case "return" is one return in calm; a
seed determines a schedule of returns that overlap with other faults of the
store, restarts of nodes, targets that leave or crash, and new configurations.
"""

import argparse
import asyncio
import collections
import heapq
import math
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time

from mesh import BIN, ROOT, Mesh
from store_mesh import (APPLY_S, CALLER, CONTACT_S, DRAIN_S, HOSTS, REUSE_S,
                        REWRITE_S, ROLLBACK_SLACK_S, SERVICES, STRETCH_S,
                        Connection, Host, Store, Target, message)

CALLERS = 2  # For each host.
KEPT_ROUTES = 3  # Versions that have the route added by a version.


class Request:
    """A request of a caller and its outcome; the service is empty on 404."""

    def __init__(self, host, path):
        self.host, self.path, self.service = host, path, None
        self.sent = self.done = self.incarnation = 0

    def __str__(self):
        return f"{self.path} of {self.host.ip} at {self.sent:.3f}"

    def matches(self, version):
        """Whether the outcome is that of this version."""
        kind, number = self.path.strip("/").split("-")
        if kind == "turn":
            return self.service == f"s{version % SERVICES}"
        if kind == "to":
            return self.service == f"s{number}"
        exists = 0 <= version - int(number) < KEPT_ROUTES
        return (self.service != "") == exists


class Run:
    """One seed, or the case "return"."""

    def __init__(self, seed, node, seconds):
        self.mesh, self.seed, self.seconds = Mesh("store"), seed, seconds
        self.node, self.violations, self.removed = node, [], {}
        self.arrivals, self.requests, self.tasks = [], {}, []
        self.counts = collections.Counter(judged_leaving=0)
        self.written = []  # (time of the first write, version)
        self.configs = []  # (acknowledgement, version)
        # Held while a version is written, so that no older one follows it.
        self.operator = asyncio.Lock()
        self.log = open(self.mesh.folder / "record.txt", "w", buffering=1)

    def record(self, text):
        stamp = time.strftime("%H:%M:%S", time.gmtime())
        self.log.write(f"{stamp}.{time.time_ns() // 10**6 % 1000:03} "
                       f"{time.monotonic():.3f} {text}\n")

    def fail(self, text):
        self.record(f"violation: {text}")
        self.violations.append(text)

    def spawn(self, command, log, **environment):
        with open(self.mesh.folder / log, "ab") as out:
            process = subprocess.Popen([str(word) for word in command],
                                       stdout=out, stderr=out, cwd=ROOT,
                                       stdin=subprocess.DEVNULL,
                                       env={**os.environ, **environment})
        self.mesh.processes.append(process)
        return process

    async def write_config(self, version):
        """Writes a version, repeatedly until the store accepts it."""
        def route(prefix, service):
            return {"host": "h.example", "prefix": f"/{prefix}/",
                    "kind": "idempotent", "timeout_s": 2.0, "attempts": 2,
                    "goal_latency_s": 0.5, "priority": 2, "service": service}
        routes = {f"to-{n}": route(f"to-{n}", f"s{n}") for n in range(SERVICES)}
        routes["turn"] = route("turn-0", f"s{version % SERVICES}")
        for number in range(max(1, version - KEPT_ROUTES + 1), version + 1):
            routes[f"new-{number}"] = route(f"new-{number}", "s0")
        services = {f"s{n}": {"health_path": "/health", "max_connections": 110,
                              "protocol": "h1", "tls": False}
                    for n in range(SERVICES)}
        if version > self.version:
            self.written.append((time.monotonic(), version))
        config = {"version": f"r{version}", "routes": routes,
                  "services": services,
                  "limits": {"max_header_bytes": 16384, "header_timeout_s": 3,
                             "max_body_bytes": 67108864, "idle_timeout_s": 15}}
        while not (ack := await self.store.write("put/op/config", config)):
            await asyncio.sleep(0.1)
        self.configs.append((ack, version))
        self.record(f"configuration {version} acknowledged, revision "
                    f"{ack.revision}")

    @property
    def version(self):
        return self.written[-1][1] if self.written else 0

    async def remove_entry(self, target):
        command = f"remove/servers/{target.id}"
        while not (ack := await self.store.write(command)):
            await asyncio.sleep(0.1)
        self.removed[target.id] = target, ack
        target.leaving.append(ack)

    async def write_again(self, rng):
        """Writes again what operator and platform wrote before a return."""
        seen = self.store.returned_at
        while True:
            await asyncio.sleep(0.05)
            if seen == self.store.returned_at:
                continue
            seen = self.store.returned_at
            await asyncio.sleep(rng.uniform(0.1, REWRITE_S - 0.3))
            async with self.operator:
                if self.configs[-1][0].lost_at < math.inf:
                    await self.write_config(self.configs[-1][1])
            for target, ack in list(self.removed.values()):
                if ack.lost_at < math.inf:
                    await self.remove_entry(target)

    async def start_target(self, host, identifier):
        self.removed.pop(identifier, None)
        host.target = Target(self, host, identifier)
        await host.target.start()

    async def call(self, connection, host, path):
        name = f"{self.seed:08x}{len(self.requests):08x}"
        request = self.requests[name] = Request(host, path)

        def on_sent():
            request.sent = time.monotonic()
            request.incarnation = host.incarnation
        reply = await connection.call(message(
            f"GET {path}x HTTP/1.1",
            {"Host": "h.example", "Marigolddale-Request-Id": name,
             "Marigolddale-Deadline-Ms": 2000}), on_sent)
        request.done = time.monotonic()
        if reply and reply[0] in (200, 404):
            request.service = reply[1].decode() if reply[0] == 200 else ""
        return request

    async def callers(self, host, rng):
        connection = Connection(host.ip, CALLER)
        while True:
            newest = self.version
            path = rng.choice(["/turn-0/", f"/to-{rng.randrange(SERVICES)}/",
                               f"/new-{newest}/",
                               f"/new-{max(1, newest - rng.randrange(5))}/"])
            await self.call(connection, host, path)
            await asyncio.sleep(rng.uniform(0.04, 0.1))

    async def start(self):
        self.store = Store(self)
        self.hosts = [Host(self, number) for number in range(HOSTS)]
        await self.store.started()
        await self.write_config(1)
        for host in self.hosts:
            await self.start_target(host, f"i-{host.ip}")
            host.start_node()
        self.spawn_task(self.store.make_copies())
        self.spawn_task(self.write_again(self.rng("operator")))
        await asyncio.sleep(CONTACT_S)
        for host in self.hosts:
            for number in range(CALLERS):
                self.spawn_task(self.callers(
                    host, self.rng(f"caller.{host.ip}.{number}")))

    def rng(self, name):
        return random.Random(f"{self.seed}.{name}")

    def spawn_task(self, task):
        self.tasks.append(asyncio.create_task(task))

    async def play_return(self):
        """One return in calm; then a route moves and a target leaves."""
        await asyncio.sleep(6)
        await self.write_config(2)
        await asyncio.sleep(1)
        await self.store.away("refuse", 1, age=8)
        await asyncio.sleep(CONTACT_S + 0.2)
        await self.write_config(3)
        await self.hosts[0].target.leave(silent=False)
        await self.hosts[1].target.leave(silent=True)
        await asyncio.sleep(APPLY_S + STRETCH_S + 2)

    async def play_seed(self):
        end = time.monotonic() + self.seconds
        players = [self.play_store, self.play_configs, self.play_nodes,
                   self.play_nodes, self.play_targets]
        await asyncio.gather(*(
            player(self.rng(f"player.{number}"), end)
            for number, player in enumerate(players)))

    async def play_store(self, rng, end):
        await asyncio.sleep(1)
        while time.monotonic() < end:
            kind = rng.choice(["return", "return", "series", "away", "lose",
                               "compact"])
            if kind == "lose":
                await self.store.lose_responses(rng.uniform(0.3, 2.5))
            elif kind == "compact":
                await self.store.control("compact")
            else:
                for _ in range(rng.randint(2, 3) if kind == "series" else 1):
                    age = None if kind == "away" else rng.uniform(2, 12)
                    await self.store.away(rng.choice(["refuse", "hang"]),
                                          rng.uniform(0.2, 2), age)
                    await asyncio.sleep(rng.uniform(0.3, 3))
            # A long pause lets the mesh become calm.
            await asyncio.sleep(rng.choice([0.5, 2, CONTACT_S + 3]))

    async def play_configs(self, rng, end):
        while time.monotonic() < end:
            await asyncio.sleep(rng.choice([0.3, 1, 3]))
            async with self.operator:
                # What a return has lost is written again first.
                if self.configs[-1][0].lost_at == math.inf:
                    await self.write_config(self.version + 1)

    async def play_nodes(self, rng, end):
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(1, 6))
            host = rng.choice(self.hosts)
            async with host.lock:
                await host.stop_node(rng.choice([signal.SIGKILL,
                                                 signal.SIGTERM]))
                await asyncio.sleep(rng.uniform(0.1, 1.5))
                host.start_node()

    async def play_targets(self, rng, end):
        async def replace(host, kind):
            """Ends the target and starts another one in its place."""
            async with host.lock:
                old = host.target
                if kind != "crash":
                    await old.leave(silent=kind == "silent")
                    await asyncio.sleep(DRAIN_S + rng.uniform(0.2, 5))
                old.stop()
                if kind == "crash":
                    await asyncio.sleep(rng.uniform(0.1, 2))
                    return await self.start_target(host, old.id)
                await self.remove_entry(old)
                await host.stop_node(signal.SIGTERM)
                await asyncio.sleep(REUSE_S)
                same = rng.random() < 0.3
                await self.start_target(host, old.id if same
                                        else f"{old.id}.{old.born}")
                host.start_node()
        running = []
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(1, 3))
            host = rng.choice(self.hosts)
            # One target of each service always stays.
            if all(other.target.state == "ready" and not other.lock.locked()
                   for other in self.hosts if other.service == host.service):
                running.append(asyncio.create_task(replace(
                    host, rng.choice(["drain", "silent", "crash"]))))
        await asyncio.gather(*running)

    async def check_end(self):
        """Each node must serve the newest version and every service."""
        await asyncio.sleep(CONTACT_S + REWRITE_S)
        await self.write_config(self.version + 1)
        due = time.monotonic() + APPLY_S + STRETCH_S
        paths = [f"/new-{self.version}/", "/turn-0/"]
        paths += [f"/to-{number}/" for number in range(SERVICES)]
        for host in self.hosts:
            for path in paths:
                while True:
                    request = await self.call(Connection(host.ip, CALLER), host,
                                              path)
                    if request.service and request.matches(self.version):
                        break
                    if time.monotonic() > due:
                        self.fail(f"END: node {host.ip} does not serve {path} "
                                  f"of version {self.version}")
                        break
                    await asyncio.sleep(0.1)
            if host.process.poll() is not None:
                self.fail(f"END: node {host.ip} ended by itself")

    def allowed(self, request):
        """Returns the versions whose outcome the request had."""
        return [version for at, version in self.written
                if at < request.done and request.matches(version)] or [0]

    def check_configs(self):
        """Yields the requests that were handled as an older version says."""
        for request in self.answered:
            def acknowledged(bound):
                return max((version for ack, version in self.configs
                            if ack.at < request.sent - bound
                            and ack.lost_at > request.done), default=0)
            if all(faults.calm(request.sent, request.done)
                   for faults in (self.store.faults, request.host.faults)):
                newest = max(self.allowed(request))
                self.counts["judged"] += 1
                # For information; the bound of a disturbed store is longer.
                self.counts["after_apply"] += newest < acknowledged(APPLY_S)
                oldest = acknowledged(APPLY_S + STRETCH_S)
                if newest < oldest:
                    yield ("CONFIG", request.host.ip,
                           f"{request} as {newest}, not {oldest}")

    def check_regressions(self):
        """Yields the requests that were handled as an older version says than
        one before, which the same process handled."""
        known, effects = collections.Counter(), []
        for number, request in enumerate(self.answered):
            while effects and effects[0][0] < request.sent - ROLLBACK_SLACK_S:
                _, _, key, version = heapq.heappop(effects)
                known[key] = max(known[key], version)
            key = request.host.ip, request.incarnation
            allowed, least = self.allowed(request), known[key]
            if max(allowed) < least:
                yield ("REGRESSION", request.host.ip,
                       f"{request} as {max(allowed)} after {least}")
            elif request.service:
                version = min(v for v in allowed if v >= least)
                heapq.heappush(effects, (request.done, number, key, version))

    def check_leaving(self):
        """Yields the requests that reached a target late after it left."""
        for at, target, name in self.arrivals:
            request = self.requests[name]
            # An acknowledgement binds while the store is stable.
            since = min((self.store.faults.calm_from(ack.at)
                         for ack in target.leaving
                         if ack.at <= at < ack.lost_at), default=math.inf)
            if since > at or not (request.host.faults.calm(request.sent, at) and
                                  target.host.faults.calm(request.sent, at)):
                continue
            self.counts["judged_leaving"] += 1
            calm = self.store.faults.calm(at, at)
            if at > since + DRAIN_S + (0 if calm else STRETCH_S):
                yield ("DRAIN", f"{target.id} (born {target.born})",
                       f"{request}, id {name}, reached it at {at:.3f}, "
                       f"{at - since:.3f} s after the acknowledgement, "
                       f"store calm: {calm}")

    async def play(self, case):
        await self.start()
        await (self.play_return() if case == "return" else self.play_seed())
        await self.check_end()
        for task in self.tasks:
            if task.done():
                self.fail(f"a task ended: {task.exception()!r}")
            task.cancel()
        for host in self.hosts:
            host.target.stop()
        await asyncio.sleep(0.1)
        self.answered = sorted((request for request in self.requests.values()
                                if request.service is not None),
                               key=lambda request: request.sent)
        found = {}
        for rule, where, text in [*self.check_configs(), *self.check_leaving(),
                                  *self.check_regressions()]:
            found.setdefault((rule, where), []).append(text)
        for (rule, where), texts in found.items():
            self.fail(f"{rule}: {where}: {len(texts)} requests, {texts[0]}; "
                      f"last {texts[-1]}")
        self.counts.update(requests=len(self.requests), versions=self.version,
                           answered=len(self.answered),
                           returns=self.store.returns)


def run(case, seed, arguments):
    """Runs one case and returns whether it held."""
    name = f"seed {seed}" if case == "seed" else f"case {case}"
    this = Run(seed, arguments.node, arguments.seconds)
    try:
        asyncio.run(this.play(case))
        print(f"{name}:", *(f"{k}={v}" for k, v in sorted(this.counts.items())),
              f"violations={len(this.violations)}", flush=True)
    except Exception as error:
        this.fail(f"could not run: {error!r}")
    finally:
        for violation in this.violations:
            print(f"{name}: {violation}", flush=True)
        if this.violations and arguments.keep:
            kept = pathlib.Path(arguments.keep) / name.replace(" ", "-")
            shutil.copytree(this.mesh.folder, kept, dirs_exist_ok=True)
            print(f"{name}: logs in {kept}", flush=True)
        this.mesh.close()
        this.mesh.reservation.close()
    return not this.violations


def main():
    parser = argparse.ArgumentParser(prog="store.sh", description=__doc__)
    parser.add_argument("--case", action="store_true",
                        help='play the case "return" before the seeds')
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds")
    parser.add_argument("--seconds", type=int, default=20,
                        help="duration of the schedule of each seed")
    parser.add_argument("--node", default=BIN / "marigold-sidecar",
                        help="program of the nodes")
    parser.add_argument("--keep", help="directory for the logs of failures")
    arguments = parser.parse_args()
    # Unwind on SIGTERM so that no child process is left running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    cases = [("return", 0)] if arguments.case else []
    cases += [("seed", arguments.seed + n) for n in range(arguments.seeds)]
    failed = [seed for case, seed in cases if not run(case, seed, arguments)]
    print(f"runs={len(cases)} failed={len(failed)}", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
