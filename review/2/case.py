"""LOST: the operator removes the route of batch jobs that are open."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "tools"))
import rig  # noqa: E402

SETTLE_S = rig.BOUNDS["settle_ms"] / 1000
APPLY_S = rig.BOUNDS["config_apply_ms"] / 1000
FINISH_S = rig.BOUNDS["finish_s"]
MAX_WAIT_S = 60.0
ITEMS_A_JOB = 30


class Job:
    """A batch job of a client; `got` holds the results read, by position."""

    def __init__(self, identity, host, prefix):
        self.identity, self.host, self.prefix = identity, host, prefix
        self.items = [f"{identity[:8]}{n:08x}" for n in range(ITEMS_A_JOB)]
        self.got, self.gone, self.accepted = {}, [], 0.0

    def unlisted(self):
        listed = {result["id"] for result in self.got.values()}
        return [i for i in self.items if i not in listed]


def config(version, has_batch_routes):
    def stream(name, host, prefix):
        return {"name": name, "host": host, "path_prefix": prefix, "kind": "stream",
                "timeout_ms": 5000, "slo_ms": 300, "priority": 0, "service": "llm",
                "max_attempts": 2, "sticky": True, "resumable": True, "gap_slo_ms": 200}

    def batch(name, host, prefix):
        return {"name": name, "host": host, "path_prefix": prefix, "kind": "batch",
                "timeout_ms": 15000, "slo_ms": 400, "priority": 2, "service": "llm",
                "max_attempts": 3, "sticky": True, "resumable": True, "gap_slo_ms": 200,
                "due_ms": 18000, "max_wait_s": MAX_WAIT_S, "queue_max": 1400000}

    routes = [stream("r-ask", "ask.example", "/ask/"), stream("r-mixed", "mixed.example", "/ask/")]
    if has_batch_routes:
        routes += [batch("r-desk", "desk.example", "/desk/"),
                   batch("r-night", "mixed.example", "/night/")]
    return {"version": version, "routes": routes,
            "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 290,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 2, "kv_capacity": 72000, "kv_token_bytes": 131072,
                                     "link_mbps": 740000.0, "moves": False, "backups": False,
                                     "stride": 5, "queue_max": 12, "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def submit(deployment, gateway, job):
    body = json.dumps({"items": [rig.item(i, job.prefix) for i in job.items]}).encode()
    answer = await rig.call(gateway.ports[0], "POST", job.prefix + "7c41e0",
                            {"Host": job.host, "X-Gatespool-Request-Id": job.identity,
                             "Content-Type": "application/json",
                             "X-Gatespool-Deadline-Ms": "4000"}, body)
    job.accepted = time.monotonic()
    deployment.record(f"{gateway.node}: POST of job {job.identity} with {len(job.items)} items, "
                      f"host {job.host} -> {answer.status}")
    if answer.status != 202:
        raise rig.CannotRun("a job isn't accepted")


def judge(job, gateway, what, status):
    """LOST, first and second paragraph under 'Batch jobs'."""
    if status in (404, 410) and time.monotonic() > job.accepted + SETTLE_S:
        job.gone.append(f"{gateway.node} answers {status} for {what}")


async def read(deployment, gateway, job, since):
    target = f"/lots/{job.identity}?since_rev={since}"
    answer = await rig.call(gateway.ports[0], "GET", target,
                            {"Host": job.host, "X-Gatespool-Wait-Ms": "300"})
    shown = answer.body
    if answer.status == 200:
        results = answer.json()["results"]
        shown = f"{len(results)} results"
        for position, result in enumerate(results, since):
            job.got[position] = result
    judge(job, gateway, "the job", answer.status)
    deployment.record(f"{gateway.node}: GET {target} -> {answer.status} {shown}")


async def case(folder, trouble):
    deployment = rig.Rig(folder)
    record = deployment.record
    # Of the first host nothing is left by the change, of the second one another route.
    jobs = [Job("7c41e09b52d6a3f8", "desk.example", "/desk/"),
            Job("90b2d44e1f6c8a73", "mixed.example", "/night/")]
    try:
        await deployment.start(config(7, True), "llm", slots=2, queue=6, events=20, gap_s=0.05)
        await asyncio.sleep(3)  # contact_ms: all machines are in touch
        for job in jobs:
            await submit(deployment, deployment.gateways[0], job)

        # Until some results have been read.
        until = time.monotonic() + 15
        while not jobs[0].got and time.monotonic() < until:
            for job in jobs:
                await read(deployment, deployment.gateways[0], job, len(job.got))
            await asyncio.sleep(0.5)
        if not jobs[0].got or not all(job.unlisted() for job in jobs):
            raise rig.CannotRun("the jobs aren't under way when the configuration changes")
        for job in jobs:
            record(f"job {job.identity}: {len(job.got)} of {len(job.items)} results were read")

        # The operator's change: without the routes of the jobs, or with all as it was.
        await deployment.apply(config(8, not trouble))
        changed = time.monotonic()
        await asyncio.sleep(APPLY_S)

        # finish_s, in which the clients read at each machine in turn.
        turn = 0
        while time.monotonic() < changed + FINISH_S and any(job.unlisted() for job in jobs):
            gateway = deployment.gateways[turn % len(deployment.gateways)]
            turn += 1
            for job in jobs:
                await read(deployment, gateway, job, len(job.got))
            await asyncio.sleep(0.4)

        # Then the jobs are read from the start, and bodies are requested, at each machine.
        for job in jobs:
            missing = job.unlisted()
            for gateway in deployment.gateways:
                await read(deployment, gateway, job, 0)
                if missing:
                    target = f"/items/{job.identity}?id={missing[-1]}"
                    answer = await rig.call(gateway.ports[0], "GET", target, {"Host": job.host})
                    record(f"{gateway.node}: GET {target} -> {answer.status}")
                    judge(job, gateway, "an item's body", answer.status)

        # LOST, third paragraph: unlisted items though all has been calm.
        held = True
        last_run = max(at for runner in deployment.runners for at, _, _ in runner.runs)
        calm_s = record.now() - last_run - 1.0  # a run takes 1 s
        for job in jobs:
            missing = job.unlisted()
            never = len(missing) if calm_s >= 5 else 0
            states = sorted({result["state"] for result in job.got.values()})
            whole = all(result["message"] == deployment.runners[0].text(result["id"])
                        for result in job.got.values() if result["state"] == "complete")
            record(f"job {job.identity}: {len(job.got)} of {len(job.items)} listed, {states}, "
                   f"texts whole: {whole}; answers 404 or 410: {len(job.gone)}"
                   f"{', the first: ' + job.gone[0] if job.gone else ''}; unlisted though no "
                   f"runner works since {calm_s:.1f} s: {never}")
            held = held and whole and not job.gone and not never
            if not trouble and (missing or states != ["complete"]):
                raise rig.CannotRun("without the disruption the job isn't done in time")
        return held
    finally:
        deployment.end()


rig.main(case, HERE)
