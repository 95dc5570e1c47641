"""Clients that leave early are given their tenant's allowance again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "rig"))
sys.dont_write_bytecode = True
import rig as r  # noqa: E402

KEY, OTHER_KEY = "key-of-tenant-one", "key-of-tenant-two"
RATE, BURST = 50, 50  # the allowance of the tenant
SENT_PER_S = 200  # what its 6 clients send together: four times its allowance
OTHERS_PER_S = 28  # what the 14 clients of another tenant send
LEAVE_S = 0.05
LOAD_S = 12
WINDOW_S, OVER, SLACK = 5, 0.25, 20  # quotaWindowS, quotaOver, quotaSlack


def head(key):
    return [("Authorization", f"Bearer {key}"), ("X-Dogwoodshore-Timeout-Ms", "5000")]


async def load(rig, per_s, key, leave_after):
    """Sends requests at a steady rate through all machines; returns how they ended."""
    sends, started, number = [], r.now(), 0
    while r.now() - started < LOAD_S:
        ip = rig.daemons[number % 4].ip
        sends.append(asyncio.create_task(rig.send(
            ip, "POST", f"/book/{number}", head(key), b"order", leave_after=leave_after)))
        number += 1
        await asyncio.sleep(max(0, started + number / per_s - r.now()))
    return await asyncio.gather(*sends)


async def play(rig, trouble):
    for _ in range(4):
        rig.add_machine("booking", slots=10)
    for upstream in rig.upstreams:
        upstream.work = lambda request: (0.2, 200, b"booked\n")
    await rig.start(r.configuration(
        3, r.service("booking"), r.route("book", "/book/", "booking", "unsafe"),
        r.tenant("one", [KEY], RATE, BURST), r.tenant("two", [OTHER_KEY])))
    leave_after = LEAVE_S if trouble else None
    answers, others = await asyncio.gather(
        load(rig, SENT_PER_S, KEY, leave_after), load(rig, OTHERS_PER_S, OTHER_KEY, None))
    served = sum(1 for answer in others if answer["status"] == 200)
    rig.record.add(f"tenant two: {served} of {len(others)} requests served")
    sent_at = {answer["id"]: answer["sent"] for answer in answers}
    # A request counts in a window if it was both sent and run in it.
    runs = sorted((sent_at[run["id"]], run["at"]) for u in rig.upstreams for run in u.runs
                  if run["id"] in sent_at)
    most = max(sum(1 for sent, at in runs if start <= sent and at < start + WINDOW_S)
               for start, _ in runs)
    bound = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
    rig.record.add(f"{len(runs)} of {len(answers)} requests ran in {LOAD_S} s; the most in "
                   f"{WINDOW_S} s were {most}, the bound is {bound}")
    return most <= bound


r.run_case(Path(__file__).parent, play)
