"""An answer whose chunked body ends with a long trailer line."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

TRAILER_BYTES = 80000
CLIENTS = 40
SECONDS = 10
RESTART_S = 0.5


class Case:
    def __init__(self, fleet, trouble):
        self.fleet = fleet
        self.garble = s.Garble(trouble)
        self.over = False
        self.own_ends = 0
        # Ids of requests on connections that had been used before, which
        # closed without an answer, at machines in touch.
        self.unanswered = []

    async def answer(self, worker, request, after, reader, writer):
        if self.garble.count(worker) and self.garble.take():
            request_id = request.header(s.PREFIX + "request-id")
            self.fleet.record.add(f"{worker.name} garbles {request_id}, "
                                  f"answer {self.garble.answers}")
            await worker.begin_stream(request, writer)
            await worker.send_event(request, after + 1, writer)
            writer.write(b"0\r\nX: " + b"x" * TRAILER_BYTES + b"\r\n\r\n")
            await writer.drain()
            return True
        # The prompt is read for 150 ms before the first event.
        await asyncio.sleep(0.15)
        return None

    async def watch(self, daemon):
        """Starts the process again after it has ended, as the platform."""
        while not self.over:
            await asyncio.sleep(0.02)
            code = daemon.process.poll()
            if code is None:
                continue
            self.own_ends += 1
            self.fleet.record.add(f"{daemon.name} ended by itself: {code}")
            await asyncio.sleep(RESTART_S)
            daemon.start()

    async def client(self, number):
        """Sends one request after the other on kept connections."""
        daemon = self.fleet.daemons[number % 2]
        host, port = daemon.front.rsplit(":", 1)
        while not self.over:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            used = 0
            while not self.over:
                request = s.new_id()
                prefix = "/resume/" if number % 4 else "/once/"
                # A start of the machine counts against it as well.
                in_touch = (time.monotonic() - daemon.started_at >
                            s.CONTACT_S)
                try:
                    await s.send_request(writer, "POST",
                                         f"{prefix}{request[:4]}",
                                         s.headers(request), b"prompt")
                    reply = await s.read_reply(reader)
                except ConnectionError:
                    reply = s.Reply()
                if reply.status == 0 and used and not self.over:
                    if in_touch:
                        self.unanswered.append(request)
                    self.fleet.record.add(
                        f"{prefix} {request}: the kept connection closes, no "
                        f"answer{'' if in_touch else ' (not in touch)'}")
                used += 1
                if not reply.complete:
                    break
                await asyncio.sleep(0.1)
            writer.close()


async def case(fleet, trouble):
    play = Case(fleet, trouble)
    for number in range(3):
        worker = await fleet.add_worker(f"i-{number}", slots=16)
        worker.answer = play.answer
    await fleet.put_config()
    for number in range(2):
        await fleet.add_daemon(f"edge-{number}")
    await fleet.settle()

    play.garble.start()
    watches = [asyncio.create_task(play.watch(d)) for d in fleet.daemons]
    clients = [asyncio.create_task(play.client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(SECONDS)
    play.over = True
    await asyncio.gather(*watches)
    await asyncio.wait(clients, timeout=3)

    sound = {request for worker in fleet.workers
             if worker is not play.garble.worker
             for _, request, _, _ in worker.runs}
    lost = [each for each in play.unanswered if each in sound]
    fleet.record.add(f"{play.own_ends} ends of processes by themselves; "
                     f"{len(lost)} requests of kept connections passed on to "
                     "sound workers and not answered")
    if len(lost) > 3:
        return [f"LOST: {len(lost)} requests of kept connections were passed "
                "on to sound workers, and the connections closed without an "
                f"answer; {play.own_ends} times a process ended by itself"]
    return []


s.run_case(FOLDER, case)
