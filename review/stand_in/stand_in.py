"""Stand-ins for the platform's store and cloud, the members of a service and
the clients, by PROTOCOL.md, plus a runner for the edge program of the deploy
file. One asyncio process; only the standard library; loopback addresses only.

The members replicate as PROTOCOL.md says: a commit is acknowledged once one
replica has received it; PAUSE stops a replica from receiving until RESUME, a
promote or its restart; a promote takes effect promote_ms after its call.
"""
import asyncio, base64, json, os, shutil, signal, socket, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()


def now_ms():
    return int((time.monotonic() - T0) * 1000)


class Record:
    def __init__(self, path):
        self.out = open(path, "w")

    def __call__(self, *words):
        self.out.write("%9.3f  %s\n" % ((time.monotonic() - T0), " ".join(str(w) for w in words)))
        self.out.flush()


def free_ports(ip, count):
    """Ports that are free on all loopback addresses in use."""
    held, ports = [], []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        held.append(s)
        ports.append(s.getsockname()[1])
    for s in held:
        s.close()
    return ports


class Store:
    """The platform's store and cloud."""

    def __init__(self, record):
        self.rec = record
        self.rows, self.history, self.ver = {}, [], 0
        self.changed = asyncio.Event()
        self.feed_delay_s = 0.0
        self.groups, self.on_order = {}, None
        self.fences = {}

    def write(self, table, key, value):
        self.ver += 1
        text = value if isinstance(value, str) else json.dumps(value)
        self.rows[(table, key)] = (self.ver, base64.b64encode(text.encode()).decode())
        self.note(table, key)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.ver += 1
            self.note(table, key)

    def note(self, table, key):
        self.history.append((self.ver, table, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        ver, value = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def answer(self, rows, more=False):
        return {"rows": rows, "ver": self.ver, "nowMs": now_ms() + 1000, "hasMore": more}

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in (l.split(":", 1) for l in lines[1:] if ":" in l)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(0.004)
                status, out = await self.call(method, target, headers, body)
                text = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/rows-get":
            start = args.get("from", "").replace("%01", "\x01")
            keys = sorted(k for t, k in self.rows if t == args["table"] and k >= start)
            return 200, self.answer([self.row(args["table"], k) for k in keys[:500]], len(keys) > 500)
        if path == "/rows-feed":
            after, until = int(args["after"]), time.monotonic() + int(args["waitMs"]) / 1000
            while True:
                keys = {}
                for ver, table, key in self.history:
                    if table == args["table"] and ver > after:
                        keys.pop(key, None)
                        keys[key] = ver
                left = until - time.monotonic()
                if keys or left <= 0:
                    break
                event = self.changed
                try:
                    await asyncio.wait_for(event.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.feed_delay_s and keys:
                await asyncio.sleep(self.feed_delay_s)
            rows = []
            for key, ver in keys.items():
                if (args["table"], key) in self.rows:
                    rows.append(self.row(args["table"], key))
                else:
                    rows.append({"table": args["table"], "part": "", "key": key, "ver": ver, "removed": True})
            return 200, self.answer(rows)
        if path == "/rows-tx":
            change = json.loads(body)
            seen = []
            fits = True
            for need in change.get("expectedRev", []):
                key = (need["table"], need["key"])
                ver = self.rows[key][0] if key in self.rows else 0
                fits = fits and ver == need["ver"]
                if key in self.rows:
                    seen.append(self.row(*key))
            if not fits:
                return 412, self.answer(seen)
            self.ver += 1
            for put in change.get("put", []):
                self.rows[(put["table"], put["key"])] = (self.ver, put["value"])
                self.note(put["table"], put["key"])
            for gone in change.get("remove", []):
                if self.rows.pop((gone["table"], gone["key"]), None):
                    self.note(gone["table"], gone["key"])
            return 200, self.answer([])
        if path == "/promote":
            order = json.loads(body)
            token = int(headers["tanagerspan-fencing-token"])
            holder = headers["tanagerspan-lease-holder"]
            subject = order["service"]
            ok = token >= self.fences.get(subject, 0)
            self.fences[subject] = max(self.fences.get(subject, 0), token)
            self.rec("ORDER promote", order["id"], "from", holder, "token", token, "accepted" if ok else "refused")
            if ok:
                ok = self.groups[order["service"]].on_promote(order["id"])
            if ok and self.on_order:
                self.on_order(order["service"], order["id"])
            return (200 if ok else 409), {}
        return 404, {}


class Member:
    def __init__(self, group, name, ip, port, role="replica"):
        self.group, self.name, self.ip, self.port, self.role = group, name, ip, port, role
        self.log, self.paused, self.alive, self.started = [], 0, False, 0
        self.conns, self.silent_for, self.seq, self.state = set(), set(), 0, "ready"
        self.deaf = False  # receives nothing, as with replica_lag "deaf"
        self.term = group.term

    def position(self):
        return "%d.%d" % (self.log[-1][0] if self.log else min(self.term, 1), len(self.log))

    def entry(self):
        return {"service": self.group.service, "addr": "%s:%d" % (self.ip, self.port), "zone": "a",
                "version": "1", "slots": 5, "state": self.state, "warmupLeftMs": 0, "sequence": self.seq,
                "born": self.started, "dbRole": self.role}

    async def start(self):
        self.started = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=4 << 20)
        self.alive = True
        self.paused = 0
        self.register()
        self.group.replicate()

    def register(self):
        self.seq += 1
        self.group.store.write("servers", self.name, self.entry())

    async def crash(self):
        self.alive = False
        self.server.close()
        for w in list(self.conns):
            w.transport.abort()

    async def release(self, new, drain_s=8):
        """Planned replacement: the new one starts first, this one drains."""
        self.group.members.append(new)
        new.term = self.group.term
        self.group.rec("JOIN", new.name, "for", self.name)
        await new.start()
        await asyncio.sleep(0.1)
        self.state = "draining"
        self.register()
        asyncio.get_running_loop().call_later(drain_s, lambda: asyncio.ensure_future(self.leave()))

    async def leave(self):
        await self.crash()
        self.group.store.remove("servers", self.name)

    def forget(self):
        """It will start again under its id, and holds and knows nothing."""
        self.log, self.term, self.seq, self.paused = [], 0, 0, 0

    def receives(self):
        return self.alive and self.role == "replica" and not self.paused and not self.deaf

    async def serve(self, reader, writer):
        self.conns.add(writer)
        c = Connection(self, reader, writer)
        try:
            await c.run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()


class Connection:
    def __init__(self, member, reader, writer):
        self.m, self.r, self.w = member, reader, writer
        self.state, self.writes, self.plain, self.term = "I", [], False, 0
        self.values, self.names, self.user = {}, {}, ""

    async def line(self):
        text = (await self.r.readuntil(b"\r\n"))[:-2].decode("latin1")
        while self.user in self.m.silent_for:  # the link to this node is cut
            await asyncio.sleep(0.02)
        return text

    def send(self, *lines):
        if self.user not in self.m.silent_for:
            self.w.write("".join(l + "\r\n" for l in lines).encode("latin1"))

    def ready(self):
        return "READY %s %s" % (self.state, self.m.position())

    async def run(self):
        words = (await self.line()).split(" ")
        self.user = words[2] if len(words) > 2 else ""
        while self.user in self.m.silent_for:
            await asyncio.sleep(0.02)
        if words[1] != self.m.group.service or (len(words) > 3 and words[3] != self.m.name):
            self.send("ERROR WRONGNODE " + self.m.name)
            return
        self.send(self.ready())
        while True:
            text = await self.line()
            if text.startswith("TERMINATE"):
                return
            _, ident, query = text.split(" ", 2)
            await self.query(ident, query)

    def leads(self):
        return self.m.role == "primary"

    def error(self, code, text=""):
        if self.state == "T":
            self.state, self.writes = "E", []
        self.send("ERROR %s %s" % (code, text or self.m.name), self.ready())

    def done(self, digest, *rows):
        self.send(*["DATAROW " + r for r in rows], "COMPLETE " + digest, self.ready())

    async def query(self, ident, query):
        m, g = self.m, self.m.group
        words = query.split(" ")
        if words[0] == "AFTERLSN":
            term, number = words[1].split(".")
            if (int(term), int(number)) > ((m.log[-1][0] if m.log else min(m.term, 1)), len(m.log)):
                return self.error("LAGGING")
            words = words[2:]
        verb = words[0]
        if verb == "STATUS":
            return self.done("-", self.status())
        if verb == "PAUSE":
            if m.role == "replica" and int(words[1]) > m.term:
                m.paused = int(words[1])
                g.rec("PAUSE", m.name, "by", self.user, "term", words[1])
            return self.done("-", self.status())
        if verb == "RESUME":
            m.paused = 0
            g.rec("RESUME", m.name, "by", self.user)
            g.replicate()
            return self.done("-", self.status())
        if verb == "STEPDOWN":
            if m.role == "primary" and m.term < int(words[1]):
                m.role = "replica"
                m.register()
                g.rec("STEPDOWN", m.name, "by", self.user)
            return self.done("-", self.status())
        if verb == "DISCARD":
            self.values, self.names = {}, {}
            return self.done("-")
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return self.done("-")
        if self.state == "E":
            if verb == "COMMIT":
                self.state = "I"
                return self.error("ABORTED")
            return self.error("MALFORMED")
        if self.state == "T" and self.plain and (not self.leads() or self.term != m.term):
            if not (verb == "COMMIT" and not self.writes):
                return self.error("READONLY")
        if verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return self.done("-")
        if verb == "PREPARE":
            self.names[words[1]] = (words[2], " ".join(words[3:]))
            return self.done("-")
        if verb == "BEGIN":
            self.plain = words[1:] != ["READ"]
            if self.plain and not self.leads():
                return self.error("READONLY")
            self.state, self.term, self.writes = "T", m.term, []
            return self.done("-")
        writes = verb == "WRITE"
        item, data = (words[1] if len(words) > 1 else ""), " ".join(words[2:])
        if verb == "EXECUTE":
            if item not in self.names:
                return self.error("NOSTMT")
            writes = self.names[item][0] == "WRITE"
            item, data = words[2], " ".join(words[3:])
        await asyncio.sleep(g.work_s)
        if verb == "COMMIT":
            if not self.writes:
                self.state = "I"
                return self.done("c." + ident)
            if not await g.commit(m, ident, self.writes):
                self.state = "I"
                return self.error("READONLY")
            self.state, self.writes = "I", []
            return self.done("c." + ident)
        if writes:
            if not self.leads():
                return self.error("READONLY")
            if self.state == "T":
                self.writes.append((ident, item, data))
                return self.done("w." + ident)
            if not await g.commit(m, ident, [(ident, item, data)]):
                return self.error("READONLY")
            g.rec("RUN", ident, "at", m.name)
            return self.done("w." + ident)
        rows = [d for _, _, ws in m.log for _, i, d in ws if i == item][-1:]
        return self.done("r." + ident, *rows)

    def status(self):
        m = self.m
        return "%s %d %s %d 0 %d %d" % (m.role, m.term, m.position(), m.paused, 1, len(m.conns))


class Group:
    """The members of one service, and what counts as lost."""

    def __init__(self, store, record, service="svc1", promote_ms=1000, work_s=0.01):
        self.store, self.rec, self.service = store, record, service
        self.promote_ms, self.work_s, self.term = promote_ms, work_s, 1
        self.members, self.wait, self.lost = [], asyncio.Event(), []
        self.acked = {}  # id of the commit -> position
        store.groups[service] = self

    def find(self, name):
        return next((m for m in self.members if m.name == name), None)

    def primary(self):
        return next((m for m in self.members if m.role == "primary" and m.alive), None)

    def replicate(self):
        p = self.primary()
        if p:
            for m in self.members:
                if m.receives() and len(m.log) < len(p.log):
                    m.log = list(p.log)
                    m.term = p.term
        self.wait.set()
        self.wait = asyncio.Event()

    async def commit(self, m, ident, writes):
        if m.role != "primary":
            return False
        entry = (m.term, ident, writes)
        m.log.append(entry)
        number = len(m.log)
        await asyncio.sleep(0.001)
        while True:
            if m.role != "primary" or not m.alive:
                raise ConnectionError  # no answer: the lead was lost meanwhile
            self.replicate()
            if any(r is not m and len(r.log) >= number and r.log[number - 1] is entry for r in self.members):
                self.acked[ident] = "%d.%d" % (m.term, number)
                self.rec("ACK", ident, "commit", self.acked[ident], "at", m.name)
                return True
            try:
                await asyncio.wait_for(self.wait.wait(), 0.02)
            except asyncio.TimeoutError:
                pass

    def on_promote(self, name):
        target = self.find(name)
        if not target or not target.alive:
            return False
        if target.role != "primary":
            asyncio.get_running_loop().call_later(self.promote_ms / 1000, self.promoted, target)
        return True

    def promoted(self, target):
        if target.role == "primary" or not target.alive:
            return
        held = {e[1] for e in target.log}
        for ident, at in self.acked.items():
            if ident not in held:
                self.lost.append(ident)
                self.rec("LOST acknowledged commit", at, ident, "isn't in the log of", target.name)
        self.acked = {i: a for i, a in self.acked.items() if i in held}
        self.term += 1
        for m in self.members:
            if m is not target and m.role == "primary":
                m.role = "replica"
                if m.alive:
                    m.register()
            m.log = list(target.log) if len(m.log) > len(target.log) else m.log
            m.term, m.paused = self.term, 0
        target.role = "primary"
        target.register()
        self.rec("PROMOTED", target.name, "term", self.term, "log", target.position())
        self.replicate()


class Fleet:
    """Edge processes, started by the command of deploy/system.toml."""

    def __init__(self, record, store_addr, hosts):
        self.rec, self.store_addr, self.procs = record, store_addr, {}
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.front, self.ready, self.admin, self.peer = free_ports("127.0.0.1", 4)
        self.hosts = {n: "127.0.0.%d" % (20 + i) for i, n in enumerate(hosts)}

    async def start(self, name):
        ip = self.hosts[name]
        host, port = self.store_addr
        settings = {
            "nodeName": name, "role": "proxy", "machineClass": "edge", "serves": ["edge"], "ip": ip,
            "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {"frontend": "%s:%d" % (ip, self.front), "readiness": "%s:%d" % (ip, self.ready),
                       "admin": "%s:%d" % (ip, self.admin)},
            "portRange": [self.peer, self.peer], "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
                       "drainMs": 7000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
                       "downgradeSlackMs": 250, "maxSkewMs": 12000, "recoveryS": 12, "fencingEnforced": True,
                       "thawSlackMs": 300},
            "platform": {"addr": "%s:%d" % (host, port), "form": "table", "writesPerS": 400, "readsPerS": 2000,
                         "txMs": 3.0, "partitionWritesS": 300, "rowBytes": 65536, "across": True, "historyS": 20},
            "cloudApi": {"addr": "%s:%d" % (host, port), "ratePerS": 50.0, "duties": ["failover"], "dutyPerS": 50.0}}
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(settings, f)
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "LANG": os.environ.get("LANG", "C"), "TANAGERSPAN_BOOT": path}
        program = os.path.join(ROOT, "target", "tanager_edge")
        self.procs[name] = await asyncio.create_subprocess_exec(
            program, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.rec("START", name, "pid", self.procs[name].pid)

    def signal(self, name, number):
        self.rec("SIGNAL", number, name)
        self.procs[name].send_signal(number)

    async def is_ready(self, name, timeout=1.0):
        try:
            r, w = await asyncio.wait_for(asyncio.open_connection(self.hosts[name], self.ready), timeout)
            w.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(r.readline(), timeout)
            w.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        for name in self.hosts:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun("%s isn't ready" % name)
                await asyncio.sleep(0.1)

    async def stop(self):
        for p in self.procs.values():
            if p.returncode is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                await p.wait()
        if os.environ.get("KEEP"):
            sys.stderr.write("logs of the edge processes: %s\n" % self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class CannotRun(Exception):
    pass


class Client:
    """A session. Each request waits for its answer."""

    def __init__(self, ip, port, database, record, name):
        self.ip, self.port, self.database, self.rec, self.name = ip, port, database, record, name
        self.count = 0

    async def open(self):
        self.r, self.w = await asyncio.open_connection(self.ip, self.port, limit=4 << 20)
        self.w.write(("STARTUP %s %s\r\n" % (self.database, self.name)).encode())
        first = (await asyncio.wait_for(self.r.readuntil(b"\r\n"), 2)).decode()
        return first.startswith("READY")

    async def ask(self, text, timeout=5):
        """The answer's lines. Raises if the connection ends or nothing comes."""
        self.count += 1
        ident = "%s-%d" % (self.name, self.count)
        self.rec("SENT", ident, text)
        self.w.write(("QUERY %s %s\r\n" % (ident, text)).encode())
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            raw = await asyncio.wait_for(self.r.readuntil(b"\r\n"), timeout)
            lines.append(raw[:-2].decode("latin1"))
        self.rec("ANSWERED", ident, " | ".join(lines)[:200])
        return ident, lines

    def close(self):
        self.w.close()


async def writer(fleet, edge, record, name, until):
    """Writes one row after the other, in a session that it opens again."""
    client = None
    while time.monotonic() < until:
        try:
            if client is None:
                client = Client(fleet.hosts[edge], fleet.front, "db1", record, name)
                if not await client.open():
                    client.close()
                    client = None
            else:
                await client.ask("WRITE k-%s %d" % (name, client.count), timeout=3)
        except (OSError, EOFError, asyncio.TimeoutError):
            if client:
                client.close()
            client = None
        await asyncio.sleep(0.02)


def config(store, version=10, kind="primary", max_conns=34, services=("svc1",)):
    store.write("op", "config", {
        "version": version,
        "routes": [{"name": "r1", "host": "db1", "service": "svc1", "kind": kind, "timeoutMs": 1000,
                    "targetLatencyMs": 200, "maxAttempts": 3, "priority": 1, "maxStalenessMs": 1500}],
        "services": [{"name": name, "healthPath": "/health", "maxConns": max_conns, "protocol": "own",
                      "syncReplicas": 1} for name in services],
        "limits": {"txIdleMs": 3000}})


async def make_group(store, record, service, prefix, **options):
    group = Group(store, record, service, **options)
    ports = free_ports("127.0.0.1", 8)
    group.ports = ports[3:]
    for i in range(3):
        m = Member(group, "%s-%d" % (prefix, i + 1), "127.0.0.1", ports[i], "primary" if i == 0 else "replica")
        group.members.append(m)
        await m.start()
    return group


async def make(record, hosts=("edge-1", "edge-2"), kind="primary", max_conns=34, services=("svc1",), **group_options):
    """A store, a service of three members and a fleet that is started."""
    store = Store(record)
    port = free_ports("127.0.0.1", 1)[0]
    await store.start("127.0.0.1", port)
    config(store, kind=kind, max_conns=max_conns, services=services)
    group = await make_group(store, record, "svc1", "i", **group_options)
    fleet = Fleet(record, ("127.0.0.1", port), hosts)
    for name in hosts:
        await fleet.start(name)
    return store, group, fleet


def main(case, folder, limit_s=110):
    """Runs `case(record, trouble)`; True: the rule held. Exit 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []
    original = Fleet.__init__

    def keep(self, *args, **kwargs):
        original(self, *args, **kwargs)
        fleets.append(self)
    Fleet.__init__ = keep

    async def run():
        try:
            return await asyncio.wait_for(case(record, trouble), limit_s)
        finally:
            for fleet in fleets:
                await fleet.stop()
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "tanager_edge")):
            raise CannotRun("target/tanager_edge isn't built")
        code = 0 if asyncio.run(run()) else 1
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("CANNOT RUN", repr(error))
        print("cannot run:", repr(error))
    record("EXIT", code)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
