"""Entries of another writer name a service that the configuration lacks.

Each entry is whole and states an address on the machine of a worker, at another
port, as an agent that was started there after the worker would write it.
"""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand3"))

import stand  # noqa: E402

AGENT_PORT = 9100


async def call_all(mesh, counts):
    """Sends a request of each kind at each machine, counts those served."""
    for machine in mesh.machines:
        for kind, host in (("one", "one.example"), ("two", "two.example")):
            answer = await mesh.call(machine, f"/{kind}/a", host)
            counts[kind][0] += 1
            counts[kind][1] += answer["status"] == 200


async def case(mesh, trouble):
    record, store = mesh.record, mesh.store
    await store.start()
    for service, zone in (("alpha", "za"), ("alpha", "zb"), ("beta", "za"),
                          ("beta", "zb")):
        mesh.add(service, zone)
    routes = {"r-one": stand.route("one.example", "/one/", "alpha")}
    mesh.put_config(routes, ["alpha", "beta"])
    for machine in mesh.machines:
        await mesh.add_worker(machine)
    await mesh.start()
    await asyncio.sleep(3)
    routes["r-two"] = stand.route("two.example", "/two/", "beta")
    mesh.put_config(routes, ["alpha", "beta"])
    await asyncio.sleep(4)
    before = {"one": [0, 0], "two": [0, 0]}
    for _ in range(5):
        await call_all(mesh, before)
    record.write(f"before: {before}")
    if min(served for _, served in before.values()) < 15:
        raise RuntimeError("the mesh does not serve in calm")

    if trouble:
        for machine in mesh.machines:
            if machine.service != "beta":
                continue
            entry = {"address": f"{machine.ip}:{AGENT_PORT}",
                     "born": int(time.time() * 1000),
                     "info": {"service": "host-agent", "version": "v3",
                              "zone": machine.zone, "capacity": 4},
                     "status": {"state": "ready", "sequence": 1,
                                "cold_left_s": 0}}
            store.put(f"servers/agent-{machine.ip}",
                      json.dumps(entry).encode())
            record.write(f"another writer puts servers/agent-{machine.ip}: "
                         f"{json.dumps(entry)}")

    await asyncio.sleep(5)
    after = {"one": [0, 0], "two": [0, 0]}
    for _ in range(20):
        await call_all(mesh, after)
        await asyncio.sleep(1)
    record.write(f"after: {after}")
    first = after["one"][1] / after["one"][0]
    added = after["two"][1] / after["two"][0]
    if added >= first / 4:
        return None
    return (f"CONFIG: of the route that was added later {after['two'][1]} of "
            f"{after['two'][0]} requests were served, of the first one "
            f"{after['one'][1]} of {after['one'][0]}")


stand.main(FOLDER, case)
