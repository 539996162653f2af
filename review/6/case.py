"""Clients that send further lookups before the first is answered give up at their
deadline while some servers are slow."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from harness import KEYS, Server, World, answer_bytes, read_body, read_head, route, run, service, free_ports

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLOW_X = 12  # srv_slow: x
TROUBLE_S = 9.0  # srv_slow: for_s
ROUNDS = 6
WORK_S = 0.1
ANSWER_BYTES = 9000
DEADLINE_S = 1.0
DEPTH = 16
STEP_S = 0.06
CLIENTS = 24


class LookupServer(Server):
    """Answers lookups with a body that names the request."""

    async def request(self, method, target, headers):
        answer = await super().request(method, target, headers)
        if answer.startswith(b"HTTP/1.1 200"):
            attempt = headers["x-sapphirehook-attempt-id"]
            body = (attempt * (ANSWER_BYTES // len(attempt))).encode()
            return answer_bytes(
                200,
                {"X-Sapphirehook-Attempt-Id": attempt, "X-Sapphirehook-Response-Signature": f"{attempt[:4]}.07.{self.name}"},
                body,
            )
        return answer


class Client:
    """Sends a lookup every 60 ms, also while earlier ones are unanswered, and
    closes the connection when the oldest has reached its deadline."""

    def __init__(self, world):
        self.world = world
        self.foreign = []
        self.cut = []
        self.answered = self.left = 0

    async def work(self, until):
        while time.monotonic() < until:
            gateway = random.choice(self.world.gateways)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.frontend)
                await self.use(reader, writer, until, gateway)
                writer.close()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.02)

    async def use(self, reader, writer, until, gateway):
        self.said_close = False
        pending, sent = [], 0  # (attempt, deadline, whether the connection was in use before)
        receiving = asyncio.ensure_future(self.receive(reader, pending, gateway))
        try:
            while time.monotonic() < until and not receiving.done():
                if pending and time.monotonic() >= pending[0][1]:
                    self.left += 1
                    self.world.record.write(f"client leaves {gateway.name}, unanswered {[p[0] for p in pending]}")
                    return
                if len(pending) < DEPTH:
                    attempt = "%016x" % random.getrandbits(64)
                    pending.append((attempt, time.monotonic() + DEADLINE_S, sent > 0))
                    sent += 1
                    writer.write(
                        (
                            f"GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Sapphirehook-Attempt-Id: {attempt}\r\n"
                            f"X-Sapphirehook-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                            f"X-Sapphirehook-Shard-Key: {random.randrange(KEYS)}\r\n\r\n"
                        ).encode()
                    )
                wait = STEP_S
                if pending:
                    wait = min(wait, max(pending[0][1] - time.monotonic(), 0.0))
                await asyncio.wait([receiving], timeout=wait)
            if not receiving.done() or self.said_close:
                return
            # The gateway has closed the connection, or it broke.
            now = time.monotonic()
            self.cut += [(attempt, gateway.name, kept) for attempt, deadline, kept in pending if now < deadline]
        finally:
            receiving.cancel()

    async def receive(self, reader, pending, gateway):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            body = await read_body(reader, head[1])
            status = int(head[0].split(" ")[1])
            attempt = pending[0][0] if pending else None
            if pending:
                pending.pop(0)
            self.answered += 1
            self.world.answers.append((time.monotonic(), attempt, None, status, gateway.name, None))
            got = head[1].get("x-sapphirehook-attempt-id")
            if status == 200 and (got != attempt or not body.startswith((attempt or "-").encode())):
                self.foreign.append((attempt, got, gateway.name))
                self.world.record.write(f"MIXED broken: {attempt} at {gateway.name} got the answer to {got}")
            if head[1].get("connection") == "close":
                self.said_close = True
                return


async def case():
    world = World(os.path.dirname(os.path.abspath(__file__)))
    try:
        await world.store.start()
        world.put_config(
            [route("r-lookup", "shop.example", "/lookup/", "safe", "catalog-svc")], [service("catalog-svc", True)]
        )
        for n in range(10):
            server = LookupServer(world, f"i-{n:04d}", "catalog-svc", "zone-a", free_ports(1)[0], work_s=WORK_S)
            world.servers.append(server)
            await server.start()
        for _ in range(2):
            world.add_gateway()
        if not await world.until_ready():
            return 2
        clients = [Client(world) for _ in range(CLIENTS)]
        until = time.monotonic() + 3 + ROUNDS * (TROUBLE_S + 2)
        work = [asyncio.ensure_future(client.work(until)) for client in clients]
        await asyncio.sleep(3)
        for _ in range(ROUNDS if TROUBLE else 0):
            world.record.write("trouble: 4 of 10 servers are 12 times slower (srv_slow)")
            slow = random.sample(world.servers, 4)
            for server in slow:
                server.work_s = WORK_S * SLOW_X
            await asyncio.sleep(TROUBLE_S)
            for server in slow:
                server.work_s = WORK_S
            await asyncio.sleep(2)
        await asyncio.gather(*work)
        ran = {run[2] for run in world.runs}
        lost = [c for client in clients for c in client.cut if c[2] and c[0] in ran]
        foreign = [f for client in clients for f in client.foreign]
        ends = {gateway.name: gateway.process.poll() for gateway in world.gateways}
        for name, code in ends.items():
            if code is not None:
                world.record.write(f"gateway {name} has ended by itself with {code}")
        for attempt, name, _ in lost:
            world.record.write(f"LOST broken: {attempt} ran at a sound server, and {name} closed its kept connection without an answer")
        statuses = {}
        for answer in world.answers:
            statuses[answer[3]] = statuses.get(answer[3], 0) + 1
        print(f"answers by status {statuses}; clients left {sum(c.left for c in clients)} times at a deadline")
        print(f"processes that ended by themselves: {ends}")
        print(f"MIXED {'broken' if foreign else 'held'}: {len(foreign)} answers belong to another request")
        print(
            f"LOST {'broken' if len(lost) > 3 else 'held'}: {len(lost)} requests from kept connections were passed on "
            "to a sound server and ended without an answer"
        )
        return 1 if foreign or len(lost) > 3 else 0
    finally:
        world.stop()


run(case())
