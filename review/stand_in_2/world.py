"""Stand-ins for the outside of tanager_edge, in one process on loopback.

A store (HTTP), the service that takes promotions (HTTP), database groups with
asynchronous replication, and clients. They do what PROTOCOL.md says and
nothing else. The proxies are separate processes: target/tanager_edge.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.2
STABLE_WINDOW_MS = 4000
RECOVERY_S = 12
GRACE_S = 6
PROMOTE_S = 1.0


def now():
    return time.monotonic()


taken_ports = set()


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def add(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: rows with versions, feeds, transactions."""

    def __init__(self):
        self.rows = {}  # (table, key) -> (value, ver)
        self.changes = []  # (ver, table, key, value or None)
        self.ver = 1
        self.changed = asyncio.Event()
        self.is_down = False

    def put(self, table, key, value):
        self.ver += 1
        self._set(table, key, base64.b64encode(value).decode())
        self._notify()

    def remove(self, table, key):
        if (table, key) in self.rows:
            self.ver += 1
            self._set(table, key, None)
            self._notify()

    def _set(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _head(self):
        return {"ver": self.ver, "nowMs": int(now() * 1000)}

    @staticmethod
    def _row(table, key, value, ver):
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def get(self, table, first):
        rows = [
            self._row(t, k, v, ver)
            for (t, k), (v, ver) in sorted(self.rows.items())
            if t == table and k >= first
        ]
        return {"rows": rows, "hasMore": False, **self._head()}

    async def feed(self, table, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            last = {}
            for ver, t, key, value in self.changes:
                if t == table and ver > after:
                    last[key] = (ver, value)
            if last or now() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, until - now()))
            except asyncio.TimeoutError:
                pass
        rows = []
        for key, (ver, value) in sorted(last.items(), key=lambda one: one[1][0]):
            row = {"table": table, "part": "", "key": key, "ver": ver}
            row.update({"removed": True} if value is None else {"value": value})
            rows.append(row)
        return {"rows": rows, **self._head()}

    def transact(self, body):
        for guard in body.get("expectedRev", []):
            at = (guard["table"], guard["key"])
            if self.rows.get(at, (None, 0))[1] != guard["ver"]:
                named = [(g["table"], g["key"]) for g in body["expectedRev"]]
                rows = [
                    self._row(*name, *self.rows[name])
                    for name in named
                    if name in self.rows
                ]
                return 412, {"rows": rows, **self._head()}
        self.ver += 1
        for row in body.get("put", []):
            self._set(row["table"], row["key"], row["value"])
        for row in body.get("remove", []):
            self._set(row["table"], row["key"], None)
        self._notify()
        return 200, self._head()

    async def handle(self, method, target, headers, body):
        if self.is_down:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query, True).items()}
        if path == "/rows-get":
            return 200, self.get(args["table"], args.get("from", ""))
        if path == "/rows-feed":
            return 200, await self.feed(
                args["table"], int(args["after"]), int(args["waitMs"])
            )
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}


async def serve_http(handle, port):
    async def on_client(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                status, answer = await handle(method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_client, "127.0.0.1", port)


class Member:
    """One member of a group. Its log is a list of (term, request id)."""

    def __init__(self, group, name, primary):
        self.group = group
        self.id = name
        self.port = free_port()
        self.primary = primary
        self.term = 1
        self.log = list(group.seed_log)
        self.paused = 0
        self.alive = False
        self.deaf = False
        self.draining = False
        self.last_beat = -100.0
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_client, "127.0.0.1", self.port)
        self.alive = True
        self.beat()

    async def stop(self):
        """The process dies; its connections are reset."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def go_dark(self):
        """The machine loses power: nothing on it responds any more."""
        self.alive = False

    def beat(self):
        self.last_beat = now()
        entry = {
            "service": self.group.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 5,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "dbRole": "primary" if self.primary else "replica",
            "sequence": 1,
            "born": self.born,
        }
        value = json.dumps(entry).encode()
        store = self.group.world.store
        if store.is_down:
            return
        known = store.rows.get(("servers", self.id))
        if known is None or base64.b64decode(known[0]) != value:
            store.put("servers", self.id, value)

    def position(self):
        term = self.log[-1][0] if self.log else 0
        return f"{max(term, self.term if self.primary else term)}.{len(self.log)}"

    async def on_client(self, reader, writer):
        self.writers.add(writer)
        state = {"tx": None, "values": {}, "prepared": {}}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if not self.alive:
                    await asyncio.sleep(3600)  # without power: no response
                word, _, rest = line.partition(" ")
                if word == "STARTUP":
                    parts = rest.split(" ")
                    wrong = parts[0] != self.group.service or (
                        len(parts) > 2 and parts[2] != self.id
                    )
                    if wrong:
                        writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
                        break
                    await asyncio.sleep(0.012)
                    self.reply(writer, state, "")
                elif word == "QUERY":
                    request, _, text = rest.partition(" ")
                    await self.query(writer, state, request, text)
                else:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, state, lines):
        if not self.alive:
            return
        letter = "I" if state["tx"] is None else state["tx"]["state"]
        writer.write(f"{lines}READY {letter} {self.position()}\r\n".encode())

    def error(self, writer, state, code):
        if state["tx"] is not None:
            state["tx"]["state"] = "E"
        self.reply(writer, state, f"ERROR {code} {self.id}\r\n")

    def status(self):
        role = "primary" if self.primary else "replica"
        return (
            f"DATAROW {role} {self.term} {self.received()} {self.paused} 0 0 1\r\n"
            "COMPLETE -\r\n"
        )

    def received(self):
        return f"{self.log[-1][0] if self.log else 0}.{len(self.log)}"

    async def query(self, writer, state, request, text):
        word, _, rest = text.partition(" ")
        tx = state["tx"]
        record = self.group.world.record
        if word == "AFTERLSN":
            wanted, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            term, index = (int(one) for one in wanted.split("."))
            if len(self.log) < index or int(self.position().split(".")[0]) < term:
                return self.error(writer, state, "LAGGING")
        if word == "STATUS":
            return self.reply(writer, state, self.status())
        if word == "PAUSE":
            if not self.primary and int(rest) > self.term:
                self.paused = max(self.paused, int(rest))
            record.add(f"{self.id} PAUSE {rest}")
            return self.reply(writer, state, self.status())
        if word == "RESUME":
            self.paused = 0
            record.add(f"{self.id} RESUME")
            return self.reply(writer, state, self.status())
        if word == "STEPDOWN":
            if self.primary and int(rest) > self.term:
                self.primary = False
                record.add(f"{self.id} STEPDOWN {rest}: no longer primary")
                self.beat()
            return self.reply(writer, state, self.status())
        if word == "BEGIN":
            if rest != "READ" and not self.primary:
                return self.error(writer, state, "READONLY")
            state["tx"] = {"state": "T", "plain": rest != "READ", "writes": []}
            return self.reply(writer, state, "COMPLETE -\r\n")
        if word == "ROLLBACK":
            state["tx"] = None
            return self.reply(writer, state, "COMPLETE -\r\n")
        if word in ("SET", "PREPARE", "DEALLOCATE", "DISCARD"):
            if word == "PREPARE":
                name, mode, _ = rest.split(" ", 2)
                state["prepared"][name] = mode
            return self.reply(writer, state, "COMPLETE -\r\n")
        if word == "EXECUTE":
            mode = state["prepared"].get(rest.split(" ")[0])
            if mode is None:
                return self.error(writer, state, "NOSTMT")
            word = mode
        lost_lead = tx is not None and tx["plain"] and not self.primary
        if lost_lead and not (word == "COMMIT" and not tx["writes"]):
            return self.error(writer, state, "READONLY")
        await asyncio.sleep(0.01)
        if word == "READ":
            record.add(f"{self.id} ran READ {request}")
            return self.reply(
                writer, state, f"DATAROW row-{request}\r\nCOMPLETE d.{request}\r\n"
            )
        if word == "WRITE" and tx is not None:
            tx["writes"].append(request)
            record.add(f"{self.id} ran WRITE {request} in a transaction")
            return self.reply(writer, state, f"COMPLETE d.{request}\r\n")
        if word == "WRITE":
            if not self.primary:
                return self.error(writer, state, "READONLY")
            if await self.group.commit(self, [request]):
                record.add(f"{self.id} committed WRITE {request}")
                self.reply(writer, state, f"COMPLETE d.{request}\r\n")
            return None
        if word == "COMMIT" and tx is not None:
            state["tx"] = None
            if tx["writes"] and not await self.group.commit(self, tx["writes"]):
                return None
            record.add(f"{self.id} committed {request}: {tx['writes']}")
            return self.reply(writer, state, f"COMPLETE d.{request}\r\n")
        return self.error(writer, state, "MALFORMED")


class Group:
    """A service: one primary and its replicas, syncReplicas 1."""

    def __init__(self, world, service, size):
        self.world = world
        self.service = service
        self.seed_log = [(1, "seed")] * 5
        self.seen_token = -1
        self.is_cut = False  # the primary doesn't reach its replicas
        self.on_order = None  # called with the member that is to be promoted
        self.members = [
            Member(self, f"i-{service}-{n}", n == 0) for n in range(size)
        ]

    def find(self, name):
        return next((m for m in self.members if m.id == name), None)

    def primary(self):
        return next((m for m in self.members if m.primary and m.alive), None)

    def receives(self, member):
        return member.alive and not member.primary and not member.paused and (
            not member.deaf
        )

    def replicate(self):
        """Replicas receive what the primary's log has."""
        leader = self.primary()
        if leader is None or self.is_cut:
            return
        for member in self.members:
            if self.receives(member):
                member.log = list(leader.log)
                member.term = leader.term

    async def commit(self, member, requests):
        """Returns once one replica has the change; False if that never is."""
        entry = (member.term, ",".join(requests))
        member.log.append(entry)
        while member.alive and member.primary:
            self.replicate()
            if any(entry in m.log for m in self.members if m is not member):
                return True
            await asyncio.sleep(0.005)
        return False

    async def promote(self, member):
        await asyncio.sleep(PROMOTE_S)
        if not member.alive:
            self.world.record.add(f"promotion of {member.id}: it doesn't run")
            return
        if member.primary:
            return
        term = max(m.term for m in self.members) + 1
        for other in self.members:
            other.primary = other is member
            other.paused = 0
            if other.alive:
                other.term = term
        self.world.record.add(f"{member.id} leads term {term}")
        for other in self.members:
            if other.alive:
                other.beat()
        self.replicate()


class World:
    """Store, promotions, groups and proxies; run `main` in `run`."""

    def __init__(self, folder, edges=3):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store()
        self.store_port = free_port()
        self.cloud_port = free_port()
        self.groups = {}
        self.tasks = []
        self.tmp = tempfile.mkdtemp(prefix="tanager-review-")
        self.edges = [Edge(self, n) for n in range(edges)]
        self.config_version = 0

    def add_group(self, service, size=3):
        self.groups[service] = Group(self, service, size)
        return self.groups[service]

    def put_config(self, routes, idle_ms=3000):
        self.config_version += 3
        services = [
            {"name": s, "maxConns": 34, "syncReplicas": 1, "protocol": "sql"}
            for s in self.groups
        ]
        config = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {"txIdleMs": idle_ms},
        }
        self.store.put("op", "config", json.dumps(config).encode())

    async def promote(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        order = json.loads(body)
        token = int(headers["tanagerspan-fencing-token"])
        group = self.groups[order["service"]]
        member = group.find(order["id"])
        self.record.add(
            f"POST /promote {order} token {token} "
            f"of {headers['tanagerspan-lease-holder']}"
        )
        if token < group.seen_token or member is None or not member.alive:
            return 409, {}
        group.seen_token = token
        if not member.primary:
            self.spawn(group.promote(member))
            if group.on_order:
                group.on_order(member)
        return 200, {}

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def upkeep(self):
        """Check-ins, lapses of entries, replication."""
        while True:
            for group in self.groups.values():
                group.replicate()
                for member in group.members:
                    due = now() - member.last_beat >= HEARTBEAT_S
                    lapsed = now() - member.last_beat > 3 * HEARTBEAT_S
                    if member.alive and due:
                        member.beat()
                    if lapsed:
                        self.store.remove("servers", member.id)
            await asyncio.sleep(0.02)

    async def start(self):
        await serve_http(self.store.handle, self.store_port)
        await serve_http(self.promote, self.cloud_port)
        for group in self.groups.values():
            for member in group.members:
                await member.start()
        self.spawn(self.upkeep())

    async def start_edges(self):
        for edge in self.edges:
            edge.start()
        for edge in self.edges:
            await edge.wait_ready()

    def close(self):
        for edge in self.edges:
            edge.kill()
        for task in self.tasks:
            task.cancel()


class Edge:
    """One proxy process."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-zone-a-{number + 1}"
        self.frontend, self.readiness, self.admin = (
            free_port(),
            free_port(),
            free_port(),
        )
        self.peer = free_port()
        self.process = None

    def settings(self):
        return {
            "nodeName": self.name,
            "role": "proxy",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {
                "frontend": f"127.0.0.1:{self.frontend}",
                "readiness": f"127.0.0.1:{self.readiness}",
                "admin": f"127.0.0.1:{self.admin}",
            },
            "portRange": [self.peer, self.peer],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.25,
                "cores": 1,
                "memoryMb": 260,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "addrReuseS": 2,
                "stableWindowMs": STABLE_WINDOW_MS,
                "ackMs": 5000,
                "catchUpS": 4,
                "drainMs": 7000,
                "graceS": GRACE_S,
                "lossSlackMs": 200,
                "configApplyMs": 3000,
                "downgradeSlackMs": 250,
                "maxSkewMs": 12000,
                "recoveryS": RECOVERY_S,
                "fencingEnforced": True,
                "thawSlackMs": 300,
            },
            "platform": {
                "addr": f"127.0.0.1:{self.world.store_port}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 3.0,
                "partitionWritesS": 300,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
            "cloudApi": {
                "addr": f"127.0.0.1:{self.world.cloud_port}",
                "ratePerS": 50.0,
                "duties": ["failover"],
                "dutyPerS": 50.0,
            },
        }

    def start(self):
        path = os.path.join(self.world.tmp, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.world.tmp, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "tanager_edge")],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "TANAGERSPAN_BOOT": path},
            stdout=log,
            stderr=log,
        )
        self.world.record.add(f"{self.name} starts")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=10):
        until = now() + timeout_s
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")


class CannotRun(Exception):
    pass


class Session:
    """A client's session at one proxy."""

    def __init__(self, world, edge, database):
        self.world, self.edge, self.database = world, edge, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.edge.frontend
        )
        self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode().strip())
        return self

    async def query(self, request, text, timeout_s=4):
        """Returns (ok, lines); ok if a digest or `-` completes the answer."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        until = now() + timeout_s
        while True:
            line = await asyncio.wait_for(
                self.reader.readline(), max(0.001, until - now())
            )
            if not line:
                raise ConnectionError("closed")
            lines.append(line.decode().strip())
            if line.startswith(b"READY"):
                break
        ok = any(one.startswith("COMPLETE") for one in lines)
        self.world.record.add(f"client {request} {text}: {' / '.join(lines)}")
        return ok, lines

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Load:
    """Clients that send single reads and writes, each in a session of its own."""

    def __init__(self, world, database, per_s=20):
        self.world, self.database, self.per_s = world, database, per_s
        self.results = []  # (sent at, served)
        self.acknowledged = []  # ids of writes
        world.spawn(self.send_all())

    async def send_all(self):
        number = 0
        while True:
            self.world.spawn(self.send(number))
            number += 1
            await asyncio.sleep(1 / self.per_s)

    async def send(self, number):
        sent_at = now()
        edge = self.world.edges[number % len(self.world.edges)]
        session = Session(self.world, edge, self.database)
        text = f"WRITE k{number} {number}" if number % 5 == 0 else f"READ k{number}"
        try:
            await session.open()
            ok, _ = await session.query(f"c{number}", text, 2)
        except (OSError, asyncio.TimeoutError):
            ok = False
        session.close()
        self.results.append((sent_at, ok))
        if ok and text.startswith("WRITE"):
            self.acknowledged.append(f"c{number}")

    def served_share(self, since, until):
        some = [ok for at, ok in self.results if since <= at < until]
        if not some:
            raise CannotRun("no request was sent")
        return sum(some) / len(some)


async def check_recovery(world, load, before_s=3, window_s=6):
    """Kills and restarts all proxies, the final fault. True if RECOVER holds:
    a quarter of what is sent later than recoveryS after they are back is
    served, if a quarter was before."""
    fault_at = now()
    before = load.served_share(fault_at - before_s, fault_at)
    world.record.add("all processes of the system are killed")
    for edge in world.edges:
        edge.kill()
    await asyncio.sleep(0.8)
    await world.start_edges()
    back_at = now()
    world.record.add("the processes are back and ready")
    since = back_at + RECOVERY_S
    await asyncio.sleep(since + window_s + 2 - now())
    after = load.served_share(since, since + window_s)
    print(f"served before the final fault: {before:.2f}; "
          f"{RECOVERY_S} to {RECOVERY_S + window_s} s after: {after:.2f}")
    if before < 0.25:
        raise CannotRun("less than a quarter was served before the final fault")
    return after >= 0.25


def run(folder, main, edges=3, limit_s=110):
    """Runs `main(world, trouble)`; exits with 0, 1 or 2."""

    async def guarded():
        world = World(folder, edges)
        try:
            trouble = os.environ.get("TROUBLE", "1") != "0"
            return await asyncio.wait_for(main(world, trouble), limit_s)
        finally:
            world.close()

    try:
        code = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
