"""Clients, servers and routers as PROTOCOL.md describes them.

A request is one packet of data with its identifier, and an answer is one packet too.
"""

import collections
import hashlib
import http.client
import json
import os
import random
import select
import socket
import struct
import threading
import time
import uuid
import zlib

HEAD = struct.Struct(">BBIHHIIIIIH")
SYN, ACK, FIN, RST, BOUNCED = 8, 32, 64, 16, 1
KEY = os.urandom(16)
RESET_WINDOW = 76800
FIRST_RETRY, LONGEST_RETRY, SERVER_RETRIES = 0.2, 1.6, 8
OPENING_COPIES, OPENING_END = (0.0, 0.2, 0.6), 1.4

Packet = collections.namedtuple("Packet", "flags src sport dst dport seq ack sum data echo pad")


def number_of(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def address_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(flags, src, sport, dst, dport, seq, ack, data):
    head = HEAD.pack(flags & ~BOUNCED, 0, src, sport, dport, dst, 0, seq, ack, 0, len(data))
    return zlib.crc32(KEY + head + data)


def packed(flags, src, sport, dst, dport, seq, ack, data=b""):
    total = checksum(flags, src, sport, dst, dport, seq, ack, data)
    return HEAD.pack(flags, 0, src, sport, dport, dst, 0, seq, ack, total, len(data)) + data


def parsed(raw):
    flags, pad, src, sport, dport, dst, echo, seq, ack, total, length = HEAD.unpack(raw[:32])
    data = raw[32:32 + length]
    return Packet(flags, src, sport, dst, dport, seq, ack, total, data, echo, pad)


def is_genuine(packet):
    return packet.sum == checksum(packet.flags, packet.src, packet.sport, packet.dst, packet.dport,
                                  packet.seq, packet.ack, packet.data)


def advanced(sequence, count):
    return (sequence + count) & 0xffffffff


class Router:
    """Sends each packet of a client to an entry in rotation, by a steady hash of its flow."""

    def __init__(self, entries, datagram, readiness, record):
        self.entries, self.datagram, self.readiness = list(entries), datagram, readiness
        self.record = record
        self.misses = {entry.name: 2 for entry in entries}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.stopped = threading.Event()
        for entry in entries:
            threading.Thread(target=self.probe, args=(entry,), daemon=True).start()

    def add(self, entry):
        """From now on the entry is asked whether it is ready."""
        self.misses[entry.name] = 2
        self.entries = self.entries + [entry]
        threading.Thread(target=self.probe, args=(entry,), daemon=True).start()

    def probe(self, entry):
        while not self.stopped.wait(0.5):
            is_ready = False
            try:
                connection = http.client.HTTPConnection(*entry.at(self.readiness), timeout=0.4)
                connection.request("GET", "/-/readiness")
                is_ready = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            before = self.misses[entry.name]
            self.misses[entry.name] = 0 if is_ready else before + 1
            if (before < 2) != (self.misses[entry.name] < 2):
                self.record(f"router: {entry.name} is "
                            + ("in" if is_ready else "out of") + " rotation")

    def in_rotation(self):
        ready = [entry for entry in self.entries if self.misses[entry.name] < 2]
        return ready if 2 * len(ready) >= len(self.entries) else self.entries

    def send(self, raw, flow):
        def weight(entry):
            return hashlib.sha1(f"{flow}{entry.name}".encode()).digest()
        entry = max(self.in_rotation(), key=weight)
        self.socket.sendto(raw, entry.at(self.datagram))
        return entry

    def stop(self):
        self.stopped.set()


class Server:
    """A server beside an agent. `work_s` is how long it works on a request."""

    def __init__(self, side, offsets, service, record, capacity=7, work_s=0.02, identity=None):
        self.side, self.offsets, self.service, self.record = side, offsets, service, record
        self.capacity, self.work_s = capacity, work_s
        self.identity = identity or "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.acknowledged = {}
        self.ran = []
        self.flows = {}
        self.opened = []
        self.waiting = []
        self.returned = 0
        self.stopped = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(side.at(offsets["app"]))
        self.threads = [threading.Thread(target=self.serve, daemon=True),
                        threading.Thread(target=self.check_in_regularly, daemon=True)]
        for thread in self.threads:
            thread.start()

    def check_in_body(self):
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.side.address}:{self.side.at(self.offsets['app'])[1]}",
                "zone": self.side.fields["zone"], "version": "v1", "capacity": self.capacity,
                "state": self.state, "warmup_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def check_in(self):
        state = self.state
        try:
            connection = http.client.HTTPConnection(*self.side.at(self.offsets["control"]),
                                                    timeout=1.0)
            connection.request("PUT", f"/-/instances/{self.identity}",
                               json.dumps(self.check_in_body()),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            return None
        if 200 <= status < 300 and state not in self.acknowledged:
            self.acknowledged[state] = time.monotonic()
            self.record(f"server {self.identity} on {self.side.name}: {state} was acknowledged")
        return status

    def check_in_regularly(self):
        while not self.stopped.is_set():
            self.check_in()
            self.stopped.wait(1.0 + 0.2 * random.random())

    def send(self, raw):
        self.socket.sendto(raw, self.side.at(self.offsets["outbound"]))

    def answer(self, flow, flags, seq, ack, data=b""):
        src, sport, dst, dport = flow
        self.send(packed(flags, dst, dport, src, sport, seq, ack, data))

    def serve(self):
        while not self.stopped.is_set():
            wait = 0.05
            if self.waiting:
                wait = min(wait, max(0.0, self.waiting[0][0] - time.monotonic()))
            if select.select([self.socket], [], [], wait)[0]:
                raw = self.socket.recv(65536)
                self.take(raw, parsed(raw))
            now = time.monotonic()
            while self.waiting and self.waiting[0][0] <= now:
                _, flow, seq, ack, data = self.waiting.pop(0)
                if flow in self.flows:
                    self.flows[flow]["answers"][ack] = (seq, data)
                    self.answer(flow, ACK, seq, ack, data)
        self.socket.close()

    def give_back(self, raw, packet):
        self.returned += 1
        self.send(bytes([raw[0] | BOUNCED, 0]) + raw[2:])

    def take(self, raw, packet):
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        if not is_genuine(packet):
            self.record(f"FORGED packet at {self.side.name}: {raw[:32].hex()}")
            return
        held = self.flows.get(flow)
        if packet.flags & SYN:
            if held is None:
                self.flows[flow] = held = {"seq": random.getrandbits(32), "open": False,
                                           "at": time.monotonic(), "answers": {}, "ended": False}
            if not held["open"]:
                self.answer(flow, SYN | ACK, held["seq"], advanced(packet.seq, 1))
            return
        if held is not None and not held["open"]:
            if advanced(packet.ack, -held["seq"]) != 1:
                held = None
            else:
                held["open"] = True
                self.opened.append((time.monotonic(), flow))
        if held is None:
            self.give_back(raw, packet)
            return
        if packet.flags & RST:
            del self.flows[flow]
            return
        if held["ended"]:
            self.answer(flow, ACK if packet.flags & FIN else RST, packet.ack, packet.seq)
            return
        if packet.data:
            ack = advanced(packet.seq, len(packet.data))
            if ack in held["answers"]:
                seq, data = held["answers"][ack]
                if data:
                    self.answer(flow, ACK, seq, ack, data)
                return
            held["answers"][ack] = (0, b"")
            self.run(flow, packet, ack)
        if packet.flags & FIN:
            held["ended"] = True
            self.answer(flow, FIN | ACK, packet.ack, advanced(packet.seq, 1))

    def run(self, flow, packet, ack):
        request = packet.data.decode(errors="replace").split("\r\n")
        name = next(line.split(": ")[1] for line in request if line.startswith("X-Lycheeshunt-Req"))
        self.ran.append((time.monotonic(), name, flow))
        body = (f"HTTP/1.1 200 OK\r\nX-Lycheeshunt-Response-Signature: {self.identity}/{name}\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        self.waiting.append((time.monotonic() + self.work_s, flow, packet.ack, ack, body))
        self.waiting.sort(key=lambda each: each[0])

    def drop_flows(self):
        self.flows.clear()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class Client:
    """One client end at an address of its own, with flows from one port after the other."""

    def __init__(self, address, datagram_port, router, record):
        self.address, self.router, self.record = number_of(address), router, record
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, datagram_port))
        self.next_port = 1025
        self.lock = threading.Lock()
        self.inbox = collections.defaultdict(list)
        self.arrived = threading.Condition(self.lock)
        self.stopped = threading.Event()
        self.strange = []
        self.thread = threading.Thread(target=self.receive, daemon=True)
        self.thread.start()

    def receive(self):
        while not self.stopped.is_set():
            if not select.select([self.socket], [], [], 0.05)[0]:
                continue
            packet = parsed(self.socket.recv(65536))
            is_reset = packet.flags & RST and packet.sum == 0 and not packet.data
            if not is_reset and not is_genuine(packet):
                self.strange.append(packet)
                continue
            with self.lock:
                self.inbox[packet.dport].append(packet)
                self.arrived.notify_all()
        self.socket.close()

    def wait_for(self, port, until, is_wanted):
        """The first packet that is wanted; None at the end of the time."""
        with self.lock:
            while True:
                for packet in self.inbox[port]:
                    if is_wanted(packet):
                        self.inbox[port].remove(packet)
                        return packet
                left = until - time.monotonic()
                if left <= 0:
                    return None
                self.arrived.wait(left)

    def new_port(self):
        with self.lock:
            self.next_port += 1
            return self.next_port - 1

    def stop(self):
        self.stopped.set()
        self.thread.join()


class Flow:
    def __init__(self, client, host, port):
        self.client, self.host, self.port = client, number_of(host), port
        self.sport = client.new_port()
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.reset = None
        self.name = f"{address_of(client.address)}:{self.sport}>{host}:{port}"

    def send(self, flags, data=b"", ack=None):
        raw = packed(flags, self.client.address, self.sport, self.host, self.port, self.seq,
                     self.ack if ack is None else ack, data)
        return self.client.router.send(raw, self.name)

    def is_effective(self, packet):
        """Whether a reset of the system's own is one that this flow has to obey."""
        distance = advanced(packet.seq, -self.ack)
        return not self.is_open or min(distance, 2 ** 32 - distance) <= RESET_WINDOW

    def is_end(self, packet):
        return bool(packet.flags & RST) and (packet.sum != 0 or self.is_effective(packet))

    def open(self):
        began = time.monotonic()
        times = [began + at for at in OPENING_COPIES] + [began + OPENING_END]
        for copy in range(len(OPENING_COPIES)):
            self.send(SYN, ack=copy)
            packet = self.client.wait_for(
                self.sport, times[copy + 1],
                lambda p: p.flags & SYN and p.flags & ACK or self.is_end(p))
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset = packet
                return False
            self.seq = advanced(self.seq, 1)
            self.ack = advanced(packet.seq, 1)
            self.is_open = True
            self.send(ACK)
            return True
        return False

    def request(self, deadline_s, name=None):
        """The signature of the answer; None without one. `reset` then holds a reset, if one came."""
        name = name or uuid.uuid4().hex
        data = (f"GET / HTTP/1.1\r\nX-Lycheeshunt-Request-Id: {name}\r\n\r\n").encode()
        until, pause = time.monotonic() + deadline_s, FIRST_RETRY
        expected = advanced(self.seq, len(data))
        while time.monotonic() < until:
            self.send(ACK, data)
            packet = self.client.wait_for(
                self.sport, min(until, time.monotonic() + pause),
                lambda p: self.is_end(p) or (p.data and p.ack == expected))
            pause = min(pause * 2, LONGEST_RETRY)
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset = packet
                return None
            self.seq = expected
            self.ack = advanced(packet.seq, len(packet.data))
            self.send(ACK)
            lines = packet.data.decode().split("\r\n")
            return next(line.split(": ")[1] for line in lines if "Signature" in line)
        return None

    def close(self):
        self.send(FIN | ACK)
