"""One spoiled byte in an answer to an item of a batch job."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

ITEMS = 10
JOBS = 12
JOBS_PER_S = 2
STREAMS_PER_S = 80


async def case(fleet, trouble):
    garble = s.Garble(trouble)

    async def answer(worker, request, after, reader, writer):
        is_faulty = garble.count(worker)
        is_item = request.path.startswith("/batch/")
        if not is_faulty or not is_item or not garble.take():
            return None
        request_id = request.header(s.PREFIX + "request-id")
        fleet.record.add(f"{worker.name} spoils its answer to {request_id}")
        await worker.begin_stream(request, writer)
        for event in range(after + 1, worker.events + 1):
            data = worker.text(request_id, event).encode()
            if event == 3:
                data = data[:2] + bytes([data[2] ^ 0x80]) + data[3:]
            await worker.send_event(request, event, writer, data=data)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    for number in (1, 2, 3):
        worker = await fleet.add_worker(f"i-{number}")
        worker.answer = answer
    await fleet.put_config()
    daemons = [await fleet.add_daemon(f"edge-{n}") for n in (1, 2)]
    await fleet.settle()

    garble.start()
    over = asyncio.Event()
    streams = asyncio.create_task(send_streams(daemons, over))
    jobs = {}
    for number in range(JOBS):
        job = s.new_id()
        items = [(s.new_id(), f"/batch/{i}") for i in range(ITEMS)]
        reply = await s.call(daemons[number % 2].front, "POST",
                             f"/batch/{job}", s.job_headers(job),
                             s.job_body(items))
        fleet.record.add(f"job {job} handed in: {reply.status}")
        if reply.status != 202:
            raise s.CannotRun(f"a job was answered {reply.status}")
        jobs[job] = [item for item, _ in items]
        await asyncio.sleep(1 / JOBS_PER_S)
    over.set()
    await streams

    # dueMs and finishS of the deployment.
    until = time.monotonic() + 36
    unread = dict(jobs)
    last = {}
    turn = 0
    while unread and time.monotonic() < until:
        turn += 1
        for job, items in list(unread.items()):
            daemon = daemons[turn % 2]
            done, last[job] = await read_job(daemon, job, items)
            if done:
                fleet.record.add(f"job {job}: {last[job]}")
                del unread[job]
        await asyncio.sleep(0.5)
    return [f"LOST: the batch job {job} can't be read at the end: {last[job]}"
            for job in unread]


async def send_streams(daemons, over):
    """The usual streams, beside the batch jobs."""
    sent = []
    while not over.is_set():
        request = s.new_id()
        sent.append(asyncio.create_task(s.call(
            daemons[len(sent) % 2].front, "POST", f"/resume/{request[:4]}",
            s.headers(request), b"prompt " + request.encode())))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*sent)


async def read_job(daemon, job, items):
    """Reads the job from its start. Returns whether all is listed, and what
    was seen."""
    reply = await s.call(daemon.front, "GET",
                         f"/gypsumtrack/lots/{job}?after=0", s.job_headers())
    seen = f"{daemon.name} answered {reply.status}"
    if reply.status != 200:
        return False, seen
    try:
        page = json.loads(reply.body.decode("utf-8", "replace"))
    except ValueError:
        return False, seen + " with a body that isn't JSON"
    listed = {result["id"] for result in page["results"]}
    return (listed == set(items),
            f"{seen} with {len(listed)} of {len(items)} results")


s.run_case(FOLDER, case)
