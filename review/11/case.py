"""The store returns from a copy some seconds old; then a configuration changes.

Without the trouble the store is away for the same time and returns unchanged.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand3"))

import stand  # noqa: E402

COPY_AGE_S = 8.0
DOWN_S = 1.0


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
    await asyncio.sleep(2)

    copy = store.copy()
    record.write(f"a copy of the store is made at revision {store.revision}")
    await asyncio.sleep(COPY_AGE_S)
    routes["r-three"] = stand.route("three.example", "/three/", "beta")
    written = mesh.put_config(routes, ["alpha", "beta"])
    await asyncio.sleep(2.5)

    store.go_down()
    record.write("the store is down")
    await asyncio.sleep(DOWN_S)
    store.come_back(copy if trouble else None)
    record.write(f"the store is back, era {store.era}, revision "
                 f"{store.revision}")
    if trouble:
        # What the operator and the workers wrote is written again.
        revision = store.put("op/config", json.dumps(written).encode())
        for machine in mesh.machines:
            machine.worker.beat()
        record.write(f"the operator's configuration is written again, "
                     f"revision {revision}")

    # The machines are in touch again contact_s after the end.
    await asyncio.sleep(stand.BOUNDS["contact_s"] + 0.2)
    routes["r-one"] = stand.route("one.example", "/one/", "beta")
    routes["r-four"] = stand.route("four.example", "/four/", "alpha")
    mesh.put_config(routes, ["alpha", "beta"])
    ack = record.now()
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
    last = stale[-1]
    return (f"CONFIG: {len(stale)} of {judged} requests were handled as only "
            f"an older version allows, the last one {last['sent'] - ack:.1f} s "
            f"after the ack")


stand.main(FOLDER, case)
