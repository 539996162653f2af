"""Drill of the store between a move of keys and a planned stop of the leader."""

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
            await world.add_server("catalog-svc", work_s=0.1)
        for _ in range(3):
            world.add_gateway()
        if not await world.until_ready():
            return 2
        traffic = asyncio.ensure_future(world.steady("shop.example", "/lookup/1", 120, 26))
        await asyncio.sleep(5)
        world.record.write("traffic: 200 adjacent keys get 43 % of the requests")
        world.busy_keys, world.busy_share = range(30000, 30200), 0.43
        moved_at = await world.released(time.monotonic())
        if moved_at is None:
            return 2
        await asyncio.sleep(1.5)
        world.record.write("keys have moved; traffic: all keys are alike again")
        world.busy_share = 0.0
        await asyncio.sleep(2)
        if TROUBLE:
            away_s = 1.0
            copy_age_s = time.monotonic() + away_s - moved_at + 1.0  # a copy from 1 s before the move
            await world.store.drill(away_s, copy_age_s, world.put_config_again)
        await asyncio.sleep(5)
        leader = await world.leader()
        if leader is None:
            return 2
        leader.leaving = True
        leader.signal(signal.SIGTERM)  # planned work: one machine is stopped
        await traffic
        return world.judge_owners("catalog-svc")
    finally:
        world.stop()


run(case())
