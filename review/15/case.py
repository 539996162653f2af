"""A planned stop of a gateway while clients that read slowly take downloads and
send a further safe request before they have the first answer. Checks LOST at
the clients, for the first request."""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support-3"))
from standins import (Gateway, Server, Store, limits, now, route, run, service)

DOWNLOAD = 540_000   # the largest bundle-fetch and spec-download
DEADLINE_MS = 8000   # bundle-fetch of hssa-gateway-grown
WORK = 0.1           # a server works on a download
READ = 16_384        # a client reads this much at a time,
STEP = 0.1           # this often: a download takes 3.3 s
NEXT = 3.0           # a client sends its next request this long after the first
STOP = 0.4           # the gateway gets SIGTERM this long after the first
SEGMENT = 1460       # of Ethernet; loopback has 65,483
CLIENTS = 4


class Bundles(Server):
    async def _run(self, method, target, headers, body):
        status, extra, _ = await super()._run(method, target, headers, body)
        return status, extra, b"b" * DOWNLOAD if status == 200 else b""


async def case(record, folder, trouble):
    store = Store(record)
    await store.open()
    store.put_config({"version": "00000001", "resources": [
        route("bundle", "get.example", "/get/", "download", "bundle-svc",
              DEADLINE_MS, 1500),
        service("bundle-svc", False), limits()]})
    for number in range(4):
        await Bundles(store, record, f"i-{number}", "bundle-svc", False,
                      work=WORK).start()
    gateways = [Gateway(record, folder, f"g{n}", store.listener.port)
                for n in range(2)]
    lost = []
    try:
        for one in gateways:
            await one.start()
        for one in gateways:
            if not await one.until_ready():
                return 2
        await asyncio.sleep(4)  # longer than stability-ms
        loop = asyncio.get_running_loop()
        stopping = gateways[0]

        def request(attempt):
            return (f"GET /get/x HTTP/1.1\r\nHost: get.example\r\n"
                    f"X-Sapphirehook-Attempt-Id: {attempt}\r\n"
                    f"X-Sapphirehook-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode()

        async def download(number):
            attempt = f"d{number}"
            sock = socket.socket()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", stopping.port))
            sent = now()
            await loop.sock_sendall(sock, request(attempt))
            record(f"client {attempt} asks {stopping.name} for a download")
            got, total, further = b"", None, False
            while total is None or len(got) < total:
                if not further and now() >= sent + NEXT:
                    further = True
                    record(f"client {attempt} sends a further request; it has "
                           f"{len(got)} of {total} bytes of the first answer")
                    try:
                        await loop.sock_sendall(sock, request(attempt + "b"))
                    except ConnectionError as error:
                        record(f"client {attempt}: {error!r} at the request")
                try:
                    piece = await asyncio.wait_for(
                        loop.sock_recv(sock, READ),
                        max(sent + DEADLINE_MS / 1000 - now(), 0.01))
                except (ConnectionError, asyncio.TimeoutError) as error:
                    record(f"client {attempt}: {error!r}")
                    break
                if not piece:
                    break
                got += piece
                if total is None and b"\r\n\r\n" in got:
                    head = got[:got.index(b"\r\n\r\n")]
                    size = [line for line in head.decode().split("\r\n")
                            if line.lower().startswith("content-length")][0]
                    total = len(head) + 4 + int(size.split(":")[1])
                    record(f"client {attempt} gets the head: "
                           f"{head.decode().splitlines()[0]}")
                await asyncio.sleep(STEP)
            took = now() - sent
            sock.close()
            record(f"client {attempt} has {len(got)} of {total} bytes after "
                   f"{took:.3f} s")
            if total is None or len(got) < total:
                if took < DEADLINE_MS / 1000:
                    lost.append(attempt)
                    record(f"BROKEN LOST: {attempt} was passed on to a server and "
                           "ends without a complete answer")

        downloads = [asyncio.ensure_future(download(n)) for n in range(CLIENTS)]
        await asyncio.sleep(STOP)
        if trouble:
            stopping.signal(signal.SIGTERM)
        await asyncio.gather(*downloads)
        if trouble:
            await asyncio.wait_for(stopping.process.wait(), 10)
            record(f"{stopping.name} has ended")
        record(f"{len(lost)} of {CLIENTS} downloads lost")
        return 1 if lost else 0
    finally:
        for one in gateways:
            await one.kill()


if __name__ == "__main__":
    run(case)
