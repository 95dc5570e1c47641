"""Connections that clients leave idle beyond idleTimeoutMs fill up a daemon."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "rig"))
sys.dont_write_bytecode = True
import rig as r  # noqa: E402

KEY = "key-of-tenant-one"
HEAD = [("Authorization", f"Bearer {KEY}"), ("X-Dogwoodshore-Timeout-Ms", "4000")]
CONNECTIONS, PER_S = 3100, 100
IDLE_S = 5.0  # idleTimeoutMs
STABLE_S = 3.0  # stableWindowMs
TRIERS = 8


async def play(rig, trouble):
    for _ in range(2):
        rig.add_machine("planner", slots=40)
    config = r.configuration(
        3, r.service("planner"), r.route("plan", "/plan/", "planner", "safe"),
        r.tenant("one", [KEY]))
    config["resources"][-1]["spec"]["idleTimeoutMs"] = int(IDLE_S * 1000)
    for upstream in rig.upstreams:
        upstream.work = lambda request: (0.005, 200, b"plan\n")
    await rig.start(config)
    front = rig.daemons[0]
    kept, started = [], r.now()

    async def client():
        connection = await rig.connect(front.ip)
        await rig.send(front.ip, "GET", "/plan/x", HEAD, connection=connection, quiet=True)
        if trouble:
            kept.append(connection)  # the daemon may close it when it has been idle too long
        else:
            connection[1].close()

    clients = []
    for number in range(CONNECTIONS):
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(max(0, started + number / PER_S - r.now()))
    await asyncio.wait(clients, timeout=5)
    rig.record.add(f"{len(kept)} connections were left open after one request each")
    await asyncio.sleep(2 * IDLE_S)
    ready = await front.is_ready()
    tries = [rig.send(front.ip, "GET", "/plan/new", HEAD, timeout=STABLE_S + 0.5)
             for _ in range(TRIERS)]
    answers = await asyncio.gather(*tries)
    ready = ready and await front.is_ready()
    taken = sum(1 for answer in answers if answer["status"] is not None)
    rig.record.add(f"{2 * IDLE_S:.0f} s later, {taken} of {TRIERS} new clients are answered "
                   f"within {STABLE_S + 0.5} s; the daemon says that it is ready: {ready}")
    return not (ready and taken == 0)


r.run_case(Path(__file__).parent, play)
