"""A surplus answer of 500 that comes in the place where the next answer is due."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tier2"))
import tier as t

USUAL_JOBS, ITEMS, MAX_ATTEMPTS, EVENTS = 2, 200, 3, 8
# Batch jobs of one item each are sent until so many have failed: an item that comes to the first of three backends (a
# share of 0.33) fails in its first two runs with 500, and succeeds in its third. With the disruption this backend sends
# the first of the two answers once more, as a surplus answer: 10 of more than 400 answers (0.03).
FAILING_JOBS = 10
GARBLING = 1


class Model(t.Backend):
    fails = False
    garbles = False
    failing = set()
    runs = {}
    answers = 0
    surplus_sent = 0

    async def handle(self, connection, message):
        ident = message.headers["request-id"]
        run = Model.runs[ident] = Model.runs.get(ident, 0) + 1
        if run == 1 and ident.startswith("f") and self.fails:
            Model.failing.add(ident)
        failing = ident in Model.failing and run <= 2
        for answer in connection.surplus:
            Model.surplus_sent += 1
            self.record(f"backend {self.ident}: sends the surplus answer again, before the answer to {ident}")
            connection.writer.write(answer)
        connection.surplus.clear()
        Model.answers += 1
        if failing:
            # The work takes a while before it fails, as work of a model does.
            await asyncio.sleep(0.05 if run == 1 else 0.7)
            answer = (f"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {ident}\r\nResponse-Seal: {self.seal()}\r\n"
                      "Content-Length: 0\r\n\r\n").encode()
            self.record(f"backend {self.ident}: item {ident} run {run}: 500")
            connection.writer.write(answer)
            if self.garbles and run == 1:
                connection.surplus.append(answer)
            return
        connection.begin_stream(ident, self.seal())
        for number in range(int(message.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            connection.chunk(t.event(number, f"{ident}.{number}"))
            await connection.writer.drain()
            await asyncio.sleep(0.02)
        connection.end_stream()
        self.record(f"backend {self.ident}: item {ident} run {run}: 200, whole")


async def run(tier, record, trouble):
    backends = [Model(record, f"i-{z}", "llm", z, (f"{tier.prefix}.{31 + i}", tier.base + 1)) for i, z in enumerate(t.ZONES)]
    for backend in backends[:GARBLING]:
        backend.fails = True
        backend.garbles = trouble
    await tier.start(backends, [t.batch_route("llm", **{"max-attempts": MAX_ATTEMPTS})], [t.engine_service("llm")])
    for _ in range(USUAL_JOBS):
        usual = "a" + t.hex_id()[1:]
        if not await t.submit(tier, usual, [t.item(f"{usual}{n:04x}", 1200, 400) for n in range(ITEMS)], 20):
            raise t.CannotRun("a batch job was not accepted")
        results, _ = await t.read_all(tier, usual, 40)
        if len(results) != ITEMS:
            raise t.CannotRun("a batch job did not finish")
    dead = []
    while len(Model.failing) < FAILING_JOBS and len(Model.runs) < USUAL_JOBS * ITEMS + 60:
        job = "f" + t.hex_id()[1:]
        if not await t.submit(tier, job, [t.item(f"{job}0000", 1200, 400)], 20):
            raise t.CannotRun("a batch job was not accepted")
        results, _ = await t.read_all(tier, job, 15)
        if len(results) != 1:
            raise t.CannotRun("a batch job did not finish")
        dead += [r["id"] for r in results if r["state"] != "completed"]
        await asyncio.sleep(0.3)
    record.say(f"{len(Model.failing)} items failed twice: {len(dead)} dead; {Model.answers} answers, {Model.surplus_sent} surplus")
    for ident in dead:
        record.say(f"item {ident}: dead_letter, {Model.runs[ident]} runs, of which 2 were answered with 500, the third with 200")
    return bool(dead)


t.main(os.path.dirname(os.path.abspath(__file__)), run)
