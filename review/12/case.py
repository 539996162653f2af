"""Two servers of a sharded service are taken away shortly after each other while
half of the servers spoil a byte in 2 of 100 answers. Checks OWNER at the
servers."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "support-3"))
from standins import (Clients, Gateway, Server, Store, KEYS, limits, message, now,
                      read_message, route, run, service)

SERVERS = 8
SHARE = 0.5        # garble: share of the servers
SPOILED = 0.02     # garble: x, part of the answers of a server
GARBLE_S = 5.5     # garble: for_s
FIRST_LEAVES = 4.5 # from the start of the garble
GAP = 0.5          # from one scale_in to the next
DRAIN_S = 2.0      # drain-ms
CLIENTS = 24


class Faulty(Server):
    """While it is faulty, it spoils a byte of the status of some answers, those to
    grants of the keys that it takes first. At each moment, these are at most 2 in
    100 of the answers that it has given since it became faulty."""

    faulty = False
    answers = 0    # since it became faulty
    spoiled = 0
    spoiled_at = 0.0
    picked = None  # keys that it has taken while faulty

    def set_faulty(self, faulty):
        self.faulty, self.picked = faulty, None
        self.answers = self.spoiled = 0

    async def _serve(self, reader, writer):
        while True:
            got = await read_message(reader)
            if got is None:
                return
            first, headers, body = got
            method, target, _ = first.split(" ")
            takes = False
            if target == "/sapphirehook/grant":
                call = json.loads(body)
                part = slice(call["from-rev"], call["to"] + 1)
                if self.faulty and self.picked is None and max(
                        self.until[part]) <= now():
                    self.picked = part
                takes = part == self.picked
                status, extra, text = self._grant(call)
            elif target == "/sapphirehook/release":
                status, extra, text = await self._release(json.loads(body))
            else:
                status, extra, text = await self._run(method, target, headers, body)
            self.answers += 1
            if (self.faulty and takes and status == 200
                    and self.spoiled + 1 <= SPOILED * self.answers):
                self.spoiled += 1
                self.spoiled_at = now()
                self.record(f"server {self.name} spoils its answer to a grant: 290 "
                            f"in place of 200 ({self.spoiled} of {self.answers})")
                status = 290
            writer.write(message(f"HTTP/1.1 {status} X", extra, text))
            await writer.drain()


class Owner:
    """The rule OWNER, as the servers of the service see it."""

    def __init__(self, record, servers):
        self.record, self.servers = record, servers
        self.broken = []
        self.since = {}

    def on_grant(self, server, first, last, fence):
        self.record(f"server {server.name} takes keys {first} to {last} with fence "
                    f"{fence}")

    async def watch(self):
        """Two servers that are up hold the same keys for over half a second."""
        while True:
            at = now()
            up = [one for one in self.servers if one.up]
            for i, one in enumerate(up):
                for other in up[i + 1:]:
                    pair = (one.name, other.name)
                    both = [n for n, (a, b) in
                            enumerate(zip(one.until[::64], other.until[::64]))
                            if a > at and b > at]
                    if not both:
                        self.since.pop(pair, None)
                    elif at > self.since.setdefault(pair, at) + 0.5:
                        key = both[0] * 64
                        text = (f"{pair[0]} and {pair[1]} have held the same keys for "
                                f"over half a second, {len(both) * 64} at least; key "
                                f"{key} with fences {one.fence[key]} and "
                                f"{other.fence[key]}")
                        self.broken.append(text)
                        self.record("BROKEN OWNER: " + text)
                        self.since[pair] = at + 3600
            await asyncio.sleep(0.05)


async def case(record, folder, trouble):
    store = Store(record)
    await store.open()
    store.put_config({"version": "00000001", "resources": [
        route("stock", "stock.example", "/stock/", "safe", "catalog-svc", 1000, 400),
        service("catalog-svc", True), limits()]})
    servers = []
    owner = Owner(record, servers)
    count = 0

    async def add():
        nonlocal count
        count += 1
        one = Faulty(store, record, f"i-{count:04d}", "catalog-svc", True, work=0.02)
        one.on_grant = owner.on_grant
        servers.append(one)
        await one.start()
        return one

    live = [await add() for _ in range(SERVERS)]
    gateways = [Gateway(record, folder, f"g{n}", store.listener.port)
                for n in range(3)]
    rng = random.Random(15)
    try:
        for one in gateways:
            await one.start()
        for one in gateways:
            if not await one.until_ready():
                return 2
        clients = Clients(record)
        served = 0

        async def client():
            nonlocal served
            while True:
                _, status = await clients.send(
                    rng.choice(gateways), "GET", "stock.example", "/stock/x",
                    key=rng.randrange(KEYS))
                served += status == 200
                await asyncio.sleep(0.03)

        for _ in range(CLIENTS):
            asyncio.ensure_future(client())
        asyncio.ensure_future(owner.watch())

        async def leave(old):
            live.remove(old)
            old.state = "draining"
            old.beating.cancel()
            old.beating = asyncio.ensure_future(old._beat())
            record(f"server {old.name} is draining")
            await asyncio.sleep(DRAIN_S + 0.5)
            old.up = False
            old.beating.cancel()
            store.remove(old.name)
            await old.listener.crash()
            record(f"server {old.name} has left")

        await asyncio.sleep(20)
        doses = []
        for _ in range(4):
            faulty = rng.sample(live, int(SERVERS * SHARE))
            for one in faulty:
                one.set_faulty(trouble)
            await asyncio.sleep(FIRST_LEAVES)
            first = [one for one in live if one not in faulty][0]
            asyncio.ensure_future(leave(first))
            await asyncio.sleep(GAP)
            # Which servers are taken away is the platform's choice: here the one
            # that has got keys last.
            second = max(faulty, key=lambda one: one.spoiled_at)
            asyncio.ensure_future(leave(second))
            await asyncio.sleep(GARBLE_S - FIRST_LEAVES - GAP)
            doses.append({one.name: f"{one.spoiled} of {one.answers}"
                          for one in faulty})
            for one in faulty:
                one.set_faulty(False)
            await asyncio.sleep(3)
            if owner.broken:
                break
            live.extend([await add(), await add()])
            await asyncio.sleep(10)
        record(f"{served} of {clients.number} requests served; spoiled: {doses}; "
               f"OWNER broken {len(owner.broken)} times")
        return 1 if owner.broken else 0 if served else 2
    finally:
        for one in gateways:
            await one.kill()


if __name__ == "__main__":
    run(case)
