"""Stand-ins for the scripts of the second review: the platform's store, servers
that hold keys, clients, and the gateways' processes. Standard library only, all
addresses on loopback.

The stand-ins follow the users' pages. Where a page is silent they behave like a
sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "bin", "sapphirehook-gateway")
HEARTBEAT = 0.87  # heartbeat-ms
KEYS = 65536


class Record:
    """Writes record.txt: what was sent, answered, run and decided, with times."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_ports(count, ip="127.0.0.1"):
    """Returns ports that are free for TCP and UDP."""
    sockets, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((ip, port))
            ports.append(port)
        except OSError:
            pass
        sockets += [tcp, udp]
    for one in sockets:
        one.close()
    return ports


# --- HTTP/1.1, as much as the stand-ins need ---


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'X'}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode() + body


def query_of(target):
    path, _, query = target.partition("?")
    pairs = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
    return path, pairs


# --- The platform's store, log form ---


class Topic:
    def __init__(self):
        self.records = []  # (written at, key, value or None)
        self.first = 0  # offset of records[0]

    @property
    def end(self):
        return self.first + len(self.records)

    def newest(self):
        latest = {}
        for i, (_, key, value) in enumerate(self.records):
            latest[key] = (value, self.first + i)
        return {k: v for k, v in latest.items() if v[0] is not None}


class Store:
    """The platform's metadata store. Linearizable, acknowledges at once."""

    ANSWER_S = 0.004

    def __init__(self, record, port, reports_era=True):
        self.record = record
        self.port = port
        self.topics = {}
        self.era = 1 if reports_era else None
        self.away = False
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """A write of the operator or of a server (None deletes). It is lost while
        the store is away."""
        if not self.away:
            self.topic(topic).records.append((time.monotonic(), key, value))
            self.wake()

    def restore(self, copy_age_s):
        """What was written in the last copy_age_s is gone."""
        until = time.monotonic() - copy_age_s
        for name, topic in self.topics.items():
            kept = [r for r in topic.records if r[0] <= until]
            self.record.write(f"store: {name} goes back from offset {topic.end} to {topic.first + len(kept)}")
            topic.records = kept
        self.era += 1
        self.record.write(f"store: restored, Store-Era {self.era}")
        self.wake()

    async def drill(self, away_s, copy_age_s, operator):
        """The store is away for a moment and comes back from a copy that is some
        seconds old. The operator then writes again what was lost; the servers do
        so with their next heartbeats."""
        self.record.write(f"drill: the store is away for {away_s} s")
        self.away = True
        self.wake()
        self.drop_connections()
        await asyncio.sleep(away_s)
        self.restore(copy_age_s)
        self.away = False
        await asyncio.sleep(0.3)
        operator()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                await asyncio.sleep(self.ANSWER_S)
                if self.away:
                    status, extra, content = 503, {}, b""
                else:
                    status, extra, content = await self.call(method, target, body)
                if self.era is not None:
                    extra["Store-Era"] = str(self.era)
                writer.write(answer_bytes(status, extra, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        path, query = query_of(target)
        topic = self.topic(query.get("topic", ""))
        if path.endswith("/log-append"):
            return self.append(query, body)
        if path.endswith("/log-newest"):
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": at}
                for k, (v, at) in sorted(topic.newest().items())
                if k > query.get("after", "").replace("%2F", "/")
            ]
            answer = {"items": items[:500], "has-more": len(items) > 500, "end-offset": topic.end}
            return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()
        if path.endswith("/log-read"):
            return await self.read(query, topic)
        return 400, {}, b""

    def append(self, query, body):
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return 412, {"Content-Type": "application/json"}, json.dumps({"end-offset": topic.end}).encode()
        offset, at = topic.end, 0
        while at < len(body):
            (size,) = struct.unpack(">I", body[at : at + 4])
            content = body[at + 4 : at + 4 + size]
            at += 4 + size
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            topic.records.append((time.monotonic(), key, value or None))
            if query["topic"] == "keyed.ownership":
                self.record.write(f"store: keyed.ownership offset {topic.end - 1}: {key}")
        self.wake()
        answer = {"offset": offset, "end-offset": topic.end}
        return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()

    async def read(self, query, topic):
        start = int(query["from-rev"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        era = self.era
        while topic.end <= start and self.era == era and not self.away:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.away:
            return 503, {}, b""
        if start < topic.first or start > topic.end:
            return 410, {"Content-Type": "application/json"}, json.dumps({"first-offset": topic.first}).encode()
        body = struct.pack(">QQ", topic.end, topic.first)
        for _, key, value in topic.records[start - topic.first :]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, {"Content-Type": "application/octet-stream"}, body


# --- Servers that hold keys ---


class Server:
    """A sound server: checks its name, its keys and fences; 6 slots."""

    SLOTS = 6

    def __init__(self, world, name, service, zone, port, sharded=True, work_s=0.05):
        self.world, self.record, self.name = world, world.record, name
        self.service, self.zone, self.port = service, zone, port
        self.sharded, self.work_s = sharded, work_s
        self.fence = [0] * KEYS  # highest fence seen for each key
        self.until = [0.0] * KEYS  # end of the hold for each key
        self.running = 0
        self.running_keys = {}
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.up = False
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.up = True
        self.record.write(f"server {self.name} ({self.service}) starts at port {self.port}")
        self.heartbeat = asyncio.ensure_future(self.beat())

    def entry(self):
        return json.dumps(
            {
                "address": f"127.0.0.1:{self.port}",
                "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "max-concurrency": self.SLOTS},
                "status": {"state": self.state, "sequence": self.sequence, "warmup-left-ms": 0},
            }
        ).encode()

    def write_entry(self):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.name, self.entry())

    async def beat(self):
        while self.up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    async def drain(self, serves_s):
        """A planned shutdown: reports draining, serves on, then exits."""
        self.state = "draining"
        self.write_entry()
        self.record.write(f"server {self.name} reports draining")
        await asyncio.sleep(serves_s)
        self.up = False
        self.heartbeat.cancel()
        self.world.store.put("keyed.servers", self.name, None)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.holds.append((time.monotonic(), self, 0, KEYS - 1, None, 0))
        self.record.write(f"server {self.name} has left")

    def holds(self, key):
        return self.until[key] > time.monotonic()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                writer.write(await self.handle(method, target, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body):
        if target == "/sapphirehook/grant":
            return self.grant(json.loads(body))
        if target == "/sapphirehook/release":
            return await self.release(json.loads(body))
        return await self.request(method, target, headers)

    def grant(self, call):
        first, last, fence = call["from-rev"], call["to"], call["fence"]
        if max(self.fence[first : last + 1]) > fence:
            self.record.write(f"grant {self.name} {first}-{last} fence {fence}: 409")
            return answer_bytes(409, {})
        now = time.monotonic()
        count = last - first + 1
        new = min(self.fence[first : last + 1]) < fence
        self.fence[first : last + 1] = [fence] * count
        self.until[first : last + 1] = [now + call["hold-ms"] / 1000] * count
        self.world.holds.append((now, self, first, last, now + call["hold-ms"] / 1000, fence))
        self.record.write(
            f"grant {self.name} {first}-{last} fence {fence} hold {call['hold-ms']}: 200" + (" (new fence)" if new else "")
        )
        return answer_bytes(200, {})

    async def release(self, call):
        first, last = call["from-rev"], call["to"]
        now = time.monotonic()
        for key in range(first, last + 1):
            if self.fence[key] <= call["fence"]:
                self.until[key] = 0.0
        while any(first <= key <= last for key in self.running_keys.values()):
            await asyncio.sleep(0.002)
        self.world.holds.append((time.monotonic(), self, first, last, None, call["fence"]))
        self.record.write(f"release {self.name} {first}-{last} fence {call['fence']}: 200")
        return answer_bytes(200, {"X-Sapphirehook-Handover": "%016x" % random.getrandbits(64)})

    async def request(self, method, target, headers):
        attempt = headers.get("x-sapphirehook-attempt-id", "")
        echo = {"X-Sapphirehook-Attempt-Id": attempt, "X-Sapphirehook-Instance-Id": self.name}
        expected = headers.get("x-sapphirehook-expect-instance")
        not_run = {**echo, "X-Sapphirehook-Not-Executed": "1"}
        if not attempt:
            return answer_bytes(400, not_run)
        if expected is not None and expected != self.name:
            return answer_bytes(421, not_run)
        key = int(headers.get("x-sapphirehook-shard-key", "0"))
        if self.sharded and not self.holds(key):
            return answer_bytes(421, not_run)
        if self.running >= self.SLOTS:
            return answer_bytes(503, not_run)
        self.running += 1
        self.running_keys[attempt] = key
        self.world.runs.append((time.monotonic(), self, attempt, key, method, target))
        self.record.write(f"run {attempt} key {key} at {self.name}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            del self.running_keys[attempt]
        signature = f"{attempt[:4]}.07.{self.name}"
        return answer_bytes(200, {**echo, "X-Sapphirehook-Response-Signature": signature}, attempt.encode())


# --- Gateways ---


class Gateway:
    """A gateway's process, started with the deploy file's command and template."""

    def __init__(self, world, index, store_port, peers_port=None):
        self.world, self.record = world, world.record
        self.name = f"edge-a-{index}"
        ip = "127.0.0.1"
        self.frontend, self.ready, self.peers, self.metrics = free_ports(4)
        self.peers = peers_port or self.peers
        self.values = {
            "node-name": self.name,
            "zone": "zone-a",
            "ip": ip,
            "listen-addrs": {"frontend": f"{ip}:{self.frontend}", "ready": f"{ip}:{self.ready}"},
            "port-range": [self.peers, self.peers + 15],
            "limits": {"cpu-share": 0.2, "link-mbps": 1000.0, "memory-mb": 260},
            "platform": {"address": f"{ip}:{store_port}"},
            "bounds": {
                "retry-budget-ratio": 0.2,
                "retry-budget-slack": 56,
                "budget-window-s": 10,
                "hold-max-ms": 10000,
                "grace-s": 6,
                "drain-ms": 2000,
            },
            "bootstrap": True,
            "heartbeat-ms": int(HEARTBEAT * 1000),
        }
        self.process = None

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as template:
            text = template.read()

        def fill(match):
            value = self.values
            for part in match.group(1).split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return ""
            return str(value).lower() if isinstance(value, bool) else str(value)

        text = re.sub(r"\{\{([^}]*)\}\}", fill, text)
        # One loopback address serves all gateways, so the metrics port differs.
        return text.replace(":9464", f":{self.metrics}")

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(self.settings())
        self.log = os.path.join(self.world.folder, self.name + ".log")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["SAPPHIREHOOK_NODE_FILE"] = path
        self.process = subprocess.Popen(
            ["target/bin/sapphirehook-gateway"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.log, "a"),
            stderr=subprocess.STDOUT,
        )
        self.values["bootstrap"] = False
        self.record.write(f"gateway {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.record.write(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def metric(self, name):
        try:
            _, _, body = await call("127.0.0.1", self.metrics, "GET", "/metrics", {}, b"", 1.0)
        except (OSError, asyncio.TimeoutError):
            return None
        found = re.search(rf"^{name} (\S+)$", body.decode(), re.M)
        return float(found.group(1)) if found else None

    async def is_ready(self):
        try:
            status, _, _ = await call("127.0.0.1", self.ready, "GET", "/sapphirehook/ready", {}, b"", 0.5)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False


async def call(host, port, method, target, headers, body, timeout_s):
    """One call on a connection of its own. Returns status, headers and body."""

    async def work():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = f"{method} {target} HTTP/1.1\r\nHost: {headers.get('Host', host)}\r\n"
            for name, value in headers.items():
                if name != "Host":
                    text += f"{name}: {value}\r\n"
            if body or method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write((text + "\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            content = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], content
        finally:
            writer.close()

    return await asyncio.wait_for(work(), timeout_s)


class World:
    """A small deployment: a store, servers and gateways."""

    def __init__(self, case_folder, reports_era=True):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="sapphirehook-review-")
        (port,) = free_ports(1)
        self.store = Store(self.record, port, reports_era)
        self.servers, self.gateways = [], []
        self.holds = []  # grants and releases that servers took, in order
        self.runs = []
        self.answers = []  # (time, attempt, key, status, gateway, signature)
        self.version = 0
        self.config = None
        self.names = 0
        self.busy_share, self.busy_keys = 0.0, range(1)

    def put_config(self, routes, services):
        self.version += 7
        self.config = json.dumps(
            {
                "version": "%08x" % self.version,
                "resources": routes
                + services
                + [
                    {
                        "resource-kind": "limits",
                        "metadata": {},
                        "spec": {
                            "header-bytes": 16384,
                            "max-body-bytes": 67108864,
                            "header-timeout-ms": 3000,
                            "idle-timeout-ms": 15000,
                        },
                    }
                ],
            }
        ).encode()
        self.store.put("keyed.op", "config", self.config)
        self.record.write(f"operator: configuration {self.version:08x}")

    def put_config_again(self):
        self.store.put("keyed.op", "config", self.config)
        self.record.write(f"operator: configuration {self.version:08x} again")

    async def moved(self, server, timeout_s=5.0):
        """Waits until a server holds keys. Returns since when, or None."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            grants = [h for h in self.holds if h[1] is server and h[4] is not None]
            if grants:
                return grants[0][0]
            await asyncio.sleep(0.02)
        return None

    async def released(self, since, timeout_s=6.0):
        """Waits until a server releases keys. Returns when, or None."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for hold in self.holds:
                if hold[4] is None and hold[0] >= since:
                    return hold[0]
            await asyncio.sleep(0.02)
        return None

    async def add_server(self, service, sharded=True, port=None, name=None, work_s=0.05):
        self.names += 1
        server = Server(
            self, name or "i-%04d" % self.names, service, "zone-a", port or free_ports(1)[0], sharded, work_s
        )
        self.servers.append(server)
        await server.start()
        return server

    def add_gateway(self):
        gateway = Gateway(self, len(self.gateways) + 1, self.store.port)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def leader(self, timeout_s=5.0):
        """Returns the gateway that leads, by its own metrics."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for gateway in self.gateways:
                if gateway.is_running() and await gateway.metric("sapphirehook_leads") == 1:
                    return gateway
            await asyncio.sleep(0.1)
        return None

    async def until_ready(self, timeout_s=10.0):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all([await g.is_ready() for g in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, gateway, host, path, method="GET", key=None, deadline_ms=1000, body=b""):
        attempt = "%016x" % random.getrandbits(64)
        headers = {
            "Host": host,
            "X-Sapphirehook-Attempt-Id": attempt,
            "X-Sapphirehook-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["X-Sapphirehook-Shard-Key"] = str(key)
        self.record.write(f"send {attempt} {method} {path} key {key} to {gateway.name}")
        try:
            status, received, content = await call(
                "127.0.0.1", gateway.frontend, method, path, headers, body, deadline_ms / 1000
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, received, content = 0, {}, type(error).__name__.encode()
        signature = received.get("x-sapphirehook-response-signature")
        self.answers.append((time.monotonic(), attempt, key, status, gateway.name, signature))
        self.record.write(f"answer {attempt} {status} signature {signature} {content[:60]!r}")
        return status

    async def steady(self, host, path, rate, seconds, method="GET", keys=range(0, KEYS, 97)):
        """Sends requests for random keys to the ready gateways. A share of them,
        self.busy_share, is for the few keys in self.busy_keys."""
        tasks, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            ready = [g for g in self.gateways if g.is_running() and not getattr(g, "leaving", False)]
            if ready:
                tasks.append(
                    asyncio.ensure_future(
                        self.request(random.choice(ready), host, path, method, self.draw_key(keys))
                    )
                )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    def draw_key(self, keys):
        return random.choice(self.busy_keys if random.random() < self.busy_share else keys)

    def hold_intervals(self, key):
        """Returns for each server the times during which it held a key."""
        spans = {}
        for at, server, first, last, until, fence in self.holds:
            if not first <= key <= last:
                continue
            own = spans.setdefault(server, [])
            if until is None:
                if own and own[-1][1] > at:
                    own[-1][1] = at
            elif own and own[-1][1] >= at:
                own[-1][1] = until
            else:
                own.append([at, until])
        return spans

    def overlaps(self, service, minimum_s, keys=range(0, KEYS, 16)):
        """Returns (length, key, server, server, from) of the times over minimum_s
        during which two servers of a service held the same key."""
        found = []
        for key in keys:
            spans = [(s, i) for s, ints in self.hold_intervals(key).items() for i in ints if s.service == service]
            for n, (one, a) in enumerate(spans):
                for other, b in spans[n + 1 :]:
                    begin, end = max(a[0], b[0]), min(a[1], b[1])
                    if other is not one and end - begin > minimum_s:
                        found.append((end - begin, key, one.name, other.name, begin - self.record.started))
        return sorted(found, reverse=True)

    def judge_owners(self, service):
        """OWNER: two servers that are up hold the same keys for over half a
        second. Returns the exit code."""
        found = self.overlaps(service, 0.5)
        for length, key, one, other, since in found[:8]:
            self.record.write(f"OWNER broken: key {key} is held by {one} and {other} for {length:.3f} s from {since:.3f}")
        keys = len({key for _, key, _, _, _ in found})
        statuses = {}
        for answer in self.answers:
            statuses[answer[3]] = statuses.get(answer[3], 0) + 1
        print(f"{len(self.answers)} requests, by status {statuses}")
        if found:
            length, key, one, other, since = found[0]
            print(
                f"OWNER broken: {keys} of {KEYS // 16} sampled keys were held by two servers for over 0.5 s; "
                f"longest {length:.2f} s, key {key} by {one} and {other} from {since:.2f} s"
            )
            return 1
        print("OWNER held: no key was held by two servers for over 0.5 s")
        return 0

    def stop(self):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
            if gateway.process is not None:
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, timeout_ms=1000):
    return {
        "resource-kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": host,
            "path-prefix": prefix,
            "type": kind,
            "timeout-ms": timeout_ms,
            "target-latency-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
        },
    }


def service(name, sharded):
    spec = {"health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": False}
    if sharded:
        spec.update({"is-sharded": True, "warm-s": 5.0, "grants": "rpc"})
    return {"resource-kind": "services", "metadata": {"name": name}, "spec": spec}


def run(case):
    """Runs a case, an async function that returns 0, 1 or 2, and exits with that."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(asyncio.wait_for(case, 110))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    sys.stdout.flush()
    os._exit(code)  # connections of the stand-ins are still open
