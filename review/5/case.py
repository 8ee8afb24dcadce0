"""A part of prompts crashes workers; sound prompts share another part."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

CONTACT_S = s.SITE["contactMs"] / 1000
FIRST_PART, BAD_PART, SOUND_PART = "5eed0001", "dead0002", "feed0003"
# A twentieth of all requests is bad.
SOUND_EVERY_S, BAD_EVERY_S, OTHERS_EVERY_S = 2.0, 1.0, 0.054
BACK_S = 3.0
MIN_SENT = 20


class Case:
    def __init__(self, fleet):
        self.fleet = fleet
        fleet.tenants = self.tenants
        self.crashes = []
        self.next_worker = 0
        self.tasks = []
        # Of each sound request: when it was sent, and whether it began.
        self.sound = []
        # How often each status was given to the other caller.
        self.others = {}

    @staticmethod
    def tenants():
        return [{"name": name, "apiKeys": [f"key-of-{name}"], "priority": 1,
                 "ratePerS": 0, "burst": 0} for name in ("t1", "t2")]

    async def add_worker(self, zone):
        self.next_worker += 1
        worker = await self.fleet.add_worker(f"i-{self.next_worker}",
                                             zone=zone)
        worker.answer = self.answer

    async def answer(self, worker, request, after, reader, writer):
        parts = request.header(s.PREFIX + "prompt-prefix")
        if BAD_PART not in parts:
            return None
        # It crashes when it begins to write the answer.
        await worker.prefill(1000)
        if not worker.crashed:
            self.crashes.append(time.monotonic())
            await worker.crash()
            self.tasks.append(asyncio.create_task(self.come_back(worker)))
        return False

    async def come_back(self, worker):
        await asyncio.sleep(BACK_S)
        await self.add_worker(worker.zone)

    async def send(self, daemon, middle):
        """Sends a request of the caller t1, whose prompts share FIRST_PART."""
        request = s.new_id()
        parts = f"{FIRST_PART}:500,{middle}:300,{request[:8]}:200"
        sent_at = time.monotonic()
        reply = await s.call(
            daemon.front, "POST", f"/resume/{request[:4]}",
            s.headers(request, **{s.PREFIX + "Prompt-Prefix": parts,
                                  s.PREFIX + "Token-Count": "1000,20"}),
            b"prompt " + request.encode())
        kind = "sound" if middle == SOUND_PART else "bad"
        self.fleet.record.add(f"{kind} {request} at {daemon.name}: "
                              f"{reply.status} {reply.body[:60]!r}")
        if kind == "sound":
            began = reply.status == 200 and b"data: " in reply.body
            self.sound.append((sent_at, began))

    async def send_other(self, daemon, _):
        """Sends a request of the caller t2."""
        request = s.new_id()
        parts = f"0ther00{request[0]}:500,{request[:8]}:500"
        reply = await s.call(
            daemon.front, "POST", f"/resume/{request[:4]}",
            s.headers(request, **{s.PREFIX + "Prompt-Prefix": parts,
                                  "X-Api-Key": "key-of-t2"}),
            b"prompt " + request.encode())
        self.others[reply.status] = self.others.get(reply.status, 0) + 1

    async def send_every(self, period, send, middle, until):
        turn = 0
        while not until.is_set():
            daemon = self.fleet.daemons[turn % len(self.fleet.daemons)]
            self.tasks.append(asyncio.create_task(send(daemon, middle)))
            turn += 1
            await asyncio.sleep(period)


async def case(fleet, trouble):
    play = Case(fleet)
    for number in range(12):
        await play.add_worker("cairo" if number % 2 else "alex")
    await fleet.put_config()
    for number in range(3):
        await fleet.add_daemon(f"edge-{number}")
    for daemon in fleet.daemons:
        await daemon.wait_ready()
    await asyncio.sleep(2)

    over = asyncio.Event()
    senders = [asyncio.create_task(each) for each in (
        play.send_every(SOUND_EVERY_S, play.send, SOUND_PART, over),
        play.send_every(OTHERS_EVERY_S, play.send_other, "", over))]
    await asyncio.sleep(MIN_SENT * SOUND_EVERY_S + 0.4)
    calm_until = time.monotonic()
    if trouble:
        senders.append(asyncio.create_task(
            play.send_every(BAD_EVERY_S, play.send, BAD_PART, over)))
        await asyncio.sleep(CONTACT_S)
    # Bad requests still come; the last crash, at most the fifth, counts.
    counts_from = time.monotonic() + 2 * CONTACT_S
    if play.crashes:
        counts_from = play.crashes[:5][-1] + 2 * CONTACT_S
    await asyncio.sleep(counts_from - time.monotonic() +
                        (MIN_SENT + 1) * SOUND_EVERY_S)
    over.set()
    await asyncio.gather(*senders)
    await asyncio.sleep(2)

    before = [began for at, began in play.sound if at < calm_until]
    after = [began for at, began in play.sound if at > counts_from]
    fleet.record.add(f"{len(play.crashes)} crashes; sound requests: "
                     f"{sum(before)} of {len(before)} began before, "
                     f"{sum(after)} of {len(after)} from 2 x contactMs after "
                     "the fifth crash (the last, if there are fewer); "
                     f"statuses of the other caller: {play.others}")
    if len(before) < MIN_SENT or len(after) < MIN_SENT:
        raise s.CannotRun("too few sound requests")
    if sum(after) / len(after) < sum(before) / len(before) / 2:
        return [f"LOST: {sum(after)} of {len(after)} sound requests with the "
                f"same first part begin, {sum(before)} of {len(before)} "
                "before the crashes"]
    return []


s.run_case(FOLDER, case)
