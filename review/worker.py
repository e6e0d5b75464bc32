"""Stand-in of a worker of the users' platform, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import json
import time

from web import Server

ENDS_PER_ANSWER = 500
CHECKPOINT_S = 2.0
STOP_S = 0.05


class Worker:
    """Runs tasks; ``run_seconds(task, spec)`` says how long one takes."""

    def __init__(self, name, store, record, run_seconds, capacity, max_hold_s):
        self.name = name
        self.record = record
        self._store = store
        self._run_seconds = run_seconds
        self._capacity = capacity
        self._max_hold_s = max_hold_s
        self._server = Server(self._handle)
        self._alive = False
        self._changed = asyncio.Event()
        self._tasks = []
        self.need = {}  # task prefix (ID.K.STEP) -> its cpu, for the room
        self.steps = {}
        # Every start that was carried out and every end, in order:
        # (time, "start" or "end", task, run, how, ack time or None)
        self.starts = []
        self.ends = []
        self.acked_at = {}  # (born, number) -> time

    async def start(self):
        self.born = int(time.time() * 1000)
        self._clock0 = time.monotonic()
        self._token = 0
        self._running = {}  # task -> [run, started, ends_at, saved, spec]
        self._finished = []
        self._next_end = 1
        self._highest = {}
        self._lease = 0.0
        self._seq = 0
        await self._server.start()
        self._alive = True
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def stop(self):
        self._alive = False
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    @property
    def running_count(self):
        return len(self._running)

    @property
    def unacknowledged(self):
        return len(self._finished)

    def clock_ms(self):
        return int((time.monotonic() - self._clock0) * 1000)

    async def _beat(self):
        while True:
            self._seq += 1
            await self._store.put(
                "servers",
                self.name,
                {
                    "service": "desk",
                    "address": self._server.address,
                    "zone": "z1",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "seq": self._seq,
                    "born": self.born,
                    "capacity": self._capacity,
                    "labels": ["a", "r1"],
                },
            )
            await asyncio.sleep(1.5)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self):
        now = time.monotonic()
        if self._running and self.clock_ms() > self._lease:
            for task in list(self._running):
                self._end(task, "lapsed")
            return
        for task, (_, _, ends_at, _, _) in list(self._running.items()):
            if now >= ends_at:
                self._end(task, "done")

    def _saved(self, item, now):
        """Return the checkpoint: a new value each ``CHECKPOINT_S`` of work."""
        done = int((now - item[1]) / CHECKPOINT_S)
        return f"{int(done * CHECKPOINT_S * 1000):08x}7a21d94b" if done else item[3]

    def _end(self, task, how):
        item = self._running.pop(task)
        now = time.monotonic()
        self.ends.append((time.time(), task, item[0], how, self.born, self._next_end))
        self._finished.append(
            [self._next_end, task, item[0], how, self._saved(item, now)]
        )
        self._next_end += 1
        self._changed.set()

    def _answer(self, status=200, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    async def _handle(self, method, path, query, headers, body):
        wanted = headers.get("carawaystep-target-instance")
        if wanted not in (None, self.name):
            return 421, None
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        self._advance()
        if path == "/api/run-start":
            return self._start(call)
        if path == "/api/run-stop":
            return await self._stop(call)
        if path == "/api/hold":
            return await self._hold(call)
        if path == "/api/pace":
            return self._answer()
        return 404, None

    def _extend(self, deadline_ms):
        limit = self.clock_ms() + self._max_hold_s * 1000
        self._lease = max(self._lease, min(deadline_ms, limit))

    def _start(self, call):
        task, run = call["task"], call["run"]
        if task in self._running and self._running[task][0] == run:
            return self._answer()
        if call["deadline_ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(call["deadline_ms"])
        if run <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        step = self.steps.get(tuple(task.split(".")[0::2]), {})
        used = {"cpu": 0, "mem_mb": 0}
        for other in self._running:
            needs = self.steps.get(tuple(other.split(".")[0::2]), {})
            for key in used:
                used[key] += needs.get(key, 0)
        if any(used[k] + step.get(k, 0) > self._capacity[k] for k in used):
            return self._answer(409, reason="room")
        now = time.monotonic()
        seconds = self._run_seconds(task, call["spec"])
        saved = call.get("checkpoint", "")
        self._highest[task] = run
        self._running[task] = [run, now, now + seconds, saved, call["spec"]]
        self.starts.append((time.time(), task, run, self.born))
        return self._answer()

    async def _stop(self, call):
        task, run = call["task"], call["run"]
        self._highest[task] = max(run, self._highest.get(task, 0))
        if task in self._running and self._running[task][0] == run:
            await asyncio.sleep(STOP_S)
            if task in self._running and self._running[task][0] == run:
                self._end(task, "stopped")
        return self._answer()

    async def _hold(self, call):
        acked = call.get("ack_cursor", 0)
        now = time.time()
        for row in self._finished:
            if row[0] <= acked:
                self.acked_at[self.born, row[0]] = now
        self._finished = [row for row in self._finished if row[0] > acked]
        if "deadline_ms" in call:
            self._extend(call["deadline_ms"])
        until = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000
        while not self._finished and time.monotonic() < until:
            self._changed.clear()
            try:
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    await self._changed.wait()
            except TimeoutError:
                pass
        clock = time.monotonic()
        running = []
        for task, item in self._running.items():
            share = (clock - item[1]) / max(0.001, item[2] - item[1])
            running.append(
                [task, item[0], self._saved(item, clock), min(100, int(100 * share)), 20]
            )
        return self._answer(
            running=running, finished=self._finished[:ENDS_PER_ANSWER]
        )
