"""Drill of the store shortly after a change of the leader by planned work."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from harness import World, route, run, service

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def case():
    world = World(os.path.dirname(os.path.abspath(__file__)))
    try:
        await world.store.start()
        world.put_config(
            [route("r-lookup", "shop.example", "/lookup/", "safe", "catalog-svc")], [service("catalog-svc", True)]
        )
        for _ in range(4):
            await world.add_server("catalog-svc")
        for _ in range(3):
            world.add_gateway()
        if not await world.until_ready():
            return 2
        traffic = asyncio.ensure_future(world.steady("shop.example", "/lookup/1", 60, 25))
        await asyncio.sleep(5)
        leader = await world.leader()
        if leader is None:
            return 2
        stopped_at = time.monotonic()
        leader.leaving = True
        leader.signal(signal.SIGTERM)  # planned work: another machine claims leadership
        await asyncio.sleep(1.5)
        world.record.write("plan: an empty server is added (scale_out)")
        if await world.moved(await world.add_server("catalog-svc")) is None:
            return 2
        await asyncio.sleep(2.5)
        if TROUBLE:
            away_s = 1.0
            copy_age_s = time.monotonic() + away_s - stopped_at + 0.5  # a copy from before the stop
            await world.store.drill(away_s, copy_age_s, world.put_config_again)
        await asyncio.sleep(4)
        world.record.write("plan: an empty server is added (scale_out)")
        await world.add_server("catalog-svc")
        await traffic
        return world.judge_owners("catalog-svc")
    finally:
        world.stop()


run(case())
