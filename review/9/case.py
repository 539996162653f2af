"""A server fails part of its requests with 503 after it has run them."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from harness import Server, World, answer_bytes, free_ports, route, run, service

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAILED_SHARE = 0.45  # srv_grey: x
TROUBLE_S = 6.5  # srv_grey: for_s


class GreyServer(Server):
    """Fails a share of its requests. Its answer does not state that it has not run
    them: it has no X-Sapphirehook-Not-Executed."""

    grey = False

    async def request(self, method, target, headers):
        answer = await super().request(method, target, headers)
        if self.grey and answer.startswith(b"HTTP/1.1 200") and random.random() < FAILED_SHARE:
            attempt = headers["x-sapphirehook-attempt-id"]
            self.record.write(f"server {self.name} fails {attempt} with 503 after it has run it")
            return answer_bytes(
                503,
                {"X-Sapphirehook-Attempt-Id": attempt, "X-Sapphirehook-Response-Signature": f"{attempt[:4]}.07.{self.name}"},
                b"ledger not reachable",
            )
        return answer


async def case():
    world = World(os.path.dirname(os.path.abspath(__file__)))
    try:
        await world.store.start()
        world.put_config(
            [route("r-charge", "shop.example", "/charge/", "unsafe", "billing-svc")], [service("billing-svc", False)]
        )
        for n in range(8):
            server = GreyServer(world, f"i-{n:04d}", "billing-svc", "zone-a", free_ports(1)[0], sharded=False)
            world.servers.append(server)
            await server.start()
        for _ in range(3):
            world.add_gateway()
        if not await world.until_ready():
            return 2
        traffic = asyncio.ensure_future(world.steady("shop.example", "/charge/1", 120, 27, "POST", [None]))
        await asyncio.sleep(3)
        for _ in range(3 if TROUBLE else 0):
            recent = [run[1] for run in world.runs[-200:]]
            server = max(world.servers, key=recent.count)  # one that gets requests
            world.record.write(f"trouble: 1 of 8 servers, {server.name}, fails part of its requests (srv_grey)")
            server.grey = True
            await asyncio.sleep(TROUBLE_S)
            server.grey = False
        await traffic
        ran = {}
        for _, server, attempt, _, _, _ in world.runs:
            ran.setdefault(attempt, []).append(server.name)
        false = [a for a in world.answers if a[3] in (408, 421, 429, 503) and a[1] in ran]
        for _, attempt, _, status, gateway, _ in false[:8]:
            world.record.write(f"REFUSED broken: {attempt} was answered {status} by {gateway} and has run at {ran[attempt]}")
        print(f"{len(world.answers)} requests, {len(false)} of them were answered as not run and have run")
        print("REFUSED broken" if false else "REFUSED held")
        return 1 if false else 0
    finally:
        world.stop()


run(case())
