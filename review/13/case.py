"""The configuration grows by routes of many hosts; then a route is moved.

Without the trouble it does not grow.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand3"))

import stand  # noqa: E402

STEPS, ROUTES_PER_STEP = 2, 1100
VALUE_BYTES = 1048576


async def case(mesh, trouble):
    record, store = mesh.record, mesh.store
    await store.start()
    for service, zone in (("alpha", "za"), ("alpha", "zb"), ("beta", "za"),
                          ("beta", "zb")):
        mesh.add(service, zone)
    routes = {"r-one": stand.route("one.example", "/one/", "alpha"),
              "r-two": stand.route("two.example", "/two/", "beta")}
    mesh.put_config(routes, ["alpha", "beta"])
    for machine in mesh.machines:
        await mesh.add_worker(machine)
    await mesh.start()
    await asyncio.sleep(3)

    for step in range(STEPS if trouble else 0):
        for number in range(ROUTES_PER_STEP):
            name = f"c{step}-{number}"
            routes[name] = stand.route(f"{name}.example", "/c/", "alpha")
        text = mesh.put_config(routes, ["alpha", "beta"], quiet=True)
        size = len(json.dumps(text))
        record.write(f"the configuration has {len(routes)} routes, "
                     f"{size} bytes")
        if size > VALUE_BYTES:
            raise RuntimeError("the configuration is too large for the store")
        await asyncio.sleep(5)

    # The last change of an operator, a small one.
    routes["r-one"] = stand.route("one.example", "/one/", "beta")
    routes["r-four"] = stand.route("four.example", "/four/", "alpha")
    mesh.put_config(routes, ["alpha", "beta"], quiet=True)
    ack = record.now()
    record.write("acked: one.example/one/ moves to beta, four.example/four/ "
                 "is new")
    bound = stand.BOUNDS["apply_s"] + stand.BOUNDS["stretch_s"]
    stale, judged = [], 0
    while record.now() < ack + 30:
        await asyncio.sleep(1)
        for machine in mesh.machines:
            for path, host, fresh in (("/one/a", "one.example", b"beta "),
                                      ("/four/a", "four.example", b"alpha ")):
                answer = await mesh.call(machine, path, host)
                if answer["sent"] <= ack + bound:
                    continue
                judged += 1
                old_service = (answer["status"] == 200
                               and not answer["body"].startswith(fresh))
                if old_service or answer["status"] == 404:
                    stale.append(answer)
    record.write(f"judged {judged} requests sent more than {bound} s after "
                 f"the ack: {len(stale)} handled as an older version says")
    if judged < 100:
        raise RuntimeError("too few requests were judged")
    if not stale:
        return None
    return (f"CONFIG: {len(stale)} of {judged} requests were handled as only "
            f"an older version allows, the last one "
            f"{stale[-1]['sent'] - ack:.1f} s after the ack")


stand.main(FOLDER, case)
