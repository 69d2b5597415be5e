"""Stand-ins for the platform's servers and clients, as PROTOCOL.md describes them."""

import http.client
import json
import random
import select
import socket
import struct
import threading
import time
import zlib

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 64, 16, 1
HEAD = struct.Struct(">BB4sHH4sIIIIH")
KEY = b"platform"
DATA_BYTES = 1200
MASK = 0xFFFFFFFF


class Packet:
    def __init__(self, flags, src, sport, dst, dport, seq, ack, data=b"", echo=0, pad=0, sum_=None):
        self.flags, self.pad, self.echo = flags, pad, echo
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.seq, self.ack, self.data = seq & MASK, ack & MASK, data
        self.sum = self.expected_sum() if sum_ is None else sum_

    def expected_sum(self):
        fields = struct.pack(">B4sHH4sIIH", self.flags & ~BOUNCED, socket.inet_aton(self.src),
                             self.sport, self.dport, socket.inet_aton(self.dst), self.seq, self.ack,
                             len(self.data))
        return zlib.crc32(KEY + fields + self.data)

    def encode(self):
        return HEAD.pack(self.flags, self.pad, socket.inet_aton(self.src), self.sport, self.dport,
                         socket.inet_aton(self.dst), self.echo, self.seq, self.ack, self.sum,
                         len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        flags, pad, src, sport, dport, dst, echo, seq, ack, sum_, length = HEAD.unpack(raw[:32])
        if len(raw) != 32 + length:
            raise ValueError("length of a packet")
        return Packet(flags, socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, seq, ack,
                      raw[32:], echo, pad, sum_)


def newer(left, right):
    """Whether sequence number `left` is behind `right`."""
    return ((left - right) & MASK) < 0x80000000 and left != right


class ServerFlow:
    def __init__(self, packet):
        self.opened_at = time.monotonic()
        self.is_open = False
        self.seq = random.getrandbits(32)      # next to send
        self.acknowledged = self.seq
        self.expected = (packet.seq + 1) & MASK  # next from the client
        self.request = b""
        self.unsent = []                        # packets in flight: (seq end, packet)
        self.sent_at = 0.0
        self.tries = 0
        self.client_finished = False
        self.finished = False


class Server:
    """A server beside an agent. Runs requests of the form 'ID\\n' and answers 'ID ok SERVICE\\n'."""

    def __init__(self, deployment, agent, service, record, name, capacity=7, born=None):
        self.deployment, self.agent, self.service = deployment, agent, service
        self.record, self.name, self.capacity = record, name, capacity
        self.app = (agent.address, deployment.server_port)
        self.outbound = (agent.address, deployment.outbound_port)
        self.born = int(time.time() * 1000) if born is None else born
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.runs = []       # (request, time)
        self.opened = []     # (key, time of the opening packet)
        self.forged = 0
        self.work_s = 0.02
        self.answers = []    # (due, key, text)
        self.acked_draining_at = None
        self.stopping = False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.app)
        self.threads = [threading.Thread(target=self.serve, daemon=True),
                        threading.Thread(target=self.announce, daemon=True)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def check_in(self):
        self.sequence += 1
        state = self.state
        body = json.dumps({"service": self.service, "address": f"{self.app[0]}:{self.app[1]}",
                           "zone": "zone-a", "version": "v1", "capacity": self.capacity,
                           "state": state, "warmup_remaining_ms": 0, "sequence": self.sequence,
                           "born": self.born})
        connection = http.client.HTTPConnection(self.agent.address, self.deployment.control_port,
                                                timeout=1)
        try:
            connection.request("PUT", f"/-/instances/{self.name}", body,
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        if state == "draining" and status == 200 and self.acked_draining_at is None:
            self.acked_draining_at = time.monotonic()
            self.record.write(f"{self.name}: draining is acknowledged")
        return status

    def announce(self):
        while not self.stopping:
            self.check_in()
            until = time.monotonic() + 1.2
            state = self.state
            while not self.stopping and time.monotonic() < until and self.state == state:
                time.sleep(0.02)

    def send(self, packet):
        try:
            self.socket.sendto(packet.encode(), self.outbound)
        except OSError:
            pass

    def serve(self):
        while not self.stopping:
            if select.select([self.socket], [], [], 0.01)[0]:
                raw = self.socket.recv(2048)
                if raw.startswith(b"GET "):
                    continue
                self.take(Packet.decode(raw))
            self.work()

    def take(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.sum != packet.expected_sum():
            self.forged += 1
            self.record.write(f"{self.name}: a packet of {key} that its sender did not write")
            return
        flow = self.flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if flow is None or not flow.is_open:
                flow = self.flows[key] = ServerFlow(packet)
            self.send(Packet(SYN | ACK, packet.dst, packet.dport, packet.src, packet.sport,
                             flow.seq, flow.expected))
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & MASK):
            self.bounce(packet)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow.is_open:
            flow.is_open = True
            flow.seq = flow.acknowledged = (flow.seq + 1) & MASK
            self.opened.append((key, flow.opened_at))
        flow.unsent = [row for row in flow.unsent if newer(row[0], packet.ack)]
        if packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) & MASK
            flow.request += packet.data
            if packet.flags & FIN:
                flow.expected = (flow.expected + 1) & MASK
                flow.client_finished = True
        if packet.data or packet.flags & FIN:
            self.send(Packet(ACK, packet.dst, packet.dport, packet.src, packet.sport, flow.seq,
                             flow.expected))
        while b"\n" in flow.request:
            request, _, flow.request = flow.request.partition(b"\n")
            self.runs.append((request.decode(), time.monotonic()))
            self.record.write(f"{self.name}: runs {request.decode()}")
            self.answers.append((time.monotonic() + self.work_s, key, request.decode()))
        if flow.client_finished and flow.finished:
            del self.flows[key]

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = 0
        self.send(packet)

    def transmit(self, key, flow, flags, data=b""):
        packet = Packet(flags | ACK, key[2], key[3], key[0], key[1], flow.seq, flow.expected, data)
        flow.seq = (flow.seq + len(data) + (1 if flags & FIN else 0)) & MASK
        flow.unsent.append((flow.seq, packet))
        flow.sent_at, flow.tries = time.monotonic(), 0
        self.send(packet)

    def work(self):
        now = time.monotonic()
        for answer in [each for each in self.answers if each[0] <= now]:
            self.answers.remove(answer)
            flow = self.flows.get(answer[1])
            if flow is not None:
                self.transmit(answer[1], flow, 0, f"{answer[2]} ok {self.service}\n".encode())
        for key, flow in list(self.flows.items()):
            if flow.client_finished and not flow.finished and not any(
                    answer[1] == key for answer in self.answers):
                flow.finished = True
                self.transmit(key, flow, FIN)
            if flow.unsent and now - flow.sent_at > min(0.2 * 2 ** flow.tries, 1.6):
                flow.tries += 1
                flow.sent_at = now
                if flow.tries > 8:
                    del self.flows[key]
                    continue
                for _, packet in flow.unsent:
                    packet.ack = flow.expected
                    packet.sum = packet.expected_sum()
                    self.send(packet)
            elif flow.finished and not flow.unsent and flow.client_finished:
                del self.flows[key]
            elif not flow.is_open and now - flow.opened_at > 3:
                del self.flows[key]


class Client:
    """A client with its own address. Each flow has a port; packets go to a random entry."""

    def __init__(self, deployment, address, entries, route, record):
        self.address, self.entries, self.route, self.record = address, entries, route, record
        self.entry_port = deployment.datagram_port
        self.flows = {}
        self.next_port = 40000
        self.lock = threading.RLock()
        self.stopping = False
        self.resets = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, deployment.datagram_port))
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def stop(self):
        self.stopping = True
        self.thread.join()
        self.socket.close()

    def open(self, route=None):
        with self.lock:
            self.next_port += 1
            flow = ClientFlow(self, self.next_port, route or self.route)
            self.flows[flow.port] = flow
        flow.send_syn()
        return flow

    def send(self, packet):
        entry = random.choice(self.entries)
        try:
            self.socket.sendto(packet.encode(), (entry.address, self.entry_port))
        except OSError:
            pass

    def run(self):
        while not self.stopping:
            if select.select([self.socket], [], [], 0.01)[0]:
                packet = Packet.decode(self.socket.recv(2048))
                with self.lock:
                    flow = self.flows.get(packet.dport)
                    if flow is not None:
                        flow.take(packet)
            with self.lock:
                for flow in list(self.flows.values()):
                    flow.tick(time.monotonic())


class ClientFlow:
    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.started = time.monotonic()
        self.state = "opening"
        self.isn = random.getrandbits(32)
        self.seq = (self.isn + 1) & MASK
        self.expected = 0
        self.answer = b""
        self.in_flight = []
        self.sent_at = 0.0
        self.tries = 0
        self.copies = 0
        self.to_send = b""

    def packet(self, flags, seq, ack, data=b""):
        return Packet(flags, self.client.address, self.port, self.route[0], self.route[1], seq, ack,
                      data)

    def send_syn(self):
        self.client.send(self.packet(SYN, self.isn, self.copies))

    def request(self, text):
        with self.client.lock:
            self.to_send += text.encode() + b"\n"
            if self.state == "open":
                self.flush()

    def flush(self, flags=0):
        data, self.to_send = self.to_send[:DATA_BYTES], self.to_send[DATA_BYTES:]
        packet = self.packet(ACK | flags, self.seq, self.expected, data)
        self.seq = (self.seq + len(data) + (1 if flags & FIN else 0)) & MASK
        if data or flags & FIN:
            self.in_flight.append((self.seq, packet))
            self.sent_at, self.tries = time.monotonic(), 0
        self.client.send(packet)

    def finish(self):
        with self.client.lock:
            if self.state == "open":
                self.state = "finishing"
                self.flush(FIN)

    def take(self, packet):
        if packet.flags & RST:
            if self.state in ("open", "finishing", "opening"):
                kind = "the system's" if packet.sum == 0 else "the server's"
                self.client.resets.append((self.port, time.monotonic(), self.state, kind))
                self.client.record.write(f"client: flow {self.port} ({self.state}) gets a reset, {kind}")
                self.state = "reset"
            return
        if packet.sum != packet.expected_sum():
            self.client.record.write(f"client: flow {self.port} gets a forged packet")
            return
        if packet.flags & SYN:
            if self.state == "opening":
                self.expected = (packet.seq + 1) & MASK
                self.state = "open"
                self.flush()
            return
        if self.state not in ("open", "finishing"):
            return
        self.in_flight = [row for row in self.in_flight if newer(row[0], packet.ack)]
        if packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) & MASK
            self.answer += packet.data
            if packet.flags & FIN:
                self.expected = (self.expected + 1) & MASK
                if self.state == "finishing":
                    self.state = "closed"
        if packet.data or packet.flags & FIN:
            self.client.send(self.packet(ACK, self.seq, self.expected))

    def tick(self, now):
        if self.state == "opening":
            age = now - self.started
            due = 2 if age > 0.6 else 1 if age > 0.2 else 0
            if age > 1.4:
                self.state = "failed"
            elif self.copies < due:
                self.copies = due
                self.send_syn()
        elif self.in_flight and now - self.sent_at > min(0.2 * 2 ** self.tries, 1.6):
            self.tries += 1
            self.sent_at = now
            for _, packet in self.in_flight:
                packet.ack = self.expected
                packet.sum = packet.expected_sum()
                self.client.send(packet)
