"""An upstream stops in the middle of its answers to requests that may run once."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "rig"))
sys.dont_write_bytecode = True
import rig as r  # noqa: E402

KEY = "key-of-tenant-one"
TIMEOUT_MS, BUDGET_MS = 4000, 10_000
HEAD = [("Authorization", f"Bearer {KEY}"), ("X-Dogwoodshore-Timeout-Ms", str(BUDGET_MS))]
UPSTREAMS, SLOTS = 7, 10  # one of seven is faulty: a share of 0.143
FAULTY_SHARE = 0.7  # of the answers of the faulty upstream
RATE, LOAD_S = 60, 4  # requests a second, and for how long


class HalfUpstream(r.Upstream):
    """Sends the head and the first half of some answers, and then nothing more."""

    stops = False

    async def send(self, writer, status, headers, data):
        if status == 200 and self.stops and random.random() < FAULTY_SHARE:
            head = r.encode_head("HTTP/1.1 200 X", headers + [("Content-Length", len(data))])
            writer.write(head + data[:len(data) // 2])
            await writer.drain()
            self.rig.record.add(f"{self.id} stops in the middle of an answer")
            await asyncio.sleep(60)
        return await super().send(writer, status, headers, data)


async def play(rig, trouble):
    for _ in range(UPSTREAMS):
        rig.add_machine("booking", SLOTS)
    for upstream in rig.upstreams:
        upstream.__class__ = HalfUpstream
        upstream.work = lambda request: (0.3, 200, b"b" * 1500)
    await rig.start(r.configuration(
        3, r.service("booking"),
        r.route("book", "/book/", "booking", "unsafe", timeout_ms=TIMEOUT_MS),
        r.tenant("one", [KEY])))
    for number in range(2 * UPSTREAMS):  # warms up
        ip = rig.daemons[number % UPSTREAMS].ip
        await rig.send(ip, "POST", f"/book/warm-{number}", HEAD, b"order")
    rig.upstreams[0].stops = trouble
    sends = []
    for number in range(RATE * LOAD_S):
        ip = rig.daemons[number % UPSTREAMS].ip
        send = rig.send(ip, "POST", f"/book/{number}", HEAD, b"order")
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(1 / RATE)
    answers = await asyncio.gather(*sends)
    late = [a for a in answers if a["time"] > TIMEOUT_MS / 1000]
    open_still = [a for a in late if a["time"] > TIMEOUT_MS / 1000 + 0.5]
    rig.record.add(f"{len(late)} of {len(answers)} requests lasted longer than timeoutMs, "
                   f"{len(open_still)} of them without a final answer 0.5 s later; "
                   f"the longest took {max(a['time'] for a in answers):.2f} s")
    return not (len(open_still) >= 8 and len(open_still) > len(late) / 4)


r.run_case(Path(__file__).parent, play)
