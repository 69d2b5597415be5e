"""A small deployment on loopback, started with the commands and templates of the deploy file.

Every machine has a loopback address of its own (127.a.b.N) and the ports are the same on all
machines, as on the platform.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def deploy_file():
    """Returns the run command and the template of each role, from deploy/system.toml."""
    roles = {}
    role = None
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            section = re.match(r"\[roles\.(\w+)\]", line)
            if section:
                role = roles.setdefault(section.group(1), {})
            field = re.match(r'(run|template) = "(.*)"', line)
            if role is not None and field:
                role[field.group(1)] = field.group(2)
    return roles


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills in a template as DEPLOY.md describes, as far as the deploy folder uses it."""
    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2) if value not in (None, False, 0) else ""

    def placeholder(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        if form == "json" or isinstance(value, bool):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#/^{}]+)\}\}", placeholder, text)


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self.file.flush()


class Machine:
    """One machine with one process of the system."""

    def __init__(self, deployment, role, name, address, fields):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.address = address
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(self.folder)
        self.fields = {
            "node_name": name,
            "ip_address": address,
            "zone": "zone-a",
            # The machines share 127.0.0.1 here, where the operators' own API listens.
            "internal_ports": [deployment.internal_ports[0],
                               deployment.internal_ports[0] + 30 + int(address.split(".")[-1])],
            "seeds": [],
            "bootstrap": False,
            "fault_tolerance": {"machines": 1},
            "limits": {"bandwidth_mbps": 1000.0},
            "data_directory": os.path.join(self.folder, "data"),
        }
        self.fields.update(fields)
        self.process = None

    def write_settings(self):
        path = os.path.join(self.folder, "boot.toml")
        template = self.deployment.roles[self.role]["template"]
        with open(os.path.join(REPOSITORY, template), encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self):
        settings = self.write_settings()
        words = self.deployment.roles[self.role]["run"].split(" ")
        words = [settings if word == "/etc/lycheeshunt/boot.toml" else word for word in words]
        log = open(os.path.join(self.folder, "log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(words, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, env=environment)
        log.close()
        self.fields["bootstrap"] = False

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, seconds=10):
        if self.process is not None:
            self.process.wait(seconds)

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def free_ports():
    """The first of a hundred ports. Deployments that run side by side start their search apart."""
    blocks = 180
    for turn in range(blocks):
        first = 10000 + (os.getpid() + turn) % blocks * 100
        try:
            # The control processes share 127.0.0.1, so a port there must be free for each.
            for port in range(first, first + 50):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first
    raise OSError("no free ports")


class Deployment:
    """Machines with free ports and a temporary folder. Use it with `with`."""

    def __init__(self):
        self.roles = deploy_file()
        program = os.path.join(REPOSITORY, self.roles["control"]["run"].split(" ")[0])
        if not os.path.exists(program):
            raise FileNotFoundError(program)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        first = free_ports()
        self.internal_ports = [first, first + 15]
        self.control_port = first + 20
        self.datagram_port = first + 21
        self.readiness_port = first + 22
        self.outbound_port = first + 23
        self.server_port = first + 24
        self.machines = []
        self.children = []

    def __enter__(self):
        return self

    def __exit__(self, *details):
        for machine in self.machines:
            machine.kill(signal.SIGCONT)
            machine.kill()
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for machine in self.machines:
            machine.wait()
        for child in self.children:
            child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, role, name, number, **fields):
        machine = Machine(self, role, name, f"{self.net}.{number}", fields)
        self.machines.append(machine)
        return machine

    def add_control(self, count):
        """Control machines 1 to `count`, three of them seeds, not started."""
        seeds = [f"{self.net}.{n}:{self.control_port}" for n in range(1, min(count, 3) + 1)]
        self.seeds = seeds
        return [self.add("control", f"core-{n}", n, seeds=seeds, bootstrap=True,
                         bind_addresses={"control": f"{self.net}.{n}:{self.control_port}"})
                for n in range(1, count + 1)]

    def add_entry(self, number):
        address = f"{self.net}.{number}"
        return self.add("entry", f"entry-{number}", number, seeds=self.seeds,
                        bind_addresses={"datagram_address": f"{address}:{self.datagram_port}",
                                        "readiness": f"{address}:{self.readiness_port}"})

    def add_agent(self, number, service):
        address = f"{self.net}.{number}"
        return self.add("agent", f"side-{number}", number, seeds=self.seeds, service=service,
                        app=f"{address}:{self.server_port}",
                        bind_addresses={"datagram_address": f"{address}:{self.datagram_port}",
                                        "outbound": f"{address}:{self.outbound_port}",
                                        "control": f"{address}:{self.control_port}",
                                        "readiness": f"{address}:{self.readiness_port}"})


def call(address, port, method, path, body=None, timeout=1.0, redirects=2):
    """One HTTP call. Returns (status, body), or (0, reason) without a complete response."""
    for _ in range(redirects + 1):
        connection = http.client.HTTPConnection(address, port, timeout=timeout)
        try:
            connection.request(method, path, body=body,
                               headers={"Content-Type": "application/json"} if body else {})
            response = connection.getresponse()
            text = response.read()
            status = response.status
            location = response.getheader("Location")
        except (OSError, http.client.HTTPException) as failure:
            return 0, type(failure).__name__
        finally:
            connection.close()
        if status != 307 or not location:
            return status, text
        where = re.match(r"http://([^:/]+):(\d+)(/.*)", location)
        if not where:
            return status, text
        address, port, path = where.group(1), int(where.group(2)), where.group(3)
    return status, text
