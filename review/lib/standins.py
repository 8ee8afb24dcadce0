"""Stand-ins of the users' platform, of workers and of clients, and a launcher
of the project's daemons. They follow the published protocol pages. All of it
runs in one asyncio loop; daemons are separate processes."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, unquote, urlsplit

SITE = {"contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 8,
        "lostSlackMs": 200, "applyMs": 2500, "rollbackSlackMs": 250,
        "stretchMs": 6000, "revokeMs": 5000, "quotaWindowS": 5,
        "quotaExcess": 0.1, "quotaSlack": 20, "recoverS": 12,
        "deliveryMs": 300, "finishS": 18, "statusTtlS": 120,
        "cancelMs": 3000, "settleMs": 1000, "reuseAfterS": 2}
CONTACT_S = SITE["contactMs"] / 1000
TOKENS_PER_MS = 68.2  # read by an engine of the deployment
PREFIX = "X-Gypsumtrack-"
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found",
           410: "Gone", 412: "Precondition Failed", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable",
           421: "Misdirected Request", 422: "Unprocessable Entity"}


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def render(status, headers, body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def reset(writer):
    """Closes the connection with a reset."""
    import socket
    import struct
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store: rows, feeds and objects."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.version = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        # Called with (path name, request); may return "silent", "reset",
        # "lose" (done, not answered) or a number of seconds to wait first.
        self.fault = lambda path, request: None
        self.servers = []

    async def listen(self, ip, path="store", rewrite=None):
        """Opens a way to the store; `rewrite(id, entry)` may change what the
        entry of a worker says on this way, as the address of a proxy."""
        async def serve(reader, writer):
            await self.serve(path, rewrite, reader, writer)
        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 50000

    async def put(self, table, key, value, part=""):
        async with self.changed:
            self.apply([((table, part, key), value.encode())], [])
            self.changed.notify_all()

    async def remove(self, table, key, part=""):
        async with self.changed:
            self.apply([], [(table, part, key)])
            self.changed.notify_all()

    def apply(self, puts, removals):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))

    async def serve(self, path, rewrite, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                action = self.fault(path, request)
                if action == "silent":
                    await asyncio.sleep(3600)
                if action == "reset":
                    reset(writer)
                    return
                if isinstance(action, (int, float)) and action is not True:
                    await asyncio.sleep(action)
                status, headers, body = await self.handle(request, rewrite)
                if action == "lose":
                    await asyncio.sleep(3600)
                writer.write(render(status, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def row_json(self, key, value, version, rewrite):
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["removed"] = True
            return row
        if rewrite and key[0] == "servers":
            value = json.dumps(rewrite(key[2], json.loads(value))).encode()
        row["value"] = base64.b64encode(value).decode()
        return row

    async def handle(self, request, rewrite):
        name = request.path.removeprefix("/gypsumtrack/")
        kind, _, rest = name.partition("/")
        if kind.startswith("blob"):
            return self.handle_blob(kind, rest, request)
        if kind == "rows-feed":
            body = await self.feed(request, rewrite)
        elif kind == "rows-tx":
            return await self.transact(request, rewrite)
        elif kind == "rows-get":
            body = self.get(request, rewrite)
        elif kind == "rows-parts":
            parts = sorted({k[1] for k in self.rows
                            if k[0] == request.query.get("table")})
            after = request.query.get("after")
            body = {"parts": [p for p in parts if not after or p > after],
                    "hasMore": False}
        else:
            return 404, [], b""
        return self.json(200, body)

    @staticmethod
    def json(status, body):
        return (status, [("Content-Type", "application/json")],
                json.dumps(body).encode())

    async def transact(self, request, rewrite):
        call = json.loads(request.body)
        key_of = lambda e: (e["table"], e.get("part", ""), e["key"])
        async with self.changed:
            def version(key):
                return self.rows[key][1] if key in self.rows else 0
            failed = [e for e in call.get("expect", [])
                      if version(key_of(e)) != e["ver"]]
            if failed:
                rows = [self.row_json(key_of(e), *self.rows[key_of(e)],
                                      rewrite)
                        for e in call["expect"] if key_of(e) in self.rows]
                return self.json(412, {"rows": rows, "ver": self.version,
                                       "nowMs": self.now_ms()})
            puts = [(key_of(e), base64.b64decode(e["value"]))
                    for e in call.get("puts", [])]
            # platform.rowBytes
            if any(len(e["value"]) > 65536 * 4 / 3 for e in call["puts"]):
                return 400, [], b""
            self.apply(puts, [key_of(e) for e in call.get("remove", [])])
            self.changed.notify_all()
            return self.json(200, {"ver": self.version,
                                   "nowMs": self.now_ms()})

    def get(self, request, rewrite):
        query = request.query
        table, part = query.get("table"), query.get("part", "")
        begin, end = query.get("from", ""), query.get("target")
        limit = int(query.get("limit", "500"))
        keys = sorted(k for k in self.rows if k[0] == table and k[1] == part
                      and k[2] >= begin and (not end or k[2] < end))
        rows = [self.row_json(k, *self.rows[k], rewrite) for k in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit,
                "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, request, rewrite):
        table = request.query.get("table")
        after = int(request.query.get("after", "0"))
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000

        def changes():
            newest = {}
            for version, key, value in self.history:
                if version > after and key[0] == table:
                    newest[key] = (version, key, value)
            return sorted(newest.values(), key=lambda c: c[0])
        async with self.changed:
            while not changes():
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            rows = [self.row_json(k, value, version, rewrite)
                    for version, k, value in changes()]
            return {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}

    def handle_blob(self, kind, name, request):
        if kind == "blob-put":
            if request.header("if-none-match") == "*" and name in self.objects:
                return 412, [], b""
            self.objects[name] = request.body
            return 200, [], b""
        if kind == "blob-get":
            if name not in self.objects:
                return 404, [], b""
            return 200, [], self.objects[name]
        if kind == "blob-drop":
            return (200 if self.objects.pop(name, None) is not None else 404,
                    [], b"")
        return 404, [], b""


class Worker:
    """A worker that answers each request with a stream of events."""

    def __init__(self, store, record, name, ip, service="svc", zone="cairo",
                 version="v1", slots=8):
        self.store, self.record, self.name, self.ip = store, record, name, ip
        self.service, self.zone, self.version = service, zone, version
        self.slots = slots
        self.runs = []
        self.events, self.pause = 6, 0.02
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        # May handle a run itself; returns True if it did.
        self.answer = None
        self.writers = set()
        self.prompts = []
        self.crashed = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat())
        return self

    def entry(self):
        return {"service": self.service, "addr": self.addr, "zone": self.zone,
                "version": self.version, "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.seq, "born": self.born}

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.put("servers", self.name,
                                 json.dumps(self.entry()))
            await asyncio.sleep(1.2)

    async def crash(self):
        """Ends as a crash does: nothing listens any more, and all connections
        close. Its entry stays until it would lapse."""
        self.crashed = True
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add(f"{self.name} crashes")
        asyncio.get_running_loop().call_later(
            3 * 1.2, lambda: asyncio.create_task(
                self.store.remove("servers", self.name)))

    async def prefill(self, tokens):
        """Waits until the prompt is read. Prompts are read interleaved."""
        left = [tokens]
        self.prompts.append(left)
        while left[0] > 0:
            await asyncio.sleep(0.01)
            left[0] -= 10 * TOKENS_PER_MS / len(self.prompts)
        self.prompts.remove(left)

    def text(self, request_id, event):
        return f"word{event}"

    def common(self, request):
        return [(PREFIX + "Request-Id",
                 request.header(PREFIX + "request-id")),
                (PREFIX + "Response-Seal", f"seal.{self.name}"),
                (PREFIX + "Server-Load", f"0,0,{self.slots}")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Returns whether the connection may take another request."""
        expected = request.header(PREFIX + "expect-instance")
        if expected and expected != self.name:
            writer.write(render(421, [(PREFIX + "Instance-Id", self.name)]))
            return True
        if request.method == "GET":
            writer.write(render(200, [(PREFIX + "Instance-Id", self.name)]))
            return True
        request_id = request.header(PREFIX + "request-id")
        after = int(request.header("last-event-id", "0") or "0")
        self.runs.append((time.monotonic(), request_id, after, request))
        self.record.add(f"run at {self.name}: {request_id} {request.target} "
                        f"after {after}")
        if self.answer is not None:
            handled = await self.answer(self, request, after, reader, writer)
            if handled is not None:
                return handled
        await self.stream(request, after, writer)
        return True

    async def stream(self, request, after, writer):
        await self.begin_stream(request, writer)
        for event in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            await self.send_event(request, event, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def begin_stream(self, request, writer, framed=True):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in self.common(request))
        head += "Transfer-Encoding: chunked\r\n\r\n" if framed else "\r\n"
        writer.write(head.encode())
        await writer.drain()

    async def send_event(self, request, event, writer, framed=True,
                         data=None):
        request_id = request.header(PREFIX + "request-id")
        if data is None:
            data = self.text(request_id, event).encode()
        text = f"id: {event}\ndata: ".encode() + data + b"\n\n"
        if framed:
            text = f"{len(text):x}\r\n".encode() + text + b"\r\n"
        writer.write(text)
        await writer.drain()

    def output(self, request_id):
        return "\n".join(self.text(request_id, e)
                         for e in range(1, self.events + 1))


class Garble:
    """The dose of `garble`: of the answers that the first worker to be asked
    gives in a period, at most the share `x` is bad."""

    def __init__(self, trouble, x=0.02, for_s=5.5, periods=1, every_s=0.0):
        self.trouble, self.x, self.for_s = trouble, x, for_s
        self.periods, self.every_s = periods, every_s
        self.worker = None
        self.started = None
        self.period = -1
        self.answers = self.bad = 0

    def start(self):
        self.started = time.monotonic()

    def count(self, worker):
        """Counts an answer. Returns whether the worker is the faulty one."""
        if self.started is None:
            return False
        self.worker = self.worker or worker
        if worker is not self.worker:
            return False
        since = time.monotonic() - self.started
        period = int(since // self.every_s) if self.every_s else 0
        if period != self.period:
            self.period, self.answers, self.bad = period, 0, 0
        self.answers += 1
        return True

    def take(self):
        """Whether the answer that was counted last is to be bad."""
        since = time.monotonic() - self.started - self.period * self.every_s
        due = (self.trouble and self.period < self.periods and
               since < self.for_s and self.bad + 1 <= self.answers * self.x)
        self.bad += due
        return due


def run_command(root):
    """The command of the deploy file's only role."""
    with open(os.path.join(root, "deploy/system.toml"),
              encoding="utf-8") as file:
        found = re.search(r'^run = "([^"]+)"', file.read(), re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file names no program")
    return found.group(1).split()


class Daemon:
    """A daemon of the project, started with the command of the deploy file."""

    def __init__(self, fleet, name, ip, zone="cairo", region="delta",
                 store_addr=None):
        self.fleet, self.name, self.ip = fleet, name, ip
        self.zone, self.region = zone, region
        self.store_addr = store_addr
        self.process = None
        self.started_at = 0.0
        self.front, self.ready = f"{ip}:8689", f"{ip}:8687"
        self.metrics = f"{ip}:9464"

    def settings(self):
        lines = {"node": self.name, "role": "daemon", "class": "edge",
                 "serves": "edge", "ip": self.ip, "zone": self.zone,
                 "region": self.region, "zones.cairo": "delta",
                 "zones.alex": "delta", "zones.aswan": "upper",
                 "listen.front": self.front, "listen.ready": self.ready,
                 "portRange": "7360,7375", "bootstrap": "true",
                 "lossCounts": "false", "limits.cpuShare": "0.5",
                 "limits.cores": "1", "limits.memoryMb": "300",
                 "limits.maxFds": "8200", "limits.linkMbps": "1000.0",
                 "discovery": "platform", "entry": "vip",
                 "heartbeatMs": "1200", "platform.addr": self.store_addr,
                 "platform.form": "table", "platform.writesPerS": "800",
                 "platform.readsPerS": "2000", "platform.txMs": "5.0",
                 "platform.partWritesS": "200", "platform.rowBytes": "65536",
                 "platform.across": "false", "platform.historyS": "20",
                 "platform.blobBytes": "8388608", "bounds.strictRevoke": "true"}
        lines.update({f"bounds.{k}": str(v) for k, v in SITE.items()})
        return "".join(f"{k}={v}\n" for k, v in lines.items())

    def start(self):
        path = os.path.join(self.fleet.directory, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.fleet.directory, f"{self.name}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["GYPSUMTRACK_BOOT"] = path
        self.process = subprocess.Popen(
            run_command(self.fleet.root), cwd=self.fleet.root, stdout=log,
            stderr=log, env=environment)
        self.started_at = time.monotonic()
        self.fleet.record.add(f"start {self.name}")
        return self

    def send_signal(self, number):
        self.fleet.record.add(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            reply = await call(self.ready, "GET", "/gypsumtrack/ready", {},
                               timeout=1)
            if reply.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")


class CannotRun(Exception):
    pass


class Reply:
    def __init__(self):
        self.status = 0       # 0: no head was read
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


async def send_request(writer, method, target, headers, body=b""):
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    writer.write(head.encode("latin-1") + b"\r\n" + body)
    await writer.drain()


async def read_reply(reader, on_part=None):
    reply = Reply()
    try:
        first, reply.headers = await read_head(reader)
        reply.status = int(first.split(" ")[1])
        if reply.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                reply.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if on_part:
                    on_part(reply)
        else:
            size = int(reply.headers.get("content-length", "0"))
            reply.body += await reader.readexactly(size)
        reply.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        reply.error = type(error).__name__
    return reply


async def call(address, method, target, headers, body=b"", timeout=10,
               on_part=None):
    """One request on a new connection."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        await send_request(writer, method, target, headers, body)
        return await asyncio.wait_for(read_reply(reader, on_part), timeout)
    except (OSError, asyncio.TimeoutError) as error:
        reply = Reply()
        reply.error = type(error).__name__
        return reply
    finally:
        if writer is not None:
            writer.close()


class Fleet:
    """A store, workers and daemons on loopback addresses of their own."""

    def __init__(self, folder):
        self.root = os.path.abspath(os.path.join(folder, "..", ".."))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="gypsumtrack-review-")
        # Free ports: each run takes loopback addresses of its own.
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next_ip = 10
        self.store = Store()
        self.workers, self.daemons = [], []
        self.version = 0

    def ip(self):
        self.next_ip += 1
        return f"{self.net}.{self.next_ip}"

    async def add_worker(self, name, **options):
        worker = Worker(self.store, self.record, name, self.ip(), **options)
        self.workers.append(await worker.start())
        return worker

    async def add_daemon(self, name, store_addr=None, **options):
        if store_addr is None:
            store_addr = await self.store.listen(self.ip(), name)
        daemon = Daemon(self, name, self.ip(), store_addr=store_addr,
                        **options)
        self.daemons.append(daemon.start())
        return daemon

    def routes(self):
        online = {"kind": "stream", "timeoutMs": 5000, "goalMs": 300,
                  "priority": 0, "service": "svc", "public": False,
                  "sticky": True, "gapTargetMs": 400}
        return [
            {"name": "r-resume", "host": "h1.example", "prefix": "/resume/",
             "attempts": 2, "resumable": True, **online},
            {"name": "r-once", "host": "h1.example", "prefix": "/once/",
             "attempts": 1, "resumable": False, **online},
            {"name": "r-batch", "host": "h1.example", "prefix": "/batch/",
             "kind": "batch", "timeoutMs": 15000, "goalMs": 400,
             "dueMs": 18000, "retainS": 60, "cap": 1200000, "priority": 2,
             "service": "svc", "attempts": 3, "public": False,
             "sticky": True}]

    def tenants(self):
        return [{"name": "t1", "apiKeys": ["key-of-t1"], "priority": 1,
                 "ratePerS": 0, "burst": 0}]

    def config(self):
        return {"version": self.version, "routes": self.routes(),
                "services": [{"name": "svc", "healthPath": "/healthz",
                              "maxConns": 180}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": self.tenants()}

    async def settle(self):
        """Waits until all daemons are ready and in touch."""
        for daemon in self.daemons:
            await daemon.wait_ready()
        last = max(daemon.started_at for daemon in self.daemons)
        await asyncio.sleep(last + CONTACT_S + 0.5 - time.monotonic())

    async def put_config(self):
        self.version += 7
        await self.store.put("op", "config", json.dumps(self.config()))
        self.record.add(f"config {self.version} acknowledged")

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def headers(request_id, **more):
    out = {"Host": "h1.example", "X-Api-Key": "key-of-t1",
           PREFIX + "Request-Id": request_id, PREFIX + "Model": "m",
           PREFIX + "Token-Count": "100,20",
           PREFIX + "Prompt-Prefix": f"c0ffee:60,{request_id[:8]}:40",
           PREFIX + "Deadline-Ms": "5000"}
    out.update(more)
    return out


def new_id():
    return "%016x" % random.getrandbits(64)


def job_body(items, shared="c0ffee", prompt=350, output=20):
    """`items` are pairs of an id and a path. Their prompts share a part of 100
    tokens."""
    return json.dumps({"requests": [
        {"id": item, "path": path,
         "headers": {PREFIX + "Model": "m",
                     PREFIX + "Token-Count": f"{prompt},{output}",
                     PREFIX + "Prompt-Prefix":
                         f"{shared}:100,{item[:8]}:{prompt - 100}"},
         "body": base64.b64encode(b"prompt of " + item.encode()).decode(),
         "tokens": prompt + output} for item, path in items]}).encode()


def job_headers(job=None, **more):
    out = {"Host": "h1.example", "X-Api-Key": "key-of-t1"}
    if job:
        out[PREFIX + "Request-Id"] = job
        out["Content-Type"] = "application/json"
    out.update(more)
    return out


async def play(folder, case):
    """Returns the exit status."""
    fleet = Fleet(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        faults = await asyncio.wait_for(case(fleet, trouble), 110)
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        verdict = f"the case couldn't run: {error!r}"
        code = 2
    else:
        for fault in faults:
            fleet.record.add(f"FAULT: {fault}")
            print(f"FAULT: {fault}")
        verdict = "the rule was broken" if faults else "the rule held"
        code = 1 if faults else 0
    finally:
        fleet.close()
    fleet.record.add(verdict)
    print(verdict)
    return code


def run_case(folder, case):
    """Runs `case(fleet, trouble)`, which returns the faults that it saw. Exits
    with 0 if there are none, 1 if there are, and 2 if it couldn't run."""
    async def main():
        code = 2
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        try:
            code = await play(folder, case)
        except BaseException:
            traceback.print_exc()
        finally:
            # Connections of the stand-ins are still open; nothing is owed to
            # them.
            sys.stdout.flush()
            sys.stderr.flush()
            os._exit(code)
    asyncio.run(main())
