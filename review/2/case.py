"""A worker falls silent and its address goes to a worker of another service.
Requests that wait at the node for the old worker must not run on the new
one."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import run_case  # noqa: E402

TIME_LIMIT = 4.0
RATE = 36           # bookings a second, at 43 a second that the worker can run
WORK = 0.21
REUSE_AFTER = 2.2   # reuse_after_s is 2


async def play(world, trouble):
    record = world.record
    desk = world.add_machine("sidecar-quito-1", "crew-desk")
    board = world.add_machine("sidecar-quito-2", "leak-board")
    await world.configure(1, [
        ("r-1", "desk.example", "/book/", "non_idempotent", "crew-desk", 4,
         0.6, 1),
        ("r-2", "board.example", "/leaks/", "idempotent", "leak-board", 3,
         0.5, 2)], ["crew-desk", "leak-board"])
    old = await world.add_worker(desk, "i-desk-1", work=WORK)
    await world.add_worker(board, "i-board-1", work=0.16)
    await world.start_machines()
    await asyncio.sleep(1.0)

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

    await send(3.0)
    if trouble:
        old.fall_silent()
        sending = asyncio.create_task(send(1.0))
        await asyncio.sleep(REUSE_AFTER)
        old.leave_address()
        desk.service = "leak-board"
        desk.write_settings()
        await world.add_worker(desk, "i-board-2", work=0.16)
        await sending
    else:
        await send(1.0)
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    wrong = [run for worker in world.workers for run in worker.ran
             if worker.service != "crew-desk" and run[2].startswith("/book/")]
    served = sum(1 for answer in answers if answer.status == 200)
    record.line(f"{len(answers)} bookings, {served} answered 200")
    for when, number, path, _ in wrong:
        record.line(f"ROUTE broken: id={number} {path} ran on a worker of "
                    f"another service at {when:.3f}")
    if not trouble and served < len(answers) * 0.9:
        record.line("less than nine tenths were served without trouble")
    return bool(wrong), f"{len(wrong)} bookings ran on a worker of leak-board"


run_case(HERE, play)
