"""Stand-ins for the platform, upstreams and clients of a small deployment.

Every address is a loopback address. A machine is an address 127.x.y.z; all
machines use the same ports, as on the users' platform. Stand-ins behave as
PROTOCOL.md says unless a case tells one of them otherwise.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
REQUEST_ID = "x-dogwoodshore-request-id"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def parse_head(data):
    """Returns the first line and the headers (lower-case names) of a head."""
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's metadata store: reads and watches over HTTP/1.1."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["createdAt"] if key in self.items else self.revision
        item = {"key": key, "value": text, "revision": self.revision,
                "createdAt": created, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, _ = parse_head(head)
                url = urlsplit(first.split()[1])
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = await self.answer(url.path, query)
                data = json.dumps(body).encode()
                writer.write(encode_head(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data))]) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {"error": "none"})
        if path == "/kv-range":
            after = query.get("after", "")
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return 200, {"items": found[:500], "hasMore": len(found) > 500,
                         "at": self.revision}
        if path == "/kv-watch":
            after = int(query.get("after", 0))
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                found = [e for e in self.events
                         if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {"error": "unknown"}


class Upstream:
    """An application upstream beside a daemon."""

    def __init__(self, rig, ip, service, slots=8, zone="zone-a"):
        self.rig = rig
        self.ip, self.service, self.slots, self.zone = ip, service, slots, zone
        self.id = "i-" + "".join(random.choices("0123456789abcdef", k=10))
        self.running = 0
        self.runs = []
        self.work = lambda request: (0.05, 200, b"done\n")
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.rig.ports["app"], limit=1 << 20)

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.ip}:{self.rig.ports['app']}",
                "zone": self.zone, "configVersion": "v1", "concurrencyLimit": self.slots,
                "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": int(time.time() * 1000)}

    def register(self, state="ready"):
        self.rig.store.put("servers/" + self.id, self.entry(state))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, headers = parse_head(head)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                if not await self.respond(reader, writer, method, target, headers, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, reader, writer, method, target, headers, body):
        request_id = headers.get(REQUEST_ID)
        if target == "/healthz":
            return await self.send(writer, 200, [("X-Dogwoodshore-Instance-Id", self.id)], b"")
        if request_id is None:
            return await self.send(writer, 400, [("X-Dogwoodshore-Not-Executed", 1)], b"")
        echo = [("X-Dogwoodshore-Request-Id", request_id)]
        not_run = echo + [("X-Dogwoodshore-Not-Executed", 1)]
        if headers.get("x-dogwoodshore-target-instance", self.id) != self.id:
            return await self.send(writer, 421, not_run, b"")
        if self.running >= self.slots:
            return await self.send(writer, 503, not_run, b"")
        request = {"id": request_id, "method": method, "target": target,
                   "headers": headers, "body": body, "at": now()}
        self.running += 1
        self.runs.append(request)
        self.rig.record.add(f"{self.id} {self.ip} runs {method} {target} id {request_id} "
                            f"tenant {headers.get('x-dogwoodshore-tenant')} "
                            f"body {len(body)} bytes")
        try:
            wait, status, data = self.work(request)
            end = now() + wait
            while now() < end:
                await asyncio.sleep(min(0.02, end - now()))
                if reader.at_eof():  # the request is dropped with its connection
                    self.rig.record.add(f"{self.id} {self.ip} drops {request_id}")
                    return False
        finally:
            self.running -= 1
        self.rig.record.add(f"{self.id} {self.ip} ends {request_id} with {status}")
        seal = echo + [("X-Dogwoodshore-Response-Seal", f"{self.id}.{len(data)}")]
        return await self.send(writer, status, seal, data)

    async def send(self, writer, status, headers, data):
        writer.write(encode_head(f"HTTP/1.1 {status} X",
                                 headers + [("Content-Length", len(data))]) + data)
        await writer.drain()
        return True


class Daemon:
    """A daemon as a separate process, with the command of the deploy file."""

    def __init__(self, rig, ip, service, zone="zone-a"):
        self.rig, self.ip, self.service, self.zone = rig, ip, service, zone
        self.process = None
        # Where the daemon itself listens for its peers, if a relay stands before it.
        self.peer_ip = ip
        # Where the daemon reaches the store, if a relay stands before that.
        self.store_address = None
        self.log = open(rig.folder / f"log-{ip}.txt", "ab")

    def settings(self):
        ports, terms = self.rig.ports, self.rig.bounds
        text = (ROOT / "deploy/settings.json").read_text()
        values = {
            "ip": self.ip, "zone": self.zone,
            "listenAddrs.outbound": f"{self.ip}:{ports['outbound']}",
            "listenAddrs.ready": f"{self.ip}:{ports['ready']}",
            "portRange.0": str(ports["peer"]),
            "platform.address": "%s:%d" % self.rig.store.address,
            "zones|json": json.dumps(self.rig.zones),
            "service|json": json.dumps(self.service),
        }
        values.update({f"bounds.{name}": json.dumps(v) for name, v in terms.items()})
        text = re.sub(r"\{\{([^{}]+)\}\}", lambda m: values[m.group(1)], text)
        text = text.replace(f'"peer": "{self.ip}:', f'"peer": "{self.peer_ip}:')
        if self.store_address:
            text = text.replace('"platform": "%s:%d"' % self.rig.store.address,
                                '"platform": "%s:%d"' % self.store_address)
        return text

    def start(self):
        path = self.rig.folder / f"settings-{self.ip}.yaml"
        path.write_text(self.settings())
        deploy = (ROOT / "deploy/system.toml").read_text()
        run = re.search(r'^run = "(.*)"', deploy, re.M).group(1)
        words = run.replace("/etc/dogwoodshore/settings.yaml", str(path)).split()
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ["DOGWOODSHORE_NODE_FILE"] = str(path)
        self.process = subprocess.Popen(words, cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.rig.record.add(f"daemon {self.ip} starts, pid {self.process.pid}")

    def signal(self, number):
        self.rig.record.add(f"daemon {self.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def ended(self, within):
        end = now() + within
        while self.is_running() and now() < end:
            await asyncio.sleep(0.02)
        return not self.is_running()

    async def is_ready(self):
        try:
            answer = await self.rig.send(self.ip, "GET", "/ready", port="ready", quiet=True,
                                         timeout=1)
            return answer["status"] == 200
        except OSError:
            return False

    def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Rig:
    """A small deployment: the store, daemons, upstreams and clients."""

    def __init__(self, case_dir):
        self.record = Record(Path(case_dir) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="dogwoodshore-review-"))
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports()
        self.zones = {"zone-a": "region-a"}
        self.bounds = {"graceS": 6, "floorShare": 0.7, "retryBudgetRatio": 0.2,
                       "budgetSlack": 58}
        self.store = Store((f"{self.net}.250", self.ports["store"]))
        self.daemons, self.upstreams = [], []
        self.count = 0

    def free_ports(self):
        names = ["outbound", "ready", "peer", "app", "store"]
        while True:
            first = random.randint(11_000, 29_000)
            ports = dict(zip(names, range(first, first + len(names))))
            try:
                for port in ports.values():
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.net}.1", port))
                return ports
            except OSError:
                continue

    def add_machine(self, service, slots=8, zone="zone-a"):
        """Adds a machine with an upstream and a daemon beside it."""
        ip = f"{self.net}.{len(self.daemons) + 1}"
        upstream = Upstream(self, ip, service, slots, zone)
        daemon = Daemon(self, ip, service, zone)
        self.upstreams.append(upstream)
        self.daemons.append(daemon)
        return daemon, upstream

    async def start(self, config):
        await self.store.start()
        self.store.put("op/config", config)
        for upstream in self.upstreams:
            await upstream.start()
            upstream.register()
        for daemon in self.daemons:
            daemon.start()
        end = now() + 15
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if now() > end:
                    raise RuntimeError(f"daemon {daemon.ip} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(3)

    def next_id(self):
        self.count += 1
        return f"{random.getrandbits(48):012x}{self.count:06x}"

    async def connect(self, ip, port="outbound"):
        return await asyncio.open_connection(ip, self.ports[port], limit=1 << 20)

    async def send(self, ip, method, target, headers=(), body=b"", port="outbound",
                   quiet=False, timeout=20, connection=None, leave_after=None):
        """Sends one request; returns status, headers and body, or how it ended.

        With `leave_after` the client closes its connection after that time.
        """
        request_id = self.next_id()
        started = now()
        head = [("Host", "api.example")]
        if port == "outbound":
            head.append(("X-Dogwoodshore-Request-Id", request_id))
        if body:
            head.append(("Content-Length", len(body)))
        data = encode_head(f"{method} {target} HTTP/1.1", head + list(headers)) + body
        result = {"id": request_id, "status": None, "end": None, "sent": started}
        if not quiet:
            self.record.add(f"client at {ip} sends {method} {target} id {request_id}")
        reader, writer = connection or await self.connect(ip, port)
        try:
            writer.write(data)
            await writer.drain()
            wait = leave_after if leave_after is not None else timeout
            await asyncio.wait_for(self.read_answer(reader, method, result), wait)
        except asyncio.TimeoutError:
            result["end"] = "client left" if leave_after is not None else "no answer"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            result["end"] = f"connection closed ({type(error).__name__})"
        finally:
            if connection is None:
                writer.close()
        result["time"] = now() - started
        if not quiet:
            end = result["end"] or f"status {result['status']}, {len(result['body'])} bytes"
            self.record.add(f"client at {ip} got for {request_id}: {end} "
                            f"after {result['time']:.3f} s")
        return result

    async def read_answer(self, reader, method, result):
        head = await reader.readuntil(b"\r\n\r\n")
        first, headers = parse_head(head)
        result["head"] = headers
        result["body"] = await read_body(reader, headers)
        result["status"] = int(first.split()[1])

    def close(self):
        for daemon in self.daemons:
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_dir, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `play(rig, trouble)` returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rig = Rig(case_dir)

    async def whole():
        # A script that is ended from outside ends its daemons as well.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        try:
            return await asyncio.wait_for(play(rig, trouble), 110)
        finally:
            rig.close()

    try:
        held = asyncio.run(whole())
    except BaseException as error:  # the case could not run
        rig.record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr, flush=True)
        os._exit(2)
    rig.record.add("the rule held" if held else "the rule was broken")
    print("held" if held else "broken", flush=True)
    # Connections that a case has left open are of no interest any more.
    os._exit(0 if held else 1)


def route(name, prefix, service, kind, timeout_ms=8000, target_ms=2500, **more):
    spec = {"host": "api.example", "prefix": prefix, "service": service, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "maxAttempts": 3,
            "priority": 1, **more}
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, connections=330):
    return {"resourceType": "services", "metadata": {"name": name},
            "spec": {"healthPath": "/healthz", "maxConnections": connections}}


def tenant(name, keys, rate=0, burst=0):
    return {"resourceType": "tenants", "metadata": {"name": name},
            "spec": {"apiKeys": keys, "ratePerS": rate, "burst": burst}}


def limits():
    return {"resourceType": "limits", "metadata": {"name": ""},
            "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608,
                     "headerTimeoutMs": 10000, "idleTimeoutMs": 60000}}


def configuration(version, *resources):
    return {"configVersion": f"r{version}", "resources": list(resources) + [limits()]}
