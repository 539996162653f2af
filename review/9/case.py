"""Servers spoil the handover header of a few answers to releases."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from harness import Server, World, free_ports, route, run, service

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPOILED_SHARE = 0.02  # garble: x
TROUBLE_S, PAUSE_S = 5.0, 3.0  # garble: for_s is 5.5
MAX_ENDS = 3  # Fault: "end by themselves three times in the day"


class FaultyServer(Server):
    """Spoils at most SPOILED_SHARE of its answers while it is faulty: one byte of
    the value of a header is wrong."""

    faulty = False
    answers = spoiled = 0
    spoiled_at = 0.0

    async def handle(self, method, target, headers, body):
        answer = await super().handle(method, target, headers, body)
        self.answers += 1
        marker = b"X-Sapphirehook-Handover: "
        may_spoil = (
            self.faulty
            and self.spoiled + 1 <= SPOILED_SHARE * self.answers
            and time.monotonic() > self.spoiled_at + 0.3
        )
        if may_spoil and marker in answer:
            self.spoiled += 1
            self.spoiled_at = time.monotonic()
            at = answer.index(marker) + len(marker)
            answer = answer[:at] + b"\xc3" + answer[at + 1 :]
            self.record.write(f"server {self.name} spoils an answer to a release, {self.spoiled} of {self.answers} answers")
        return answer


async def case():
    world = World(os.path.dirname(os.path.abspath(__file__)))
    record = world.record
    ends, faulty, restarts = {}, set(), []

    async def restart(gateway):
        """The platform starts a process that has ended after a short delay."""
        await asyncio.sleep(1.5)
        gateway.start()
        gateway.down = False

    async def watch():
        while True:
            for gateway in world.gateways:
                code = gateway.process.poll()
                if code is not None and not getattr(gateway, "down", False):
                    gateway.down = True
                    ends[gateway.name] = ends.get(gateway.name, 0) + 1
                    record.write(f"gateway {gateway.name} has ended by itself with {code}, time {ends[gateway.name]}")
                    with open(gateway.log) as log:
                        for line in log.readlines()[-3:]:
                            if not line.startswith("{"):
                                record.write(f"  {line.strip()}")
                    restarts.append(asyncio.ensure_future(restart(gateway)))
            await asyncio.sleep(0.05)

    async def add_server():
        world.names += 1
        server = FaultyServer(world, f"i-{world.names:04d}", "catalog-svc", "zone-a", free_ports(1)[0])
        world.servers.append(server)
        await server.start()

    def broken():
        return sum(1 for count in ends.values() if count >= MAX_ENDS) >= 2

    try:
        await world.store.start()
        world.put_config(
            [route("r-lookup", "shop.example", "/lookup/", "safe", "catalog-svc")], [service("catalog-svc", True)]
        )
        for _ in range(4):
            await add_server()
        for _ in range(3):
            world.add_gateway()
        if not await world.until_ready():
            return 2
        watcher = asyncio.ensure_future(watch())
        traffic = asyncio.ensure_future(world.steady("shop.example", "/lookup/1", 120, 75))
        await asyncio.sleep(6)
        rounds = 0
        while rounds < 4 and not broken():
            rounds += 1
            if TROUBLE:
                record.write("trouble: half of the servers spoil 2 % of their answers (garble)")
                for server in world.servers[:2]:
                    server.faulty = True
                    faulty.add(server)
            record.write("plan: one of the servers is taken away (scale_in)")
            leaving = asyncio.ensure_future(world.servers[0].drain(TROUBLE_S + 3))
            await asyncio.sleep(TROUBLE_S)
            for server in world.servers[:2]:
                server.faulty = False
            await leaving
            world.servers.pop(0)
            record.write("plan: a server is added (scale_out)")
            await add_server()
            await asyncio.sleep(PAUSE_S)
        traffic.cancel()
        watcher.cancel()
        for server in faulty:
            print(f"{server.name} spoiled {server.spoiled} of {server.answers} answers")
        unanswered = sum(1 for answer in world.answers if answer[3] == 0)
        print(f"{len(world.answers)} requests, {unanswered} ended without an answer; {rounds} rounds")
        print(f"processes that ended by themselves: {ends}")
        print("Fault broken" if broken() else "Fault held")
        return 1 if broken() else 0
    finally:
        world.stop()


run(case())
