"""Stand-ins of the third review: the platform's store, servers and clients in
one asyncio program, and the project's gateway as separate processes.

Only the standard library is used. Every address is a loopback address with a
free port.
"""
import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = os.path.join(ROOT, "target", "bin", "sapphirehook-gateway")
KEYS = 65536
HEARTBEAT = 0.87  # heartbeat-ms of a small deployment


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns the first line, headers and body, or
    None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    text = first + "\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


class Listener:
    """A TCP listener whose open connections can all be reset."""

    def __init__(self, handle, limit=1 << 22):
        self.handle, self.limit = handle, limit
        self.writers = set()
        self.tasks = set()
        self.server = None
        self.port = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(
            self._on_connection, "127.0.0.1", port, limit=self.limit,
            reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            await self.handle(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            try:
                writer.close()
            except Exception:
                pass

    async def crash(self):
        """Ends like a killed process: the port refuses, connections reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            except OSError:
                pass
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store:
    """The platform's metadata store: a log whose keyed topics keep the newest
    record of each key. Entries of servers lapse after three silent heartbeats."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.listener = Listener(self._serve)
        self.beats = {}
        self.late_appends = None

    async def open(self):
        await self.listener.open()
        asyncio.ensure_future(self._lapse())

    def append(self, topic, records):
        """records: pairs of a key and a value or None."""
        log = self.topics.setdefault(topic, [])
        for key, value in records:
            log.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log)

    def put_config(self, config):
        self.append("keyed.op", [(b"config", json.dumps(config).encode())])
        self.record(f"operator: configuration {config['version']} is acknowledged")

    def beat(self, name, entry):
        known = self.beats.get(name)
        shape = json.dumps({**entry, "status": {**entry["status"], "sequence": 0}})
        if known is None or known[1] != shape:
            self.append("keyed.servers", [(name.encode(), json.dumps(entry).encode())])
        self.beats[name] = (now(), shape)

    def remove(self, name):
        if self.beats.pop(name, None):
            self.append("keyed.servers", [(name.encode(), None)])
            self.record(f"store: entry of {name} is removed")

    async def _lapse(self):
        while True:
            for name, (at, _) in list(self.beats.items()):
                if now() >= at + 3 * HEARTBEAT:
                    self.remove(name)
            await asyncio.sleep(0.02)

    async def _serve(self, reader, writer):
        while True:
            got = await read_message(reader)
            if got is None:
                return
            first, _, body = got
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            q = dict(part.partition("=")[::2] for part in query.split("&") if part)
            status, kind, answer = await self._answer(method, path, q, body)
            writer.write(message(f"HTTP/1.1 {status} X",
                                 [("Content-Type", kind)], answer))
            await writer.drain()

    async def _answer(self, method, path, q, body):
        topic = q.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path.endswith("/log-append"):
            if "at" in q and int(q["at"]) != len(log):
                return 412, "application/json", json.dumps(
                    {"end-offset": len(log)}).encode()
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                key = content[1:1 + content[0]]
                records.append((key, content[1 + content[0]:] or None))
            first = len(log)
            end = self.append(topic, records)
            return 200, "application/json", json.dumps(
                {"offset": first, "end-offset": end}).encode()
        if path.endswith("/log-read"):
            begin = int(q["from-rev"])
            until = now() + int(q.get("wait-ms", "0")) / 1000
            while len(log) <= begin and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[begin:]:
                content = bytes([len(key)]) + key + (value or b"")
                out += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", out
        if path.endswith("/log-newest"):
            import base64
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(),
                      "offset": o}
                     for k, (v, o) in sorted(newest.items())
                     if v is not None and k.decode() > q.get("after", "")]
            return 200, "application/json", json.dumps(
                {"items": items[:500], "has-more": len(items) > 500,
                 "end-offset": len(log)}).encode()
        return 404, "text/plain", b""


class Server:
    """A server of a service. Checks its name, keys and fences, and records what
    it runs and what it holds."""

    def __init__(self, store, record, name, service, sharded, work=0.05, slots=6):
        self.store, self.record = store, record
        self.name, self.service, self.sharded = name, service, sharded
        self.work, self.slots = work, slots
        self.until = [0.0] * KEYS if sharded else None
        self.fence = [0] * KEYS if sharded else None
        self.up = False
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.ran = []
        self.on_grant = None
        self.running = {}
        self.listener = Listener(self._serve)

    async def start(self, port=0):
        self.born = int(time.time() * 1000)
        await self.listener.open(port)
        self.up = True
        self.beating = asyncio.ensure_future(self._beat())
        self.record(f"server {self.name} of {self.service} starts at port "
                    f"{self.listener.port}")

    async def crash(self):
        self.up = False
        self.beating.cancel()
        await self.listener.crash()
        self.record(f"server {self.name} of {self.service} crashes")

    async def _beat(self):
        while True:
            self.sequence += 1
            self.store.beat(self.name, {
                "address": f"127.0.0.1:{self.listener.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": "z",
                         "max-concurrency": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "warmup-left-ms": 0}})
            await asyncio.sleep(HEARTBEAT)

    def holds(self, key):
        return self.up and self.until[key] > now()

    async def _serve(self, reader, writer):
        while True:
            got = await read_message(reader)
            if got is None:
                return
            first, headers, body = got
            method, target, _ = first.split(" ")
            if target == "/sapphirehook/grant":
                status, extra, text = self._grant(json.loads(body))
            elif target == "/sapphirehook/release":
                status, extra, text = await self._release(json.loads(body))
            else:
                status, extra, text = await self._run(method, target, headers, body)
            writer.write(message(f"HTTP/1.1 {status} X", extra, text))
            await writer.drain()

    def _grant(self, call):
        first, last, fence = call["from-rev"], call["to"], call["fence"]
        if not self.sharded:
            return 400, [], b""
        part = slice(first, last + 1)
        if max(self.fence[part]) > fence:
            return 409, [], b""
        if self.on_grant:
            self.on_grant(self, first, last, fence)
        size = last - first + 1
        self.fence[part] = [fence] * size
        self.until[part] = [now() + call["hold-ms"] / 1000] * size
        return 200, [], b""

    async def _release(self, call):
        first, last = call["from-rev"], call["to"]
        if not self.sharded:
            return 400, [], b""
        self.until[first:last + 1] = [0.0] * (last - first + 1)
        while any(first <= key <= last for key in self.running.values()):
            await asyncio.sleep(0.005)
        return 200, [("X-Sapphirehook-Handover", f"{first:04x}{last:04x}")], b""

    async def _run(self, method, target, headers, body):
        attempt = headers.get("x-sapphirehook-attempt-id", "")
        echo = [("X-Sapphirehook-Attempt-Id", attempt)]
        refused = echo + [("X-Sapphirehook-Not-Executed", "1")]
        if headers.get("x-sapphirehook-expect-instance") != self.name:
            return 421, refused, b""
        if not attempt:
            return 400, refused, b""
        if self.sharded:
            key = int(headers["x-sapphirehook-shard-key"])
            if not self.holds(key):
                return 421, refused, b""
        if len(self.running) >= self.slots:
            return 503, refused, b""
        self.running[attempt] = key if self.sharded else -1
        self.ran.append((now(), attempt))
        self.record(f"server {self.name} runs {attempt} {method} {target}")
        try:
            await asyncio.sleep(self.work)
        finally:
            del self.running[attempt]
        return 200, echo + [("X-Sapphirehook-Response-Signature",
                             f"{self.name}.{attempt}")], b"done"


class Gateway:
    """A gateway process, started with the command and the template of the
    deploy file."""

    def __init__(self, record, folder, name, store_port, zone="z", grace=6):
        self.record, self.name = record, name
        self.port, self.ready = free_port(), free_port()
        peers, metrics = free_port(), free_port()
        self.path = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.first = True
        self.fields = {
            "host": f'"{name}"', "zone": f'"{zone}"',
            "callers": f'"127.0.0.1:{self.port}"',
            "ready": f'"127.0.0.1:{self.ready}"',
            "peers": f'"127.0.0.1:{peers}"', "metrics": f'"127.0.0.1:{metrics}"',
            "processor_share": "0.2", "link_mbps": "1000.0",
            "store": f'"127.0.0.1:{store_port}"', "retry_budget_ratio": "0.2",
            "retry_budget_slack": "56", "retry_budget_window_s": "10",
            "endpoint_heartbeat_ms": "870", "max_hold_ms": "10000",
            "stop_grace_s": str(grace), "drain_ms": "2000",
            "warm_up_overrun": "", "warm_up_slack": "", "evacuation_ms": "",
            "memory_mb": "260"}
        self.process = None

    def write_settings(self):
        text = "".join(f"{k}: {v}\n" for k, v in self.fields.items())
        text += f"first_start: {'true' if self.first else 'false'}\n"
        with open(self.path, "w") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        self.first = False
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                GATEWAY, cwd=ROOT, stdout=log, stderr=log,
                env={"SAPPHIREHOOK_NODE_FILE": self.path,
                     "PATH": os.environ.get("PATH", "")})
        self.record(f"gateway {self.name} starts")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record(f"gateway {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /sapphirehook/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            got = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return got is not None and " 200" in got[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def route(name, host, prefix, kind, service, timeout, aim, attempts=2):
    return {"resource-kind": "routes", "metadata": {"name": name},
            "spec": {"host": host, "path-prefix": prefix, "type": kind,
                     "timeout-ms": timeout, "target-latency-ms": aim,
                     "priority": 1, "service": service, "max-attempts": attempts}}


def service(name, sharded):
    spec = {"health-path": "/health", "max-connections": 110,
            "protocol": "h1", "tls": False}
    if sharded:
        spec.update({"is-sharded": True, "warm-s": 5.0, "grants": "rpc"})
    return {"resource-kind": "services", "metadata": {"name": name}, "spec": spec}


def limits():
    return {"resource-kind": "limits", "metadata": {},
            "spec": {"header-bytes": 16384, "max-body-bytes": 67108864,
                     "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


class Clients:
    """Sends single requests, each on a connection of its own."""

    def __init__(self, record):
        self.record = record
        self.number = 0
        self.answers = {}

    async def send(self, gateway, method, host, path, key=None, deadline=1000):
        self.number += 1
        attempt = f"a{self.number:06d}"
        headers = [("Host", host), ("X-Sapphirehook-Attempt-Id", attempt),
                   ("X-Sapphirehook-Deadline-Ms", str(deadline))]
        if key is not None:
            headers.append(("X-Sapphirehook-Shard-Key", str(key)))
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{n}: {v}\r\n" for n, v in headers) + "\r\n"
        status = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", gateway.port), 1)
            writer.write(text.encode())
            got = await asyncio.wait_for(read_message(reader), deadline / 1000)
            if got:
                status = int(got[0].split(" ")[1])
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.answers[attempt] = status
        self.record(f"client {attempt} {method} {path} key {key} at "
                    f"{gateway.name}: {status}")
        return attempt, status


def run(case):
    """Runs an async case(record, folder, trouble) that returns the exit code."""
    out = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    record = Record(out)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(GATEWAY, os.X_OK):
        record("the gateway is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(case(record, folder, trouble), 115))
        except Exception as error:
            import traceback
            record(f"the case could not run: {error!r}")
            record(traceback.format_exc())
            code = 2
    record(f"exit code {code}")
    print(f"exit code {code}, see {os.path.basename(out)}")
    sys.exit(code)
