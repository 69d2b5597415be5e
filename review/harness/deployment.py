"""Runs the programs of the deploy file on loopback, with settings like those of a small deployment.

Each machine has a loopback address of its own, and all use the same ports, as on the platform. The
settings files are rendered from the templates that the deploy file names.
"""

import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_PATH = "/etc/lycheeshunt/boot.toml"
ZONES = ["south-a", "south-b", "south-c", "south-d"]
# Offsets from the first port of the deployment.
DATAGRAM, READINESS, CONTROL, APP, OUTBOUND, INTERNAL = 0, 1, 2, 3, 4, 5
INTERNAL_PORTS = 48
# The first addresses of each kind of machine, and the one that control processes share.
PROBED_ADDRESSES = ("127.0.0.1", "127.1.0.10", "127.2.0.10", "127.3.0.10", "127.64.0.7")


def free_ports(count):
    """The first of so many consecutive ports that nothing on this machine uses."""
    source = random.Random()
    for _ in range(200):
        first = source.randrange(20000, 32000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for address in PROBED_ADDRESSES:
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((address, port))
            return first
        except OSError:
            continue
    raise RuntimeError("no free ports")


def value_at(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def text_of(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def rendered(template, fields):
    """The part of the platform's template language that the templates of this project use."""
    section = re.compile(r"{{([#^])([\w.]+)}}\n?(.*?){{/\2}}\n?", re.S)

    def fill(match):
        value = value_at(fields, match.group(2))
        is_present = value is not None and value is not False
        return rendered(match.group(3), fields) if is_present == (match.group(1) == "#") else ""

    text = section.sub(fill, template)
    return re.sub(r"{{([\w.]+)(\|json)?}}",
                  lambda m: text_of(value_at(fields, m.group(1)), bool(m.group(2))), text)


class Machine:
    def __init__(self, deployment, role, number, address, fields):
        self.deployment, self.role, self.address, self.fields = deployment, role, address, fields
        self.name = fields["node_name"]
        self.number = number
        self.process = None
        self.settings = os.path.join(deployment.folder, self.name + ".toml")

    def at(self, offset):
        return (self.address, self.deployment.first_port + offset)

    def start(self, **changes):
        self.fields.update(changes)
        role = self.deployment.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"])) as template:
            text = rendered(template.read(), self.fields)
        with open(self.settings, "w") as settings:
            settings.write(text)
        if self.role == "control":
            os.makedirs(self.fields["data_directory"], exist_ok=True)
        words = [self.settings if word == SETTINGS_PATH else word
                 for word in shlex.split(role["run"])]
        if self.deployment.program:
            words[0] = self.deployment.program
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    def log(self):
        path = os.path.join(self.deployment.folder, self.name + ".log")
        with open(path, errors="replace") as text:
            return text.read()


class Deployment:
    """Control, entry and agent machines. `sides` names the service of each agent's machine."""

    def __init__(self, controls=5, entries=2, sides=(), program=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as text:
            self.deploy = tomllib.load(text)
        self.program = program
        run = shlex.split(self.deploy["roles"]["control"]["run"])[0]
        if not os.path.exists(program or os.path.join(ROOT, run)):
            raise FileNotFoundError(run)
        self.folder = tempfile.mkdtemp(prefix="lycheeshunt-review-")
        self.first_port = free_ports(INTERNAL + INTERNAL_PORTS)
        self.machine_count = 0
        self.started_at = time.monotonic()
        self.controls = [self.machine("control", n, f"127.1.{n % 4}.{10 + n}")
                         for n in range(controls)]
        self.seeds = [self.text(m.at(CONTROL)) for m in self.controls[:3]]
        self.entries = [self.machine("entry", n, f"127.2.{n % 4}.{10 + n}") for n in range(entries)]
        self.sides = [self.machine("agent", n, f"127.3.{n % 4}.{10 + n}", service)
                      for n, service in enumerate(sides)]
        for machine in self.machines():
            machine.fields["seeds"] = self.seeds
        self.extra = []

    @staticmethod
    def text(address):
        return f"{address[0]}:{address[1]}"

    def machines(self):
        return self.controls + self.entries + self.sides

    def machine(self, role, number, address, service=None):
        classes = {"control": "core", "entry": "frontend", "agent": "side"}
        first = self.first_port
        zone = ZONES[number % 4]
        # A control process also listens at the last internal port of 127.0.0.1, which all machines
        # share here.
        self.machine_count += 1
        bound = {
            "control": {"control": CONTROL},
            "entry": {"datagram_address": DATAGRAM, "readiness": READINESS},
            "agent": {"datagram_address": DATAGRAM, "outbound": OUTBOUND,
                      "readiness": READINESS, "control": CONTROL},
        }[role]
        fields = {
            "node_name": f"{classes[role]}-{zone}-{number}",
            "role": role,
            "machine_class": classes[role],
            "ip_address": address,
            "zone": zone,
            "region": "south",
            "internal_ports": [first + INTERNAL, first + INTERNAL + self.machine_count],
            "seeds": getattr(self, "seeds", []),
            "bootstrap": True,
            "heartbeat_ms": 1200,
            "hash_function": "steady",
            "deployment_mode": "agent",
            "bind_addresses": {key: f"{address}:{first + port}" for key, port in bound.items()},
            "limits": {"bandwidth_mbps": 1000.0, "memory_mb": 256},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "contract_parameters": {"drain_ms": 3000, "config_apply_ms": 3000},
        }
        if role == "control":
            fields["data_directory"] = os.path.join(self.folder, "data-" + fields["node_name"])
        if role == "agent":
            fields["service"] = service
            fields["app"] = f"{address}:{first + APP}"
        return Machine(self, role, number, address, fields)

    def start(self):
        self.started_at = time.monotonic()
        for machine in self.machines():
            machine.start()

    def stop(self):
        everything = self.machines() + self.extra
        for machine in everything:
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGTERM)
        deadline = time.monotonic() + 6
        for machine in everything:
            while machine.is_running() and time.monotonic() < deadline:
                time.sleep(0.02)
            machine.kill()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
