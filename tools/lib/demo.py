"""Demonstration run by tools/demo.sh."""

import re
import sys
import time

import yaml

from mesh import CALLER_PORT, ROOT, Mesh, StepFailed, parse_pairs

# For each example: failure domains, number of hosts per service, and the
# slots and connections of each target.
MESHES = {
    "zinc-andes": (["quito", "ambato", "riobamba"],
                   {"leak-board": 4, "crew-desk": 3, "guide-shelf": 3}, 10, 100),
    "museums": (["prw-regina", "prw-saskatoon", "prw-winnipeg", "prw-brandon"],
                {"nightstay-calendar": 6, "nightstay-desk": 4,
                 "guide-library": 4}, 13, 130),
}


def step(text):
    print(f"step: {text}", flush=True)


def route_paths(service):
    """Returns the paths of a GET route and of a non-repeatable POST route."""
    path, booking = None, None
    for route in service["routes"]:
        methods = route.get("methods", ["GET"])
        if "GET" in methods and path is None:
            path = route["path"]
        if "POST" in methods and not route.get("repeatable", False):
            booking = booking or route["path"]
    return path or "/", booking


def call_services(mesh, model):
    """Calls each service through all nodes; returns the summed counters."""
    nodes = [f"{host.ip}:{CALLER_PORT}" for host in mesh.hosts]
    runs = []
    for number, (name, service) in enumerate(model["services"].items()):
        path, booking = route_paths(service)
        settings = {"booking_ratio": 0.2, "booking_path": booking} \
            if booking else {}
        runs.append(mesh.load(nodes, service=name, path=path, rate=100,
                              duration="5s", random_seed=number + 1,
                              **settings))
    totals = {}
    for run in runs:
        out, _ = run.communicate(timeout=60)
        if run.returncode != 0:
            raise StepFailed(
                f"marigold-load failed with exit code {run.returncode}")
        for key, value in parse_pairs(out).items():
            totals[key] = totals.get(key, 0) + float(value)
    return totals


def run_demo(name):
    domains, services, slots, connections = MESHES[name]
    text = (ROOT / "examples" / f"{name}.yaml").read_text()
    model = yaml.safe_load(text)
    with Mesh(model["mesh"]) as mesh:
        for service, count in services.items():
            for number in range(count):
                mesh.add_host(service, domains[number % len(domains)], name)
        step(f"platform on {mesh.platform}, {len(mesh.hosts)} hosts")
        mesh.start_platform()
        mesh.publish_hosts()
        first, _ = mesh.publish(text)
        for host in mesh.hosts:
            mesh.start_target(host, slots=slots, connections=connections)
            mesh.start_node(host)
        mesh.wait_adopted(first, 60, "first configuration on every node")
        step(f"first configuration (index {first}) is active on every node")
        time.sleep(3)
        before = sum(mesh.control_bytes(host) for host in mesh.hosts)
        totals = call_services(mesh, model)
        step(f"calls through the nodes: {int(totals['calls'])} sent, "
             f"{int(totals['calls_ok'])} ok")
        if totals["crossed"] or totals["lost_answers"]:
            raise StepFailed("some responses were mismatched or incomplete")
        if totals["calls_ok"] < 0.9 * totals["calls"]:
            raise StepFailed("more than a tenth of the calls failed")

        changed = re.sub(r"queue: (\d+)",
                         lambda found: f"queue: {int(found[1]) + 1}", text, 1)
        second, accepted = mesh.publish(changed)
        mesh.wait_adopted(second, 60, "second configuration on every node")
        convergence = mesh.convergence(second, accepted)
        step(f"second configuration (index {second}) is active on every node")
        invalid = text.replace("depends_on: [",
                               "depends_on: [no-such-service, ", 1)
        third, _ = mesh.publish(invalid)
        refused = 0
        end = time.monotonic() + 30
        while refused < len(mesh.hosts) and time.monotonic() < end:
            time.sleep(0.5)
            states = [mesh.status(host) for host in mesh.hosts]
            refused = sum(1 for s in states if s["refused"] and
                          s["refused"]["version"].endswith(f".{third}"))
        step(f"invalid configuration (index {third}) is refused on "
             f"{refused} nodes")
        spent = sum(mesh.control_bytes(host) for host in mesh.hosts) - before
        all_kept_second = all(s["version"].endswith(f".{second}")
                              for s in states)
        print(f"convergence_ms={convergence:.0f}")
        print(f"control_bytes={spent:.0f}")
        print(f"calls_ok={int(totals['calls_ok'])}")
        print(f"calls_failed={int(totals['calls'] - totals['calls_ok'])}")
        print(f"bad_version_refused_on={refused}", flush=True)
        if refused != len(mesh.hosts):
            raise StepFailed(f"only {refused} of {len(mesh.hosts)} nodes "
                             "report the refused configuration")
        if not all_kept_second:
            raise StepFailed("a node no longer uses the second configuration")


def main():
    try:
        run_demo(sys.argv[1])
    except (StepFailed, OSError) as error:
        print(f"step failed: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
