"""A rack of workers crashes while it reads the prompts of a batch job."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

ITEMS = 10
PROMPT_TOKENS = 20000
# Within a burst of 6 times 1.03 batch jobs a second for 3 s.
FAR_JOBS = 9
JOBS_PER_S = 6
DOWN_S = 4.5
FINISH_S = 18
# Items that failed at a worker in the last 20 s don't count for the rule.
FAILED_S = 20
CALM_S = 5


async def prefill_first(worker, request, after, reader, writer):
    """Reads the whole prompt before the first event."""
    tokens = int(request.header(s.PREFIX + "token-count").split(",")[0])
    await worker.prefill(tokens)
    if worker.crashed:
        return False
    return None


async def add_worker(fleet, name, zone):
    worker = await fleet.add_worker(name, zone=zone)
    worker.answer = prefill_first
    # 176 events of 7 tokens at 3.82 ms each, four of them at once.
    worker.events, worker.pause = 44, 0.107
    return worker


async def hand_in(fleet, daemon, shared, prompt):
    job = s.new_id()
    items = [(s.new_id(), f"/batch/{i}") for i in range(ITEMS)]
    reply = await s.call(daemon.front, "POST", f"/batch/{job}",
                         s.job_headers(job),
                         s.job_body(items, shared, prompt))
    fleet.record.add(f"job {job} on part {shared} handed in: {reply.status}")
    if reply.status != 202:
        raise s.CannotRun(f"a job was answered {reply.status}")
    return job, [item for item, _ in items]


async def case(fleet, trouble):
    # 18 workers; the rack is the 3 of the zone that is alone in its region.
    rack = [await add_worker(fleet, f"i-aswan-{n}", "aswan") for n in range(3)]
    for number in range(15):
        await add_worker(fleet, f"i-delta-{number}",
                         "cairo" if number % 2 else "alex")
    await fleet.put_config()
    near = [await fleet.add_daemon(f"edge-aswan-{n}", zone="aswan",
                                   region="upper") for n in range(2)]
    far = [await fleet.add_daemon(f"edge-cairo-{n}") for n in range(2)]
    for daemon in near + far:
        await daemon.wait_ready()
    await asyncio.sleep(3)

    jobs = []
    for number in range(FAR_JOBS):
        jobs.append(await hand_in(fleet, far[number % 2], s.new_id()[:8], 350))
        await asyncio.sleep(1 / JOBS_PER_S)
    jobs.append(await hand_in(fleet, near[0], s.new_id()[:8], PROMPT_TOKENS))
    await asyncio.sleep(0.7)
    crashed_at = time.monotonic()
    if trouble:
        for worker in rack:
            await worker.crash()
        await asyncio.sleep(DOWN_S)
        for number in range(3):
            await add_worker(fleet, f"i-aswan-{number + 3}", "aswan")
    await asyncio.sleep(max(FINISH_S, FAILED_S + CALM_S) +
                        crashed_at - time.monotonic())

    faults = []
    for number, (job, items) in enumerate(jobs):
        listed = await read(fleet, near[1] if number == FAR_JOBS else far[0],
                            job)
        recent = sum(1 for worker in fleet.workers
                     for at, request, _, _ in worker.runs
                     if request in items and
                     at > time.monotonic() - FAILED_S)
        left = set(items) - set(listed)
        fleet.record.add(f"job {job}: {len(listed)} of {len(items)} listed, "
                         f"{recent} runs begun in the last {FAILED_S} s")
        if left and recent == 0:
            faults.append(f"LOST: {len(left)} items of the batch job {job} "
                          "are listed neither as done nor as dead_letter, and "
                          f"no worker had one in the last {FAILED_S} s")
    return faults


async def read(fleet, daemon, job):
    """Returns the state of each listed item."""
    listed = {}
    while True:
        reply = await s.call(daemon.front, "GET",
                             f"/gypsumtrack/lots/{job}?after={len(listed)}",
                             s.job_headers())
        if reply.status != 200:
            raise s.CannotRun(f"a read was answered {reply.status}")
        page = json.loads(reply.body)
        for result in page["results"]:
            listed[result["id"]] = result["state"]
        if not page["results"]:
            return listed


s.run_case(FOLDER, case)
