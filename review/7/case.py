"""Some runners hand out wrong bytes in a few of their answers about prompts that they read: does another runner get a
request that nobody sent?

UNASKED is broken when a runner runs a request whose id no requester sent.
"""

import asyncio
import itertools
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import installation as kit  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 2
PREFILL_RUNNERS = 4
DECODE_RUNNERS = 2
# `garble`: at most 0.5 of the runners spoil at most 0.05 of their answers, for at most 6.7 s.
FAULTY_RUNNERS = 3
SPOILT_SHARE = 0.05
REQUESTS = 240
PAUSE_S = 0.025
PROMPT_TOKENS = 17020
EVENTS = 3
# What the faulty runner writes in place of a handle: a second request behind the first one.
WRONG_HANDLE = (
    "3fa09c41b7d5\r\nContent-Length: 0\r\n\r\n"
    "POST /ask/nobody HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: 00000000deadbeef\r\nX-Model: m"
)

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-ask",
            "host": "desk.example",
            "path_prefix": "/ask/",
            "type": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": "llm",
            "max_attempts": 1,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 200,
        }
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_connections": 720,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 451819,
                "kv_bytes": 163840,
                "link_mbps": 1600000.0,
                "kv_retention_s": 5.0,
                "role_switch_s": 3.0,
                "models": [{"name": "m"}],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class Runs:
    """What the runners did."""

    def __init__(self, record):
        self.record = record
        self.handles = set()  # prompts that were read and not taken
        self.begun = []  # ids of the requests that ran
        self.faulty = set()  # ids of the runners that hand out wrong bytes
        self.answers = 0  # of the faulty runners
        self.spoilt = 0
        self._next = itertools.count(1)

    def spoils(self, runner):
        """Returns whether this answer is spoilt; never more than the share of the faulty runners' answers."""
        if runner.id not in self.faulty:
            return False
        self.answers += 1
        if self.spoilt + 1 > SPOILT_SHARE * self.answers:
            return False
        self.spoilt += 1
        return True

    async def serve(self, runner, request, writer):
        """A sound runner, but for the answers of the faulty one about prompts that it read."""
        fields = request["fields"]
        number = fields.get("x-attempt-id", "")
        if fields.get("x-serving-stage") == "prefill":
            await asyncio.sleep(0.02)
            handle = f"{next(self._next):012x}"
            self.handles.add(f"{runner.address}/{handle}")
            if self.spoils(runner):
                handle = WRONG_HANDLE
                self.record.line(f"{runner.id} (faulty) read the prompt of {number} and answers with wrong bytes")
            answer = {"kv_handle": handle, "token_count": PROMPT_TOKENS, "version": 1}
            echoed = [("X-Attempt-Id", number), ("Content-Type", "application/json")]
            writer.write(kit.response(200, echoed, json.dumps(answer).encode()))
            return
        source = fields.get("x-kv-source", "")
        if source and source not in self.handles:
            self.record.line(f"{runner.id} refuses {number}: no such handle")
            writer.write(kit.response(503, [("X-Attempt-Id", number), ("X-Not-Executed", "1")]))
            return
        self.handles.discard(source)
        self.begun.append(number)
        self.record.line(f"{runner.id} runs {number} ({request['method']} {request['target']})")
        events = "".join(f"id: {event}\ndata: token\n\n" for event in range(1, EVENTS + 1))
        fields = runner.proof(request) + [("Content-Type", "text/event-stream")]
        writer.write(kit.response(200, fields, events.encode()))


def ask(number):
    listed = f"a{number:05x}:13300,b{number:05x}:3720"
    return (
        "POST /ask/1 HTTP/1.1\r\nHost: desk.example\r\n"
        f"X-Attempt-Id: {number:016x}\r\nX-Model: m\r\nX-Token-Count: {PROMPT_TOKENS},{EVENTS}\r\n"
        f"X-Prefix-Hash: {listed}\r\nX-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nhello"
    ).encode()


async def main(installation):
    record = kit.Record(HERE / "record.txt")
    record.line(f"trouble: {TROUBLE}")
    runs = Runs(record)
    await installation.configure(CONFIG)
    for place in range(PREFILL_RUNNERS + DECODE_RUNNERS):
        stage = "prefill" if place < PREFILL_RUNNERS else "decode"
        runner = await installation.add_runner("llm", runs.serve, stage=stage)
        if place < FAULTY_RUNNERS and TROUBLE:
            runs.faulty.add(runner.id)
    for place in range(NODES):
        await installation.add_node(f"edge-{place}")
    for node in installation.nodes:
        await node.wait_ready()
    await asyncio.sleep(2)
    sent = set()
    calls = []

    async def send(number):
        name = f"{number:016x}"
        answer = await kit.call(installation.nodes[number % NODES].front, ask(number), 8)
        record.line(f"{name} sent to edge-{number % NODES}, answered: {answer[0] if answer else 'nothing'}")

    for number in range(1, REQUESTS + 1):
        sent.add(f"{number:016x}")
        calls.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*calls)
    record.line(f"faulty runners spoilt {runs.spoilt} of {runs.answers} answers")
    unasked = [name for name in runs.begun if name not in sent]
    record.line(f"{len(sent)} requests sent, {len(runs.begun)} run, {len(unasked)} run that nobody sent")
    if not runs.begun:
        return 2
    record.line("UNASKED is broken" if unasked else "the rule held")
    return 1 if unasked else 0


sys.exit(kit.run(main))
