"""Servers of one sharded service end, and their addresses go to servers of
another sharded service. Checks OWNER at the servers."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support-3"))
from standins import (Clients, Gateway, Server, Store, KEYS, limits, now, route,
                      run, service)

REUSE_AFTER = 2.0  # reuse-after-s of a small deployment


class Owner:
    """The rule OWNER, as the servers of a service see it."""

    def __init__(self, record, servers):
        self.record, self.servers = record, servers
        self.broken = []
        self.since = {}

    def on_grant(self, server, first, last, fence):
        part = slice(first, last + 1)
        self.record(f"server {server.name} of {server.service} takes keys "
                    f"{first} to {last} with fence {fence}")
        for other in self.servers:
            if other is server or other.service != server.service:
                continue
            if max(other.fence[part]) < fence:
                continue
            for key in range(first, last + 1):
                renewed = server.fence[key] == fence and server.holds(key)
                if other.fence[key] >= fence and not renewed:
                    self.fail(f"{server.name} of {server.service} takes key {key} "
                              f"with fence {fence}, but {other.name} of "
                              f"{other.service} had it with fence "
                              f"{other.fence[key]}")
                    break

    def fail(self, text):
        self.broken.append(text)
        self.record("BROKEN OWNER: " + text)

    async def watch(self):
        """Two servers that are up hold the same keys for over half a second."""
        while True:
            at = now()
            up = [one for one in self.servers if one.up]
            for i, one in enumerate(up):
                for other in up[i + 1:]:
                    if one.service != other.service:
                        continue
                    pair = (one.name, other.name)
                    both = any(a > at and b > at for a, b in
                               zip(one.until[::64], other.until[::64]))
                    if not both:
                        self.since.pop(pair, None)
                    elif at > self.since.setdefault(pair, at) + 0.5:
                        self.fail(f"{pair[0]} and {pair[1]} of {one.service} have "
                                  "held the same keys for over half a second")
                        self.since[pair] = at + 3600
            await asyncio.sleep(0.05)


async def case(record, folder, trouble):
    store = Store(record)
    await store.open()
    config = {"version": "00000001", "resources": [
        route("left", "left.example", "/left/", "safe", "left-svc", 1000, 400),
        route("right", "right.example", "/right/", "safe", "right-svc", 1000, 400),
        service("left-svc", True), service("right-svc", True), limits()]}
    store.put_config(config)
    servers = []
    owner = Owner(record, servers)
    asyncio.ensure_future(owner.watch())
    count = 0

    async def add(kind, port=0):
        nonlocal count
        count += 1
        one = Server(store, record, f"i-{count:04d}", kind, True)
        one.on_grant = owner.on_grant
        servers.append(one)
        await one.start(port)
        return one

    left = [await add("left-svc") for _ in range(8)]
    for _ in range(16):
        await add("right-svc")
    gateways = [Gateway(record, folder, f"g{i}", store.listener.port)
                for i in range(3)]
    try:
        for one in gateways:
            await one.start()
        for one in gateways:
            if not await one.until_ready():
                return 2
        clients = Clients(record)
        rng = random.Random(11)
        served = 0

        async def traffic():
            nonlocal served
            while True:
                name = rng.choice(["left", "right"])
                gateway = rng.choice(gateways)

                async def one():
                    nonlocal served
                    _, status = await clients.send(
                        gateway, "GET", f"{name}.example", f"/{name}/x",
                        key=rng.randrange(KEYS))
                    served += status == 200
                asyncio.ensure_future(one())
                await asyncio.sleep(0.05)

        async def replace():
            """A server crashes for good, and its address goes to a server of the
            other service."""
            gone = left.pop(0)
            beats = gone.sequence
            while gone.sequence == beats:
                await asyncio.sleep(0.01)
            port = gone.listener.port
            await gone.crash()
            await asyncio.sleep(REUSE_AFTER + 0.02)
            await add("right-svc", port)
            await asyncio.sleep(1.0)
            left.append(await add("left-svc"))

        asyncio.ensure_future(traffic())
        await asyncio.sleep(6)
        for _ in range(9):
            if trouble:
                await asyncio.gather(replace(), replace())
                await asyncio.sleep(5.0)
            else:
                await asyncio.sleep(9.0)
            if owner.broken:
                break
        record(f"{served} of {clients.number} requests served; OWNER broken "
               f"{len(owner.broken)} times")
        return 1 if owner.broken else 0 if served else 2
    finally:
        for one in gateways:
            await one.kill()


if __name__ == "__main__":
    run(case)
