"""The store loses a few answers. Once it has been stable again for contact_s, a
new version must be in force apply_s after its ack."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import run_case  # noqa: E402

LOST_FOR = 4.5
CONTACT = 3.0
APPLY = 2.0
RATE = 20


async def play(world, trouble):
    record = world.record
    desk = world.add_machine("sidecar-quito-1", "crew-desk")
    board = world.add_machine("sidecar-quito-2", "leak-board")
    world.add_machine("sidecar-quito-3", "guide-shelf")

    async def configure(number, service):
        await world.configure(number, [
            ("r-1", "crews.example", "/crews/", "idempotent", service, 3, 0.5,
             2)], ["crew-desk", "leak-board", "guide-shelf"])

    await configure(1, "crew-desk")
    old = await world.add_worker(desk, "i-desk-1", work=0.04)
    await world.add_worker(board, "i-board-1", work=0.04)
    await world.add_worker(world.machines[2], "i-guide-1", work=0.04)
    await world.start_machines()
    await asyncio.sleep(4.0)
    await configure(3, "crew-desk")
    await asyncio.sleep(1.0)

    world.store.losing = trouble
    record.line(f"the store {'begins' if trouble else 'does not begin'} to "
                "lose answers")
    await asyncio.sleep(0.5)
    await configure(4, "crew-desk")
    await asyncio.sleep(LOST_FOR - 0.5)
    world.store.losing = False
    record.line(f"the store loses no answers any more: {world.store.lost} of "
                f"{world.store.answered} were lost")
    await asyncio.sleep(CONTACT + 1.0)
    await configure(6, "leak-board")
    acked = record.now()
    await asyncio.sleep(APPLY + 0.1)

    tasks = []

    async def ask(machine):
        connection = world.connect(machine)
        await connection.open()
        answer = await connection.request(
            record, world.request_id(), "GET", "crews.example", "/crews/1",
            2.0)
        connection.close()
        return answer

    for number in range(3 * RATE):
        tasks.append(asyncio.create_task(ask(world.machines[number % 3])))
        await asyncio.sleep(1 / RATE)
    answers = {answer.number: answer for answer in await asyncio.gather(*tasks)}
    late = [run for run in old.ran if run[1] in answers]
    for when, number, path, _ in late:
        record.line(f"CONFIG broken: id={number} {path} sent "
                    f"{answers[number].sent - acked:.3f} s after the ack of r6 "
                    "was run by crew-desk, which only older versions allow")
    served = sum(1 for answer in answers.values() if answer.status == 200)
    record.line(f"{len(answers)} requests, {served} answered 200")
    return bool(late), (f"{len(late)} of {len(answers)} requests sent later "
                        "than apply_s after the ack were run by the old "
                        "service")


run_case(HERE, play)
