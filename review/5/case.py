"""A worker's entry is removed while requests wait for the worker at its node.
None of them may reach the worker later than drain_s after the removal."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import run_case  # noqa: E402

TIME_LIMIT = 4.0
DRAIN = 2.0
LEAVES_AFTER = 3.0  # drain_s and a little longer
RATE = 30           # bookings a second, for two workers
WORK = (0.8, 1.1)   # seconds; on average 4.5 times the usual 0.21
SLOTS = 6


async def play(world, trouble):
    record = world.record
    desk = world.add_machine("sidecar-quito-1", "crew-desk")
    boards = [world.add_machine(f"sidecar-{zone}-2", "leak-board", zone)
              for zone in ("quito", "ambato", "riobamba")]
    board = boards[0]
    other = world.add_machine("sidecar-ambato-1", "crew-desk", zone="ambato")
    await world.configure(1, [
        ("r-1", "desk.example", "/book/", "non_idempotent", "crew-desk", 4,
         0.6, 1),
        ("r-2", "board.example", "/leaks/", "idempotent", "leak-board", 3,
         0.5, 2)], ["crew-desk", "leak-board"])

    def work(_):
        return random.uniform(*WORK)

    leaving = await world.add_worker(desk, "i-desk-1", work=work, slots=SLOTS)
    await world.add_worker(other, "i-desk-2", work=work, slots=SLOTS)
    for number, machine in enumerate(boards, 1):
        await world.add_worker(machine, f"i-board-{number}", work=0.16)
    await world.start_machines()
    await asyncio.sleep(4.0)  # all machines are in touch (contact_s is 3)

    tasks = []

    async def book():
        connection = world.connect(board)
        await connection.open()
        answer = await connection.request(
            record, world.request_id(), "POST", "desk.example", "/book/visit",
            TIME_LIMIT, body=b"visit")
        connection.close()
        return answer

    async def send(seconds):
        for _ in range(int(seconds * RATE)):
            tasks.append(asyncio.create_task(book()))
            await asyncio.sleep(1 / RATE)

    await send(6.0)
    acked = None
    if trouble:
        await world.store.remove("servers/i-desk-1")
        acked = record.now()
    sending = asyncio.create_task(send(4.0))
    if trouble:
        await asyncio.sleep(LEAVES_AFTER)
        record.line("worker i-desk-1 exits")
        leaving.stop()
    await sending
    answers = await asyncio.gather(*tasks)
    served = sum(1 for answer in answers if answer.status == 200)
    record.line(f"{len(answers)} bookings, {served} answered 200")
    late = []
    if acked is not None:
        late = [entry for entry in leaving.reached
                if entry[0] > acked + DRAIN]
    for when, number, path, _ in late:
        record.line(f"DRAIN broken: id={number} {path} reached i-desk-1 "
                    f"{when - acked:.3f} s after the ack of its removal")
    status = {answer.number: answer.status for answer in answers}
    for when, number, path, _ in late:
        if status.get(number) != 200:
            record.line(f"lost with the worker: id={number} began to run and "
                        f"its client has {status.get(number)}")
    return bool(late), (f"{len(late)} bookings reached the worker later than "
                        f"{DRAIN} s after its removal")


run_case(HERE, play)
