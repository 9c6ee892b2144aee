"""A small installation on loopback addresses: the platform's store, runners, requesters and gateway processes.

All stand-ins run in one asyncio loop. The gateways are separate processes, started with the command of the deploy
file. Times are of the real clock, in seconds. Nothing here is thread safe.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = ["target/currantspar", "gateway"]
# Each run has a loopback address of its own, so that runs beside each other don't take each other's ports.
HOST = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
BEAT_S = 1.2
READY_TIMEOUT_S = 15


_ports = itertools.count(random.randint(10000, 20000))


def free_ports(count):
    """Returns `count` ports below those of outgoing connections, none of them twice in a run."""
    ports = []
    while len(ports) < count:
        port = next(_ports)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Record:
    """Writes what happened to record.txt, one event a line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def now(self):
        return time.monotonic() - self._start


async def read_head(reader):
    """Returns the start line and the header fields (names in lower case), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Returns the body that the fields announce."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def response(status, fields=(), body=b"", reason="X"):
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in fields]
    head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: topics of one partition, conditional appends, listings of the newest records."""

    def __init__(self):
        self.topics = {}
        self.era = 0
        self.changed = asyncio.Condition()
        self.address = ""

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, name, key, value):
        """Appends a record of the operator or of a runner; `value` None removes the key."""
        self.topic(name).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def open(self, port):
        self.address = f"{HOST}:{port}"
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 22)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                items = dict(part.partition("=")[::2] for part in query.split("&"))
                writer.write(await self._answer(path, items, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _json(self, status, value):
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        return response(status, fields, json.dumps(value).encode())

    async def _answer(self, path, query, body):
        records = self.topic(query.get("topic", ""))
        if path == "/api/log-append":
            if int(query.get("at", len(records))) != len(records):
                return self._json(412, {"end_offset": len(records)})
            offset = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                data, body = body[4 : 4 + size], body[4 + size :]
                key = data[1 : 1 + data[0]].decode()
                await self.put(query["topic"], key, data[1 + data[0] :] or None)
            return self._json(200, {"offset": offset, "end_offset": len(records)})
        if path == "/api/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            listed = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value is not None
            ]
            return self._json(200, {"items": listed, "has_more": False, "end_offset": len(records)})
        if path == "/api/log-read":
            return await self._read(records, int(query["from"]), int(query.get("wait_ms", 0)) / 1000)
        return self._json(404, {})

    async def _read(self, records, start, wait):
        if start > len(records):
            return self._json(410, {"first_offset": 0})
        deadline = time.monotonic() + wait
        while len(records) <= start and (left := deadline - time.monotonic()) > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            data = bytes([len(key)]) + key.encode() + (value or b"")
            out += struct.pack(">I", len(data)) + data
        return response(200, [("Content-Type", "application/octet-stream"), ("Store-Era", self.era)], out)


class Runner:
    """A runner: it registers itself, beats, and hands each request to `handle(runner, request, writer)`."""

    _serial = itertools.count(1)

    def __init__(self, installation, service, handle, stage=None, slots=64):
        self.installation = installation
        self.service = service
        self.handle = handle
        self.stage = stage
        self.slots = slots
        self.id = f"i-{next(self._serial):04x}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._server = None
        self._beat = None
        self._writers = set()

    async def open(self, port=None):
        port = port or free_ports(1)[0]
        self.address = f"{HOST}:{port}"
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 22)
        self._beat = asyncio.ensure_future(self._beats())

    def crash(self):
        """Ends the process: connections are reset, the port is closed, the entry stays."""
        self._beat.cancel()
        self._server.close()
        for each in list(self._writers):
            each.transport.abort()

    async def restart(self):
        """Starts the process again at its address and under its id; it knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.open(int(self.address.rpartition(":")[2]))

    async def _beats(self):
        while True:
            self.sequence += 1
            await self.write_entry()
            await asyncio.sleep(BEAT_S)

    async def write_entry(self):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await self.installation.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = {"method": method, "target": target, "fields": head[1], "body": body}
                if target == "/api/report":
                    writer.write(self._report())
                elif target == "/api/order":
                    order = json.loads(body)
                    self.stage = order.get("stage", self.stage)
                    self.sequence += 1
                    writer.write(response(202, [("Content-Type", "application/json")], b"{}"))
                elif target.startswith("/api/kv-handle/"):
                    writer.write(response(200))
                elif head[1].get("x-target-instance", self.id) != self.id:
                    writer.write(response(421, [("X-Instance-Id", self.id)]))
                else:
                    await self.handle(self, request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self):
        value = {"stage": self.stage, "models": [], "busy": False, "sequence": self.sequence, "queued": 0, "active": 0}
        return response(200, [("Content-Type", "application/json")], json.dumps(value).encode())

    def proof(self, request):
        """The fields of an answer of a run."""
        return [
            ("X-Attempt-Id", request["fields"].get("x-attempt-id", "")),
            ("X-Server-Signature", f"{self.id}.1.c9f2a4d1"),
        ]


class Node:
    """A gateway process and its settings."""

    def __init__(self, installation, name, memory_mb):
        self.installation = installation
        self.name = name
        self.memory_mb = memory_mb
        front, ready, first, last = free_ports(4)
        self.front = (HOST, front)
        self.ready_port = ready
        self.settings = installation.folder / f"{name}.conf"
        self.settings.write_text(
            "\n".join(
                [
                    f"node_name={name}",
                    "role=gateway",
                    "machine_class=edge",
                    "serves=edge",
                    f"ip={HOST}",
                    "zone=zone-a",
                    "region=region-a",
                    f"listeners_map.frontend={HOST}:{front}",
                    f"listeners_map.ready={HOST}:{ready}",
                    f"internal_port_range={first},{last}",
                    "bootstrap=true",
                    f"limits.memory_mb={memory_mb}",
                    "limits.max_fds=2870",
                    "heartbeat_ms=1200",
                    "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
                    "bounds.contact_ms=3000",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=8",
                    "bounds.config_apply_ms=2000",
                    "bounds.retry_budget_ratio=0.2",
                    "bounds.budget_window_s=10",
                    "bounds.budget_slack=108",
                    "bounds.fencing_required=true",
                    "bounds.lease_ms=3000",
                    f"platform.address={installation.store.address}",
                    "platform.form=log",
                    "",
                ]
            ),
            encoding="utf-8",
        )
        self.process = None

    async def start(self):
        log = open(self.installation.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "CURRANTSPAR_NODE_FILE": str(self.settings)}
        self.process = await asyncio.create_subprocess_exec(
            *GATEWAY, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)

    def own_memory_mb(self):
        """Returns the anonymous resident memory in MiB, or None when the process has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline or self.process.returncode is not None:
                log = (self.installation.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
                raise RuntimeError(f"{self.name} isn't ready: {log[-500:]}")
            await asyncio.sleep(0.1)


class Installation:
    """Everything of one run; close() ends all processes and removes the temporary folder."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.nodes = []
        self.runners = []

    async def open(self):
        await self.store.open(free_ports(1)[0])

    async def configure(self, config):
        await self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def add_runner(self, service, handle, **options):
        runner = Runner(self, service, handle, **options)
        await runner.open()
        self.runners.append(runner)
        return runner

    async def add_node(self, name, memory_mb=182):
        node = Node(self, name, memory_mb)
        self.nodes.append(node)
        await node.start()
        return node

    async def close(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process:
                await node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, request_bytes, timeout=10):
    """Sends one request on a new connection; returns (status line, fields, body), or None without a whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 22), timeout)
        writer.write(request_bytes)
        head = await asyncio.wait_for(read_head(reader), timeout)
        if head is None:
            return None
        body = await asyncio.wait_for(read_body(reader, head[1]), timeout)
        return head[0], head[1], body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


def run(main):
    """Runs `main(installation)`, whose result is the exit code; 2 when the case couldn't run."""

    async def whole():
        installation = Installation()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await installation.open()
            return await asyncio.wait_for(main(installation), 110)
        finally:
            await installation.close()

    try:
        return asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as problem:  # pylint: disable=broad-except
        print(f"couldn't run: {problem!r}")
        return 2
