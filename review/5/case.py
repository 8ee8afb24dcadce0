"""Answers in which bytes that say nothing come without end."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

# The disruption comes more than once.
PERIOD_S = 8.0
TIMES = 5
REQUESTS_PER_S = 200
TIMEOUT_S = 3.0
LATE_S = 0.5
# A stream must not pause for longer, or its client abandons it.
EVENT_EVERY_S = 0.5
BLANK_LINES = b"\n" * (256 * 1024)


class Case:
    def __init__(self, fleet, trouble):
        self.fleet = fleet
        self.garble = s.Garble(trouble, periods=TIMES, every_s=PERIOD_S)
        # How long each request took to its final answer, and whether that
        # was its client's own end.
        self.durations = []

    async def answer(self, worker, request, after, reader, writer):
        if not self.garble.count(worker) or not self.garble.take():
            return None
        request_id = request.header(s.PREFIX + "request-id")
        self.fleet.record.add(f"{worker.name} sends bytes without end to "
                              f"{request_id}")
        await worker.begin_stream(request, writer, framed=False)
        event = after
        due = time.monotonic()
        while True:
            if time.monotonic() >= due:
                event += 1
                due += EVENT_EVERY_S
                await worker.send_event(request, event, writer, framed=False)
            writer.write(BLANK_LINES)
            await writer.drain()

    async def send(self, daemon):
        request = s.new_id()
        host, port = daemon.front.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_at = time.monotonic()
        await s.send_request(writer, "POST", f"/resume/{request[:4]}",
                             s.headers(request), b"prompt")
        end = b""
        how = "answered"
        try:
            # The client leaves at its deadline, 5,000 ms.
            while True:
                left = sent_at + 5.0 - time.monotonic()
                part = await asyncio.wait_for(reader.read(65536), left)
                end = (end + part)[-5:]
                if not part or end == b"0\r\n\r\n":
                    break
        except asyncio.TimeoutError:
            how = "left by its client at its deadline"
        except ConnectionError:
            how = "reset"
        finally:
            writer.close()
        took = time.monotonic() - sent_at
        self.durations.append(took)
        if took > 1:
            self.fleet.record.add(f"{request}: {how} after {took:.2f} s")


def make_routes(fleet):
    routes = s.Fleet.routes(fleet)
    for route in routes:
        if route["kind"] == "stream":
            route["timeoutMs"] = int(TIMEOUT_S * 1000)
    return routes


async def case(fleet, trouble):
    play = Case(fleet, trouble)
    fleet.routes = lambda: make_routes(fleet)
    for number in range(3):
        worker = await fleet.add_worker(f"i-{number}", slots=16)
        worker.answer = play.answer
        worker.events, worker.pause = 3, 0.01
    await fleet.put_config()
    for number in range(2):
        await fleet.add_daemon(f"edge-{number}")
    await fleet.settle()

    play.garble.start()
    sent = []
    until = time.monotonic() + TIMES * PERIOD_S
    while time.monotonic() < until:
        daemon = fleet.daemons[len(sent) % 2]
        sent.append(asyncio.create_task(play.send(daemon)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*sent)

    unanswered = [took for took in play.durations if took >= TIMEOUT_S]
    late = [took for took in unanswered if took >= TIMEOUT_S + LATE_S]
    fleet.record.add(f"{len(play.durations)} requests; {len(unanswered)} "
                     f"without a final answer at timeoutMs, {len(late)} of "
                     "them half a second later")
    if len(late) >= 8 and len(late) * 4 > len(unanswered):
        return [f"CONFIG: of {len(unanswered)} requests that lasted longer "
                f"than their route's timeoutMs, {len(late)} had no final "
                "answer half a second later"]
    return []


s.run_case(FOLDER, case)
