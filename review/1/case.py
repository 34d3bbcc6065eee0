"""LOST: a job that is found stored, while the limit of its route is reached, is accepted and left."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "tools"))
import rig  # noqa: E402

HOST, PREFIX = "desk.example", "/desk/"
FINISH_S = rig.BOUNDS["finish_s"]
CUT_S, LOST_S, LOST_X = 5.5, 4.5, 0.35  # of the site's `core_cut` and `platform_lost`
TOKENS = 940  # of an item
QUEUE_MAX = 30 * TOKENS


class Job:
    def __init__(self, identity, items):
        self.identity = identity
        self.items = [f"{identity[:8]}{n:08x}" for n in range(items)]
        self.accepted, self.got = False, {}

    def unlisted(self):
        listed = {result["id"] for result in self.got.values()}
        return [i for i in self.items if i not in listed]


def config(version):
    return {"version": version,
            "routes": [{"name": "r-desk", "host": HOST, "path_prefix": PREFIX, "kind": "batch",
                        "timeout_ms": 15000, "slo_ms": 400, "priority": 2, "service": "llm",
                        "max_attempts": 3, "sticky": True, "resumable": True, "gap_slo_ms": 200,
                        "due_ms": 18000, "max_wait_s": 60.0, "queue_max": QUEUE_MAX}],
            "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 290,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 4, "kv_capacity": 72000, "kv_token_bytes": 131072,
                                     "link_mbps": 740000.0, "moves": False, "backups": False,
                                     "stride": 5, "queue_max": 12, "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def submit(deployment, gateway, job):
    body = json.dumps({"items": [rig.item(i, PREFIX) for i in job.items]}).encode()
    deployment.record(f"client sends job {job.identity}, {len(job.items)} items of {TOKENS} tokens, "
                      f"to {gateway.node}")
    answer = await rig.call(gateway.ports[0], "POST", PREFIX + "7c41e0",
                            {"Host": HOST, "X-Gatespool-Request-Id": job.identity,
                             "Content-Type": "application/json",
                             "X-Gatespool-Deadline-Ms": "4000"}, body)
    deployment.record(f"{gateway.node}: POST of job {job.identity} -> {answer.status} {answer.body}")
    job.accepted = job.accepted or answer.status == 202
    return answer.status


async def read(deployment, gateway, job):
    target = f"/lots/{job.identity}?since_rev={len(job.got)}"
    answer = await rig.call(gateway.ports[0], "GET", target,
                            {"Host": HOST, "X-Gatespool-Wait-Ms": "300"})
    results = answer.json()["results"] if answer.status == 200 else []
    for result in results:
        job.got[len(job.got)] = result
    deployment.record(f"{gateway.node}: GET {target} -> {answer.status}, {len(results)} results")


async def case(folder, trouble):
    deployment = rig.Rig(folder)
    record = deployment.record
    first, second = Job("5f09c3d1a27b8e46", 24), Job("2e4cd730c19bb4d7", 5)
    others = [Job("a1d7740be35c9f28", 1), Job("c6e00b7d59f2134a", 1)]
    jobs = [first, second, *others]
    try:
        await deployment.start(config(7), "llm", slots=4, queue=12, events=40, gap_s=0.1)
        await asyncio.sleep(3)  # contact_ms: all machines are in touch
        here, there, elsewhere = deployment.gateways
        # Four fifths of what may wait on the route.
        await submit(deployment, there, first)
        await asyncio.sleep(0.5)

        stored = asyncio.Event()
        began, writes_before, lost = time.monotonic(), deployment.store.writes, 0

        def on_write(method, target, body):
            # Called for each write that was done. The answer to one of them is lost.
            nonlocal lost
            if method == "POST" and second.identity.encode() in body:
                stored.set()
                if trouble and not lost:
                    lost += 1
                    return True
            return False

        deployment.store.loses = on_write
        if trouble:
            deployment.links[0].is_cut = True
            record(f"{here.node} is partitioned from the store for {CUT_S} s")
            asyncio.get_running_loop().call_later(
                CUT_S, lambda: setattr(deployment.links[0], "is_cut", False))
        sending = asyncio.create_task(submit(deployment, here, second))
        # Jobs of other clients come while that one is handed in.
        await asyncio.wait_for(stored.wait(), 5)
        await asyncio.gather(submit(deployment, elsewhere, others[0]),
                             submit(deployment, there, others[1]))
        await sending
        for _ in range(2):
            if not second.accepted:
                await asyncio.sleep(0.5)
                await submit(deployment, here, second)
        last_sent = time.monotonic()
        await asyncio.sleep(max(0.0, began + LOST_S - time.monotonic()))
        done = deployment.store.writes - writes_before
        record(f"lost answers: {lost} of {done} writes in {LOST_S} s, at most {LOST_X} of them")
        if lost > LOST_X * done and trouble:
            raise rig.CannotRun("too few writes for one lost answer")
        if not first.accepted or not second.accepted:
            raise rig.CannotRun("the jobs aren't accepted")

        # The clients read about twice a second, in their zones, until finish_s after the last send.
        zones = {first.identity: there, second.identity: here, others[0].identity: elsewhere,
                 others[1].identity: there}
        accepted = [job for job in jobs if job.accepted]
        while time.monotonic() < last_sent + FINISH_S + 5:
            for job in accepted:
                if job.unlisted():
                    await read(deployment, zones[job.identity], job)
            if not any(job.unlisted() for job in accepted):
                break
            await asyncio.sleep(0.4)

        held = True
        last_run = max(at for runner in deployment.runners for at, _, _ in runner.runs)
        calm_s = record.now() - last_run - 4.0  # a run takes 4 s
        run = {identity for runner in deployment.runners for _, identity, _ in runner.runs}
        for job in accepted:
            missing = job.unlisted()
            never = sum(1 for i in missing if i not in run)
            record(f"job {job.identity}: {len(job.got)} of {len(job.items)} listed, {never} never "
                   f"sent to a runner; no runner has worked for {calm_s:.1f} s")
            held = held and not (missing and calm_s >= 5)
            if missing and calm_s < 5:
                raise rig.CannotRun("the runners still work")
        # What a read at the other gateways changes, for the record only.
        if second.unlisted():
            for gateway in (there, elsewhere):
                await read(deployment, gateway, second)
            await asyncio.sleep(8)
            await read(deployment, here, second)
        return held
    finally:
        deployment.end()


rig.main(case, HERE)
