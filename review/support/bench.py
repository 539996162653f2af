"""Stand-ins of the platform's store, of servers and of the platform itself, for
the scripts in review/. They use loopback addresses and the real clock."""

import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ATTEMPT = "X-Sapphirehook-Attempt-Id"
DEADLINE = "X-Sapphirehook-Deadline-Ms"
SIGNATURE = "X-Sapphirehook-Response-Signature"
INSTANCE = "X-Sapphirehook-Expect-Instance"
NOT_RUN = "X-Sapphirehook-Not-Executed"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} s  {text}\n")
            self.file.flush()


class Store:
    """The platform's store: keyed topics with one partition, kept in memory."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.topics = {}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, body, kind="application/json"):
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_POST(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if url.path == "/sapphirehook/log-append":
                    self.reply(*store.append(query, body))
                else:
                    self.reply(404, {})

            def do_GET(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/sapphirehook/log-read":
                    self.reply(200, store.read(query), "application/octet-stream")
                elif url.path == "/sapphirehook/log-newest":
                    self.reply(200, store.newest(query))
                else:
                    self.reply(404, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass  # a client has closed its connection

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def append(self, query, body):
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            record, body = body[4 : 4 + size], body[4 + size :]
            key = record[1 : 1 + record[0]].decode()
            records.append((key, record[1 + record[0] :]))
        with self.changed:
            log = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(log):
                return 412, {"end-offset": len(log)}
            first = len(log)
            log.extend(records)
            self.changed.notify_all()
            return 200, {"offset": first, "end-offset": len(log)}

    def read(self, query):
        begin = int(query["from-rev"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.changed:
            log = self.topics.setdefault(query["topic"], [])
            while len(log) <= begin and time.monotonic() < until:
                self.changed.wait(max(until - time.monotonic(), 0))
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[begin:]:
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            return out

    def newest(self, query):
        with self.changed:
            newest = {}
            log = self.topics.setdefault(query["topic"], [])
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [
                {"key": key, "value": b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value and key > query.get("after", "")
            ]
            return {"items": items, "has-more": False, "end-offset": len(log)}


class Gateway:
    """One entry host: the gateway process, run as the deploy file says."""

    def __init__(self, store, folder, memory_mb=260, name="edge-a-1"):
        self.store = store
        self.memory_mb = memory_mb
        self.ip = ".".join(["127"] + [str(random.randint(2, 250)) for _ in range(3)])
        self.node = {
            "node-name": name,
            "zone": "a",
            "ip": self.ip,
            "listen-addrs": {
                "frontend": f"{self.ip}:8641",
                "ready": f"{self.ip}:8640",
            },
            "port-range": [7620, 7635],
            "bootstrap": True,
            "heartbeat-ms": 870,
            "limits": {
                "cpu-share": 0.2,
                "cpu-cores": 1,
                "memory-mb": memory_mb,
                "max-fds": 4100,
                "link-mbps": 1000.0,
            },
            "bounds": {
                "drain-ms": 2000,
                "grace-s": 6,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-budget-slack": 56,
                "hold-max-ms": 10000,
            },
            "platform": {"address": store.address},
        }
        with open(os.path.join(ROOT, "deploy/settings.yaml"), encoding="utf-8") as file:
            template = file.read()
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", self.value, template))
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
        if not os.path.exists(os.path.join(ROOT, run[0])):
            raise CannotRun(f"{run[0]} is missing: run the build of the deploy file")
        self.log = open(os.path.join(folder, f"{name}.log"), "wb")
        self.process = subprocess.Popen(
            run,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "SAPPHIREHOOK_NODE_FILE": self.settings,
            },
            stdout=self.log,
            stderr=self.log,
        )

    def value(self, match):
        value = self.node
        for part in match.group(1).split("."):
            if isinstance(value, dict) and part not in value:
                return ""  # the platform fills in nothing where there is no value
            value = value[int(part)] if part.isdigit() else value[part]
        return str(value).lower() if isinstance(value, bool) else str(value)

    def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("the gateway has ended")
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRun("the gateway is not ready")

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, 8640), 1) as connection:
                connection.sendall(
                    b"GET /sapphirehook/ready HTTP/1.1\r\nHost: ready\r\n\r\n"
                )
                return b" 200 " in connection.recv(64)
        except OSError:
            return False

    def resident_mb(self):
        """Memory of the process as the kernel counts it; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0.0
        except OSError:
            return 0.0

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def read_head(connection):
    """Reads a message's head. Returns its first line, its headers and the bytes
    of the body that came with it, or None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


class Server:
    """A server of a service. aServe handles each request on its connection."""

    def __init__(self, store, ip, name, service, serve):
        self.name = name
        self.service = service
        self.serve = serve
        self.store = store
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(128)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.lock = threading.Lock()
        self.runs = {}
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def announce(self):
        self.sequence += 1
        entry = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "zone": "a",
                "version": "v1",
                "max-concurrency": 6,
            },
            "status": {
                "state": "ready",
                "sequence": self.sequence,
                "warmup-left-ms": 0,
            },
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def heartbeats(self):
        while True:
            self.announce()
            time.sleep(0.87)

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(
                target=self.handle, args=(connection,), daemon=True
            ).start()

    def handle(self, connection):
        try:
            while True:
                request = read_head(connection)
                if request is None:
                    return
                self.serve(self, connection, *request)
        except OSError:
            pass
        finally:
            connection.close()

    def begin(self, headers):
        """Counts a request that begins to run."""
        attempt = headers[ATTEMPT.lower()]
        with self.lock:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
        return attempt

    def answer(self, connection, attempt, body):
        connection.sendall(
            (
                f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SIGNATURE}: s.{attempt}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )


def configuration(routes, services, max_body=67108864):
    """The operator's configuration. A route is (name, prefix, type, service,
    timeout in ms)."""
    resources = [
        {
            "resource-kind": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": "site.example",
                "path-prefix": prefix,
                "type": kind,
                "service": service,
                "timeout-ms": timeout,
                "target-latency-ms": timeout // 2,
                "priority": 1,
                "max-attempts": 2,
            },
        }
        for name, prefix, kind, service, timeout in routes
    ]
    resources += [
        {
            "resource-kind": "services",
            "metadata": {"name": name},
            "spec": {
                "health-path": "/health",
                "max-connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        }
        for name in services
    ]
    resources.append(
        {
            "resource-kind": "limits",
            "metadata": {},
            "spec": {
                "header-bytes": 16384,
                "max-body-bytes": max_body,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
    )
    return json.dumps({"version": "00000007", "resources": resources}).encode()


def play(case_folder, run):
    """Runs a case. Returns the exit status: 1 if the rule was broken, 0 if it
    held, 2 if the case could not run."""
    record = Record(os.path.join(case_folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("with the disruption" if trouble else "without the disruption")
    ended = []
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = run(record, folder, trouble, ended)
            status = 1 if broken else 0
            record("the rule was broken" if broken else "the rule held")
        except CannotRun as error:
            record(f"the case could not run: {error}")
        finally:
            for process in ended:
                process.end()
    return status
